package proof

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/prefix"
)

const (
	responseLength = 12
	chunkInterval  = 20 * time.Millisecond
	// drainTimeout is how long a departing endpoint may still get new work.
	drainTimeout = 3 * time.Second
)

func promptOf(n int) []byte {
	return []byte(strings.Repeat(fmt.Sprintf("sheet %d ", n%5), 300) + fmt.Sprint(n))
}

func expectedText(prompt string, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, " %d.%d", len(prompt)+int(prompt[len(prompt)-1]), i)
	}
	return b.String()
}

// fakeEndpoint is an engine or a plain service.
type fakeEndpoint struct {
	sim            *simulation
	name           string
	mu             sync.Mutex
	epoch          int
	version        int
	down           bool
	frozen         bool
	departingSince time.Time
	// reachableSince is when the endpoint last became reachable. While it is frozen or
	// down, nobody can learn that it is departing.
	reachableSince time.Time
	// faults counts the pending faults, by kind.
	faults  map[string]int
	streams map[string]*fakeStream
	cache   map[uint64]bool
	events  []state.CacheEvent
	runs    []fakeRun
}

type fakeRun struct {
	request string
	key     string
	at      time.Time
}

type fakeStream struct {
	request chain.Request
	from    int
	epoch   int
	cached  int
}

func newFakeEndpoint(sim *simulation, name string) *fakeEndpoint {
	n := &fakeEndpoint{
		sim:    sim,
		name:   name,
		faults: map[string]int{},
	}
	n.restart()
	return n
}

func (n *fakeEndpoint) restart() {
	n.epoch++
	n.streams = map[string]*fakeStream{}
	n.cache = map[uint64]bool{}
	n.events = nil
}

func (n *fakeEndpoint) set(f func(*fakeEndpoint)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n)
}

func (n *fakeEndpoint) clearFaults() {
	n.set(func(n *fakeEndpoint) {
		n.down, n.frozen = false, false
		n.faults = map[string]int{}
		if !n.departingSince.IsZero() {
			n.restart()
			n.departingSince = time.Time{}
		}
	})
}

func (n *fakeEndpoint) takeFault(kind string) bool {
	if n.faults[kind] == 0 {
		return false
	}
	n.faults[kind]--
	n.sim.count("fault " + kind)
	return true
}

func (n *fakeEndpoint) ranRequest(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.runs {
		if r.request == id {
			return true
		}
	}
	return false
}

// checkOnce reports requests that ran more than once although they are not
// idempotent or have an idempotency key.
func (n *fakeEndpoint) checkOnce() {
	if !strings.HasPrefix(n.name, "b") {
		return
	}
	seen := map[string]string{}
	for _, other := range n.sim.endpoints {
		for _, r := range other.runs {
			if r.key == "" {
				continue
			}
			at := other.name + r.at.String()
			if first, ok := seen[r.key]; ok && first != at {
				n.sim.report("once: %s ran at %s and at %s", r.key, first, at)
			}
			seen[r.key] = at
		}
	}
}

func (n *fakeEndpoint) status() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.down:
		return "down"
	case n.frozen:
		return "frozen"
	}
	return ""
}

func (n *fakeEndpoint) open(ctx context.Context, net *network, a call.Attempt) (call.Reply, error) {
	time.Sleep(latency)
	switch n.status() {
	case "down":
		return nil, call.Failure{
			Cause: call.Broken,
		}
	case "frozen":
		return nil, timeOutAfter(ctx, callTimeout)
	}
	if net.ctx.Err() != nil {
		return nil, call.Failure{
			Cause: call.Broken,
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.Request.Kind == chain.Service {
		return n.serve(a)
	}
	s := n.streams[a.ID]
	if a.Resume.Active() {
		if s == nil {
			return nil, call.Failure{
				Cause:     call.UnknownStream,
				MaybeSent: true,
			}
		}
		return &fakeReply{n: n, s: s, a: a, next: a.Resume.Offset}, nil
	}
	if !n.departingSince.IsZero() {
		n.checkDrain(a)
		return nil, call.Failure{
			Cause: call.Refused,
		}
	}
	n.runs = append(n.runs, fakeRun{
		request: a.Request.ID,
		at:      time.Now(),
	})
	s = n.beginStream(a)
	return &fakeReply{n: n, s: s, a: a}, nil
}

// checkDrain reports new work that was sent too long after the endpoint began to
// depart.
func (n *fakeEndpoint) checkDrain(a call.Attempt) {
	if since := min(time.Since(n.departingSince), time.Since(n.reachableSince)); since > drainTimeout {
		n.sim.report("drain: %s was sent %s %s after it began to depart", n.name, a.ID, since)
	}
}

// beginStream starts a stream and adds its prompt to the cache.
func (n *fakeEndpoint) beginStream(a call.Attempt) *fakeStream {
	hashes := prefix.HashBlocks(a.CacheSalt, a.Request.Prompt)
	s := &fakeStream{
		request: a.Request,
		from:    a.DeliveredChunks,
		epoch:   n.epoch,
	}
	var stored []uint64
	for i, h := range hashes {
		if n.cache[h] {
			s.cached = (i + 1) * prefix.BlockTokens
			continue
		}
		n.cache[h] = true
		stored = append(stored, h)
	}
	if len(stored) > 0 {
		n.events = append(n.events, state.CacheEvent{
			Seq:    int64(len(n.events) + 1),
			Hashes: stored,
		})
	}
	n.streams[a.ID] = s
	return s
}

// serve runs a request to a plain service.
func (n *fakeEndpoint) serve(a call.Attempt) (call.Reply, error) {
	if !n.departingSince.IsZero() {
		n.checkDrain(a)
	}
	key := a.Request.Key
	if key == "" && !a.Request.Idempotent {
		key = string(a.Request.Body)
	}
	n.runs = append(n.runs, fakeRun{
		request: a.Request.ID,
		key:     key,
		at:      time.Now(),
	})
	if n.takeFault("lost") {
		return nil, call.Failure{
			Cause:     call.Broken,
			MaybeSent: true,
		}
	}
	return &fakeReply{n: n, a: a, body: a.Request.Body}, nil
}

func (n *fakeEndpoint) load() (member.Report, load.Work, error) {
	time.Sleep(latency)
	if st := n.status(); st != "" {
		if st == "frozen" {
			time.Sleep(callTimeout)
		}
		return member.Report{}, load.Work{}, call.Failure{
			Cause: call.Broken,
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return member.Report{
		Epoch:     n.epochName(),
		Version:   fmt.Sprint("v", n.version),
		Departing: !n.departingSince.IsZero(),
		Slots:     8,
		Prefill:   20_000,
	}, load.Work{}, nil
}

func (n *fakeEndpoint) epochName() string { return fmt.Sprintf("%d/v%d", n.epoch, n.version) }

// listEvents returns the cache events after a delay, and without those that the
// fault "gap" removes.
func (n *fakeEndpoint) listEvents(after int64) (state.CacheEvents, error) {
	n.mu.Lock()
	out := state.CacheEvents{
		Endpoint: n.name,
		Epoch:    n.epochName(),
	}
	for _, e := range n.events {
		if e.Seq > after && !n.takeFault("gap") {
			out.Events = append(out.Events, e)
		}
	}
	n.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	return out, nil
}

// fakeReply is a response in flight.
type fakeReply struct {
	n    *fakeEndpoint
	s    *fakeStream
	a    call.Attempt
	next int
	body []byte
}

// Head returns the head of the response.
func (r *fakeReply) Head() chain.Head {
	return chain.Head{
		Status:   200,
		Endpoint: r.n.name,
		Attempt:  r.a.ID,
	}
}

// Usage returns the token counts.
func (r *fakeReply) Usage() call.Usage {
	if r.s == nil {
		return call.Usage{}
	}
	return call.Usage{
		Known:  true,
		Prompt: len(r.a.Request.Prompt) / 4,
		Cached: r.s.cached,
		Output: responseLength,
	}
}

// Close does nothing.
func (*fakeReply) Close() {}

// Next returns the next chunk, subject to the faults of the endpoint.
func (r *fakeReply) Next() (chain.Chunk, int, error) {
	time.Sleep(chunkInterval)
	if r.n.status() == "frozen" {
		return chain.Chunk{}, 0, timeOutAfter(context.Background(), callTimeout)
	}
	r.n.mu.Lock()
	defer r.n.mu.Unlock()
	if r.body != nil {
		return chain.Chunk{
			Data: r.body,
			End:  true,
		}, 0, nil
	}
	if r.s.epoch != r.n.epoch || r.n.down || r.n.takeFault("cut") {
		return chain.Chunk{}, 0, call.Failure{
			Cause:     call.Broken,
			MaybeSent: true,
		}
	}
	if r.n.takeFault("mute") {
		return chain.Chunk{}, 0, call.Failure{
			Cause:     call.TimedOut,
			MaybeSent: true,
		}
	}
	at := r.next
	r.next++
	if r.n.takeFault("skip") {
		at++
		r.next++
	}
	if at > 0 && r.n.takeFault("double") {
		at--
		r.next--
	}
	last := responseLength - r.s.from
	if at >= last {
		return chain.Chunk{
			End: true,
		}, at, nil
	}
	return chain.Chunk{
		Text: expectedText(string(r.s.request.Prompt), r.s.from+at, r.s.from+at+1),
	}, at, nil
}

func timeOutAfter(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return call.Failure{
		Cause:     call.TimedOut,
		MaybeSent: true,
	}
}
