package allot

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	fleetStep   = 5 * time.Millisecond
	askTimeout  = 450 * time.Millisecond
	learnsAfter = 700 * time.Millisecond
)

// instance is one instance of a fleet in virtual time.
type instance struct {
	name    string
	wallet  *Wallet
	grantor Grantor
	boots   int
	// holder is the instance that this one takes for the grantor, and asked when the ask
	// in flight was sent; zero if there is none.
	holder   int
	asked    time.Time
	cutUntil time.Time
	// deafUntil is until when answers to this instance are lost.
	deafUntil   time.Time
	frozenUntil time.Time
	// waiting is a request that waits for an answer; 0 if there is none. listed is
	// whether the ask in flight includes it.
	waiting float64
	listed  bool
}

// message is an ask or an answer on its way.
type message struct {
	at     time.Time
	from   int
	to     int
	boot   int
	ask    *Ask
	answer Answer
}

// fleet is a fleet of instances with one team.
type fleet struct {
	t *rapid.T
	// slow is whether one message in 20 is slow.
	slow bool
	// chance decides on losses and delays of messages.
	chance    *rand.Rand
	now       time.Time
	bounds    Bounds
	limit     Limit
	instances []*instance
	messages  []message
	// holder is the grantor, and told when all instances know it.
	holder int
	told   time.Time
	// admitted maps each step to the units that were admitted in it.
	admitted []float64
}

func newFleet(t *rapid.T, n int, l Limit, b Bounds) *fleet {
	f := &fleet{
		t:      t,
		chance: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		now:    time.Unix(1000, 0),
		bounds: b,
		limit:  l,
	}
	for i := range n {
		in := &instance{
			name: fmt.Sprint("n", i),
		}
		f.instances = append(f.instances, in)
		f.boot(in)
	}
	return f
}

// boot starts an incarnation of an instance.
func (f *fleet) boot(in *instance) {
	in.boots++
	in.wallet = NewWallet(in.name, f.bounds, f.now)
	in.wallet.SetInstances(len(f.instances))
	in.grantor = NewGrantor(fmt.Sprint(in.name, in.boots), f.bounds)
	in.asked, in.waiting = time.Time{}, 0
}

// ticks advances the fleet by d, with the given requests arriving at instances.
func (f *fleet) run(d time.Duration, arrivals func(i int) (cost float64, ok bool)) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		f.admitted = append(f.admitted, 0)
		f.deliver()
		for i, in := range f.instances {
			in.wallet.SetInstances(len(f.instances))
			if f.now.Before(in.frozenUntil) {
				continue
			}
			if !f.now.Before(f.told) {
				in.holder = f.holder
			}
			for cost, ok := arrivals(i); ok; cost, ok = arrivals(i) {
				f.request(in, cost)
			}
			f.ask(i, in)
		}
	}
}

func (f *fleet) request(in *instance, cost float64) {
	if _, ok := in.wallet.Take("a", f.limit, cost, f.now); ok {
		f.admitted[len(f.admitted)-1] += cost
		return
	}
	if in.waiting == 0 && in.wallet.Need("a", cost, f.now) {
		in.waiting = cost
		return
	}
	in.wallet.Refuse("a", cost, 0.5, f.now)
}

// ask sends an ask that is due.
func (f *fleet) ask(i int, in *instance) {
	if !in.asked.IsZero() && f.now.Sub(in.asked) >= askTimeout {
		if in.listed {
			in.waiting = 0
		}
		in.asked = time.Time{}
		in.wallet.Failed()
	}
	if !in.asked.IsZero() || f.now.Before(in.wallet.NextAsk()) {
		return
	}
	name, stay := in.wallet.Target(f.instances[in.holder].name, f.now)
	a := in.wallet.Ask(name, stay, f.now)
	to := slices.IndexFunc(f.instances, func(in *instance) bool { return in.name == name })
	in.asked, in.listed = f.now, in.waiting > 0
	f.send(message{
		from: i,
		to:   to,
		boot: in.boots,
		ask:  &a,
	})
}

// send puts a message on its way, unless the link is cut.
func (f *fleet) send(m message) {
	if m.from == m.to {
		m.at = f.now
	} else {
		if m.ask == nil && f.now.Before(f.instances[m.to].deafUntil) {
			return
		}
		if f.now.Before(f.instances[m.from].cutUntil) || f.now.Before(f.instances[m.to].cutUntil) ||
			f.chance.IntN(100) == 0 {
			return
		}
		slowest := 30
		if f.slow && f.chance.IntN(20) == 0 {
			slowest = 300
		}
		m.at = f.now.Add(time.Duration(1+f.chance.IntN(slowest)) * time.Millisecond)
	}
	f.messages = append(f.messages, m)
}

func (f *fleet) deliver() {
	due := f.messages
	f.messages = nil
	for _, m := range due {
		to := f.instances[m.to]
		if f.now.Before(m.at) || f.now.Before(to.frozenUntil) {
			f.messages = append(f.messages, m)
			continue
		}
		if m.ask != nil {
			var answer Answer
			to.grantor, answer = to.grantor.WithAsk(*m.ask, len(f.instances), func(string) Limit { return f.limit }, f.now)
			f.send(message{
				from:   m.to,
				to:     m.from,
				boot:   m.boot,
				answer: answer,
			})
			continue
		}
		if to.boots != m.boot || to.asked.IsZero() || f.now.Sub(to.asked) >= askTimeout {
			continue
		}
		to.asked = time.Time{}
		to.wallet.Answered(f.instances[m.from].name, m.answer, f.now)
		if cost := to.waiting; cost > 0 && to.listed {
			to.waiting = 0
			if _, ok := to.wallet.Take("a", f.limit, cost, f.now); ok {
				f.admitted[len(f.admitted)-1] += cost
			} else {
				to.wallet.Refuse("a", cost, 0.5, f.now)
			}
		}
	}
}

// disturb brings about one trouble.
func (f *fleet) disturb() {
	victim := f.instances[rapid.IntRange(0, len(f.instances)-1).Draw(f.t, "victim")]
	span := time.Duration(rapid.IntRange(100, 12000).Draw(f.t, "span")) * time.Millisecond
	switch rapid.SampledFrom([]string{"cut", "deaf", "third", "freeze", "restart", "holder"}).Draw(f.t, "trouble") {
	case "cut":
		victim.cutUntil = f.now.Add(span)
	case "deaf":
		victim.deafUntil = f.now.Add(span)
	case "third":
		for i := range len(f.instances) / 3 {
			f.instances[i].cutUntil = f.now.Add(span)
		}
	case "freeze":
		victim.frozenUntil = f.now.Add(span)
	case "restart":
		f.boot(victim)
	case "holder":
		f.holder = rapid.IntRange(0, len(f.instances)-1).Draw(f.t, "holder")
		f.told = f.now.Add(time.Duration(rapid.Int64Range(0, int64(learnsAfter)).Draw(f.t, "told")))
	}
}

// worstWindow returns the most units that were admitted in a window from the given step on.
func (f *fleet) worstWindow(from int) float64 {
	steps := int(f.bounds.Window / fleetStep)
	worst, sum := 0.0, 0.0
	for i := from; i < len(f.admitted); i++ {
		sum += f.admitted[i]
		if i-from >= steps {
			sum -= f.admitted[i-steps]
		}
		worst = max(worst, sum)
	}
	return worst
}

func (f *fleet) bound(l Limit) float64 {
	return (l.Rate*f.bounds.Window.Seconds()+l.Burst)*(1+f.bounds.Overage) + f.bounds.Slack
}

// demand returns arrivals of rate units a second by chance, in requests of two sizes, at
// the first of the instances.
func (f *fleet) demand(rate float64, instances int) func(int) (float64, bool) {
	const small, large = 862, 9197
	perStep := rate * fleetStep.Seconds() / float64(instances) / (0.75*small + 0.25*large)
	return func(i int) (float64, bool) {
		// The number of arrivals in one step has a geometric distribution.
		if i >= instances || f.chance.Float64() >= perStep/(1+perStep) {
			return 0, false
		}
		if f.chance.IntN(4) == 0 {
			return large, true
		}
		return small, true
	}
}

var testBounds = []Bounds{
	{
		Window:  8 * time.Second,
		Overage: 0.1,
		Slack:   72000,
	},
	{
		Window: 8 * time.Second,
	},
}

// Whatever fails, no window may hold more than the platform tolerates.
func TestNoWindowExceedsTheAllotment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{
			Rate: float64(rapid.SampledFrom([]int{18000, 300000, 1600000}).Draw(t, "rate")),
			Unit: Tokens,
		}
		l.Burst = l.Rate
		f := newFleet(t, rapid.IntRange(2, 24).Draw(t, "instances"), l, rapid.SampledFrom(testBounds).Draw(t, "bounds"))
		f.slow = rapid.Bool().Draw(t, "slow")
		share := rapid.IntRange(1, len(f.instances)).Draw(t, "callers")
		f.run(5*time.Second, f.demand(0, share))
		for range rapid.IntRange(1, 6).Draw(t, "troubles") {
			load := rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "load")
			f.run(time.Duration(rapid.IntRange(10, 3000).Draw(t, "calm"))*time.Millisecond, f.demand(load*l.Rate, share))
			f.disturb()
		}
		f.run(4*time.Second, f.demand(3*l.Rate, share))
		require.LessOrEqual(t, f.worstWindow(0), f.bound(l))
	})
}

// A third of the instances that is cut off and the others must not use the same credit,
// also where the platform tolerates nothing.
func TestCutOffInstancesUseTheirOwnPart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{
			Rate:  1e6,
			Burst: 1e6,
		}
		f := newFleet(t, 12, l, testBounds[1])
		f.slow = rapid.Bool().Draw(t, "slow")
		f.run(5*time.Second, f.demand(0, 12))
		oneWay := rapid.Bool().Draw(t, "oneWay")
		for _, in := range f.instances[:4] {
			if oneWay {
				in.deafUntil = f.now.Add(12 * time.Second)
			} else {
				in.cutUntil = f.now.Add(12 * time.Second)
			}
		}
		f.run(15*time.Second, f.demand(3*l.Rate, 12))
		require.LessOrEqual(t, f.worstWindow(0), f.bound(l))
		require.GreaterOrEqual(t, f.worstWindow(0), 0.85*f.bound(l))
	})
}

// A limit that falls far below the demand binds at once, and is granted at once.
func TestLoweredLimitBindsAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{
			Rate:  1e6,
			Burst: 1e6,
		}
		f := newFleet(t, rapid.IntRange(1, 12).Draw(t, "instances"), l, testBounds[0])
		arrivals := f.demand(2e6, len(f.instances))
		f.run(6*time.Second, arrivals)
		f.limit.Rate, f.limit.Burst = 5e4, 5e4
		from := len(f.admitted)
		f.run(9*time.Second, arrivals)
		require.LessOrEqual(t, f.worstWindow(from), f.bound(f.limit))
		got := 0.0
		for _, a := range f.admitted[from:] {
			got += a
		}
		require.GreaterOrEqual(t, got, 0.9*f.limit.Rate*9)
	})
}

// A team that asks for twice its allotment gets it, wherever its callers are.
func TestDemandGetsItsAllotment(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limit{
			Rate: float64(rapid.SampledFrom([]int{18000, 300000, 1600000}).Draw(t, "rate")),
		}
		l.Burst = l.Rate
		n := rapid.IntRange(1, 40).Draw(t, "instances")
		f := newFleet(t, n, l, testBounds[0])
		share := rapid.SampledFrom([]int{n, (n + 9) / 10}).Draw(t, "callers")
		f.run(10*time.Second, f.demand(0, share))
		from := len(f.admitted)
		const span = 15
		f.run(span*time.Second, f.demand(2*l.Rate, share))
		got := 0.0
		for _, a := range f.admitted[from:] {
			got += a
		}
		require.GreaterOrEqual(t, got, 0.9*l.Rate*span)
	})
}
