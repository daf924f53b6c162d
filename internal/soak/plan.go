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
	// Stop ends an instance by SIGTERM and starts it again.
	Stop Kind = iota
	// Kill ends an instance by SIGKILL and starts it again.
	Kill
	// Pause suspends an instance.
	Pause
	// Reload gives an instance changed settings.
	Reload
	// Link harms a link as Mode says.
	Link
	// StoreSlow has the store answer late.
	StoreSlow
	// StoreAway has the store refuse all instances.
	StoreAway
	// StorePart has the store refuse one instance.
	StorePart
	// StoreLose has the store drop answers of writes that it has done.
	StoreLose
	// StoreForget has the store drop its history.
	StoreForget
	// EndCrash kills an endpoint, which starts again.
	EndCrash
	// EndCut has an endpoint break off in the middle of answers.
	EndCut
	// EndLate has an endpoint answer late.
	EndLate
	// EndMute has an endpoint answer nothing.
	EndMute
	// EndFull has an endpoint reject.
	EndFull
	// EndFail has an endpoint answer with its own failure.
	EndFail
	// EndStray has an endpoint send an answer that nobody waits for.
	EndStray
	// EndLeave has an endpoint announce its leaving, leave, and be replaced.
	EndLeave
	// EndVanish is EndLeave without an announcement.
	EndVanish
	// Weights names new weights.
	Weights
	// Change writes a new configuration.
	Change
	kinds
)

var kindNames = [...]string{
	"stop", "kill", "pause", "reload", "link", "store-slow", "store-away", "store-part", "store-lose", "store-forget",
	"end-crash", "end-cut", "end-late", "end-mute", "end-full", "end-fail", "end-stray", "end-leave", "end-vanish", "weights", "change",
}

// String returns the name of k.
func (k Kind) String() string { return kindNames[k] }

// Step is one fault or change.
type Step struct {
	Kind Kind
	// At is when it begins, after the plan's begin, and For how long it lasts.
	At  time.Duration
	For time.Duration
	// Target is a number that the world takes modulo what it has of the kind.
	Target int
	// Holder aims at the instance that gave the last order instead.
	Holder bool
	// Mode is what a link does.
	Mode Mode
	// Draw decides what else a step leaves open.
	Draw uint64
}

// String returns a line of a log.
func (s Step) String() string {
	out := fmt.Sprintf("%v at=%v for=%v target=%d", s.Kind, s.At, s.For, s.Target)
	if s.Holder {
		out += " holder"
	}
	if s.Kind == Link {
		out += " mode=" + s.Mode.String()
	}
	return out
}

// Size is how many instances and endpoints there are.
type Size struct {
	Nodes int
	Ends  int
}

// Plan is the steps of a run by their time. It is never written after Draw.
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
	// firstStep leaves the fleet time to serve before the first fault.
	firstStep = 1500 * time.Millisecond
	// lull is long enough for bounds that count calm time alone: the longest,
	// for weights, is 8 s after 3 s without faults.
	lull = 12 * time.Second
	// longRun is the length from which on a plan has lulls.
	longRun = 50 * time.Second
)

// Draw returns the plan of a seed. All steps begin within length.
func Draw(seed uint64, size Size, length time.Duration) Plan {
	d := drawer{
		rand: rand.New(rand.NewPCG(seed, 1)),
		size: size,
	}
	for at := firstStep; at < length; {
		if length >= longRun && d.rand.IntN(6) == 0 {
			// Faults under way end before the bounds begin to count.
			at += 5 * time.Second
			d.add(at, Weights)
			d.add(at+d.span(0, 3000), Change)
			at += lull
			continue
		}
		d.series(at)
		at += d.span(200, 2500)
	}
	p := Plan{
		Seed: seed,
	}
	for _, s := range d.steps {
		if s.At < length {
			p.Steps = append(p.Steps, s)
		}
	}
	sort.SliceStable(p.Steps, func(i, j int) bool { return p.Steps[i].At < p.Steps[j].At })
	return p
}

type drawer struct {
	rand  *rand.Rand
	size  Size
	steps []Step
}

// span returns a time between two numbers of milliseconds.
func (d *drawer) span(from, to int) time.Duration {
	return time.Duration(from+d.rand.IntN(to-from)) * time.Millisecond
}

// series adds steps that belong together.
func (d *drawer) series(at time.Duration) {
	switch d.rand.IntN(9) {
	case 0: // a rolling restart, slow or in haste
		gap := d.span(200, 4000)
		for i := range d.size.Nodes {
			s := d.add(at+time.Duration(i)*gap, Stop)
			s.Target = i
		}
	case 1: // many are lost at once, just after a change
		d.add(at, Change)
		for i := range d.size.Nodes {
			if d.rand.IntN(3) > 0 {
				s := d.add(at+d.span(0, 300), Kill)
				s.Target = i
			}
		}
	case 2: // changes in a row
		for range 2 + d.rand.IntN(4) {
			d.add(at, Change)
			at += d.span(100, 1500)
		}
	case 3: // new weights, the next named before they are in place
		for range 1 + d.rand.IntN(2) {
			d.add(at, Weights)
			at += d.span(300, 5000)
		}
	case 4: // the holder of orders is lost between orders
		d.add(at, Weights)
		s := d.add(at+d.span(50, 1200), []Kind{Stop, Stop, Kill, Pause, Link}[d.rand.IntN(5)])
		s.Holder = true
		d.add(at+d.span(300, 4000), Weights)
	default:
		for range 1 + d.rand.IntN(4) {
			// Links are many and harmed in several ways.
			kind := Link
			if d.rand.IntN(4) > 0 {
				kind = Kind(d.rand.IntN(int(kinds)))
			}
			d.add(at, kind)
			at += d.span(0, 1500)
		}
	}
}

func (d *drawer) add(at time.Duration, kind Kind) *Step {
	d.steps = append(d.steps, Step{
		Kind:   kind,
		At:     at,
		For:    d.span(300, 5000),
		Target: d.rand.IntN(1 << 20),
		Mode:   Delay + Mode(d.rand.IntN(int(modes-Delay))),
		Draw:   d.rand.Uint64(),
	})
	return &d.steps[len(d.steps)-1]
}

// World owns the processes. Do does a step and returns when it is over.
type World interface {
	Do(ctx context.Context, s Step)
}

// Play has w do the steps of p at their times and waits until all are over.
func Play(ctx context.Context, p Plan, w World) {
	begin := time.Now()
	var running sync.WaitGroup
	defer running.Wait()
	for _, s := range p.Steps {
		if !Sleep(ctx, time.Until(begin.Add(s.At))) {
			return
		}
		running.Go(func() { w.Do(ctx, s) })
	}
}

// Sleep waits and tells whether ctx is still open.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}
