package admit

import "time"

// Class orders work of one rank.
type Class uint8

const (
	// Timely is work that can still be answered within its target.
	Timely Class = iota
	// Overdue is work whose target has passed or will have when its turn comes. An
	// answer is still worth something, but must not delay timely work.
	Overdue
)

// String returns the name of the class in logs.
func (c Class) String() string { return [...]string{"timely", "overdue"}[c%2] }

const (
	// waitShare is the share of its target that timely work may wait before the
	// engines, and lastShare the share of the time that its caller has left that
	// overdue work may.
	waitShare = 0.7
	lastShare = 0.5
	// returnShare is the share of the time that it has left up to which a refused
	// caller waits before it comes back.
	returnShare = 1.0 / 3
	// minReturn is the shortest time after which a refused caller is asked to return.
	minReturn = 500 * time.Millisecond
	// OverdueShare is the share of the room up to which overdue work is admitted, so
	// that timely work which comes next finds some.
	OverdueShare = 0.5
	// defaultWait is how long work without a target may wait.
	defaultWait = 2 * time.Second
)

// Ask is what is known of a request that arrives.
type Ask struct {
	// Target is the time to the first byte that its route targets; 0 if it has none.
	Target time.Duration
	// Timeout is the time that its route gives callers; 0 if it has none.
	Timeout time.Duration
	// Left is how long its caller still waits; 0 if that has no bound.
	Left time.Duration
	// Typical is how long the engines take to the first byte; 0 if that is not known.
	Typical time.Duration
}

// Waited returns for how long the caller has waited before this attempt. A caller that
// was refused and comes back has less time left than its route gives it.
func (a Ask) Waited() time.Duration {
	if a.Timeout <= 0 || a.Left <= 0 {
		return 0
	}
	return max(a.Timeout-a.Left, 0)
}

// Returned reports whether the caller was probably refused before. One that is less
// patient than others looks the same, so that nobody is worse off for it.
func (a Ask) Returned() bool { return a.Waited() >= minReturn }

// Limit returns the class of a request that is expected to wait and how long it may. One
// that can't be answered in time is refused at once: its caller comes back when there is
// room. If it has come back it is served late rather than refused again, since it does
// not come a third time.
func (a Ask) Limit(expected time.Duration) (Class, time.Duration) {
	limit := a.timely()
	if expected <= limit || !a.Returned() {
		return Timely, limit
	}
	return Overdue, max(limit, time.Duration(lastShare*float64(a.Left)))
}

// timely returns how long the request may wait for an answer within its target.
func (a Ask) timely() time.Duration {
	if a.Target <= 0 {
		return a.bounded(defaultWait)
	}
	return a.bounded(min(time.Duration(waitShare*float64(a.Target)), a.Target-min(a.Typical, a.Target/2)))
}

// bounded returns wait or what the caller has left, if that is less.
func (a Ask) bounded(wait time.Duration) time.Duration {
	if a.Left > 0 {
		return min(wait, a.Left)
	}
	return wait
}
