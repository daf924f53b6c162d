package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/link"
)

// An endpoint that reads a long body late must not lose its connection.
func TestEndpointThatReadsLate(t *testing.T) {
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	served := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			served <- err
			return
		}
		defer func() { _ = c.Close() }()
		_ = c.(*net.TCPConn).SetReadBuffer(16 << 10)
		time.Sleep(4 * time.Second)
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err == nil {
			_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
		served <- err
	}()
	p := link.New()
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	defer cancel()
	c, err := p.Get(ctx, l.Addr().String(), "", 0, true)
	require.NoError(t, err)
	resp, err := c.Do(ctx, link.Request{
		Method: http.MethodPost,
		Path:   "/",
		Host:   "h",
		Body:   make([]byte, 4<<20),
	})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	p.Drop(c)
	require.NoError(t, <-served)
}
