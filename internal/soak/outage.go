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
	// maxForms is how many forms an outage has at most.
	maxForms = 3
)

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
	at += settleTime + d.milliseconds(50, 900)
	for range 1 + d.rand.IntN(3) {
		d.add(at, []Kind{Change, Change, EndpointVanish, EndpointDepart, Weights}[d.rand.IntN(5)])
	}
	return at + changeBound + d.milliseconds(0, 2000)
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
