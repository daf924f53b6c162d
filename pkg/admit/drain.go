package admit

import (
	"math"
	"time"
)

const (
	// drainWindow is the length of one measurement of a drain, and drainSmoothing its
	// weight in the moving average.
	drainWindow    = 500 * time.Millisecond
	drainSmoothing = 0.4
)

// Drain is the rate at which waiting work is admitted, as a moving average. The zero
// value has measured nothing.
type Drain struct {
	since  time.Time
	tokens float64
	rate   float64
}

// NewDrain returns a Drain of the given rate in tokens per second.
func NewDrain(rate float64) Drain {
	return Drain{
		rate: rate,
	}
}

// With returns d after work of the given tokens was admitted at now.
func (d Drain) With(tokens float64, now time.Time) Drain {
	if d.since.IsZero() {
		d.since = now
	}
	d.tokens += tokens
	span := now.Sub(d.since)
	if span < drainWindow {
		return d
	}
	rate := d.tokens / span.Seconds()
	if d.rate == 0 {
		d.rate = rate
	}
	d.rate += drainSmoothing * (rate - d.rate)
	d.since, d.tokens = now, 0
	return d
}

// PerSecond returns the rate in tokens per second; 0 if it is not known.
func (d Drain) PerSecond() float64 { return d.rate }

// Wait returns how long work waits with the given tokens before and including it, or 0
// if that is not known.
func (d Drain) Wait(tokens float64) time.Duration {
	if d.rate <= 0 {
		return 0
	}
	return time.Duration(min(tokens/d.rate*float64(time.Second), math.MaxInt64/2))
}
