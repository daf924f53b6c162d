package allot

import "time"

const (
	// life is how long granted credit is valid. Requests wait for most of it, so that it is
	// used at once.
	life = 200 * time.Millisecond
	// The shares of the overage and of the slack that are kept for the overdrafts of all
	// instances and for the grantor's deficit. The slack does not grow with the rate, and
	// lets small teams have a request at an instance that is out of touch.
	overdraftOverage = 0.05
	overdraftSlack   = 0.6
	deficitOverage   = 0.05
	deficitSlack     = 0.1
	// steadyCapTime is the time of accrual that the bucket of the steady rate holds.
	steadyCapTime = 0.1
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
	// Rate is what accrues a second over all instances, and Cap the most that is saved up:
	// the burst and what the platform tolerates beyond it.
	Rate float64
	Cap  float64
	// Steady is the rate of use at which each window holds as much as the platform
	// tolerates, and SteadyCap what the bucket of that rate holds. A request needs credit
	// in one of the two buckets and is taken from both.
	Steady    float64
	SteadyCap float64
	// Most is what may be granted in a window and the life of a grant.
	Most float64
	// Window is how long a grantor that knows nothing of the use before it has to leave
	// the steady rate and the rest of the window alone.
	Window time.Duration
	// Deficit is how far the grantor's buckets may fall below zero, so that large
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
	window := b.Window.Seconds()
	overage := b.Overage * (l.Rate*window + l.Burst)
	overdrafts := overdraftOverage*overage + overdraftSlack*b.Slack
	p := Plan{
		Rate:      l.Rate,
		Cap:       l.Burst,
		Window:    b.Window,
		Deficit:   deficitOverage*overage + deficitSlack*b.Slack,
		Overdraft: overdrafts / float64(max(instances, 1)),
		Life:      life,
	}
	if window <= 0 {
		return p
	}
	// What is granted in a window may be used until the end of its life.
	span := window + p.Life.Seconds()
	most := l.Rate*window + l.Burst + overage + b.Slack - overdrafts - p.Deficit
	p.Most = max(most, 0)
	p.Cap = max(l.Burst, most-l.Rate*span)
	p.Rate = min(l.Rate, max(most-p.Cap, 0)/span)
	p.SteadyCap = min(p.Cap, steadyCapTime*l.Rate)
	p.Steady = max(most-p.SteadyCap, 0) / span
	return p
}

// seconds returns s seconds as a duration of at most an hour.
func seconds(s float64) time.Duration {
	if !(s > 0) {
		return 0
	}
	return time.Duration(min(s, 3600) * float64(time.Second))
}
