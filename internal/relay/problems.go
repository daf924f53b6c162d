package relay

import (
	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	// maxProblemLines is the maximum number of lines about rows of one batch that
	// can't be used. A further line states how many are left out.
	maxProblemLines = 16
	// maxReasonBytes is the maximum length of the reason in such a line. A reason
	// may quote a part of the row.
	maxReasonBytes = 300
)

// rowMeter counts the rows that can't be used.
type rowMeter interface {
	Unreadable(table string)
}

// problemLog logs and counts each version of a row that can't be used once, however
// often it is read. It is used by one goroutine.
type problemLog struct {
	table string
	log   zerolog.Logger
	meter rowMeter
	// versions holds the version of each row that can't be used, by key, in the given era
	// of the store.
	versions map[string]int64
	era      int64
}

func newProblemLog(table string, log zerolog.Logger, m rowMeter) *problemLog {
	return &problemLog{
		table:    table,
		log:      log,
		meter:    m,
		versions: map[string]int64{},
	}
}

// update logs the problems of the rows of b that are new.
func (l *problemLog) update(b store.Batch, problems []store.Problem) {
	old := l.versions
	if b.Era != l.era {
		// Another row may have the same version now.
		old, l.era = nil, b.Era
	}
	if b.Complete {
		l.versions = make(map[string]int64, len(problems))
	} else {
		l.forget(b, problems)
	}
	lines := 0
	for _, p := range problems {
		version, known := old[p.Key]
		l.versions[p.Key] = p.Version
		if known && version == p.Version {
			continue
		}
		l.meter.Unreadable(l.table)
		if lines++; lines > maxProblemLines {
			continue
		}
		l.log.Warn().Str("event", "unread").Str("table", l.table).Str("key", p.Key).Int64("version", p.Version).Str("error", reasonOf(p)).Send()
	}
	if lines > maxProblemLines {
		l.log.Warn().Str("event", "unread").Str("table", l.table).Int("more", lines-maxProblemLines).Send()
	}
}

// forget drops the versions of the rows of b that were removed or can be used again.
func (l *problemLog) forget(b store.Batch, problems []store.Problem) {
	odd := make(map[string]bool, len(problems))
	for _, p := range problems {
		odd[p.Key] = true
	}
	for _, r := range b.Rows {
		if !odd[r.Key] {
			delete(l.versions, r.Key)
		}
	}
	for _, key := range b.Removed {
		delete(l.versions, key)
	}
}

// reasonOf returns the reason of p, cut to maxReasonBytes.
func reasonOf(p store.Problem) string {
	if text := p.Err.Error(); len(text) > maxReasonBytes {
		return text[:maxReasonBytes] + "..."
	}
	return p.Err.Error()
}
