package soak

import (
	"math/rand/v2"
	"sort"
	"time"
)

const (
	// settleTime is how long after an outage the bounds apply again.
	settleTime = 3 * time.Second
	// changeBound is longer than any change may take to become effective after that.
	changeBound = 3 * time.Second
	// takeoverTime is longer than an episode in which holders of the lease are killed
	// needs until the engines have new weights.
	takeoverTime = 18 * time.Second
	// rewriteTime is how long after the return of the store from a copy it counts as
	// disrupted, since what it lost is written again.
	rewriteTime = 3600 * time.Millisecond
	// maxForms is how many forms an outage has at most.
	maxForms = 3
)

// NewEraPlan generates a plan of returns of the store from an older copy, with changes that
// the copy may lack, in half of them the end of the holder of the lease or of another
// instance at the return, and changes and departures once the bounds apply again.
func NewEraPlan(seed uint64, size Size, length time.Duration) Plan {
	d := outageGenerator{
		generator: generator{
			rand: rand.New(rand.NewPCG(seed, 8)),
			size: size,
		},
	}
	for at := firstStep; at < length; {
		at = d.addReturn(at)
	}
	return d.plan(seed, length)
}

// NewOutagePlan generates a plan of outages of the store that change their form, with
// changes and departures drawn relative to their end, and of kills at moments of the
// protocol: all instances as weights are set, and holders as they take the lease. Between
// episodes the bounds apply without an excuse.
func NewOutagePlan(seed uint64, size Size, length time.Duration) Plan {
	d := outageGenerator{
		generator: generator{
			rand: rand.New(rand.NewPCG(seed, 7)),
			size: size,
		},
	}
	for at := firstStep; at < length; {
		if d.rand.IntN(4) == 0 {
			at = d.addTakeovers(at)
		} else {
			at = d.addOutage(at)
		}
	}
	return d.plan(seed, length)
}

// plan returns the steps that begin within length.
func (d *outageGenerator) plan(seed uint64, length time.Duration) Plan {
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

// outageGenerator generates the episodes of an outage plan.
type outageGenerator struct {
	generator
}

// addOutage adds an outage that begins at the given time and what follows it, and returns
// when the next episode may begin.
func (d *outageGenerator) addOutage(at time.Duration) time.Duration {
	if d.rand.IntN(2) == 0 {
		// The change ends the reads of all instances at the same moment, and the next ones
		// are sent while the outage begins.
		d.add(at-d.milliseconds(0, 60), Change)
	}
	for range 1 + d.rand.IntN(maxForms) {
		s := d.add(at, []Kind{StoreSilent, StoreSilent, StoreUnavailable, StoreSlow}[d.rand.IntN(4)])
		s.Duration = d.milliseconds(200, 3000)
		at += s.Duration
	}
	return d.addChanges(at)
}

// addChanges adds changes and departures once the bounds apply again after an outage that
// ends at the given time, and returns when the next episode may begin.
func (d *outageGenerator) addChanges(at time.Duration) time.Duration {
	at += settleTime + d.milliseconds(50, 900)
	for range 1 + d.rand.IntN(3) {
		d.add(at, []Kind{Change, Change, EndpointVanish, EndpointDepart, Weights}[d.rand.IntN(5)])
	}
	return at + changeBound + d.milliseconds(0, 2000)
}

// addReturn adds a return of the store from an older copy and what follows it, and returns
// when the next episode may begin.
func (d *outageGenerator) addReturn(at time.Duration) time.Duration {
	for range 1 + d.rand.IntN(3) {
		d.add(at, []Kind{Change, Weights, EndpointVanish, EndpointDepart}[d.rand.IntN(4)])
		at += d.milliseconds(0, 1500)
	}
	s := d.add(at, StoreOlder)
	s.Duration = d.milliseconds(50, 2500)
	at += s.Duration
	if d.rand.IntN(2) == 0 {
		s := d.add(at+d.milliseconds(-300, 300), []Kind{Kill, Stop}[d.rand.IntN(2)])
		s.Holder = d.rand.IntN(3) > 0
	}
	return d.addChanges(at + rewriteTime)
}

// addTakeovers sets weights, kills all instances at that moment and some holders as they
// take the lease, and returns when the next episode may begin.
func (d *outageGenerator) addTakeovers(at time.Duration) time.Duration {
	d.add(at, Weights)
	for i := range d.size.Instances {
		s := d.add(at+d.milliseconds(0, 100), Kill)
		s.Target = i
	}
	s := d.add(at, KillTakers)
	s.Duration = takeoverTime
	return at + takeoverTime
}
