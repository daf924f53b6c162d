package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"
)

// Kind is what a step does.
type Kind uint8

const (
	// Stop ends an instance with SIGTERM and restarts it.
	Stop Kind = iota
	// Kill ends an instance with SIGKILL and restarts it.
	Kill
	// Pause suspends an instance.
	Pause
	// Reload changes the settings of an instance.
	Reload
	// Link applies Mode to a network link.
	Link
	// StoreSlow delays the responses of the store.
	StoreSlow
	// StoreUnavailable makes the store reject the calls of all instances.
	StoreUnavailable
	// StoreUnavailableToOne makes the store reject the calls of one instance.
	StoreUnavailableToOne
	// StoreLoseResponses drops the store's responses to writes that took effect.
	StoreLoseResponses
	// StoreCompact makes the store drop its history.
	StoreCompact
	// EndpointCrash kills an endpoint, which restarts.
	EndpointCrash
	// EndpointCut makes an endpoint close connections in the middle of responses.
	EndpointCut
	// EndpointSlow delays the responses of an endpoint.
	EndpointSlow
	// EndpointUnresponsive makes an endpoint send no responses.
	EndpointUnresponsive
	// EndpointFull makes an endpoint reject requests.
	EndpointFull
	// EndpointError makes an endpoint respond with errors.
	EndpointError
	// EndpointUnexpected makes an endpoint send a response without a request.
	EndpointUnexpected
	// EndpointDepart makes an endpoint announce its departure, depart, and be replaced.
	EndpointDepart
	// EndpointVanish is EndpointDepart without the announcement.
	EndpointVanish
	// Weights sets a new version of the weights as desired.
	Weights
	// Change writes a new configuration.
	Change
	// EndpointPause makes a sound endpoint send nothing for a while. It is no fault.
	EndpointPause
	// Limits writes a configuration with another idle limit and another timeout of a
	// route.
	Limits
	// EndpointAnnounce makes an endpoint announce its departure in its responses. It is
	// restarted later.
	EndpointAnnounce
	// EndpointQuiet makes an endpoint reject requests and ask for quiet.
	EndpointQuiet
	// Bulk writes a configuration with many more routes than the last, or without them.
	Bulk
	// StoreSilent makes the store give no response to the calls that arrive. Those that it
	// holds are answered.
	StoreSilent
	// KillTakers kills up to three instances, each as it takes the lease for orders, and
	// restarts them.
	KillTakers
	// StoreOlder makes the store go away and come back from a copy that is some seconds
	// old, in a new era.
	StoreOlder
)

// seriesKinds is how many kinds addSeries draws from. Later kinds are drawn from a
// generator of their own, so that a seed that failed keeps its steps.
const seriesKinds = int(Change) + 1

var kindNames = [...]string{
	"stop", "kill", "pause", "reload", "link", "store-slow", "store-away", "store-part", "store-lose", "store-forget",
	"end-crash", "end-cut", "end-late", "end-mute", "end-full", "end-fail", "end-stray", "end-leave", "end-vanish", "weights", "change", "end-pause", "limits", "end-announce", "end-quiet",
	"bulk", "store-silent", "kill-takers", "store-older",
}

// String returns the name of k.
func (k Kind) String() string { return kindNames[k] }

// Step is one fault or change.
type Step struct {
	Kind Kind
	// At is when it begins, relative to the start of the plan.
	At time.Duration
	// Duration is how long it lasts.
	Duration time.Duration
	// Target selects the target: the executor takes it modulo the number of
	// targets of the kind.
	Target int
	// Holder selects the instance that sent the last order instead.
	Holder bool
	// Mode is the mode of the proxy, for Link.
	Mode Mode
	// Draw is a random number for further choices of the executor.
	Draw uint64
	// Apart is set for steps that are drawn beside a return of the store from an older
	// copy. Seeds keep the other steps that they had before there were such returns.
	Apart bool
}

// String returns the step as a line of the plan file.
func (s Step) String() string {
	out := fmt.Sprintf("%v at=%v for=%v target=%d", s.Kind, s.At, s.Duration, s.Target)
	if s.Holder {
		out += " holder"
	}
	if s.Kind == Link {
		out += " mode=" + s.Mode.String()
	}
	return out
}

// Size holds the numbers of instances and endpoints.
type Size struct {
	Instances int
	Endpoints int
}

// Plan holds the steps of a run, sorted by time. It is immutable.
type Plan struct {
	Seed  uint64
	Steps []Step
}

// String returns a line for each step.
func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "plan seed=%d steps=%d\n", p.Seed, len(p.Steps))
	for _, s := range p.Steps {
		fmt.Fprintln(&b, s)
	}
	return b.String()
}

const (
	// firstStep is when steps begin, so that the deployment can serve before the
	// first fault.
	firstStep = 1500 * time.Millisecond
	// quietPeriod is a period without faults that is long enough to check bounds
	// that apply only without faults. The longest, for weights, is 8 s after 3 s
	// without faults.
	quietPeriod = 12 * time.Second
	// minQuietLength is the least length of a plan that has quiet periods.
	minQuietLength = 50 * time.Second
)

// NewPlan generates the plan of a seed. All steps begin within length.
func NewPlan(seed uint64, size Size, length time.Duration) Plan {
	d := generator{
		rand: rand.New(rand.NewPCG(seed, 1)),
		size: size,
	}
	for at := firstStep; at < length; {
		if length >= minQuietLength && d.rand.IntN(6) == 0 {
			// Faults in flight end before the bounds begin to apply.
			at += 5 * time.Second
			d.add(at, Weights)
			d.add(at+d.milliseconds(0, 3000), Change)
			at += quietPeriod
			continue
		}
		d.addSeries(at)
		at += d.milliseconds(200, 2500)
	}
	d.addSignals(seed, length)
	d.addEras(seed, length)
	p := Plan{
		Seed: seed,
	}
	for _, s := range append(d.steps, plannedSteps(seed, size, length)...) {
		if s.At < length {
			p.Steps = append(p.Steps, s)
		}
	}
	sort.SliceStable(p.Steps, func(i, j int) bool { return p.Steps[i].At < p.Steps[j].At })
	return p
}

// plannedSteps returns steps that are no faults: pauses of endpoints and changes of
// limits.
func plannedSteps(seed uint64, size Size, length time.Duration) []Step {
	d := generator{
		rand: rand.New(rand.NewPCG(seed, 3)),
		size: size,
	}
	for at := firstStep; at < length; at += d.milliseconds(500, 4000) {
		if d.rand.IntN(3) == 0 {
			d.add(at, Limits)
			continue
		}
		s := d.add(at, EndpointPause)
		s.Duration = d.milliseconds(1000, 2000)
	}
	return d.steps
}

type generator struct {
	rand  *rand.Rand
	size  Size
	steps []Step
}

// milliseconds returns a random duration of at least from and less than to
// milliseconds.
func (d *generator) milliseconds(from, to int) time.Duration {
	return time.Duration(from+d.rand.IntN(to-from)) * time.Millisecond
}

// addSeries adds a random series of related steps.
func (d *generator) addSeries(at time.Duration) {
	switch d.rand.IntN(9) {
	case 0: // a rolling restart, slow or fast
		gap := d.milliseconds(200, 4000)
		for i := range d.size.Instances {
			s := d.add(at+time.Duration(i)*gap, Stop)
			s.Target = i
		}
	case 1: // many instances are killed at once, just after a configuration change
		d.add(at, Change)
		for i := range d.size.Instances {
			if d.rand.IntN(3) > 0 {
				s := d.add(at+d.milliseconds(0, 300), Kill)
				s.Target = i
			}
		}
	case 2: // consecutive configuration changes
		for range 2 + d.rand.IntN(4) {
			d.add(at, Change)
			at += d.milliseconds(100, 1500)
		}
	case 3: // new weights, the next version before the first is loaded
		for range 1 + d.rand.IntN(2) {
			d.add(at, Weights)
			at += d.milliseconds(300, 5000)
		}
	case 4: // the instance that sends orders fails between two orders
		d.add(at, Weights)
		s := d.add(at+d.milliseconds(50, 1200), []Kind{Stop, Stop, Kill, Pause, Link}[d.rand.IntN(5)])
		s.Holder = true
		d.add(at+d.milliseconds(300, 4000), Weights)
	default:
		for range 1 + d.rand.IntN(4) {
			// There are many links, which can fail in several ways.
			kind := Link
			if d.rand.IntN(4) > 0 {
				kind = Kind(d.rand.IntN(seriesKinds))
			}
			d.add(at, kind)
			at += d.milliseconds(0, 1500)
		}
	}
}

// addSignals adds steps in which endpoints say that they are departing or ask for quiet.
func (d *generator) addSignals(seed uint64, length time.Duration) {
	d.rand = rand.New(rand.NewPCG(seed, 2))
	for at := firstStep; at < length; at += d.milliseconds(1000, 5000) {
		d.add(at, EndpointAnnounce+Kind(d.rand.IntN(2)))
	}
}

// addEras adds steps in which the store comes back from an older copy, each right after
// changes that the copy may lack and with other trouble at its end.
func (d *generator) addEras(seed uint64, length time.Duration) {
	d.rand = rand.New(rand.NewPCG(seed, 4))
	first := len(d.steps)
	for at := firstStep + d.milliseconds(0, 8000); at < length; at += d.milliseconds(9000, 22000) {
		for range 1 + d.rand.IntN(3) {
			d.add(at-d.milliseconds(0, 1500), []Kind{Change, Weights, EndpointDepart, EndpointVanish, EndpointCrash}[d.rand.IntN(5)])
		}
		s := d.add(at, StoreOlder)
		s.Duration = d.milliseconds(50, 2500)
		end := at + s.Duration
		for range 1 + d.rand.IntN(2) {
			kind := []Kind{Kill, Stop, Pause, Link, StoreSlow, StoreUnavailableToOne, StoreLoseResponses, Weights, Change}[d.rand.IntN(9)]
			s := d.add(end-d.milliseconds(0, 300)+d.milliseconds(0, 600), kind)
			s.Holder = kind <= Pause && d.rand.IntN(2) == 0
		}
	}
	for i := range d.steps[first:] {
		d.steps[first+i].Apart = true
	}
}

func (d *generator) add(at time.Duration, kind Kind) *Step {
	d.steps = append(d.steps, Step{
		Kind:     kind,
		At:       at,
		Duration: d.milliseconds(300, 5000),
		Target:   d.rand.IntN(1 << 20),
		Mode:     Delay + Mode(d.rand.IntN(int(modes-Delay))),
		Draw:     d.rand.Uint64(),
	})
	return &d.steps[len(d.steps)-1]
}

// Executor carries out steps.
type Executor interface {
	// Execute carries out a step and returns when it has ended.
	Execute(ctx context.Context, s Step)
}

// Play hands the steps of p to e at their times and waits until all have ended.
func Play(ctx context.Context, p Plan, e Executor) {
	begin := time.Now()
	var running sync.WaitGroup
	defer running.Wait()
	for _, s := range p.Steps {
		if !Sleep(ctx, time.Until(begin.Add(s.At))) {
			return
		}
		running.Go(func() { e.Execute(ctx, s) })
	}
}

// Sleep waits for d or until ctx is done, and reports whether ctx is not done.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
