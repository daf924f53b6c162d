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

	"github.com/baobabtally/baobabtally/internal/api"
	"github.com/baobabtally/baobabtally/internal/core"
	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/invar"
	"github.com/baobabtally/baobabtally/pkg/label"
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
		Table:   way,
		Object:  way.object(),
		List:    way,
		Peers:   way,
		Ends:    e,
		Callers: directory{},
		Meter:   meter{},
		Log:     zerolog.Nop(),
		NewID:   w.newID,
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

// floorKey carries the accepted version when a call was made.
type floorKey struct{}

type directory struct{}

// Find takes the secret as the team's name.
func (directory) Find(secret string) (filter.Caller, bool) {
	return filter.Caller{
		Team:   secret,
		Labels: label.Of("org", "mill"),
	}, secret != ""
}

type meter struct{}

// Outcome counts nothing.
func (meter) Outcome(chain.Request, chain.Result, string) {}

// gather keeps an answer and checks that it is written as it should be.
type gather struct {
	begun  int
	ended  bool
	text   string
	data   string
	resume chain.Resume
}

// Begin counts the begin.
func (g *gather) Begin(chain.Head) error {
	g.begun++
	return nil
}

// Write appends the chunk.
func (g *gather) Write(c chain.Chunk) error {
	g.text += c.Text
	g.data += string(c.Data)
	g.ended = c.End
	if c.Next.Active() {
		g.resume = c.Next
	}
	return nil
}

// chat has instance i answer a prompt, and checks the answer.
func (w *world) chat(i, prompt int, team string) {
	s := w.slots[i%instances].live.Load()
	if s == nil {
		return
	}
	w.mu.Lock()
	ctx := context.WithValue(s.ctx, floorKey{}, w.accepted)
	w.mu.Unlock()
	handler := s.core.Handler
	r := chain.Request{
		ID:         w.newID(),
		Kind:       chain.Chat,
		Secret:     team,
		Model:      "small",
		Prompt:     promptOf(prompt),
		Tokens:     len(promptOf(prompt)) / 4,
		Output:     answerLength,
		Idempotent: true,
		Arrived:    time.Now(),
	}
	w.calls.Go(func() {
		g := &gather{}
		_, err := handler.Handle(ctx, r, g)
		if ctx.Err() != nil {
			w.count("chat cut by a kill")
			w.resume(r, g)
			return
		}
		w.judgeChat(r, g, err)
	})
}

// resume goes on with a stream through another instance after a kill.
func (w *world) resume(r chain.Request, g *gather) {
	if !g.resume.Active() || g.ended {
		return
	}
	for _, other := range w.slots {
		s := other.live.Load()
		if s == nil {
			continue
		}
		r.ID = w.newID()
		r.Resume = g.resume
		more := &gather{}
		_, err := s.core.Handler.Handle(s.ctx, r, more)
		if err != nil || s.ctx.Err() != nil {
			w.count("resume refused " + fmt.Sprint(err, s.ctx.Err()))
			return
		}
		g.text += more.text
		g.ended = more.ended
		w.count("stream resumed through another instance")
		w.judgeChat(r, g, nil)
		return
	}
}

func (w *world) judgeChat(r chain.Request, g *gather, err error) {
	want := textOf(string(r.Prompt), 0, answerLength)
	switch {
	case err == nil && (!g.ended || g.text != want):
		w.breach("order: %s got %q, ended %t, of %q", r.ID, g.text, g.ended, want)
	case err == nil:
		w.count("chat answered")
	default:
		w.refused(r, err)
	}
}

// refused checks that a refusal that says "not run" is true.
func (w *world) refused(r chain.Request, err error) {
	f := fault.From(err)
	w.count("refused " + f.Kind.String() + " " + f.Run.String())
	if f.Kind == fault.Internal {
		w.breach("internal fault: %v", err)
	}
	if f.Run != fault.NotRun {
		return
	}
	for _, n := range w.nodes {
		if n.ranRequest(r.ID) {
			w.breach("truth: %s was refused as not run (%v) and ran at %s", r.ID, err, n.name)
		}
	}
}

// charge has a caller post a charge, with retries through other instances.
func (w *world) charge(first int, key string, tries int) {
	w.calls.Go(func() {
		for n := range tries {
			s := w.slots[(first+n)%instances].live.Load()
			if s == nil {
				continue
			}
			r := chain.Request{
				ID:      w.newID(),
				Kind:    chain.Service,
				Secret:  "loom",
				Model:   "billing",
				Method:  "POST",
				Path:    "/charge",
				Body:    []byte(key),
				Key:     key,
				Arrived: time.Now(),
			}
			if key == "" {
				r.Body = []byte(r.ID)
			}
			g := &gather{}
			_, err := s.core.Handler.Handle(s.ctx, r, g)
			if s.ctx.Err() != nil {
				w.count("charge cut by a kill")
			} else if w.judgeCharge(r, g, err) || key == "" {
				return
			}
			time.Sleep(200 * time.Millisecond)
		}
	})
}

// judgeCharge returns whether the caller has its answer.
func (w *world) judgeCharge(r chain.Request, g *gather, err error) bool {
	if err != nil {
		if r.Key == "" {
			w.refused(r, err)
		} else {
			w.count("charge refused " + fault.From(err).Kind.String())
		}
		return false
	}
	if want := string(r.Body); g.data != want {
		w.breach("match: charge %s got the answer to %q", want, g.data)
	}
	w.count("charge answered")
	return true
}

// apply makes a change through instance i.
func (w *world) apply(i, base int, id string) {
	s := w.slots[i%instances].live.Load()
	if s == nil {
		return
	}
	w.calls.Go(func() {
		version := s.core.Loop.View().Config.Document().Version
		res, err := s.core.Admin.Apply(s.ctx, &api.Change{
			Change: id,
			Author: "ops",
			Text:   policyText(base),
			Base:   version,
		})
		if err != nil || s.ctx.Err() != nil {
			return
		}
		w.count("apply " + res.GetState())
		w.mu.Lock()
		defer w.mu.Unlock()
		switch res.GetState() {
		case "accepted":
			if by, ok := w.versions[res.GetVersion()]; ok && by != id {
				w.breaches = append(w.breaches, fmt.Sprintf("norevert: version %d accepted for %s and for %s", res.GetVersion(), by, id))
			}
			w.versions[res.GetVersion()] = id
			w.accepted = max(w.accepted, res.GetVersion())
		case "refused":
			if w.table.made(id) {
				w.breaches = append(w.breaches, "truth: change "+id+" was refused and made")
			}
		}
	})
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
	t.Cleanup(invar.Hook(func(b invar.Breach) {
		w.breach("%s: %s", b.Rule, b.Detail)
	}))
}

func changeID(n int) string { return fmt.Sprint("change", n) }
