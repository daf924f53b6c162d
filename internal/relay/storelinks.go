package relay

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/baobabtally/baobabtally/pkg/site"
)

const (
	// linkShare is the part of a store's link that is used. Transfers wait for
	// each other, and requests wait for their transfers.
	linkShare = 0.7
	// linkSpan is the time over which an instance may save its part up: in large
	// fleets one prompt is more than the part of a second.
	linkSpan = 4 * time.Second
	// afarTimes is how much longer a transfer between failure domains takes.
	afarTimes = 2
)

// links is what this instance has left of the links of the stores of cached
// prompts. The instances share each link evenly and need no messages for it. It
// is safe for concurrent use.
type links struct {
	// mu guards limits, by store.
	mu     sync.Mutex
	limits map[string]*rate.Limiter
}

func newLinks() *links {
	return &links{
		limits: map[string]*rate.Limiter{},
	}
}

// open tells whether the store's link has room for a transfer, where each token
// has the given bytes.
func (l *links) open(store site.Service, token, instances int, now time.Time) bool {
	if store.Link == 0 || token == 0 {
		return true
	}
	return l.limit(store, token, instances, now).TokensAt(now) > 0
}

// take counts a transfer of the given prompt tokens.
func (l *links) take(store site.Service, tokens float64, now time.Time) {
	l.mu.Lock()
	limit := l.limits[store.Name]
	l.mu.Unlock()
	if limit == nil {
		return
	}
	// A transfer may be more than what can be saved up: the rest is owed.
	for left := int(tokens); left > 0; left -= limit.Burst() {
		limit.ReserveN(now, min(left, limit.Burst()))
	}
}

func (l *links) limit(store site.Service, token, instances int, now time.Time) *rate.Limiter {
	each := linkShare * unevenShare * store.Link / float64(token) / float64(instances)
	burst := max(int(each*linkSpan.Seconds()), 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits[store.Name]
	if limit == nil {
		limit = rate.NewLimiter(rate.Limit(each), burst)
		l.limits[store.Name] = limit
	}
	if limit.Burst() != burst {
		limit.SetLimitAt(now, rate.Limit(each))
		limit.SetBurstAt(now, burst)
	}
	return limit
}
