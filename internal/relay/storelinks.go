package relay

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/baobabtally/baobabtally/pkg/site"
)

const (
	// usableLinkShare is the share of a store's link that is used. Transfers
	// queue behind each other, and requests wait for their transfers.
	usableLinkShare = 0.7
	// linkBurstPeriod is the time over which an instance may accumulate unused
	// bandwidth. In large fleets one prompt needs more than an instance's share
	// of one second.
	linkBurstPeriod = 4 * time.Second
	// crossDomainFactor is how much longer a transfer between failure domains
	// takes.
	crossDomainFactor = 2
)

// storeLinks tracks this instance's share of the network links of the stores of
// cached prompts. Each instance takes an equal share, so that no coordination
// is needed. It is safe for concurrent use.
type storeLinks struct {
	// mu guards limiters, which is keyed by store.
	mu       sync.Mutex
	limiters map[string]*rate.Limiter
}

func newStoreLinks() *storeLinks {
	return &storeLinks{
		limiters: map[string]*rate.Limiter{},
	}
}

// hasCapacity reports whether the store's link has capacity for a transfer. It
// updates the limit to the given token size and number of instances.
func (l *storeLinks) hasCapacity(store site.Service, tokenBytes, instances int, now time.Time) bool {
	if store.LinkBandwidth == 0 || tokenBytes == 0 {
		return true
	}
	return l.limiter(store, tokenBytes, instances, now).TokensAt(now) > 0
}

// reserve counts a transfer of the given prompt tokens.
func (l *storeLinks) reserve(store site.Service, tokens float64, now time.Time) {
	l.mu.Lock()
	limit := l.limiters[store.Name]
	l.mu.Unlock()
	if limit == nil {
		return
	}
	// A transfer may exceed the burst size. It is then reserved in several
	// steps, some of which lie in the future.
	for remaining := int(tokens); remaining > 0; remaining -= limit.Burst() {
		limit.ReserveN(now, min(remaining, limit.Burst()))
	}
}

func (l *storeLinks) limiter(store site.Service, tokenBytes, instances int, now time.Time) *rate.Limiter {
	perSecond := usableLinkShare * imbalanceFactor * store.LinkBandwidth / float64(tokenBytes) / float64(instances)
	burst := max(int(perSecond*linkBurstPeriod.Seconds()), 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limiters[store.Name]
	if limit == nil {
		limit = rate.NewLimiter(rate.Limit(perSecond), burst)
		l.limiters[store.Name] = limit
	}
	if limit.Burst() != burst {
		limit.SetLimitAt(now, rate.Limit(perSecond))
		limit.SetBurstAt(now, burst)
	}
	return limit
}
