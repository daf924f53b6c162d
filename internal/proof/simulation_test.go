package proof

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/core"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/invar"
	"github.com/baobabtally/baobabtally/pkg/member"
)

const (
	instances = 3
	engines   = 3
	services  = 2
)

// simulation holds the instances, the endpoints and the platform, and what was
// observed.
type simulation struct {
	mu         sync.Mutex
	table      *fakeTable
	object     *fakeObject
	endpoints  map[string]*fakeEndpoint
	slots      []*slot
	registry   map[string]member.Node
	violations []string
	counts     map[string]int
	// accepted is the highest version that was acknowledged as accepted.
	accepted int64
	// versions maps each accepted version to its change.
	versions  map[int64]string
	calls     sync.WaitGroup
	ids       int
	mutations mutations
}

// mutations are deliberate faults in the program. Each disables one mechanism, to
// test that the simulation detects it.
type mutations struct {
	controllers func([]controller) []controller
	filters     func([]chain.Filter) []chain.Filter
	endpoints   func(*network) endpointClient
}

// slot holds an instance, which may be killed and restarted.
type slot struct {
	name   string
	starts int
	// live is the running incarnation; nil if there is none.
	live    atomic.Pointer[incarnation]
	noTable atomic.Bool
	noPeers atomic.Bool
}

// incarnation is an instance between its start and its end.
type incarnation struct {
	core   *core.Core
	ctx    context.Context
	cancel context.CancelFunc
}

func newSimulation(b mutations) *simulation {
	sim := &simulation{
		table:     &fakeTable{rows: map[string]tableRow{}},
		object:    &fakeObject{objects: map[string][]byte{}},
		endpoints: map[string]*fakeEndpoint{},
		registry:  map[string]member.Node{},
		counts:    map[string]int{},
		versions:  map[int64]string{},
		mutations: b,
	}
	for i := range engines {
		sim.add(fmt.Sprintf("e%d", i), member.Engine, "small")
	}
	for i := range services {
		sim.add(fmt.Sprintf("b%d", i), member.Service, "billing")
	}
	for i := range instances {
		name := fmt.Sprintf("i%d", i)
		sim.registry[name] = member.Node{
			Name:   name,
			Addr:   name,
			Role:   member.Instance,
			Domain: "a",
		}
		sim.slots = append(sim.slots, &slot{name: name})
	}
	sim.storeInitialConfig()
	for i := range sim.slots {
		sim.start(i)
	}
	return sim
}

func (sim *simulation) add(name string, role member.Role, model string) {
	sim.endpoints[name] = newFakeEndpoint(sim, name)
	sim.registry[name] = member.Node{
		Name:   name,
		Addr:   name,
		Role:   role,
		Domain: "a",
		Models: []string{model},
	}
}

// report records a violation; the message begins with the rule and a colon.
func (sim *simulation) report(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

func (sim *simulation) count(what string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.counts[what]++
}

// counted returns how often an event was counted.
func (sim *simulation) counted(what string) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.counts[what]
}

func (sim *simulation) newID() string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.ids++
	return fmt.Sprintf("id%d", sim.ids)
}

// start starts a new incarnation of instance i unless one is running.
func (sim *simulation) start(i int) {
	s := sim.slots[i%instances]
	if s.live.Load() != nil {
		return
	}
	s.starts++
	ctx, cancel := context.WithCancel(context.Background())
	connection := &network{
		sim:  sim,
		slot: s,
		ctx:  ctx,
	}
	opts := []core.Option{core.WithFilters(func(fs []chain.Filter) []chain.Filter {
		fs = slices.Insert(fs, 2, chain.Filter(configChecker{sim: sim, slot: s}))
		if sim.mutations.filters != nil {
			fs = sim.mutations.filters(fs)
		}
		return fs
	})}
	if sim.mutations.controllers != nil {
		opts = append(opts, core.WithControllers(sim.mutations.controllers(controllers())...))
	}
	var e endpointClient = connection
	if sim.mutations.endpoints != nil {
		e = sim.mutations.endpoints(connection)
	}
	c := core.New(core.Parts{
		Self: state.Self{
			Name:   s.name,
			Epoch:  fmt.Sprint(s.starts),
			Domain: "a",
		},
		Table:     connection,
		Object:    connection.object(),
		List:      connection,
		Peers:     connection,
		Endpoints: e,
		Callers:   secretAsTeam{},
		Meter:     discardMeter{},
		Log:       zerolog.Nop(),
		NewID:     sim.newID,
	}, opts...)
	s.live.Store(&incarnation{
		core:   c,
		ctx:    ctx,
		cancel: cancel,
	})
	sim.calls.Go(func() { _ = c.Loop.Run(ctx) })
}

// kill ends an instance without warning. Nothing it does afterwards takes effect.
func (sim *simulation) kill(i int) {
	if live := sim.slots[i%instances].live.Swap(nil); live != nil {
		live.cancel()
	}
}

// configChecker is a filter that checks the configuration under which requests
// are admitted.
type configChecker struct {
	sim  *simulation
	slot *slot
}

// Filter checks that the instance has the configuration that was accepted when
// the request was sent, or a newer one.
func (f configChecker) Filter(ctx context.Context, r chain.Request, cw chain.Writer, next chain.Handler) (chain.Result, error) {
	live := f.slot.live.Load()
	if live == nil {
		return next.Handle(ctx, r, cw)
	}
	current := live.core.Loop.View().Config.Document().Version
	f.sim.mu.Lock()
	want := f.sim.accepted
	f.sim.mu.Unlock()
	// A version may be accepted after the state was read and before want was, so
	// only versions that were accepted when the request was sent count.
	if acceptedBefore, ok := ctx.Value(acceptedVersionKey{}).(int64); ok && current < acceptedBefore && current < want {
		f.sim.report("norevert: %s admits %s under version %d after %d was accepted", f.slot.name, r.ID, current, acceptedBefore)
	}
	return next.Handle(ctx, r, cw)
}

// settle clears all faults, checks that all instances serve again, and ends the
// simulation.
func (sim *simulation) settle() {
	sim.table.set(func(t *fakeTable) { t.down, t.lostResponses, t.lateWrites = false, 0, 0 })
	sim.object.set(false)
	for i, s := range sim.slots {
		s.noTable.Store(false)
		s.noPeers.Store(false)
		sim.start(i)
	}
	for _, n := range sim.endpoints {
		n.clearFaults()
	}
	time.Sleep(40 * time.Second)
	for i, s := range sim.slots {
		live := s.live.Load()
		if ok, why := live.core.Loop.View().Ready(time.Now()); !ok {
			sim.report("start: %s is not ready after all faults were cleared: %s", s.name, why)
		}
		sim.chat(i, 1, "loom")
	}
	time.Sleep(20 * time.Second)
	for i := range sim.slots {
		sim.kill(i)
	}
	sim.calls.Wait()
	for _, n := range sim.endpoints {
		n.checkOnce()
	}
}

// recordInvariants records violations of the invariants inside the program.
func (sim *simulation) recordInvariants(t *testing.T) {
	t.Helper()
	t.Cleanup(invar.Hook(func(v invar.Violation) {
		sim.report("%s: %s", v.Rule, v.Detail)
	}))
}

func changeID(n int) string { return fmt.Sprint("change", n) }
