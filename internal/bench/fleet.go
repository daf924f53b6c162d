package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/baobabtally/baobabtally/internal/admin"
	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/client"
	"github.com/baobabtally/baobabtally/internal/core"
	"github.com/baobabtally/baobabtally/internal/model"
	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	// callLatency is the duration of a call to the platform, an engine's control
	// interface or another instance.
	callLatency = time.Millisecond
	// eventDelay is the delay of cache events, and eventLossRate the share of them
	// that is lost.
	eventDelay    = 300 * time.Millisecond
	eventLossRate = 0.02
	modelName     = "small"
)

// fleet is the environment of the instances under test: simulated engines and a
// platform without faults. It implements the interfaces that core needs.
type fleet struct {
	scenario Scenario
	nodes    []member.Node
	engines  map[string]*engine
	mu       sync.Mutex
	rows     map[string]store.Row
	cores    map[string]*core.Core
}

// engine is a simulated engine with its epoch and cache event log.
type engine struct {
	model  *model.Engine
	mu     sync.Mutex
	epoch  int
	events []timedEvent
	rnd    *rand.Rand
}

// timedEvent is a cache event and the time at which it occurred.
type timedEvent struct {
	state.CacheEvent
	at time.Time
}

func newFleet(s Scenario, seed uint64) (*fleet, error) {
	f := &fleet{
		scenario: s,
		engines:  map[string]*engine{},
		rows:     map[string]store.Row{},
		cores:    map[string]*core.Core{},
	}
	for i := range s.Engines {
		name := fmt.Sprintf("e%02d", i)
		f.engines[name] = &engine{
			model: model.New(model.WithRate(s.PrefillRate, s.StepTime), model.WithCacheBlocks(s.CacheBlocks)),
			rnd:   rand.New(rand.NewPCG(seed, uint64(i))),
		}
		f.nodes = append(f.nodes, member.Node{
			Name:   name,
			Addr:   name,
			Role:   member.Engine,
			Domain: fmt.Sprint("d", i%s.Domains),
			Models: []string{modelName},
		})
	}
	for i := range s.Instances {
		name := fmt.Sprint("i", i)
		f.nodes = append(f.nodes, member.Node{
			Name:   name,
			Addr:   name,
			Role:   member.Instance,
			Domain: fmt.Sprint("d", i%s.Domains),
		})
	}
	value, err := peer.MarshalDocument(&rpcapi.Document{
		Version: 1,
		Change:  "bench",
		Text:    policies,
	})
	f.rows[admin.ConfigKey] = store.Row{
		Key:     admin.ConfigKey,
		Value:   value,
		Version: 1,
	}
	return f, err
}

// policies is the configuration that the workload runs under.
const policies = `[[policy]]
name = "checks"
cover = "kind=check"
rank = "urgent"
target = "960ms"
within = 95

[[policy]]
name = "notes"
cover = ""
rank = "normal"
target = "5s"
within = 95
floor = 0.2
`

// Get reads a row.
func (f *fleet) Get(_ context.Context, key string) (store.Row, error) {
	time.Sleep(callLatency)
	f.mu.Lock()
	defer f.mu.Unlock()
	row, ok := f.rows[key]
	if !ok {
		return row, store.ErrMissing
	}
	return row, nil
}

// Put writes a row.
func (f *fleet) Put(_ context.Context, row store.Row) (int64, error) {
	time.Sleep(callLatency)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rows[row.Key].Version != row.Version {
		return 0, store.ErrConflict
	}
	row.Version++
	f.rows[row.Key] = row
	return row.Version, nil
}

// Nodes returns the node registry's content.
func (f *fleet) Nodes(context.Context) ([]member.Node, error) { return f.nodes, nil }

// peer returns the server of another instance.
func (f *fleet) peer(n member.Node) (peer.Server, error) {
	time.Sleep(callLatency)
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.cores[n.Name]
	if c == nil {
		return peer.Server{}, store.ErrUnavailable
	}
	return c.Peer, nil
}

// SendHeartbeat sends a heartbeat to another instance and returns its heartbeat.
func (f *fleet) SendHeartbeat(ctx context.Context, to member.Node, p state.Heartbeat) (state.Heartbeat, error) {
	s, err := f.peer(to)
	if err != nil {
		return state.Heartbeat{}, err
	}
	m, err := s.Beat(ctx, peer.EncodeHeartbeat(p))
	if err != nil {
		return state.Heartbeat{}, err
	}
	return peer.DecodeHeartbeat(m), nil
}

// Fetch reads the configuration of another instance.
func (f *fleet) Fetch(ctx context.Context, from member.Node) (policy.Document, error) {
	s, err := f.peer(from)
	if err != nil {
		return policy.Document{}, err
	}
	m, err := s.Fetch(ctx, &rpcapi.Nothing{})
	if err != nil {
		return policy.Document{}, err
	}
	return peer.DecodeDocument(m), nil
}

// Stage sends a configuration to another instance.
func (f *fleet) Stage(ctx context.Context, to member.Node, m *rpcapi.Document) (int64, error) {
	s, err := f.peer(to)
	if err != nil {
		return 0, err
	}
	p, err := s.Stage(ctx, m)
	return p.GetVersion(), err
}

// Load returns an engine's report and its current work.
func (f *fleet) Load(_ context.Context, n member.Node) (member.Report, load.Work, error) {
	time.Sleep(callLatency)
	e := f.engines[n.Name]
	now := e.model.Load()
	return member.Report{
			Epoch:   e.epochName(),
			Version: "v1",
			Slots:   model.Slots,
			Prefill: e.model.PrefillRate(),
			Step:    e.model.StepTime(),
		}, load.Work{
			Calls:         now.Running + now.Waiting,
			PrefillTokens: now.PrefillTokens,
		}, nil
}

// Events returns the cache events after a sequence number. They are delayed by
// eventDelay, and eventLossRate of them are missing.
func (f *fleet) Events(_ context.Context, n member.Node, after int64) (state.CacheEvents, error) {
	time.Sleep(callLatency)
	e := f.engines[n.Name]
	out := state.CacheEvents{
		Endpoint: n.Name,
		Epoch:    e.epochName(),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ev := range e.events {
		if ev.Seq > after && time.Since(ev.at) >= eventDelay && e.rnd.Float64() >= eventLossRate {
			out.Events = append(out.Events, ev.CacheEvent)
		}
	}
	return out, nil
}

// Order ignores the order, since no scenario issues one.
func (*fleet) Order(context.Context, member.Node, client.Order) error { return nil }

// Cancel does nothing, since closing a reply already ends it.
func (*fleet) Cancel(context.Context, member.Node, string) error { return nil }

// Open starts a generation on an engine.
func (f *fleet) Open(ctx context.Context, a call.Attempt) (call.Reply, error) {
	e := f.engines[a.Endpoint.Node.Name]
	if a.Endpoint.Node.Domain == a.Request.Type {
		time.Sleep(f.scenario.Distance)
	}
	return &reply{
		ctx:     ctx,
		engine:  e,
		attempt: a,
		epoch:   e.epochName(),
	}, nil
}

func (e *engine) epochName() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprint(e.epoch, "/v1")
}

// crash restarts the engine with an empty cache and a new epoch.
func (e *engine) crash() {
	e.model.ClearCache()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch++
	e.events = nil
}

// appendCacheEvents records the cache changes of a prefill.
func (e *engine) appendCacheEvents(r model.PrefillResult) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, hashes := range [][]uint64{r.Stored, r.Removed} {
		if len(hashes) == 0 {
			continue
		}
		seq := int64(1)
		if n := len(e.events); n > 0 {
			seq = e.events[n-1].Seq + 1
		}
		e.events = append(e.events, timedEvent{
			at: time.Now(),
			CacheEvent: state.CacheEvent{
				Seq:     seq,
				Removed: i == 1,
				Hashes:  slices.Clone(hashes),
			},
		})
	}
	if len(e.events) > 2048 {
		e.events = slices.Clone(e.events[1024:])
	}
}

// reply is a streamed response of three chunks: the first token, the remaining
// tokens, and the end.
type reply struct {
	ctx       context.Context
	engine    *engine
	attempt   call.Attempt
	epoch     string
	next      int
	prefill   model.PrefillResult
	holdsSlot bool
}

// Head returns the response head.
func (r *reply) Head() chain.Head {
	return chain.Head{
		Status:  200,
		Attempt: r.attempt.ID,
	}
}

// Usage returns the token counts.
func (r *reply) Usage() call.Usage {
	return call.Usage{
		Known:  r.next > 0,
		Prompt: r.attempt.Request.Tokens,
		Cached: r.prefill.CachedTokens,
		Output: r.attempt.Request.Output,
	}
}

// Close releases the engine's slot.
func (r *reply) Close() {
	if r.holdsSlot {
		r.holdsSlot = false
		r.engine.model.Release()
	}
}

// Next returns the next chunk.
func (r *reply) Next() (chain.Chunk, int, error) {
	chunk := r.next
	r.next++
	switch chunk {
	case 0:
		hashes := prefix.HashBlocks(r.attempt.CacheSalt, r.attempt.Request.Prompt)
		prefill, ok := r.engine.model.Prefill(r.attempt.Priority, r.attempt.Request.Tokens, hashes, r.ctx.Done())
		if !ok {
			return chain.Chunk{}, 0, call.Failure{
				Cause:     call.Broken,
				MaybeSent: true,
			}
		}
		r.holdsSlot = true
		r.prefill = prefill
		r.engine.appendCacheEvents(prefill)
		time.Sleep(r.engine.model.StepTime())
	case 1:
		time.Sleep(time.Duration(r.attempt.Request.Output-1) * r.engine.model.StepTime())
	}
	if r.epoch != r.engine.epochName() {
		return chain.Chunk{}, 0, call.Failure{
			Cause:     call.Broken,
			MaybeSent: true,
		}
	}
	return chain.Chunk{
		End: chunk == 2,
	}, chunk, nil
}
