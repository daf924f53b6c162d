package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabtally/baobabtally/pkg/prefix"
)

const (
	// crashTTL is how long a crash counts: several times as long as a verdict holds.
	crashTTL = 1 * time.Hour
	// openTTL is for how long a silent engine may be found to have ended. Registries
	// remove the entries of silent engines after a few seconds, and engines restart.
	openTTL = 15 * time.Second
	// maxCrashes limits the crashes that are kept, maxSuspects the suspects of each
	// of them and maxCleared the cleared parts. The limits bound the evidence in a
	// heartbeat to about 20 KB.
	maxCrashes  = 32
	maxSuspects = 64
	maxCleared  = 256
	// reportTTL is how long a clearance is reported to other instances. It covers
	// several rounds of heartbeats in a large fleet.
	reportTTL = 30 * time.Second
)

// clearance is a suspect that was served.
type clearance struct {
	part Part
	at   time.Time
}

// Tracker holds the evidence of an instance. It is immutable; the zero value is
// empty.
type Tracker struct {
	// crashes are sorted by time. A crash without suspects is kept for the time at
	// which it was first noticed. Invariant: no two have the same incarnation, and
	// none has a cleared suspect. The slice is never written in place.
	crashes []Crash
	// cleared are sorted by time. Invariant: no part occurs twice. The slice is
	// never written in place.
	cleared []clearance
	// verdicts are those of the last WithVerdicts, and pending are those that the
	// youngest crashes would lead to.
	verdicts []Verdict
	pending  []Verdict
}

// WithCrash returns a copy of t with c. The suspects of several reports of the
// same crash are united.
func (t Tracker) WithCrash(c Crash, now time.Time) Tracker {
	if c.expired(now) {
		return t
	}
	c.Parts = slices.DeleteFunc(sortedParts(c.Parts), t.isCleared)
	i := slices.IndexFunc(t.crashes, c.sameIncarnation)
	if i >= 0 {
		old := t.crashes[i]
		if !old.At.After(c.At) && old.holdsAll(c.Parts) && (c.Open || !old.Open) && (c.Silent || !old.Silent) {
			return t
		}
		c.Parts = sortedParts(slices.Concat(old.Parts, c.Parts))
		if old.At.Before(c.At) {
			c.At = old.At
		}
		c.Silent, c.Open = c.Silent && old.Silent, c.Open && old.Open
	}
	crashes := slices.Clone(t.crashes)
	if i >= 0 {
		crashes = slices.Delete(crashes, i, i+1)
	}
	c.Parts = limitSuspects(c, crashes)
	crashes = append(crashes, c)
	slices.SortFunc(crashes, Crash.before)
	t.crashes = limitCrashes(crashes)
	return t
}

// limitSuspects returns the suspects of c, or the maxSuspects of them that occur
// in most of the other crashes. Among equals it draws: each crash keeps others,
// so that a prompt with many parts can't hide the one that crashes engines.
func limitSuspects(c Crash, others []Crash) []Part {
	if len(c.Parts) <= maxSuspects {
		return c.Parts
	}
	seed := xxhash.Sum64String(c.Engine + "/" + c.Start)
	counts, lots := make(map[Part]int, len(c.Parts)), make(map[Part]uint64, len(c.Parts))
	for _, p := range c.Parts {
		lots[p] = prefix.PartKey("", seed^uint64(p))
		for _, o := range others {
			if o.holds(p) {
				counts[p]++
			}
		}
	}
	drawn := slices.Clone(c.Parts)
	slices.SortFunc(drawn, func(a, b Part) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(lots[a], lots[b]))
	})
	return sortedParts(drawn[:maxSuspects])
}

// limitCrashes returns maxCrashes of crashes. The oldest go first of those that
// have no suspect in common with another one, so that the loss of many engines at
// once does not end a verdict.
func limitCrashes(crashes []Crash) []Crash {
	for len(crashes) > maxCrashes {
		counts := countSuspects(crashes)
		alone := func(c Crash) bool {
			return !slices.ContainsFunc(c.Parts, func(p Part) bool { return counts[p] > 1 })
		}
		i := max(slices.IndexFunc(crashes, alone), 0)
		crashes = slices.Delete(crashes, i, i+1)
	}
	return crashes
}

// countSuspects returns in how many of crashes each part is a suspect.
func countSuspects(crashes []Crash) map[Part]int {
	counts := map[Part]int{}
	for _, c := range crashes {
		for _, p := range c.Parts {
			counts[p]++
		}
	}
	return counts
}

// WithEnded returns a copy of t in which the crashes count whose incarnations have ended.
func (t Tracker) WithEnded(ended func(engine, start string) bool) Tracker {
	closes := func(c Crash) bool { return c.Open && ended(c.Engine, c.Start) }
	if !slices.ContainsFunc(t.crashes, closes) {
		return t
	}
	t.crashes = slices.Clone(t.crashes)
	for i, c := range t.crashes {
		if closes(c) {
			t.crashes[i].Open = false
		}
	}
	return t
}

// Open reports whether there are crashes whose incarnations may go on yet.
func (t Tracker) Open() bool {
	return slices.ContainsFunc(t.crashes, func(c Crash) bool { return c.Open })
}

// WithServed returns a copy of t in which parts are cleared if they are
// suspects.
func (t Tracker) WithServed(parts []Part, now time.Time) Tracker {
	return t.withCleared(t.SuspectsOf(parts), now)
}

func (t Tracker) withCleared(parts []Part, now time.Time) Tracker {
	fresh := slices.DeleteFunc(sortedParts(parts), t.isCleared)
	if len(fresh) == 0 {
		return t
	}
	cleared := slices.Clone(t.cleared)
	for _, p := range fresh {
		cleared = append(cleared, clearance{
			part: p,
			at:   now,
		})
	}
	t.cleared = cleared[max(len(cleared)-maxCleared, 0):]
	crashes := make([]Crash, 0, len(t.crashes))
	for _, c := range t.crashes {
		c.Parts = slices.DeleteFunc(slices.Clone(c.Parts), func(p Part) bool { return slices.Contains(fresh, p) })
		crashes = append(crashes, c)
	}
	t.crashes = crashes
	return t
}

// WithEvidence returns a copy of t with what another instance knows.
func (t Tracker) WithEvidence(e Evidence, now time.Time) Tracker {
	t = t.withCleared(e.Cleared[max(len(e.Cleared)-maxCleared, 0):], now)
	t = t.withReported(e, now)
	for _, r := range e.Crashes[max(len(e.Crashes)-maxCrashes, 0):] {
		t = t.WithCrash(Crash{
			Engine: r.Engine,
			Start:  r.Start,
			At:     now.Add(-max(r.Age, 0)),
			Silent: r.Silent,
			Open:   r.Open,
			Parts:  r.Parts[:min(len(r.Parts), maxSuspects)],
		}, now)
	}
	return t
}

// withReported returns a copy of t that reports once more which suspects of e were
// cleared: the sender was out of reach when they were.
func (t Tracker) withReported(e Evidence, now time.Time) Tracker {
	unknown := func(c clearance) bool {
		return now.Sub(c.at) > reportTTL && slices.ContainsFunc(e.Crashes, func(r Report) bool { return slices.Contains(r.Parts, c.part) })
	}
	if !slices.ContainsFunc(t.cleared, unknown) {
		return t
	}
	cleared := slices.DeleteFunc(slices.Clone(t.cleared), unknown)
	for _, c := range t.cleared {
		if unknown(c) {
			cleared = append(cleared, clearance{
				part: c.part,
				at:   now,
			})
		}
	}
	t.cleared = cleared
	return t
}

// Evidence returns what t knows at now, for other instances.
func (t Tracker) Evidence(now time.Time) Evidence {
	var e Evidence
	for _, c := range t.crashes {
		if len(c.Parts) == 0 {
			continue
		}
		e.Crashes = append(e.Crashes, Report{
			Engine: c.Engine,
			Start:  c.Start,
			Age:    now.Sub(c.At),
			Silent: c.Silent,
			Open:   c.Open,
			Parts:  c.Parts,
		})
	}
	for _, c := range t.cleared {
		if now.Sub(c.at) <= reportTTL {
			e.Cleared = append(e.Cleared, c.part)
		}
	}
	return e
}

// WithoutExpired returns a copy of t without evidence that is too old.
func (t Tracker) WithoutExpired(now time.Time) Tracker {
	expired := func(c Crash) bool { return c.expired(now) }
	if slices.ContainsFunc(t.crashes, expired) {
		t.crashes = slices.DeleteFunc(slices.Clone(t.crashes), expired)
	}
	i := slices.IndexFunc(t.cleared, func(c clearance) bool { return now.Sub(c.at) <= crashTTL })
	if i < 0 {
		i = len(t.cleared)
	}
	t.cleared = t.cleared[i:]
	return t
}

// Empty reports whether there are no suspects.
func (t Tracker) Empty() bool {
	return !slices.ContainsFunc(t.crashes, func(c Crash) bool { return len(c.Parts) > 0 })
}

// Size returns the number of suspects, counted for each crash.
func (t Tracker) Size() int {
	n := 0
	for _, c := range t.crashes {
		n += len(c.Parts)
	}
	return n
}

// Suspects returns all suspects, sorted.
func (t Tracker) Suspects() []Part {
	var all []Part
	for _, c := range t.crashes {
		all = append(all, c.Parts...)
	}
	return sortedParts(all)
}

// SuspectsOf returns those of parts that are suspects.
func (t Tracker) SuspectsOf(parts []Part) []Part {
	var out []Part
	for _, p := range parts {
		if slices.ContainsFunc(t.crashes, func(c Crash) bool { return c.holds(p) }) {
			out = append(out, p)
		}
	}
	return out
}

// Risky reports whether a request with the given parts, which left engine without an answer,
// may end a further one: another engine ended on one of the parts, or two others are silent.
// A single silent engine is more often silent for another reason, and the request is better
// served elsewhere.
func (t Tracker) Risky(engine string, parts []Part) bool {
	return slices.ContainsFunc(parts, func(p Part) bool {
		silent := 0
		for _, c := range t.crashes {
			if c.Engine == engine || !c.holds(p) {
				continue
			}
			if silent++; !c.Open || silent >= minEngines {
				return true
			}
		}
		return false
	})
}

func (t Tracker) isCleared(p Part) bool {
	return slices.ContainsFunc(t.cleared, func(c clearance) bool { return c.part == p })
}

// sortedParts returns parts sorted and without duplicates. It does not modify
// parts.
func sortedParts(parts []Part) []Part {
	out := slices.Clone(parts)
	slices.Sort(out)
	return slices.Compact(out)
}

func compareNames(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Start, b.Start))
}
