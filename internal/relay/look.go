package relay

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtally/baobabtally/pkg/member"
)

const (
	// digestLife is how old the news of a peer's calls may be to count: as long as
	// load.Table keeps a digest.
	digestLife = 3 * time.Second
	// maxLooks is how many engines are asked for their load before one is chosen. The
	// load of a few is almost as good as that of all, and each look costs a probe.
	maxLooks = 3
	// lookTimeout bounds a look. An engine that takes longer is left for the next one.
	lookTimeout = 150 * time.Millisecond
	// calmShare is the share of its slots up to which an engine takes each request that
	// is meant for it. Beyond, it takes the fewer the fewer slots are free, so that
	// instances that see the same load, some hundred milliseconds old, do not all send
	// there or all stay away.
	calmShare = 0.5
)

// blind reports whether most of what peers send of their calls has expired before their
// next heartbeat, so that this instance knows little more than its own calls. The
// rotation of heartbeats takes n times n/81 rounds with n peers: with 18 and more it is
// longer than a digest counts.
func (p picker) blind() bool {
	n := len(p.state.Routing.Peers)
	return time.Duration(n*n/heartbeatsPerRound)*heartbeatInterval > digestLife
}

// withRoom returns the first choice for the prompt whose engine reports room, beginning
// with best. The load that it answers is that of an instance with a hot prefix: each
// instance sees only its own few calls, and all of them together fill the one engine
// that they prefer, while others idle. The engines after the preferred one are the next
// by rendezvous hashing, which are the same at all instances, so that a hot prefix gets
// as many engines as it needs and no more. If no engine has room, the one with the
// fewest calls is chosen. In calm it costs one probe, on the connection that the
// request uses next.
func (p prompt) withRoom(ctx context.Context, best choice, pool []member.Endpoint) choice {
	if !p.blind() {
		return best
	}
	least, leastCalls := best, -1
	for look := range maxLooks {
		calls, ok := p.look(ctx, best.endpoint.Node)
		switch {
		case ok && p.accepts(best, calls):
			return best
		case ok && (leastCalls < 0 || calls < leastCalls):
			least, leastCalls = best, calls
		}
		if look == maxLooks-1 || ctx.Err() != nil {
			break
		}
		name := best.endpoint.Node.Name
		pool = slices.DeleteFunc(slices.Clone(pool), func(e member.Endpoint) bool { return e.Node.Name == name })
		if len(pool) == 0 {
			break
		}
		next, found := p.newPrompt(pool).lowestCost(pool)
		if !found {
			break
		}
		best = next
		if leastCalls < 0 {
			least = best
		}
	}
	return least
}

// look returns how many calls an engine has, or false if it does not say in time.
func (p prompt) look(ctx context.Context, n member.Node) (int, bool) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	_, work, err := p.endpoints.Load(ctx, n)
	if err != nil {
		p.log.Debug().Str("event", "unanswered").Str("reason", "load").Str("request", p.request.ID).Str("name", n.Name).Err(err).Send()
		return 0, false
	}
	return max(work.Calls, p.gauge.Work(n.Name).Calls), true
}

// accepts reports whether the engine of c, which has the given number of calls, takes
// the request.
func (p prompt) accepts(c choice, calls int) bool {
	slots := c.endpoint.Report.Slots
	if service, ok := p.state.Routing.Site.Service(p.request.Service); ok && slots == 0 {
		slots = service.Slots
	}
	if slots <= 0 {
		return true
	}
	return acceptance(calls, slots) > drawn(p.request.ID, c.endpoint.Node.Name)
}

// acceptance returns the share of the requests meant for an engine that it takes while
// it has the given number of calls.
func acceptance(calls, slots int) float64 {
	free := 1 - float64(calls)/float64(slots)
	return min(max(free/(1-calmShare), 0), 1)
}

// drawn returns a number from 0 to 1, excluding 1, that is drawn for a request at an
// engine and always the same for both.
func drawn(request, engine string) float64 {
	const digits = 1 << 20
	return float64(xxhash.Sum64String(request+"/"+engine)%digits) / digits
}
