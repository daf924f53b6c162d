package allot

import "time"

const (
	// slots is the number of intervals into which a window of use is divided.
	slots = 64
	// spreadTime is the time over which what is left of a window is given out, so that a
	// team that asks for more does not use it all at once.
	spreadTime = 2 * time.Second
	// lineLife is how long a line of credit is valid, and lineSpan for how long the grantor
	// reckons with it at least: until what was drawn was reported, or the instance is out of
	// touch and counts as having drawn all of it.
	lineLife = 1200 * time.Millisecond
	lineSpan = 2 * time.Second
	// lineReserve is the share of a window that lines leave alone, and lineShare the share of
	// the rest that they take.
	lineReserve = 0.25
	lineShare   = 0.5
	// farFall is the share of its former rate below which a limit counts as having fallen
	// far: what was used under it before does not delay its own.
	farFall = 0.5
)

// pool is the grantor's bucket of one team. A request needs credit in one of three parts,
// each of which alone keeps every window within what the plan allows: it accrues at the
// team's rate, at the steady rate, or is left of the last window. It is taken from the
// first two, and from the third where they have none. The zero value is empty. It is
// immutable.
type pool struct {
	// level is the credit at the team's rate, and steady that at the steady rate.
	level  float64
	steady float64
	// left is what may be given out of the rest of the window.
	left float64
	// rate is the team's rate as of at, when the pool last accrued, and accrued the
	// reading of Grantor.accrual then.
	rate    float64
	at      time.Time
	accrued float64
	// used holds what was granted, and what may have accrued at instances out of touch, by
	// interval; slot is the number of the last interval, and sum the sum of all. Invariant:
	// the interval n is at n modulo the length.
	used [slots + 1]float64
	slot int64
	sum  float64
	// lines holds the longest line of one instance in the current and in the last period of
	// lineSpan, by the parity of its number, which is period. lost is the number of
	// instances out of touch whose lines are in sum.
	lines  [2]float64
	period int64
	lost   int
	// short is when a need was last not granted.
	short time.Time
	// due is when the request that was refused last is told to come back.
	due time.Time
}

// accrue returns the pool with what accrued until now in a session that began at began.
// Accrual is the grantor's reading, and share the part of the instances that is in touch.
func (b pool) accrue(p Plan, began, now time.Time, accrual, share float64) pool {
	if b.rate > 0 && p.Rate < farFall*b.rate {
		b.level = max(b.level, -p.Deficit)
		b.steady = max(b.steady, -p.Deficit)
		b.lines = [2]float64{}
	}
	// What may have accrued elsewhere before the last window does not matter.
	since := now.Add(-p.Window - p.Life)
	for _, t := range [...]time.Time{began, b.at} {
		if t.After(since) {
			since = t
		}
	}
	b = b.advance(p, now.Sub(began))
	passed := accrual - b.accrued
	b.record(p.Rate * max(now.Sub(since).Seconds()-passed, 0))
	b.rate, b.at, b.accrued = p.Rate, now, accrual
	// No window holds more than most, so that neither part falls lower by itself.
	most := p.Deficit + p.Most
	b.level = max(min(b.level+p.Rate*passed, p.Cap*share), -most)
	b.steady = max(min(b.steady+p.Steady*passed, p.SteadyCap*share), -most)
	b.left = max(min(b.left+max(p.Most-b.sum, 0)*passed/spreadTime.Seconds(), p.SteadyCap*share), -p.Deficit)
	return b
}

// advance returns the pool with the intervals up to the given time since the session began.
func (b pool) advance(p Plan, since time.Duration) pool {
	length := (p.Window + p.Life) / slots
	if length <= 0 {
		return b
	}
	slot := int64(since / length)
	for n := max(b.slot+1, slot-slots); n <= slot; n++ {
		at := &b.used[n%(slots+1)]
		b.sum = max(b.sum-*at, 0)
		*at = 0
	}
	b.slot = max(b.slot, slot)
	return b
}

// record adds to what was used in the last interval.
func (b *pool) record(amount float64) {
	b.used[b.slot%(slots+1)] += amount
	b.sum += amount
}

// credit returns what may be granted, while the given number of instances have lines. Only
// a grantor that knows the last window is wide.
func (b pool) credit(p Plan, instances int, wide bool) float64 {
	if !wide {
		return b.level
	}
	rest := p.Most - p.Deficit - b.sum
	credit := max(b.level, b.steady, min(b.left, rest))
	if line := max(b.lines[0], b.lines[1]); line > 0 {
		credit = min(credit, rest-float64(instances)*line)
	}
	return credit
}

// withPeriod returns the pool at the given time since the session began, at which so many
// instances were lost. They may have drawn their lines without a report.
func (b pool) withPeriod(since time.Duration, lost int) pool {
	period := int64(since / lineSpan)
	for n := max(b.period+1, period-1); n <= period; n++ {
		b.lines[n%2] = 0
	}
	b.period = period
	b.record(float64(lost-b.lost) * max(b.lines[0], b.lines[1]))
	b.lost = lost
	return b
}

// withLine returns the pool after a line of credit was given to one of the given number of
// instances at now, and the line. There is one only while the team has used little of the
// window and got all that it needed in it: what lines may draw is kept from others.
func (b pool) withLine(p Plan, instances int, share float64, now time.Time) (pool, float64) {
	if !b.short.IsZero() && now.Sub(b.short) < p.Window {
		return b, 0
	}
	rest := (1-lineReserve)*p.Most - p.Deficit - b.sum
	line := max(rest, 0) * lineShare * share / float64(max(instances, 1))
	at := &b.lines[b.period%2]
	*at = max(*at, line)
	return b, line
}

// withGrant returns the pool after amount was granted.
func (b pool) withGrant(amount float64) pool {
	if max(b.level, b.steady) <= 0 {
		b.left -= amount
	}
	b.level -= amount
	b.steady -= amount
	b.record(amount)
	return b
}
