package link_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/baobabtally/baobabtally/internal/link"
)

const (
	// maxUnacked is how long sent bytes may stay unacknowledged before the
	// connection must fail, and cutSlack what timers may add to it.
	maxUnacked = 2 * time.Second
	cutSlack   = time.Second
	// slowTimeout is the deadline of requests to an endpoint that reads slowly.
	slowTimeout = 40 * time.Second
)

// cutLink makes the endpoint's kernel drop all that arrives on c, without a
// reset, like a network partition.
func cutLink(c net.Conn) error {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	drop := unix.SockFilter{
		Code: unix.BPF_RET | unix.BPF_K,
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{
			Len:    1,
			Filter: &drop,
		})
	})
	if err != nil {
		return err
	}
	return optErr
}

// A link that is cut must be noticed in time, also while the endpoint is late with
// reading a long body.
func TestCutLinkIsNoticed(t *testing.T) {
	for name, c := range map[string]struct {
		body int
		// before is how long the endpoint does not read before the link is cut.
		before time.Duration
		// reads is set if the endpoint reads a part of the body every now and
		// then before the cut.
		reads bool
		// first is how many bytes it reads after 3 s.
		first int64
	}{
		"short body": {
			body: 1 << 10,
		},
		"long body": {
			body: 4 << 20,
		},
		"body in the send buffer": {
			body:   200 << 10,
			before: 3 * time.Second,
		},
		"window closed for 1 s": {
			body:   4 << 20,
			before: time.Second,
		},
		"window closed for 5 s": {
			body:   4 << 20,
			before: 5 * time.Second,
		},
		"window closed for 8 s": {
			body:   4 << 20,
			before: 8 * time.Second,
		},
		"window opened and closed for 6 s": {
			body:   16 << 20,
			before: 6 * time.Second,
			first:  1 << 20,
		},
		"window opened at times": {
			body:   16 << 20,
			before: 5 * time.Second,
			reads:  true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = l.Close() }()
			cut, done := make(chan time.Time, 1), make(chan struct{})
			defer close(done)
			go func() {
				nc, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = nc.Close() }()
				_ = nc.(*net.TCPConn).SetReadBuffer(16 << 10)
				begin := time.Now()
				for c.reads && time.Since(begin) < c.before {
					_, _ = io.CopyN(io.Discard, nc, 64<<10)
					time.Sleep(c.before / 8)
				}
				if c.first > 0 {
					time.Sleep(3 * time.Second)
					_, _ = io.CopyN(io.Discard, nc, c.first)
					begin = time.Now()
				}
				time.Sleep(c.before - time.Since(begin))
				_ = cutLink(nc)
				cut <- time.Now()
				<-done
			}()
			p := link.New()
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			conn, err := p.Get(ctx, l.Addr().String(), "", 0, true)
			require.NoError(t, err)
			defer p.Drop(conn)
			if c.before == 0 {
				// The cut must come before the request.
				<-cut
				cut <- time.Now()
			}
			_, err = conn.Do(ctx, link.Request{
				Method: http.MethodPost,
				Path:   "/",
				Host:   "h",
				Body:   make([]byte, c.body),
			})
			require.Error(t, err)
			select {
			case at := <-cut:
				require.Less(t, time.Since(at), maxUnacked+cutSlack)
			default:
				require.Fail(t, "the connection failed before the link was cut", err.Error())
			}
		})
	}
}

// An endpoint that reads late, or a little at a time, must not lose its connection.
func TestEndpointThatReadsSlowlyKeepsConnection(t *testing.T) {
	for name, c := range map[string]struct {
		body  int
		read  int64
		pause time.Duration
	}{
		"body in the send buffer": {
			body:  200 << 10,
			read:  200 << 10,
			pause: 3 * time.Second,
		},
		"late three times": {
			body:  4 << 20,
			read:  2 << 20,
			pause: 2500 * time.Millisecond,
		},
		"in small parts": {
			body:  1 << 20,
			read:  64 << 10,
			pause: 400 * time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr := serve(t, func(_ int, nc net.Conn, r *bufio.Reader) {
				_ = nc.(*net.TCPConn).SetReadBuffer(32 << 10)
				_ = nc.SetDeadline(time.Now().Add(slowTimeout))
				for {
					time.Sleep(c.pause)
					req, err := http.ReadRequest(r)
					for err == nil {
						_, err = io.CopyN(io.Discard, req.Body, c.read)
						if err == nil {
							time.Sleep(c.pause)
						}
					}
					if req == nil || !errors.Is(err, io.EOF) {
						return
					}
					_, _ = io.WriteString(nc, response("", "ok"))
				}
			})
			p := link.New()
			defer p.Close()
			ctx, cancel := context.WithTimeout(t.Context(), slowTimeout)
			defer cancel()
			conn, err := p.Get(ctx, addr, "", 0, true)
			require.NoError(t, err)
			resp, err := conn.Do(ctx, link.Request{
				Method: http.MethodPost,
				Path:   "/",
				Host:   "h",
				Body:   make([]byte, c.body),
			})
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(t, err)
			p.Put(conn, resp)
		})
	}
}
