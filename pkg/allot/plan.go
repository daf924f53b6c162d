package allot

import "time"

const (
	// minLife and maxLife bound the time for which granted credit is valid. A shorter
	// one would expire before it is used, a longer one idle at instances without traffic.
	minLife = 200 * time.Millisecond
	maxLife = 600 * time.Millisecond
	// lifeShare, deficitShare and overdraftShare divide what the platform tolerates:
	// credit that is spent late, the grantor's deficit, and the overdrafts of all
	// instances. Their sum stays below 1.
	lifeShare      = 0.4
	deficitShare   = 0.125
	overdraftShare = 0.45
	// minCapTime is the time of accrual that a bucket holds at least.
	minCapTime = 0.25
)

// Bounds is what the platform tolerates beyond an allotment: in each span of length Window
// a team may use (rate x Window + burst) x (1 + Overage) + Slack. The zero value
// tolerates nothing and sets no window.
type Bounds struct {
	// Window is the length of the spans in which use is measured.
	Window time.Duration
	// Overage is a share of the allotment, and Slack an amount in units.
	Overage float64
	Slack   float64
}

// Plan is how an allotment is divided. Amounts are in units.
type Plan struct {
	// Rate is what accrues a second over all instances, and Cap the most that is saved up.
	Rate float64
	Cap  float64
	// Deficit is how far the grantor's bucket may fall below zero, so that large
	// requests are granted as often as small ones.
	Deficit float64
	// Overdraft is what one instance may admit before it has credit.
	Overdraft float64
	// Life is how long granted credit is valid.
	Life time.Duration
}

// Plan divides l among the given number of instances, so that what they admit in any
// window stays within b.
func (b Bounds) Plan(l Limit, instances int) Plan {
	n := float64(max(instances, 1))
	window := b.Window.Seconds()
	allotted := l.Rate*window + l.Burst
	room := b.Overage*allotted + b.Slack
	p := Plan{
		Rate:      l.Rate,
		Cap:       max(l.Burst, minCapTime*l.Rate),
		Deficit:   deficitShare * room,
		Overdraft: overdraftShare * room / n,
		Life:      min(max(seconds(lifeShare*room/l.Rate), minLife), maxLife),
	}
	if window > 0 {
		left := allotted + room - p.Cap - p.Deficit - n*p.Overdraft
		p.Rate = min(p.Rate, max(left, 0)/(window+p.Life.Seconds()))
	}
	return p
}

// seconds returns s seconds as a duration of at most an hour.
func seconds(s float64) time.Duration {
	if !(s > 0) {
		return 0
	}
	return time.Duration(min(s, 3600) * float64(time.Second))
}
