package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/logs"
)

// gatedWriter blocks every write until gate is closed.
type gatedWriter struct {
	mu   sync.Mutex
	gate chan struct{}
	buf  bytes.Buffer
}

func (s *gatedWriter) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func TestSlowWriterDoesNotBlockLogging(t *testing.T) {
	w := &gatedWriter{
		gate: make(chan struct{}),
	}
	out := logs.Lossy(w)
	log := logs.New(out, "info")
	start := time.Now()
	for range 20_000 {
		log.Warn().Str("event", "fail").Send()
	}
	require.Less(t, time.Since(start), 5*time.Second)
	close(w.gate)
	require.Eventually(t, func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return strings.Contains(w.buf.String(), "event=dropped")
	}, 5*time.Second, 10*time.Millisecond)
	require.NoError(t, out.Close())
}

func TestWarningsAreNotSampled(t *testing.T) {
	var buf bytes.Buffer
	log := logs.RateLimited(logs.New(&buf, "info"))
	for range 3000 {
		log.Info().Str("event", "route").Send()
		log.Warn().Str("event", "fail").Send()
	}
	require.Equal(t, 3000, strings.Count(buf.String(), "event=fail"))
	require.Less(t, strings.Count(buf.String(), "event=route"), 3000)
}
