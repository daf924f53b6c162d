package admit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Comeback is the time until which the refused callers of a service were asked to return.
// It answers callers that come back together: each gets a time of its own, after those
// that were refused before, at the rate at which the instance serves. The zero value
// expects nobody.
type Comeback struct {
	// until is when the last of them is due.
	until time.Time
}

// With returns c after a caller was refused at now, and when it is to return. Wait is how
// long its work would wait, drain the rate at which work is admitted, cost the tokens of
// the work and left how long the caller still waits, or 0 if that has no bound. A caller
// does not wait longer than a part of what it has left, so that those that would be due
// later are spread over that time by their id.
func (c Comeback) With(id string, wait time.Duration, drain Drain, cost float64, left time.Duration, now time.Time) (Comeback, time.Duration) {
	first := max(wait, minReturn)
	due := now.Add(first)
	if c.until.After(due) {
		due = c.until
	}
	due = due.Add(drain.Wait(cost))
	after := due.Sub(now)
	if most := time.Duration(returnShare * float64(left)); left > 0 && after > most {
		least := min(first, most/2)
		return c, least + time.Duration(Drawn(id)*float64(most-least))
	}
	return Comeback{
		until: due,
	}, after
}

// Drawn returns a number from 0 to 1, excluding 1, that is always the same for id.
func Drawn(id string) float64 {
	const steps = 1 << 20
	return float64(xxhash.Sum64String(id)%steps) / steps
}
