package alarm

import (
	"maps"
	"slices"
	"time"
)

const (
	// bucketLength is the time that one bucket covers.
	bucketLength = 5 * time.Second
	// bucketCount is the number of buckets in the window of a promise.
	bucketCount = 60
	// Window is the time over which a promise is kept or broken.
	Window = bucketLength * bucketCount
	// horizon is how far ahead the forecast looks.
	horizon = 10 * time.Second
	// recentBuckets is how many of the last buckets make the recent rate.
	recentBuckets = 3
	// leastRecent is how many recent outcomes a forecast needs.
	leastRecent = 20
	// leastAll is how many outcomes a window needs to count as missed.
	leastAll = 100
	// calm is how long a promise must be safe before its alarm is cleared.
	calm = 30 * time.Second
)

// Tally counts outcomes of a promise.
type Tally struct {
	// Good is how many requests met the target.
	Good int64
	// Bad is how many did not.
	Bad int64
}

// Plus returns the sum of t and o.
func (t Tally) Plus(o Tally) Tally {
	return Tally{
		Good: t.Good + o.Good,
		Bad:  t.Bad + o.Bad,
	}
}

func (t Tally) total() float64 { return float64(t.Good + t.Bad) }

// Alarm is the state of one promise.
type Alarm struct {
	// Promise is the name of the policy.
	Promise string
	// Raised is when the alarm was raised, or the zero time.
	Raised time.Time
	// Missed is the share of misses over the window.
	Missed float64
	// Allowed is the share of misses that the promise allows.
	Allowed float64
	// Forecast is the share of misses at the horizon.
	Forecast float64
}

// Active tells whether the alarm is raised.
func (a Alarm) Active() bool { return !a.Raised.IsZero() }

// Book is the outcomes and alarms of all promises. The zero value is empty.
type Book struct {
	// promises is by name. Invariant: never written once published.
	promises map[string]promise
}

type promise struct {
	buckets [bucketCount]bucket
	alarm   Alarm
	// safe is since when the forecast is good.
	safe time.Time
	// since is when the first outcome was counted.
	since time.Time
}

type bucket struct {
	// slot is the number of the bucket's interval since the epoch.
	slot  int64
	tally Tally
}

// With returns a copy of b in which promise name, which must be met by share
// of requests, had the outcomes t.
func (b Book) With(name string, t Tally, share float64, now time.Time) Book {
	next := maps.Clone(b.promises)
	if next == nil {
		next = map[string]promise{}
	}
	p := next[name]
	if p.since.IsZero() {
		p.since = now
	}
	p.alarm.Promise = name
	p.alarm.Allowed = 1 - share
	slot := slotOf(now)
	i := slot % bucketCount
	if p.buckets[i].slot != slot {
		p.buckets[i] = bucket{
			slot: slot,
		}
	}
	p.buckets[i].tally = p.buckets[i].tally.Plus(t)
	next[name] = p
	return Book{
		promises: next,
	}
}

// Judge returns a copy of b after raising and clearing alarms, and those that
// changed.
func (b Book) Judge(now time.Time) (Book, []Alarm) {
	next := make(map[string]promise, len(b.promises))
	var changed []Alarm
	for _, name := range slices.Sorted(maps.Keys(b.promises)) {
		p := b.promises[name].judged(now)
		if p.alarm.Active() != b.promises[name].alarm.Active() {
			changed = append(changed, p.alarm)
		}
		next[name] = p
	}
	return Book{
		promises: next,
	}, changed
}

// Without returns a copy of b that has only the promises in keep.
func (b Book) Without(keep func(name string) bool) Book {
	next := make(map[string]promise, len(b.promises))
	for name, p := range b.promises {
		if keep(name) {
			next[name] = p
		}
	}
	return Book{
		promises: next,
	}
}

// Alarms returns the state of all promises in the order of their names.
func (b Book) Alarms() []Alarm {
	out := make([]Alarm, 0, len(b.promises))
	for _, name := range slices.Sorted(maps.Keys(b.promises)) {
		out = append(out, b.promises[name].alarm)
	}
	return out
}

func (p promise) judged(now time.Time) promise {
	all, recent := p.sums(now)
	// What was before the first outcome is taken to have been as much and good,
	// so that the first seconds are not judged as if they were the window.
	whole := all.total() * max(1, float64(Window)/float64(max(now.Sub(p.since), bucketLength)))
	p.alarm.Missed = shareOf(float64(all.Bad), whole)
	p.alarm.Forecast = forecast(float64(all.Bad), whole, recent)
	soon := p.alarm.Forecast > p.alarm.Allowed && shareOf(float64(recent.Bad), recent.total()) > p.alarm.Allowed
	missed := p.alarm.Missed > p.alarm.Allowed
	risk := recent.total() >= leastRecent && soon || all.total() >= leastAll && missed
	switch {
	case risk && !p.alarm.Active():
		p.alarm.Raised = now
		p.safe = time.Time{}
	case risk:
		p.safe = time.Time{}
	case p.safe.IsZero():
		p.safe = now
	case p.alarm.Active() && now.Sub(p.safe) >= calm:
		p.alarm.Raised = time.Time{}
	}
	return p
}

// sums returns the outcomes of the window and of its last buckets.
func (p promise) sums(now time.Time) (Tally, Tally) {
	var all, recent Tally
	slot := slotOf(now)
	for _, b := range p.buckets {
		age := slot - b.slot
		if age < 0 || age >= bucketCount {
			continue
		}
		all = all.Plus(b.tally)
		if age < recentBuckets {
			recent = recent.Plus(b.tally)
		}
	}
	return all, recent
}

// forecast returns the share of misses over a whole window in which the
// recent rate goes on for the horizon.
func forecast(bad, whole float64, recent Tally) float64 {
	factor := float64(horizon) / float64(recentBuckets*bucketLength)
	return shareOf(bad+factor*float64(recent.Bad), whole+factor*recent.total())
}

func shareOf(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

func slotOf(now time.Time) int64 { return now.UnixNano() / int64(bucketLength) }
