package bench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/core"
	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/label"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// Outcome is how one request of the measured time ended.
type Outcome struct {
	// At is when it arrived, from the start of the measured time.
	At time.Duration
	// Team and Rank are whose it was.
	Team int
	Rank policy.Rank
	// First is the time to first token of an answer.
	First time.Duration
	// Prompt, Cached and Output are the engine's counts.
	Prompt int
	Cached int
	Output int
	// Refused is the kind of the refusal, or empty.
	Refused string
	// NotRun tells that the refusal said so.
	NotRun bool
}

// runner is one run under way.
type runner struct {
	fleet    *fleet
	router   Router
	rnd      *rand.Rand
	mu       sync.Mutex
	outcomes []Outcome
	stops    []context.CancelFunc
	loops    sync.WaitGroup
	epoch    int
}

// Run plays a scenario and returns what became of each request. It must run
// under a fake clock, or it takes as long as the scenario.
func Run(s Scenario, seed uint64, r Router) ([]Outcome, error) {
	f, err := newFleet(s, seed)
	if err != nil {
		return nil, err
	}
	run := &runner{
		fleet:  f,
		router: r,
		rnd:    rand.New(rand.NewPCG(seed, 99)),
	}
	run.start()
	time.Sleep(2 * time.Second)
	run.play(s, s.arrivals(rand.New(rand.NewPCG(seed, 7))))
	run.stop()
	return run.outcomes, nil
}

// start runs a new incarnation of every instance.
func (r *runner) start() {
	r.epoch++
	for i := range r.fleet.scenario.Instances {
		name := fmt.Sprint("i", i)
		c := core.New(core.Parts{
			Self: state.Self{
				Name:   name,
				Epoch:  fmt.Sprint(r.epoch),
				Domain: fmt.Sprint("d", i%r.fleet.scenario.Domains),
			},
			Table:     r.fleet,
			Object:    noObjects{},
			List:      r.fleet,
			Peers:     r.fleet,
			Endpoints: r.fleet,
			Callers:   callers{},
			Meter:     noMeter{},
			Log:       zerolog.Nop(),
			Distance:  r.fleet.scenario.Distance,
		}, core.WithChooser(r.router.chooser(r.fleet, r.rnd)))
		ctx, stop := context.WithCancel(context.Background())
		r.stops = append(r.stops, stop)
		r.fleet.mu.Lock()
		r.fleet.cores[name] = c
		r.fleet.mu.Unlock()
		r.loops.Go(func() { _ = c.Loop.Run(ctx) })
	}
}

func (r *runner) stop() {
	for _, s := range r.stops {
		s()
	}
	r.loops.Wait()
}

// herd restarts all instances, whose calls under way go on.
func (r *runner) herd() {
	for _, s := range r.stops {
		s()
	}
	r.stops = nil
	r.start()
}

// play sends the requests at their times.
func (r *runner) play(s Scenario, asks []ask) {
	texts := newPrompts()
	begin := time.Now()
	events := s.events(r)
	var calls sync.WaitGroup
	for _, a := range sorted(asks) {
		for len(events) > 0 && events[0].at <= a.at {
			time.Sleep(time.Until(begin.Add(events[0].at)))
			events[0].do()
			events = events[1:]
		}
		time.Sleep(time.Until(begin.Add(a.at)))
		prompt := texts.of(a)
		calls.Go(func() { r.call(a, prompt) })
	}
	calls.Wait()
}

// happening is something that happens at a time.
type happening struct {
	at time.Duration
	do func()
}

func (s Scenario) events(r *runner) []happening {
	var out []happening
	if s.Crash {
		for i := 1; i <= 2; i++ {
			out = append(out, happening{
				at: s.Warm + time.Duration(i)*s.Length/3,
				do: func() { r.fleet.engines[fmt.Sprintf("e%02d", i)].crash() },
			})
		}
	}
	if s.Herd {
		out = append(out, happening{
			at: s.Warm + s.Length/2,
			do: r.herd,
		})
	}
	return out
}

// call sends one request and notes its outcome.
func (r *runner) call(a ask, prompt []byte) {
	r.fleet.mu.Lock()
	c := r.fleet.cores[fmt.Sprint("i", a.instance)]
	r.fleet.mu.Unlock()
	kind := "note"
	if a.rank == policy.Urgent {
		kind = "check"
	}
	req := chain.Request{
		ID:         fmt.Sprint(a.serial),
		Kind:       chain.Chat,
		Secret:     fmt.Sprint("team", a.team),
		Labels:     label.Of("kind", kind),
		Model:      modelName,
		Prompt:     prompt,
		Tokens:     prefix.Tokens(len(prompt)),
		Output:     a.output,
		Idempotent: true,
		Arrived:    time.Now(),
	}
	result, err := c.Handler.Handle(context.Background(), req, discard{})
	o := Outcome{
		At:     a.at - r.fleet.scenario.Warm,
		Team:   a.team,
		Rank:   a.rank,
		First:  result.First,
		Prompt: result.Prompt,
		Cached: result.Cached,
		Output: result.Output,
	}
	if err != nil {
		f := fault.From(err)
		o.Refused = f.Kind.String()
		o.NotRun = f.Run == fault.NotRun
	}
	if o.At < 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes = append(r.outcomes, o)
}

// callers takes each secret as a team's name.
type callers struct{}

// Find returns the team of the same name.
func (callers) Find(secret string) (filter.Caller, bool) {
	return filter.Caller{
		Team: secret,
	}, true
}

type noMeter struct{}

// Outcome counts nothing.
func (noMeter) Outcome(chain.Request, chain.Result, string) {}

type discard struct{}

// Begin does nothing.
func (discard) Begin(chain.Head) error { return nil }

// Write does nothing.
func (discard) Write(chain.Chunk) error { return nil }

// noObjects is an empty object store.
type noObjects struct{}

// Get finds nothing.
func (noObjects) Get(context.Context, string) ([]byte, error) { return nil, store.ErrMissing }

// Put does nothing.
func (noObjects) Put(context.Context, string, []byte) error { return nil }

// Delete does nothing.
func (noObjects) Delete(context.Context, string) error { return nil }

// Last finds nothing.
func (noObjects) Last(context.Context, string, string) ([]string, error) { return nil, nil }
