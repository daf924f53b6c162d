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
	answerLength = 12
	step         = 20 * time.Millisecond
	// drainLimit is when a leaving endpoint must get no new work any more.
	drainLimit = 3 * time.Second
)

func promptOf(n int) []byte {
	return []byte(strings.Repeat(fmt.Sprintf("sheet %d ", n%5), 300) + fmt.Sprint(n))
}

func textOf(prompt string, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&b, " %d.%d", len(prompt)+int(prompt[len(prompt)-1]), i)
	}
	return b.String()
}

// fakeNode is an engine or a plain service.
type fakeNode struct {
	w       *world
	name    string
	mu      sync.Mutex
	epoch   int
	version int
	down    bool
	frozen  bool
	leaving time.Time
	// audible is since when the node can be heard. While it is frozen or down
	// it tells nobody that it is leaving.
	audible time.Time
	// faults counts the failures still to come, by kind.
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

func newNode(w *world, name string) *fakeNode {
	n := &fakeNode{
		w:      w,
		name:   name,
		faults: map[string]int{},
	}
	n.empty()
	return n
}

func (n *fakeNode) empty() {
	n.epoch++
	n.streams = map[string]*fakeStream{}
	n.cache = map[uint64]bool{}
	n.events = nil
}

func (n *fakeNode) set(f func(*fakeNode)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(n)
}

func (n *fakeNode) heal() {
	n.set(func(n *fakeNode) {
		n.down, n.frozen = false, false
		n.faults = map[string]int{}
		if !n.leaving.IsZero() {
			n.empty()
			n.leaving = time.Time{}
		}
	})
}

func (n *fakeNode) take(kind string) bool {
	if n.faults[kind] == 0 {
		return false
	}
	n.faults[kind]--
	n.w.count("fault " + kind)
	return true
}

func (n *fakeNode) ranRequest(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.runs {
		if r.request == id {
			return true
		}
	}
	return false
}

// check looks for calls that ran twice.
func (n *fakeNode) check() {
	if !strings.HasPrefix(n.name, "b") {
		return
	}
	seen := map[string]string{}
	for _, other := range n.w.nodes {
		for _, r := range other.runs {
			if r.key == "" {
				continue
			}
			at := other.name + r.at.String()
			if first, ok := seen[r.key]; ok && first != at {
				n.w.breach("once: %s ran at %s and at %s", r.key, first, at)
			}
			seen[r.key] = at
		}
	}
}

func (n *fakeNode) status() string {
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

func (n *fakeNode) open(ctx context.Context, l *link, a call.Attempt) (call.Reply, error) {
	time.Sleep(latency)
	switch n.status() {
	case "down":
		return nil, call.Failure{
			Cause: call.Broken,
		}
	case "frozen":
		return nil, silent(ctx, limit)
	}
	if l.ctx.Err() != nil {
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
	if !n.leaving.IsZero() {
		n.late(a)
		return nil, call.Failure{
			Cause: call.Refused,
		}
	}
	n.runs = append(n.runs, fakeRun{
		request: a.Request.ID,
		at:      time.Now(),
	})
	s = n.begin(a)
	return &fakeReply{n: n, s: s, a: a}, nil
}

// late checks when a leaving endpoint was last sent new work.
func (n *fakeNode) late(a call.Attempt) {
	if since := min(time.Since(n.leaving), time.Since(n.audible)); since > drainLimit {
		n.w.breach("drain: %s was sent %s %s after it was leaving", n.name, a.ID, since)
	}
}

// begin starts a stream and caches its prompt.
func (n *fakeNode) begin(a call.Attempt) *fakeStream {
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

// serve runs a call to a plain service.
func (n *fakeNode) serve(a call.Attempt) (call.Reply, error) {
	if !n.leaving.IsZero() {
		n.late(a)
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
	if n.take("lost") {
		return nil, call.Failure{
			Cause:     call.Broken,
			MaybeSent: true,
		}
	}
	return &fakeReply{n: n, a: a, body: a.Request.Body}, nil
}

func (n *fakeNode) load() (member.Report, load.Work, error) {
	time.Sleep(latency)
	if st := n.status(); st != "" {
		if st == "frozen" {
			time.Sleep(limit)
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
		Departing: !n.leaving.IsZero(),
		Slots:     8,
		Prefill:   20_000,
	}, load.Work{}, nil
}

func (n *fakeNode) epochName() string { return fmt.Sprintf("%d/v%d", n.epoch, n.version) }

// listEvents returns the events late, some lost.
func (n *fakeNode) listEvents(after int64) (state.CacheEvents, error) {
	n.mu.Lock()
	out := state.CacheEvents{
		Endpoint: n.name,
		Epoch:    n.epochName(),
	}
	for _, e := range n.events {
		if e.Seq > after && !n.take("gap") {
			out.Events = append(out.Events, e)
		}
	}
	n.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	return out, nil
}

// fakeReply is an answer under way.
type fakeReply struct {
	n    *fakeNode
	s    *fakeStream
	a    call.Attempt
	next int
	body []byte
}

// Head returns the start.
func (r *fakeReply) Head() chain.Head {
	return chain.Head{
		Status:   200,
		Endpoint: r.n.name,
		Attempt:  r.a.ID,
	}
}

// Usage returns the counts.
func (r *fakeReply) Usage() call.Usage {
	if r.s == nil {
		return call.Usage{}
	}
	return call.Usage{
		Known:  true,
		Prompt: len(r.a.Request.Prompt) / 4,
		Cached: r.s.cached,
		Output: answerLength,
	}
}

// Close does nothing.
func (*fakeReply) Close() {}

// Next returns the next chunk, with the faults of the node.
func (r *fakeReply) Next() (chain.Chunk, int, error) {
	time.Sleep(step)
	if r.n.status() == "frozen" {
		return chain.Chunk{}, 0, silent(context.Background(), limit)
	}
	r.n.mu.Lock()
	defer r.n.mu.Unlock()
	if r.body != nil {
		return chain.Chunk{
			Data: r.body,
			End:  true,
		}, 0, nil
	}
	if r.s.epoch != r.n.epoch || r.n.down || r.n.take("cut") {
		return chain.Chunk{}, 0, call.Failure{
			Cause:     call.Broken,
			MaybeSent: true,
		}
	}
	if r.n.take("mute") {
		return chain.Chunk{}, 0, call.Failure{
			Cause:     call.TimedOut,
			MaybeSent: true,
		}
	}
	at := r.next
	r.next++
	if r.n.take("skip") {
		at++
		r.next++
	}
	if at > 0 && r.n.take("double") {
		at--
		r.next--
	}
	last := answerLength - r.s.from
	if at >= last {
		return chain.Chunk{
			End: true,
		}, at, nil
	}
	return chain.Chunk{
		Text: textOf(string(r.s.request.Prompt), r.s.from+at, r.s.from+at+1),
	}, at, nil
}

func silent(ctx context.Context, d time.Duration) error {
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
