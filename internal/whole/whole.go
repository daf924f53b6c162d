package whole

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/juju/errors"
)

const (
	// minStatus and maxStatus bound the statuses of responses that are not interim.
	minStatus = 200
	maxStatus = 599
)

// errReset means that a connection ended, or was reset, while it was written to.
const errReset = errors.ConstError("the connection ended while a request was being sent: check who answers at this address")

// dial opens a connection.
type dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial returns next with connections on which a reset is never taken for an end.
func Dial(next dial) dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := next(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{
			Conn: nc,
		}, nil
	}
}

// conn is a connection that may be written to while it is read.
type conn struct {
	net.Conn
	// mu is held by each write, and guards failed, which is true once one has failed.
	mu     sync.Mutex
	failed bool
}

// Read reads from the connection. An end after a failed write is a reset whose error the
// write has taken, or an end in the middle of a request. Read waits for a pending write,
// which fails at once in both cases.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && c.writeFailed() {
		return n, errReset
	}
	return n, err
}

func (c *conn) writeFailed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}

// Write writes to the connection.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.failed = c.failed || err != nil
	return n, err
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
