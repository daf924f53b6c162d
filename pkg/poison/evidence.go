package poison

import (
	"slices"
	"time"
)

// Crash is the end of an engine's incarnation while prompts waited for their
// first token.
type Crash struct {
	// Engine and Start identify the incarnation.
	Engine string
	Start  string
	// At is when the crash was first noticed. For a silent one it is when the silence
	// began.
	At time.Time
	// Silent is set if the engine did not refuse connections but fell silent.
	Silent bool
	// Open is set while the incarnation is not known to have ended: the engine may go on
	// yet. An open crash makes its parts suspects but speaks for no verdict. Invariant:
	// only silent crashes are open.
	Open bool
	// Parts are the suspects, sorted: parts of those prompts that nobody is known
	// to have served. Invariant: never modified in place.
	Parts []Part
}

// sameIncarnation reports whether c and o are reports of the same crash.
func (c Crash) sameIncarnation(o Crash) bool { return c.Engine == o.Engine && c.Start == o.Start }

// expired reports whether c no longer counts at now.
func (c Crash) expired(now time.Time) bool {
	ttl := crashTTL
	if c.Open {
		ttl = openTTL
	}
	return now.Sub(c.At) > ttl
}

// before orders crashes by time and, for those at the same time, by name.
func (c Crash) before(o Crash) int {
	if n := c.At.Compare(o.At); n != 0 {
		return n
	}
	return compareNames(c, o)
}

// holdsAll reports whether all of parts are suspects of c.
func (c Crash) holdsAll(parts []Part) bool {
	return !slices.ContainsFunc(parts, func(p Part) bool { return !c.holds(p) })
}

func (c Crash) holds(p Part) bool {
	_, ok := slices.BinarySearch(c.Parts, p)
	return ok
}

// Report is a Crash as instances report it to each other, whose clocks differ.
type Report struct {
	// Engine and Start identify the incarnation.
	Engine string
	Start  string
	// Age is how long ago the crash was noticed.
	Age time.Duration
	// Silent and Open are those of the Crash.
	Silent bool
	Open   bool
	// Parts are the suspects.
	Parts []Part
}

// Evidence is what an instance knows, as it tells the others.
type Evidence struct {
	// Crashes holds the recent crashes.
	Crashes []Report
	// Cleared holds suspects that were served.
	Cleared []Part
}

// Empty reports whether e holds nothing.
func (e Evidence) Empty() bool { return len(e.Crashes)+len(e.Cleared) == 0 }

// Verdict is a set of parts that crash engines if they come together in a
// prompt. The set has one element unless the parts have always come together.
type Verdict struct {
	// Parts are the parts, sorted.
	Parts []Part
	// Engines are the engines whose crashes speak for the verdict, in the order
	// of the crashes.
	Engines []string
	// Crashes is how many separate crashes these were, and Last is when the last
	// of them was noticed.
	Crashes int
	Last    time.Time
	// Pending is set while other instances may still report that they have served
	// the parts.
	Pending bool
}

// Expires returns when v lapses unless another crash speaks for it, or when it is
// no longer pending. Each crash beyond those that a verdict requires doubles the
// time.
func (v Verdict) Expires() time.Time {
	if v.Pending {
		return v.Last.Add(settleTime)
	}
	hold := firstHold
	for n := minCrashes; n < v.Crashes && hold < maxHold; n++ {
		hold *= 2
	}
	return v.Last.Add(min(hold, maxHold))
}

// covers reports whether a prompt with the given parts falls under v.
func (v Verdict) covers(parts []Part) bool {
	return !slices.ContainsFunc(v.Parts, func(p Part) bool { return !slices.Contains(parts, p) })
}
