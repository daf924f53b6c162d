package front_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/front"
	"github.com/baobabtally/baobabtally/internal/holds"
	"github.com/baobabtally/baobabtally/internal/httpd"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/stream"
)

// bodies is a handler that records the bodies of requests and refuses them.
type bodies chan string

// Handle implements chain.Handler.
func (b bodies) Handle(_ context.Context, r chain.Request, _ chain.Writer) (chain.Result, error) {
	b <- string(r.Body)
	return chain.Result{}, fault.New(fault.Unavailable, "no endpoint")
}

// serveBodies starts a front end before a handler that records bodies.
func serveBodies(t *testing.T) (string, bodies) {
	t.Helper()
	handled := make(bodies, 16)
	e := echo.New()
	front.Mount(e, handled, fixedView{}, stream.NewSigner([]byte("secret")), grace.New())
	s := httpd.New(e, httpd.WithHolds(holds.New(64<<20)))
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return l.Addr().String(), handled
}

// post sends a request that ends with the write side of its connection, and returns the
// status of the response.
func post(t *testing.T, addr, head, body string) int {
	t.Helper()
	var dialer net.Dialer
	c, err := dialer.DialContext(t.Context(), "tcp", addr)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(c, "POST "+head+"\r\n\r\n"+body)
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// A request in chunks whose caller stops in the middle must not be handled: a service would
// run with a part of its body.
func TestRequestThatEndsEarlyIsNotHandled(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/svc/billing/charge", "/v1/chat/completions"} {
		addr, handled := serveBodies(t)
		head := path + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
		const call = `{"model":"m","messages":[{"role":"user","content":"x"}]}`
		for _, body := range []string{"", "38\r\n" + call + "\r\n", "40\r\n" + call, "38\r\n" + call + "\r\n0\r\n"} {
			require.Equal(t, http.StatusBadRequest, post(t, addr, head, body))
			require.Empty(t, handled, "%q was handled", body)
		}
		require.Equal(t, http.StatusServiceUnavailable, post(t, addr, head, "38\r\n"+call+"\r\n0\r\n\r\n"))
		require.Len(t, handled, 1)
	}
}

// HTTP/1.0 has no chunks. A request whose caller sends some all the same has no known end.
func TestChunksOfHTTP10AreNotHandled(t *testing.T) {
	t.Parallel()
	addr, handled := serveBodies(t)
	const head = "/svc/billing/charge HTTP/1.0\r\nHost: h"
	require.Equal(t, http.StatusBadRequest, post(t, addr, head+"\r\nTransfer-Encoding: chunked", "1\r\nx\r\n0\r\n\r\n"))
	require.Empty(t, handled)
	require.Equal(t, http.StatusServiceUnavailable, post(t, addr, head+"\r\nContent-Length: 1", "x"))
	require.Equal(t, "x", <-handled)
}
