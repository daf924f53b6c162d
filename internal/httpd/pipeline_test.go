package httpd_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/httpd"
)

// A request that was read together with the one before it must not be cut as if its
// connection were idle.
func TestPipelinedRequestIsNotIdle(t *testing.T) {
	f := newFixture(t, nil, httpd.WithIdleTimeout(func() time.Duration { return idleTimeout }))
	c := f.dial()
	c.write(request + "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	c.requireAnswer()
	time.Sleep(3 * idleTimeout)
	close(f.release)
	_, body, err := c.read()
	require.NoError(t, err)
	require.Equal(t, "answer of hold", body)
}

// A stop must not cut a request that was read together with the one before it.
func TestStopServesPipelinedRequest(t *testing.T) {
	f := newFixture(t, nil)
	c := f.dial()
	c.write(request + "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n")
	c.requireAnswer()
	require.Equal(t, "ok", <-f.entered)
	require.Equal(t, "hold", <-f.entered)
	stopped := make(chan error, 1)
	go func() { stopped <- f.server.Stop(t.Context()) }()
	require.ErrorIs(t, <-f.served, http.ErrServerClosed)
	time.Sleep(100 * time.Millisecond)
	close(f.release)
	_, body, err := c.read()
	require.NoError(t, err)
	require.Equal(t, "answer of hold", body)
	require.NoError(t, <-stopped)
}
