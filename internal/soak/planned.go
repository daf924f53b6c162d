package soak

import (
	"math/rand/v2"
	"sort"
	"time"
)

// NewPlannedPlan generates a plan of planned work alone: stops, reloads and
// configurations in dense series that overlap, beside pauses of sound endpoints. Since
// no step is a fault, none excuses a request that is lost.
func NewPlannedPlan(seed uint64, size Size, length time.Duration) Plan {
	d := plannedGenerator{
		generator: generator{
			rand: rand.New(rand.NewPCG(seed, 5)),
			size: size,
		},
	}
	// The first series has all kinds of steps, so that short plans have them, too.
	d.addStopBesideAll(firstStep)
	for at := firstStep; at < length; {
		// Instances that start again serve for a while between most stops.
		at += d.milliseconds(3000, 12000)
		if d.rand.IntN(2) == 0 {
			d.addRollingStop(at)
		} else {
			d.addStopBesideAll(at)
		}
	}
	for at := firstStep; at < length; at += d.milliseconds(500, 2500) {
		d.addSeries(at)
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

// plannedGenerator generates series of planned work.
type plannedGenerator struct {
	generator
}

// addSeries adds a random series without stops.
func (d *plannedGenerator) addSeries(at time.Duration) {
	switch d.rand.IntN(3) {
	case 0:
		d.addReloads(at)
	case 1:
		d.addConfigs(at)
	default:
		d.addPauses(at)
	}
}

// addRollingStop stops all instances in turn.
func (d *plannedGenerator) addRollingStop(at time.Duration) {
	gap := d.milliseconds(100, 4000)
	first := d.rand.IntN(d.size.Instances)
	for i := range d.size.Instances {
		s := d.add(at+time.Duration(i)*gap, Stop)
		s.Target = first + i
	}
}

// addReloads makes all instances reload their settings within a short time, some times
// in a row.
func (d *plannedGenerator) addReloads(at time.Duration) {
	for range 1 + d.rand.IntN(3) {
		for i := range d.size.Instances {
			s := d.add(at+d.milliseconds(0, 400), Reload)
			s.Target = i
		}
		at += d.milliseconds(100, 1000)
	}
}

// addConfigs writes configurations faster than they become effective.
func (d *plannedGenerator) addConfigs(at time.Duration) {
	for range 5 + d.rand.IntN(11) {
		d.add(at, []Kind{Change, Change, Limits, Bulk}[d.rand.IntN(4)])
		at += d.milliseconds(30, 300)
	}
}

// addPauses makes some endpoints pause at about the same time.
func (d *plannedGenerator) addPauses(at time.Duration) {
	for range 1 + d.rand.IntN(max(1, d.size.Endpoints/3)) {
		s := d.add(at+d.milliseconds(0, 1000), EndpointPause)
		s.Duration = d.milliseconds(1000, 2000)
	}
}

// addStopBesideAll stops an instance just after a large configuration and a reload,
// which keep its control thread busy, and goes on with both until after the end of the
// grace period. Endpoints pause meanwhile.
func (d *plannedGenerator) addStopBesideAll(at time.Duration) {
	d.add(at, Bulk)
	stop := d.add(at+d.milliseconds(0, 60), Stop)
	target := stop.Target
	for range 2 + d.rand.IntN(4) {
		// Half of the reloads come just before or after SIGTERM.
		after := d.milliseconds(0, 100)
		if d.rand.IntN(2) == 0 {
			after = d.milliseconds(0, 9000)
		}
		s := d.add(at+after, Reload)
		s.Target = target
	}
	d.add(at+d.milliseconds(0, 200), Change)
	d.add(at+d.milliseconds(200, 8000), Limits)
	d.addPauses(at)
	// The pauses overlap the end of the grace period, too.
	d.addPauses(at + d.milliseconds(3000, 8000))
}
