package whole

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	// minStatus and maxStatus bound the statuses of responses that are not interim.
	minStatus = 200
	maxStatus = 599
	// tcpClose is the state of a connection that was reset. One whose peer has ended it is
	// in another state until it is closed here.
	tcpClose = 7
)

// errReset means that a connection did not end, but was reset.
const errReset = errors.ConstError("the connection was reset: check who answers at this address")

// dial opens a connection.
type dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns next with connections on which a reset is never taken for an end.
func Dial(next dial) dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return conn{
			Conn: nc,
		}, nil
	}
}

type conn struct {
	net.Conn
}

// Read reads from the connection.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && wasReset(c.Conn) {
		return n, errReset
	}
	return n, err
}

// wasReset reports whether the peer has reset c. A connection that was closed here has
// failed in a write.
func wasReset(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClose
	})
	return err != nil || reset
}

// Transport returns next without responses whose status is none.
func Transport(next *http.Transport) http.RoundTripper {
	return transport{
		Transport: next,
	}
}

type transport struct {
	*http.Transport
}

// RoundTrip sends r.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < minStatus || resp.StatusCode > maxStatus {
		_ = resp.Body.Close()
		return nil, errors.Errorf("status %03d is none: check who answers at this address", resp.StatusCode)
	}
	return resp, nil
}

// Framed reports whether a length or chunks end the body of resp, and not only the end of
// the connection.
func Framed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
