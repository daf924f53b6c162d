package logs

import (
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	// bufferedLines is the number of lines that are buffered while the writer is slow.
	bufferedLines = 4096
	// maxLinesPerSecond limits lines of the levels debug and info, each second. Lines
	// of higher levels are neither limited nor counted.
	maxLinesPerSecond = 1000
)

// Lossy returns a writer that never blocks: while w is too slow it drops the
// oldest lines, and reports how many. Close writes the lines that are buffered.
func Lossy(w io.Writer) io.WriteCloser {
	return diode.NewWriter(w, bufferedLines, 0, func(dropped int) {
		_, _ = fmt.Fprintf(w, "level=warn event=dropped lines=%d reason=%q\n", dropped, "the log is read too slowly")
	})
}

// RateLimited returns log, limited to maxLinesPerSecond lines a second of the levels
// debug and info together.
func RateLimited(log zerolog.Logger) zerolog.Logger {
	sampler := &zerolog.BurstSampler{
		Burst:  maxLinesPerSecond,
		Period: time.Second,
	}
	return log.Sample(zerolog.LevelSampler{
		DebugSampler: sampler,
		InfoSampler:  sampler,
	})
}
