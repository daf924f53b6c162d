package whole_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/whole"
)

// serve answers the head of each request with response and ends the connection by end.
func serve(t *testing.T, response string, end func(c *net.TCPConn, r *http.Request)) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.WriteString(c, response)
				end(c.(*net.TCPConn), r)
			}
			_ = c.Close()
		}
	}()
	return "http://" + l.Addr().String()
}

// post sends a long body and returns what is answered, read late.
func post(t *testing.T, target string) (string, error) {
	t.Helper()
	inner := &http.Transport{
		DialContext: whole.Dial((&net.Dialer{}).DialContext),
	}
	defer inner.CloseIdleConnections()
	c := http.Client{
		Transport: whole.Transport(inner),
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, target, bytes.NewReader(make([]byte, 8<<20)))
	require.NoError(t, err)
	resp, err := c.Do(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	time.Sleep(30 * time.Millisecond)
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestResetIsNoEnd(t *testing.T) {
	for _, pause := range []time.Duration{10 * time.Millisecond, 40 * time.Millisecond} {
		target := serve(t, "HTTP/1.1 200 OK\r\n\r\nfirst part,\n", func(c *net.TCPConn, _ *http.Request) {
			time.Sleep(pause)
			_ = c.SetLinger(0)
		})
		for range 10 {
			body, err := post(t, target)
			require.Error(t, err, "%q, reset after %s", body, pause)
		}
	}
}

func TestEndOfConnectionEndsBody(t *testing.T) {
	target := serve(t, "HTTP/1.1 200 OK\r\n\r\nthe whole", func(_ *net.TCPConn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	body, err := post(t, target)
	require.NoError(t, err)
	require.Equal(t, "the whole", body)
}

func TestStatusOutOfRangeIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		target := serve(t, "HTTP/1.1 "+status+" x\r\nContent-Length: 2\r\n\r\n{}", func(_ *net.TCPConn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
		_, err := post(t, target)
		require.Error(t, err, status)
	}
}
