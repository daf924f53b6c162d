package alarm

import (
	"maps"
	"slices"
	"time"
)

const (
	// bucketDuration is the length of one bucket of the sliding window.
	bucketDuration = 5 * time.Second
	// bucketCount is the number of buckets in the sliding window.
	bucketCount = 60
	// Window is the sliding window over which an objective is evaluated.
	Window = bucketDuration * bucketCount
	// forecastHorizon is how far ahead the miss ratio is extrapolated.
	forecastHorizon = 10 * time.Second
	// recentBuckets is the number of newest buckets that give the recent miss rate.
	recentBuckets = 3
	// minRecentOutcomes is the number of recent outcomes below which the forecast
	// raises no alarm.
	minRecentOutcomes = 20
	// minWindowOutcomes is the number of outcomes in the window below which its
	// miss ratio raises no alarm.
	minWindowOutcomes = 100
	// clearDelay is how long an objective must not be at risk before its alarm is
	// cleared.
	clearDelay = 30 * time.Second
)

// Tally counts the requests that met an objective and those that missed it.
type Tally struct {
	// Good is how many requests met the target.
	Good int64
	// Bad is how many requests missed the target.
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

// Alarm is the alarm state of one objective.
type Alarm struct {
	// Objective is the name of the policy that sets the objective.
	Objective string
	// Raised is when the alarm was raised; the zero time if it is not raised.
	Raised time.Time
	// MissRatio is the ratio of misses over the window.
	MissRatio float64
	// Allowed is the ratio of misses that the objective allows.
	Allowed float64
	// Forecast is the ratio of misses expected at the forecast horizon.
	Forecast float64
}

// Active reports whether the alarm is raised.
func (a Alarm) Active() bool { return !a.Raised.IsZero() }

// Tracker holds the recent outcomes and the alarms of all objectives. It is
// immutable. The zero value is empty.
type Tracker struct {
	// objectives is keyed by policy name. Invariant: never written once published.
	objectives map[string]objective
}

type objective struct {
	buckets [bucketCount]bucket
	alarm   Alarm
	// safeSince is when the objective was first found not at risk; zero while it is
	// at risk.
	safeSince time.Time
	// firstOutcome is when the first outcome was counted.
	firstOutcome time.Time
}

type bucket struct {
	// interval is the number of the bucket's interval, counted from the Unix epoch.
	interval int64
	tally    Tally
}

// With returns a copy of t that adds outcomes to objective name. target is the ratio of
// requests that must meet the objective.
func (t Tracker) With(name string, outcomes Tally, target float64, now time.Time) Tracker {
	next := maps.Clone(t.objectives)
	if next == nil {
		next = map[string]objective{}
	}
	o := next[name]
	if o.firstOutcome.IsZero() {
		o.firstOutcome = now
	}
	o.alarm.Objective = name
	o.alarm.Allowed = 1 - target
	interval := intervalOf(now)
	i := interval % bucketCount
	if o.buckets[i].interval != interval {
		o.buckets[i] = bucket{
			interval: interval,
		}
	}
	o.buckets[i].tally = o.buckets[i].tally.Plus(outcomes)
	next[name] = o
	return Tracker{
		objectives: next,
	}
}

// Evaluate evaluates all objectives. It returns a copy of t in which alarms are
// raised and cleared accordingly, and the alarms that changed.
func (t Tracker) Evaluate(now time.Time) (Tracker, []Alarm) {
	next := make(map[string]objective, len(t.objectives))
	var changed []Alarm
	for _, name := range slices.Sorted(maps.Keys(t.objectives)) {
		o := t.objectives[name].evaluated(now)
		if o.alarm.Active() != t.objectives[name].alarm.Active() {
			changed = append(changed, o.alarm)
		}
		next[name] = o
	}
	return Tracker{
		objectives: next,
	}, changed
}

// WithOnly returns a copy of t with only the objectives for which keep is true.
func (t Tracker) WithOnly(keep func(name string) bool) Tracker {
	next := make(map[string]objective, len(t.objectives))
	for name, o := range t.objectives {
		if keep(name) {
			next[name] = o
		}
	}
	return Tracker{
		objectives: next,
	}
}

// Alarms returns the alarm state of all objectives, sorted by name.
func (t Tracker) Alarms() []Alarm {
	out := make([]Alarm, 0, len(t.objectives))
	for _, name := range slices.Sorted(maps.Keys(t.objectives)) {
		out = append(out, t.objectives[name].alarm)
	}
	return out
}

// evaluated returns o after updating its ratios and raising or clearing its alarm.
func (o objective) evaluated(now time.Time) objective {
	all, recent := o.windowTotals(now)
	// Until a full window was observed, assume that the missing time had the same
	// request rate and no misses. Otherwise a few seconds of data would be
	// evaluated as if they were a full window.
	windowTotal := all.total() * max(1, float64(Window)/float64(max(now.Sub(o.firstOutcome), bucketDuration)))
	o.alarm.MissRatio = ratio(float64(all.Bad), windowTotal)
	o.alarm.Forecast = forecastMissRatio(float64(all.Bad), windowTotal, recent)
	forecastExceeds := o.alarm.Forecast > o.alarm.Allowed && ratio(float64(recent.Bad), recent.total()) > o.alarm.Allowed
	windowExceeds := o.alarm.MissRatio > o.alarm.Allowed
	atRisk := recent.total() >= minRecentOutcomes && forecastExceeds || all.total() >= minWindowOutcomes && windowExceeds
	switch {
	case atRisk && !o.alarm.Active():
		o.alarm.Raised = now
		o.safeSince = time.Time{}
	case atRisk:
		o.safeSince = time.Time{}
	case o.safeSince.IsZero():
		o.safeSince = now
	case o.alarm.Active() && now.Sub(o.safeSince) >= clearDelay:
		o.alarm.Raised = time.Time{}
	}
	return o
}

// windowTotals returns the outcomes of the whole window and of its recentBuckets
// newest buckets.
func (o objective) windowTotals(now time.Time) (Tally, Tally) {
	var all, recent Tally
	interval := intervalOf(now)
	for _, b := range o.buckets {
		age := interval - b.interval
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

// forecastMissRatio returns the miss ratio of a window with bad misses of total
// requests after the recent rates continue for forecastHorizon.
func forecastMissRatio(bad, total float64, recent Tally) float64 {
	factor := float64(forecastHorizon) / float64(recentBuckets*bucketDuration)
	return ratio(bad+factor*float64(recent.Bad), total+factor*recent.total())
}

func ratio(part, total float64) float64 {
	if total == 0 {
		return 0
	}
	return part / total
}

func intervalOf(now time.Time) int64 { return now.UnixNano() / int64(bucketDuration) }
