package ctrl

import (
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/baobabtally/baobabtally/internal/state"
)

// The row of the lease for orders passes on since when versions of weights are desired, in
// the time of the store's clock. An instance that starts finds the versions in the store
// without a date, and where all start at once no peer knows one.

// encodeDates returns the known dates of the desired versions as a note of the lease.
func encodeDates(s state.State, now time.Time) string {
	clock, known := s.Lease.TableTime(now)
	if !known {
		return ""
	}
	var fields []string
	for _, d := range desiredVersions(s) {
		if at := clock - d.Age; d.Dated && at > 0 {
			fields = append(fields, url.QueryEscape(d.Model)+"="+strconv.FormatInt(d.Version, 10)+"@"+strconv.FormatInt(at.Milliseconds(), 10))
		}
	}
	return strings.Join(fields, ",")
}

// decodeDates returns the desired versions in a note of the lease, with their ages by the
// store's clock. What can't be read is left out.
func decodeDates(note string, clock time.Duration) []state.DesiredVersion {
	var out []state.DesiredVersion
	for field := range strings.SplitSeq(note, ",") {
		name, rest, _ := strings.Cut(field, "=")
		number, date, _ := strings.Cut(rest, "@")
		model, err := url.QueryUnescape(name)
		version, versionErr := strconv.ParseInt(number, 10, 64)
		ms, dateErr := strconv.ParseInt(date, 10, 64)
		if err != nil || versionErr != nil || dateErr != nil || model == "" || version <= 0 || ms <= 0 || ms > clock.Milliseconds() {
			continue
		}
		out = append(out, state.DesiredVersion{
			Model:   model,
			Version: version,
			Age:     clock - time.Duration(ms)*time.Millisecond,
			Dated:   true,
		})
	}
	return out
}

// withUndated returns s with a desired version that was found without a date.
func withUndated(s state.State, e state.DesiredVersion) state.State {
	next := maps.Clone(s.Routing.Undated)
	if next == nil {
		next = map[string]state.DesiredVersion{}
	}
	if e.Era != s.Routing.StoreEra {
		// It has been read before the store's era rose.
		e.Row = 0
	}
	next[e.Model] = e
	s.Routing.Undated = next
	return s
}

// dateVersions dates the versions that were found without a date, as far as the lease's row
// shows since when they are desired: it holds the date, or it was written before them, with
// the store's clock of that moment.
func dateVersions(s state.State, now time.Time) state.State {
	if len(s.Routing.Undated) == 0 {
		return s
	}
	dated := map[string]bool{}
	if clock, known := s.Lease.TableTime(now); known {
		for _, d := range decodeDates(s.Lease.Note(), clock) {
			if e, ok := s.Routing.Undated[d.Model]; ok && d.Version == e.Version {
				s.Routing.Weights = s.Routing.Weights.WithDesired(d.Model, d.Version, now.Add(-d.Age))
				dated[d.Model] = true
			}
		}
	}
	for _, model := range slices.Sorted(maps.Keys(s.Routing.Undated)) {
		e := s.Routing.Undated[model]
		if age, ok := s.Lease.AgeOfLater(e.Row, now); ok && !dated[model] {
			s.Routing.Weights = s.Routing.Weights.WithDesired(model, e.Version, now.Add(-age))
			dated[model] = true
		}
	}
	if len(dated) > 0 {
		s.Routing.Undated = maps.Clone(s.Routing.Undated)
		maps.DeleteFunc(s.Routing.Undated, func(model string, _ state.DesiredVersion) bool { return dated[model] })
	}
	return s
}
