package soak

import (
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// stage is when a request was sent, relative to a planned stop of its instance.
type stage uint8

const (
	// beforeStop means that it was sent before SIGTERM and ended after.
	beforeStop stage = iota
	// lingering means that it was sent at most lingerTime after SIGTERM.
	lingering
	// lateInStop means that it was sent later.
	lateInStop
	// otherTimes means that its instance was not stopping.
	otherTimes
)

var stageNames = [...]string{"before SIGTERM", "within 3 s of SIGTERM", "later", "other times"}

// lingerTime is how long after SIGTERM callers may still select an instance.
const lingerTime = 3 * time.Second

// outcome is what a caller got for a request.
type outcome uint8

const (
	succeeded outcome = iota
	// refused means that the status guarantees that the request did not run.
	refused
	// otherFailure means that it has another response.
	otherFailure
	// cutInResponse means that the response is incomplete.
	cutInResponse
	// unanswered means that the instance has read the request and sent no response, and
	// crossed that it may not have read it.
	unanswered
	crossed
	// noConn means that the instance accepted no connection.
	noConn
	callerAborted
	outcomes
)

var outcomeNames = [outcomes]string{"answered", "refused", "failed", "cut in answer", "read, no answer", "not read", "no connection", "caller left"}

// Table returns what callers got, by stage of a planned stop and kind of request, as
// lines. Together with a table of the same seed it compares two builds.
func Table(recorder *Recorder, bounds Bounds) string {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	c := checker{
		Recorder: recorder,
		bounds:   bounds,
		runsByID: map[string][]Run{},
	}
	for _, r := range recorder.runs {
		c.runsByID[r.ID] = append(c.runsByID[r.ID], r)
	}
	counts := map[string]*[outcomes]int{}
	count := func(s stage, kind string, o outcome) {
		row := fmt.Sprintf("%s\t%s", stageNames[s], kind)
		if counts[row] == nil {
			counts[row] = new([outcomes]int)
		}
		counts[row][o]++
	}
	for _, a := range recorder.attempts {
		count(c.stage(a.Instance, a.Sent, a.Done), a.kind(), c.outcome(a))
	}
	for _, e := range recorder.dialErrors {
		count(c.stage(e.Name, e.At, e.At), "connection", noConn)
	}
	return format(counts)
}

// format returns the counts as a table of aligned columns.
func format(counts map[string]*[outcomes]int) string {
	var rows []string
	for row := range counts {
		rows = append(rows, row)
	}
	slices.SortFunc(rows, func(a, b string) int {
		first, second, _ := strings.Cut(a, "\t")
		other, otherKind, _ := strings.Cut(b, "\t")
		if first == other {
			return strings.Compare(second, otherKind)
		}
		return slices.Index(stageNames[:], first) - slices.Index(stageNames[:], other)
	})
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "sent\tkind\t"+strings.Join(outcomeNames[:], "\t"))
	for _, row := range rows {
		_, _ = fmt.Fprint(w, row)
		for _, n := range counts[row] {
			_, _ = fmt.Fprintf(w, "\t%d", n)
		}
		_, _ = fmt.Fprintln(w)
	}
	_ = w.Flush()
	return b.String()
}

// stage returns the stage of the last planned stop of an instance that a request, or a
// connection, falls into. A stop ends when the instance is started again.
func (c *checker) stage(instance string, sent, done time.Time) stage {
	out := otherTimes
	for _, s := range c.faults {
		if s.Subject != instance || s.What != Stop.String() || done.Before(s.From) || !s.To.IsZero() && sent.After(s.To) {
			continue
		}
		switch after := sent.Sub(s.From); {
		case after < 0:
			out = beforeStop
		case after <= lingerTime:
			out = lingering
		default:
			out = lateInStop
		}
	}
	return out
}

// outcome returns what the caller of a got.
func (c *checker) outcome(a Attempt) outcome {
	switch {
	case a.CallerClosed:
		return callerAborted
	case a.success():
		return succeeded
	case a.Complete && NotRun(a.Status):
		return refused
	case a.Complete:
		return otherFailure
	case a.Status != 0:
		return cutInResponse
	case c.read(a):
		return unanswered
	}
	return crossed
}

// kind returns the kind of a request.
func (r Request) kind() string {
	out := "idempotent"
	if r.Once {
		out = "not idempotent"
	}
	if r.Stream {
		out = map[bool]string{
			false: "resumable stream",
			true:  "other stream",
		}[r.Once]
	}
	return out
}

// Unanswered returns the IDs of the attempts that have no response and were not aborted
// by their callers.
func (rec *Recorder) Unanswered() []string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var out []string
	for _, a := range rec.attempts {
		if a.Status == 0 && !a.CallerClosed {
			out = append(out, a.ID)
		}
	}
	return out
}
