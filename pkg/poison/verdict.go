package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minCrashes is how many separate crashes a verdict requires, and minEngines
	// is how many different engines. A service may have only two engines.
	minCrashes = 3
	minEngines = 2
	// separation is the time within which crashes count as one, because they may
	// have a common cause such as a loss of power.
	separation = 250 * time.Millisecond
	// silentSeparation is the same where the engine fell silent, which is known to have
	// begun some time between two signs of life only.
	silentSeparation = 1 * time.Second
	// settleTime is how old a crash must be to count. Until then a verdict is
	// pending. Within that time the other
	// instances learn of its suspects and report those that they know to have been
	// served, which takes four ticks of 200 ms.
	settleTime = 800 * time.Millisecond
	// firstHold is how long the first verdict on parts holds. Then requests with
	// them may show on one engine whether they are harmless. If they crash it, the
	// verdict returns for twice the time, up to maxHold.
	firstHold = 1 * time.Minute
	maxHold   = 8 * time.Minute
)

// WithVerdicts returns a copy of t with the verdicts for its evidence at now.
func (t Tracker) WithVerdicts(now time.Time) Tracker {
	t = t.WithoutExpired(now)
	lapsed := func(v Verdict) bool { return !now.Before(v.Expires()) }
	closed := slices.DeleteFunc(slices.Clone(t.crashes), func(c Crash) bool { return c.Open })
	t.verdicts = slices.DeleteFunc(judge(settled(closed, now)), lapsed)
	t.pending = slices.DeleteFunc(judge(closed), func(v Verdict) bool {
		return slices.ContainsFunc(t.verdicts, func(o Verdict) bool { return slices.Equal(o.Parts, v.Parts) }) || lapsed(v)
	})
	for i := range t.pending {
		t.pending[i].Pending = true
	}
	return t
}

// Verdicts returns the verdicts of the last WithVerdicts.
func (t Tracker) Verdicts() []Verdict { return t.verdicts }

// Judging reports whether there are verdicts, pending ones included.
func (t Tracker) Judging() bool { return len(t.verdicts)+len(t.pending) > 0 }

// Verdict returns the verdict on a prompt with the given parts, or a pending one.
func (t Tracker) Verdict(parts []Part) (Verdict, bool) {
	for _, verdicts := range [...][]Verdict{t.verdicts, t.pending} {
		for _, v := range verdicts {
			if v.covers(parts) {
				return v, true
			}
		}
	}
	return Verdict{}, false
}

// settled returns those of crashes, which are sorted by time, that count at now.
func settled(crashes []Crash, now time.Time) []Crash {
	i := slices.IndexFunc(crashes, func(c Crash) bool { return now.Sub(c.At) < settleTime })
	if i < 0 {
		return crashes
	}
	return crashes[:i]
}

// judge returns the verdicts for crashes. The part that explains most crashes
// comes first. A crash that a verdict explains speaks for no other, so that parts
// which merely came along are not blamed.
func judge(crashes []Crash) []Verdict {
	var out []Verdict
	for {
		v, ok := strongest(crashes)
		if !ok {
			return out
		}
		out = append(out, v)
		crashes = slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return c.holdsAll(v.Parts) })
	}
}

// strongest returns the verdict that most separate crashes speak for.
func strongest(crashes []Crash) (Verdict, bool) {
	var best []Crash
	most := 0
	for _, p := range commonSuspects(crashes) {
		with := slices.DeleteFunc(slices.Clone(crashes), func(c Crash) bool { return !c.holds(p) })
		if n := separateCrashes(with); n >= minCrashes && cmp.Or(cmp.Compare(n, most), cmp.Compare(len(with), len(best))) > 0 && len(engines(with)) >= minEngines {
			best, most = with, n
		}
	}
	if best == nil {
		return Verdict{}, false
	}
	v := Verdict{
		Engines: engines(best),
		Crashes: most,
		Last:    best[len(best)-1].At,
	}
	for _, p := range best[0].Parts {
		all := !slices.ContainsFunc(best, func(c Crash) bool { return !c.holds(p) })
		if all && !slices.ContainsFunc(crashes, func(c Crash) bool { return c.holds(p) && !slices.ContainsFunc(best, c.sameIncarnation) }) {
			v.Parts = append(v.Parts, p)
		}
	}
	return v, true
}

// separateCrashes counts crashes that can't have had a common cause in time.
func separateCrashes(crashes []Crash) int {
	n := 0
	var last Crash
	for _, c := range crashes {
		apart := separation
		if c.Silent || last.Silent {
			apart = silentSeparation
		}
		if n == 0 || c.At.Sub(last.At) >= apart {
			n++
			last = c
		}
	}
	return n
}

// engines returns the names of the engines that crashed, in order.
func engines(crashes []Crash) []string {
	var out []string
	for _, c := range crashes {
		if !slices.Contains(out, c.Engine) {
			out = append(out, c.Engine)
		}
	}
	return out
}

// commonSuspects returns the suspects of at least minCrashes crashes, sorted.
func commonSuspects(crashes []Crash) []Part {
	counts := countSuspects(crashes)
	maps.DeleteFunc(counts, func(_ Part, n int) bool { return n < minCrashes })
	return slices.Sorted(maps.Keys(counts))
}
