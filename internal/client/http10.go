package client

import (
	"bytes"
	"net"

	"github.com/juju/errors"
)

const (
	// http10 begins a response of HTTP/1.0.
	http10 = "HTTP/1.0"
	// maxExaminedBytes bounds how much of a response's head is examined.
	maxExaminedBytes = 4 << 10
)

// errChunkedHTTP10 means that the framing of a response is faulty (RFC 9112, 6.1).
const errChunkedHTTP10 = errors.ConstError("the answer has chunks, which HTTP/1.0 does not have: check the endpoint")

// headConn is a connection that fails if its first response is an HTTP/1.0 one with a
// Transfer-Encoding. net/http ignores and removes this header, so that the sizes of
// the chunks would become a part of the body.
type headConn struct {
	net.Conn
	// head is the beginning of the response, in lower case and with bare line feeds.
	// It is nil once examined is true.
	head     []byte
	examined bool
}

// Read reads from the connection and examines the head of the response.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.examined || n == 0 {
		return n, err
	}
	c.head = append(c.head, bytes.ToLower(bytes.ReplaceAll(p[:n], []byte("\r"), nil))...)
	start := []byte(http10)
	start = bytes.ToLower(start[:min(len(start), len(c.head))])
	head, _, complete := bytes.Cut(c.head, []byte("\n\n"))
	c.examined = !bytes.HasPrefix(c.head, start) || complete || len(c.head) > maxExaminedBytes
	faulty := bytes.HasPrefix(c.head, start) && bytes.Contains(head, []byte("\ntransfer-encoding:"))
	if c.examined {
		c.head = nil
	}
	if faulty {
		return 0, errChunkedHTTP10
	}
	return n, err
}
