package relay

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtally/baobabtally/pkg/member"
)

const (
	// digestLife is how old the news of a peer's calls may be to count: as long as
	// load.Table keeps a digest.
	digestLife = 3 * time.Second
	// maxLooks is how many engines are asked for their load before one is chosen. Each
	// look costs a probe, and each but the first skips twice as many engines as the one
	// before may, so that four looks reach the first 15.
	maxLooks = 4
	// lookTimeout bounds a look. An engine that takes longer is left for the next one.
	lookTimeout = 150 * time.Millisecond
	// fullShare is the load, as calls for each of its slots, up to which an engine takes
	// all requests that are meant for it, and noShare that from which it takes none.
	// Between the two it takes the fewer the more calls it has, so that instances that
	// see the same load, some hundred milliseconds old, do not all send there or all stay
	// away. An engine that is full but has no long queue keeps most of its requests: in an
	// overload the others are full as well, and would read the prefix again.
	fullShare = 0.6
	noShare   = 1.25
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
// as many engines as it needs and no more. If no engine has room, the first one keeps the
// request. In calm it costs one probe, on the connection that the request uses next.
func (p prompt) withRoom(ctx context.Context, best choice, pool []member.Endpoint) choice {
	if !p.blind() {
		return best
	}
	// first is the first engine that answers, or else the last one that was tried.
	first, answered := best, false
	for look := 0; ; look++ {
		calls, ok := p.look(ctx, best.endpoint.Node)
		if ok && p.accepts(best, calls) {
			return best
		}
		if !answered {
			first, answered = best, ok
		}
		if look == maxLooks-1 || ctx.Err() != nil {
			return first
		}
		rest := p.beyond(best, pool, look+1)
		if len(rest) == 0 {
			return first
		}
		next, found := p.newPrompt(rest).lowestCost(rest)
		if !found {
			return first
		}
		best, pool = next, rest
	}
}

// beyond returns the engines of pool for a look after one at the engine of last: without
// that engine and without some of the next ones by rendezvous hashing, one of 2^look
// numbers drawn for the request. The hotter a prefix, the more engines share it, although
// each request looks at few.
func (p prompt) beyond(last choice, pool []member.Endpoint, look int) []member.Endpoint {
	rest := slices.DeleteFunc(slices.Clone(pool), func(e member.Endpoint) bool { return e.Node.Name == last.endpoint.Node.Name })
	skip := int(drawn(p.request.ID, strconv.Itoa(look)) * float64(int(1)<<look))
	if skip == 0 || skip >= len(rest) {
		return rest
	}
	slices.SortFunc(rest, func(a, b member.Endpoint) int { return cmp.Compare(b.Weight(p.key), a.Weight(p.key)) })
	return rest[skip:]
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
	share := float64(calls) / float64(slots)
	return min(max((noShare-share)/(noShare-fullShare), 0), 1)
}

// drawn returns a number from 0 to 1, excluding 1, that is drawn for a request and a
// purpose and always the same for both.
func drawn(request, purpose string) float64 {
	const steps = 1 << 20
	return float64(xxhash.Sum64String(request+"/"+purpose)%steps) / steps
}
