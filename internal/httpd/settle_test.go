package httpd_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller's next request must be answered if it comes soon after a response that a stop
// waited for, with the time for that which servers have unless another is set.
func TestStopAnswersNextRequestByDefault(t *testing.T) {
	// soon is less than the default, as a processor that is busy may delay the test.
	const soon = 50 * time.Millisecond
	for delay := soon; delay >= soon; {
		f := newFixture(t, nil)
		c := f.dial()
		c.write("GET /begun HTTP/1.1\r\nHost: h\r\n\r\n")
		require.Equal(t, "begun", <-f.entered)
		_, err := c.r.Peek(1)
		require.NoError(t, err, "the response must begin before the stop")
		stopped := make(chan error, 1)
		go func() { stopped <- f.server.Stop(t.Context()) }()
		require.ErrorIs(t, <-f.served, http.ErrServerClosed)
		begin := time.Now()
		close(f.release)
		_, _, err = c.read()
		require.NoError(t, err)
		time.Sleep(wireTime)
		_, err = c.Write([]byte(request))
		delay = time.Since(begin)
		if delay < soon {
			require.NoError(t, err)
			c.requireAnswer()
		}
		require.NoError(t, <-stopped)
	}
}
