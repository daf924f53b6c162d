package admit

import "time"

const (
	// delaySmoothing is the weight of an answer in the average of a delay.
	delaySmoothing = 0.15
	// openWeight is the number of open requests that count half of their age.
	openWeight = 4
	// busyShare is the share of its target from which engines that take so long are
	// busy, and openShare the one within which they have to answer what is open.
	busyShare = 0.5
	openShare = 0.7
)

// Delay is how long the engines of a service take to the first byte of the work of a
// rank. The zero value knows nothing.
type Delay struct {
	typical time.Duration
	// answers is the rate of answers a second.
	answers Drain
	// open is the number of requests without a first byte, and began the sum of when
	// they began, after epoch.
	open  int
	began time.Duration
	epoch time.Time
}

// WithBegun returns d after a request was sent at now.
func (d Delay) WithBegun(now time.Time) Delay {
	if d.open == 0 {
		d.epoch, d.began = now, 0
	}
	d.open++
	d.began += now.Sub(d.epoch)
	return d
}

// WithEnded returns d after the first byte, or the end without one, of a request that was
// sent at began.
func (d Delay) WithEnded(began time.Time) Delay {
	d.open--
	d.began -= began.Sub(d.epoch)
	return d
}

// WithAnswer returns d after a first byte at now that took the given time.
func (d Delay) WithAnswer(took time.Duration, now time.Time) Delay {
	d.answers = d.answers.With(1, now)
	return d.withTook(took)
}

func (d Delay) withTook(took time.Duration) Delay {
	if d.typical == 0 {
		d.typical = took
	}
	d.typical += time.Duration(delaySmoothing * float64(took-d.typical))
	return d
}

// WithOverdue returns d after a first byte at now, which took the given time, of work that
// other work goes before. Its time says something only if it was short.
func (d Delay) WithOverdue(took time.Duration, now time.Time) Delay {
	d.answers = d.answers.With(1, now)
	if took >= d.typical {
		return d
	}
	return d.withTook(took)
}

// Typical returns how long first bytes took, as a moving average; 0 if that is not known.
func (d Delay) Typical() time.Duration { return d.typical }

// Expected returns how long the first byte of a request takes that is sent at now. While
// a queue builds up, the age of open requests tells sooner than answers do: an open
// request has spent half of its time on average.
func (d Delay) Expected(now time.Time) time.Duration {
	if d.open <= 0 {
		return d.typical
	}
	age := now.Sub(d.epoch) - d.began/time.Duration(d.open)
	return max(d.typical, 2*age*time.Duration(d.open)/time.Duration(d.open+openWeight))
}

// Yields reports whether one more urgent request, which the engines would have to answer
// within target, has to wait: the engines are busy, and at the rate at which they answer
// it would be late behind those that are open. Least open requests never wait. It answers
// a burst of urgent work: first come, first served would make all of it late.
func (d Delay) Yields(target time.Duration, least float64, now time.Time) bool {
	if target <= 0 || float64(d.Expected(now)) < busyShare*float64(target) {
		return false
	}
	return float64(d.open) >= max(openShare*target.Seconds()*d.answers.PerSecond(), least)
}
