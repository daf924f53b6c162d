package link_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/baobabtally/baobabtally/internal/link"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serve runs script for each connection, one at a time, and returns the
// address.
func serve(t *testing.T, script func(n int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	go func() {
		defer close(done)
		for n := 0; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			script(n, c, bufio.NewReader(c))
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

func readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

func sendRequest(ctx context.Context, p *link.Pool, addr string) (string, error) {
	c, err := p.Get(ctx, addr, "", 2, true)
	if err != nil {
		return "", err
	}
	resp, err := c.Do(ctx, link.Request{
		Method: http.MethodPost,
		Path:   "/x",
		Host:   "h",
		Header: http.Header{
			"X-Id": {"a"},
		},
		Body:       []byte("body"),
		EchoHeader: "X-Id",
	})
	if err != nil {
		p.Drop(c)
		return "", err
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		p.Drop(c)
		return "", err
	}
	p.Put(c, resp)
	return string(data), nil
}

func response(id, body string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func TestConnectionIsReused(t *testing.T) {
	p := link.New()
	defer p.Close()
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			_, _ = io.WriteString(c, response("a", "one"))
		}
	})
	for range 3 {
		got, err := sendRequest(t.Context(), p, addr)
		require.NoError(t, err)
		require.Equal(t, "one", got)
	}
	require.EqualValues(t, 1, p.Dialed())
}

func TestStaleResponseIsSkipped(t *testing.T) {
	p := link.New()
	defer p.Close()
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			_, _ = io.WriteString(c, response("old", "bad")+response("a", "good"))
		}
		readRequest(r)
	})
	got, err := sendRequest(t.Context(), p, addr)
	require.NoError(t, err)
	require.Equal(t, "good", got)
}

func TestUnexpectedBytesCloseConnection(t *testing.T) {
	p := link.New()
	defer p.Close()
	answered, sent := make(chan struct{}), make(chan struct{})
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			_, _ = io.WriteString(c, response("a", "one"))
			<-answered
			_, _ = io.WriteString(c, response("a", "two"))
			sent <- struct{}{}
		}
		readRequest(r)
	})
	for range 2 {
		got, err := sendRequest(t.Context(), p, addr)
		require.NoError(t, err)
		require.Equal(t, "one", got)
		answered <- struct{}{}
		<-sent
		// The bytes are on their way through the loopback interface.
		time.Sleep(60 * time.Millisecond)
	}
	require.EqualValues(t, 2, p.Dialed())
}

func TestResponseWithoutLengthEndsAtClose(t *testing.T) {
	p := link.New()
	defer p.Close()
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nall of it")
		}
	})
	got, err := sendRequest(t.Context(), p, addr)
	require.NoError(t, err)
	require.Equal(t, "all of it", got)
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	p := link.New()
	defer p.Close()
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 100\r\n\r\npart")
		}
	})
	_, err := sendRequest(t.Context(), p, addr)
	require.ErrorContains(t, err, "unexpected EOF")
}

func TestContextEndStopsRead(t *testing.T) {
	p := link.New()
	defer p.Close()
	addr := serve(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		readRequest(r)
		readRequest(r)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := sendRequest(ctx, p, addr)
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

func TestConnectionLimit(t *testing.T) {
	p := link.New()
	defer p.Close()
	hold := make(chan struct{})
	addr := serve(t, func(int, net.Conn, *bufio.Reader) { <-hold })
	var conns []*link.Conn
	for range 2 {
		c, err := p.Get(t.Context(), addr, "", 2, true)
		require.NoError(t, err)
		conns = append(conns, c)
	}
	_, err := p.Get(t.Context(), addr, "", 2, true)
	require.ErrorIs(t, err, link.ErrFull)
	close(hold)
	for _, c := range conns {
		p.Drop(c)
	}
}

func TestResponseBeforeRequestBodyIsRead(t *testing.T) {
	p := link.New()
	defer p.Close()
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = io.WriteString(c, response("a", "no"))
		}
		time.Sleep(30 * time.Millisecond)
	})
	c, err := p.Get(t.Context(), addr, "", 1, true)
	require.NoError(t, err)
	resp, err := c.Do(t.Context(), link.Request{
		Method: http.MethodPost,
		Path:   "/",
		Host:   "h",
		Header: http.Header{
			"X-Id": {"a"},
		},
		Body:       []byte(strings.Repeat("x", 8<<20)),
		EchoHeader: "X-Id",
	})
	require.NoError(t, err)
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "no", string(data))
	p.Put(c, resp)
	require.EqualValues(t, 1, p.Dialed())
	next, err := p.Get(t.Context(), addr, "", 1, true)
	require.NoError(t, err)
	require.EqualValues(t, 2, p.Dialed(), "the connection must not be reused")
	p.Drop(next)
}

// Only an address at which nothing listens refuses connections. An endpoint that
// breaks them, or does not answer, is not down.
func TestRefused(t *testing.T) {
	t.Parallel()
	p := link.New()
	defer p.Close()
	breaks := serve(t, func(_ int, c net.Conn, _ *bufio.Reader) { _ = c.Close() })
	require.False(t, p.Refused(t.Context(), breaks))
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.False(t, p.Refused(t.Context(), l.Addr().String()), "it listens and does not answer")
	require.NoError(t, l.Close())
	require.True(t, p.Refused(t.Context(), l.Addr().String()))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	require.False(t, p.Refused(ended, l.Addr().String()), "unknown")
}
