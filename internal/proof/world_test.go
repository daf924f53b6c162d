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

// world is everything around the instances, and the instances.
type world struct {
	mu       sync.Mutex
	table    *fakeTable
	object   *fakeObject
	nodes    map[string]*fakeNode
	slots    []*slot
	listed   map[string]member.Node
	breaches []string
	counts   map[string]int
	// accepted is the greatest version that an operator was told is accepted.
	accepted int64
	// versions is the change that made each accepted version.
	versions map[int64]string
	calls    sync.WaitGroup
	ids      int
	breaks   breaks
}

// breaks are deliberate breaks of one mechanism each.
type breaks struct {
	controllers func([]controller) []controller
	filters     func([]chain.Filter) []chain.Filter
	ends        func(*link) ends
}

// slot is the place of an instance, which may be killed and started again.
type slot struct {
	name   string
	starts int
	// live is the incarnation that runs, or nil.
	live    atomic.Pointer[incarnation]
	noTable atomic.Bool
	noPeers atomic.Bool
}

// incarnation is one run of an instance.
type incarnation struct {
	core   *core.Core
	ctx    context.Context
	cancel context.CancelFunc
}

func newWorld(b breaks) *world {
	w := &world{
		table:    &fakeTable{rows: map[string]tableRow{}},
		object:   &fakeObject{objects: map[string][]byte{}},
		nodes:    map[string]*fakeNode{},
		listed:   map[string]member.Node{},
		counts:   map[string]int{},
		versions: map[int64]string{},
		breaks:   b,
	}
	for i := range engines {
		w.add(fmt.Sprintf("e%d", i), member.Engine, "small")
	}
	for i := range services {
		w.add(fmt.Sprintf("b%d", i), member.Service, "billing")
	}
	for i := range instances {
		name := fmt.Sprintf("i%d", i)
		w.listed[name] = member.Node{
			Name:   name,
			Addr:   name,
			Role:   member.Instance,
			Domain: "a",
		}
		w.slots = append(w.slots, &slot{name: name})
	}
	w.seed()
	for i := range w.slots {
		w.start(i)
	}
	return w
}

func (w *world) add(name string, role member.Role, model string) {
	w.nodes[name] = newNode(w, name)
	w.listed[name] = member.Node{
		Name:   name,
		Addr:   name,
		Role:   role,
		Domain: "a",
		Models: []string{model},
	}
}

// breach records that a promise did not hold.
func (w *world) breach(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaches = append(w.breaches, fmt.Sprintf(format, args...))
}

func (w *world) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what]++
}

// counted returns how often what happened.
func (w *world) counted(what string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts[what]
}

func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids++
	return fmt.Sprintf("id%d", w.ids)
}

// start runs a new incarnation of instance i.
func (w *world) start(i int) {
	s := w.slots[i%instances]
	if s.live.Load() != nil {
		return
	}
	s.starts++
	ctx, cancel := context.WithCancel(context.Background())
	way := &link{
		w:    w,
		slot: s,
		ctx:  ctx,
	}
	opts := []core.Option{core.WithFilters(func(fs []chain.Filter) []chain.Filter {
		fs = slices.Insert(fs, 2, chain.Filter(watcher{w: w, slot: s}))
		if w.breaks.filters != nil {
			fs = w.breaks.filters(fs)
		}
		return fs
	})}
	if w.breaks.controllers != nil {
		opts = append(opts, core.WithControllers(w.breaks.controllers(controllers())...))
	}
	var e ends = way
	if w.breaks.ends != nil {
		e = w.breaks.ends(way)
	}
	c := core.New(core.Parts{
		Self: state.Self{
			Name:   s.name,
			Epoch:  fmt.Sprint(s.starts),
			Domain: "a",
		},
		Table:     way,
		Object:    way.object(),
		List:      way,
		Peers:     way,
		Endpoints: e,
		Callers:   directory{},
		Meter:     meter{},
		Log:       zerolog.Nop(),
		NewID:     w.newID,
	}, opts...)
	s.live.Store(&incarnation{
		core:   c,
		ctx:    ctx,
		cancel: cancel,
	})
	w.calls.Go(func() { _ = c.Loop.Run(ctx) })
}

// kill ends an instance without warning. Nothing that it does later has effect.
func (w *world) kill(i int) {
	if live := w.slots[i%instances].live.Swap(nil); live != nil {
		live.cancel()
	}
}

// watcher checks the configuration under which requests are admitted.
type watcher struct {
	w    *world
	slot *slot
}

// Filter checks that no accepted configuration is missing.
func (f watcher) Filter(ctx context.Context, r chain.Request, cw chain.Writer, next chain.Handler) (chain.Result, error) {
	live := f.slot.live.Load()
	if live == nil {
		return next.Handle(ctx, r, cw)
	}
	held := live.core.Loop.View().Config.Document().Version
	f.w.mu.Lock()
	want := f.w.accepted
	f.w.mu.Unlock()
	// The request came in before want was read; the state may have been
	// published before that, so only an older acceptance counts.
	if arrivedFloor, ok := ctx.Value(floorKey{}).(int64); ok && held < arrivedFloor && held < want {
		f.w.breach("norevert: %s admits %s under version %d after %d was accepted", f.slot.name, r.ID, held, arrivedFloor)
	}
	return next.Handle(ctx, r, cw)
}

// settle heals everything and checks that all instances serve again.
func (w *world) settle() {
	w.table.set(func(t *fakeTable) { t.down, t.lost, t.late = false, 0, 0 })
	w.object.set(false)
	for i, s := range w.slots {
		s.noTable.Store(false)
		s.noPeers.Store(false)
		w.start(i)
	}
	for _, n := range w.nodes {
		n.heal()
	}
	time.Sleep(40 * time.Second)
	for i, s := range w.slots {
		live := s.live.Load()
		if ok, why := live.core.Loop.View().Ready(time.Now()); !ok {
			w.breach("start: %s is not ready after all healed: %s", s.name, why)
		}
		w.chat(i, 1, "loom")
	}
	time.Sleep(20 * time.Second)
	for i := range w.slots {
		w.kill(i)
	}
	w.calls.Wait()
	for _, n := range w.nodes {
		n.check()
	}
}

// hooked fails on breaches of the invariants inside the program.
func (w *world) hooked(t *testing.T) {
	t.Helper()
	t.Cleanup(invar.Hook(func(b invar.Violation) {
		w.breach("%s: %s", b.Rule, b.Detail)
	}))
}

func changeID(n int) string { return fmt.Sprint("change", n) }
