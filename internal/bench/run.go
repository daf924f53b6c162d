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

// Outcome is the result of one request within the measured time.
type Outcome struct {
	// At is the arrival time, relative to the start of the measured time.
	At time.Duration
	// Team and Rank are those of the request.
	Team int
	Rank policy.Rank
	// TimeToFirstToken is 0 if the request was refused.
	TimeToFirstToken time.Duration
	// PromptTokens, CachedTokens and OutputTokens are the engine's token counts.
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// Refused is the fault kind of a refusal, or empty.
	Refused string
	// NotRun tells whether the refusal states that the request did not run.
	NotRun bool
}

// runner is the state of one run.
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

// Run runs a scenario and returns the outcome of each measured request. Outside
// of a synctest bubble it takes as long in real time as the scenario.
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

// start starts every instance under a new epoch.
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
			Object:    emptyObjectStore{},
			List:      r.fleet,
			Peers:     r.fleet,
			Endpoints: r.fleet,
			Callers:   callers{},
			Meter:     discardMeter{},
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

// restartAll restarts all instances at once. Requests in flight continue on the
// old ones.
func (r *runner) restartAll() {
	for _, s := range r.stops {
		s()
	}
	r.stops = nil
	r.start()
}

// play sends the requests and runs the scenario's events at their times.
func (r *runner) play(s Scenario, arrivals []arrival) {
	prompts := newPromptBuilder()
	start := time.Now()
	events := s.events(r)
	var calls sync.WaitGroup
	for _, a := range sortByArrival(arrivals) {
		for len(events) > 0 && events[0].at <= a.at {
			time.Sleep(time.Until(start.Add(events[0].at)))
			events[0].run()
			events = events[1:]
		}
		time.Sleep(time.Until(start.Add(a.at)))
		prompt := prompts.build(a)
		calls.Go(func() { r.call(a, prompt) })
	}
	calls.Wait()
}

// scheduledEvent is an action of a scenario and its time.
type scheduledEvent struct {
	at  time.Duration
	run func()
}

// events returns the crashes and restarts of a scenario. They are ordered by time
// as long as a scenario has only one of both.
func (s Scenario) events(r *runner) []scheduledEvent {
	var out []scheduledEvent
	if s.Crash {
		for i := 1; i <= 2; i++ {
			out = append(out, scheduledEvent{
				at:  s.WarmUp + time.Duration(i)*s.Length/3,
				run: func() { r.fleet.engines[fmt.Sprintf("e%02d", i)].crash() },
			})
		}
	}
	if s.RestartAll {
		out = append(out, scheduledEvent{
			at:  s.WarmUp + s.Length/2,
			run: r.restartAll,
		})
	}
	return out
}

// call sends one request and records its outcome.
func (r *runner) call(a arrival, prompt []byte) {
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
	result, err := c.Handler.Handle(context.Background(), req, discardSink{})
	o := Outcome{
		At:               a.at - r.fleet.scenario.WarmUp,
		Team:             a.team,
		Rank:             a.rank,
		TimeToFirstToken: result.First,
		PromptTokens:     result.Prompt,
		CachedTokens:     result.Cached,
		OutputTokens:     result.Output,
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

// callers authenticates every secret as the team of the same name.
type callers struct{}

// Find returns the caller whose team is named by the secret.
func (callers) Find(secret string) (filter.Caller, bool) {
	return filter.Caller{
		Team: secret,
	}, true
}

// discardMeter discards metrics.
type discardMeter struct{}

// Outcome does nothing.
func (discardMeter) Outcome(chain.Request, chain.Result, string) {}

// discardSink discards responses.
type discardSink struct{}

// Begin does nothing.
func (discardSink) Begin(chain.Head) error { return nil }

// Write does nothing.
func (discardSink) Write(chain.Chunk) error { return nil }

// emptyObjectStore is an object store that stays empty.
type emptyObjectStore struct{}

// Get returns store.ErrMissing.
func (emptyObjectStore) Get(context.Context, string) ([]byte, error) { return nil, store.ErrMissing }

// Put does nothing.
func (emptyObjectStore) Put(context.Context, string, []byte) error { return nil }

// Delete does nothing.
func (emptyObjectStore) Delete(context.Context, string) error { return nil }

// Last returns no keys.
func (emptyObjectStore) Last(context.Context, string, string) ([]string, error) { return nil, nil }
