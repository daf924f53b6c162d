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
	// hop is the time of a call to the platform or between instances.
	hop = time.Millisecond
	// eventDelay is how late cache events are, and eventLoss how many are lost.
	eventDelay = 300 * time.Millisecond
	eventLoss  = 0.02
	modelName  = "small"
)

// fleet is everything around the instances: engines and a healthy platform.
type fleet struct {
	scenario Scenario
	nodes    []member.Node
	engines  map[string]*engine
	mu       sync.Mutex
	rows     map[string]store.Row
	cores    map[string]*core.Core
}

// engine is the model of an engine with its epoch and event stream.
type engine struct {
	model  *model.Engine
	mu     sync.Mutex
	epoch  int
	events []timedEvent
	rnd    *rand.Rand
}

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
			model: model.New(model.WithRate(s.Prefill, s.Step), model.WithBlocks(s.Blocks)),
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
	f.rows[admin.Key] = store.Row{
		Key:     admin.Key,
		Value:   value,
		Version: 1,
	}
	return f, err
}

// policies are those of the workload.
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
	time.Sleep(hop)
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
	time.Sleep(hop)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rows[row.Key].Version != row.Version {
		return 0, store.ErrConflict
	}
	row.Version++
	f.rows[row.Key] = row
	return row.Version, nil
}

// Nodes returns the list.
func (f *fleet) Nodes(context.Context) ([]member.Node, error) { return f.nodes, nil }

func (f *fleet) peer(n member.Node) (peer.Server, error) {
	time.Sleep(hop)
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.cores[n.Name]
	if c == nil {
		return peer.Server{}, store.ErrUnavailable
	}
	return c.Peer, nil
}

// Beat sends a pulse.
func (f *fleet) Beat(ctx context.Context, to member.Node, p state.Heartbeat) (state.Heartbeat, error) {
	s, err := f.peer(to)
	if err != nil {
		return state.Heartbeat{}, err
	}
	m, err := s.Beat(ctx, peer.EncodePulse(p))
	if err != nil {
		return state.Heartbeat{}, err
	}
	return peer.DecodePulse(m), nil
}

// Fetch reads a peer's configuration.
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

// Stage hands over a configuration.
func (f *fleet) Stage(ctx context.Context, to member.Node, m *rpcapi.Document) (int64, error) {
	s, err := f.peer(to)
	if err != nil {
		return 0, err
	}
	p, err := s.Stage(ctx, m)
	return p.GetVersion(), err
}

// Load reports an engine's load.
func (f *fleet) Load(_ context.Context, n member.Node) (member.Report, load.Work, error) {
	time.Sleep(hop)
	e := f.engines[n.Name]
	now := e.model.Load()
	return member.Report{
			Epoch:   e.epochName(),
			Version: "v1",
			Slots:   model.Slots,
			Prefill: e.model.Prefill(),
			Step:    e.model.Step(),
		}, load.Work{
			Calls:         now.Running + now.Waiting,
			PrefillTokens: now.Tokens,
		}, nil
}

// Events returns cache events, late and with gaps.
func (f *fleet) Events(_ context.Context, n member.Node, after int64) (state.CacheEvents, error) {
	time.Sleep(hop)
	e := f.engines[n.Name]
	out := state.CacheEvents{
		Endpoint: n.Name,
		Epoch:    e.epochName(),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ev := range e.events {
		if ev.Seq > after && time.Since(ev.at) >= eventDelay && e.rnd.Float64() >= eventLoss {
			out.Events = append(out.Events, ev.CacheEvent)
		}
	}
	return out, nil
}

// Order gives no order.
func (*fleet) Order(context.Context, member.Node, client.Order) error { return nil }

// Cancel does nothing, since a reply that is closed is at its end.
func (*fleet) Cancel(context.Context, member.Node, string) error { return nil }

// Open has an engine generate.
func (f *fleet) Open(ctx context.Context, a call.Attempt) (call.Reply, error) {
	e := f.engines[a.Endpoint.Node.Name]
	if a.Endpoint.Node.Domain == a.Request.Type {
		time.Sleep(f.scenario.Distance)
	}
	return &reply{
		ctx:    ctx,
		engine: e,
		a:      a,
		epoch:  e.epochName(),
	}, nil
}

func (e *engine) epochName() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return fmt.Sprint(e.epoch, "/v1")
}

// crash empties the engine.
func (e *engine) crash() {
	e.model.Empty()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.epoch++
	e.events = nil
}

func (e *engine) note(r model.Reading) {
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

// reply is an answer in three chunks: the first token, the rest, the end.
type reply struct {
	ctx    context.Context
	engine *engine
	a      call.Attempt
	epoch  string
	next   int
	read   model.Reading
	held   bool
}

// Head returns the start.
func (r *reply) Head() chain.Head {
	return chain.Head{
		Status:  200,
		Attempt: r.a.ID,
	}
}

// Usage returns the counts.
func (r *reply) Usage() call.Usage {
	return call.Usage{
		Known:  r.next > 0,
		Prompt: r.a.Request.Tokens,
		Cached: r.read.Cached,
		Output: r.a.Request.Output,
	}
}

// Close frees the slot.
func (r *reply) Close() {
	if r.held {
		r.held = false
		r.engine.model.Done()
	}
}

// Next returns the next chunk.
func (r *reply) Next() (chain.Chunk, int, error) {
	at := r.next
	r.next++
	switch at {
	case 0:
		hashes := prefix.HashBlocks(r.a.CacheSalt, r.a.Request.Prompt)
		read, ok := r.engine.model.Read(r.a.Priority, r.a.Request.Tokens, hashes, r.ctx.Done())
		if !ok {
			return chain.Chunk{}, 0, call.Failure{
				Cause:     call.Broken,
				MaybeSent: true,
			}
		}
		r.held = true
		r.read = read
		r.engine.note(read)
		time.Sleep(r.engine.model.Step())
	case 1:
		time.Sleep(time.Duration(r.a.Request.Output-1) * r.engine.model.Step())
	}
	if r.epoch != r.engine.epochName() {
		return chain.Chunk{}, 0, call.Failure{
			Cause:     call.Broken,
			MaybeSent: true,
		}
	}
	return chain.Chunk{
		End: at == 2,
	}, at, nil
}
