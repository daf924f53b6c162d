package logs

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// backlog is how many lines may wait to be written.
	backlog = 4096
	// mostLines is how many lines of ordinary decisions are written each second.
	// Lines of failures are not counted.
	mostLines = 1000
)

// Lossy returns a writer that never blocks: it drops the oldest lines where w is
// too slow, and says how many. Closing it writes what waits.
func Lossy(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, backlog, 0, func(missed int) {
		_, _ = fmt.Fprintf(w, "level=warn event=dropped lines=%d reason=%q\n", missed, "the log is read too slowly")
	})
}

// Bounded returns log with at most mostLines lines a second of the levels debug
// and info.
func Bounded(log zerolog.Logger) zerolog.Logger {
	burst := &zerolog.BurstSampler{
		Burst:  mostLines,
		Period: time.Second,
	}
	return log.Sample(zerolog.LevelSampler{
		DebugSampler: burst,
		InfoSampler:  burst,
	})
}
