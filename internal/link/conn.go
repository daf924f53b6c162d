package link

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// bufferSize is the size of a connection's read and write buffers, in
	// bytes. It is large enough for a typical header.
	bufferSize = 4 << 10
	// maxStaleResponses is how many responses to earlier requests are skipped
	// before the connection is treated as broken.
	maxStaleResponses = 2
	// maxStaleBytes limits the body of a skipped response, in bytes.
	maxStaleBytes = 1 << 20
	// maxHeadBytes limits a response head, including the interim responses
	// before it, in bytes. It is twice the longest request head, because an
	// endpoint may echo the request's headers.
	maxHeadBytes = 32 << 10
	// maxRefusals is how many refused requests a connection remembers. It is
	// not kept after one more, so that none of them is forgotten.
	maxRefusals = 64
	// maxStatus is the highest status of a response (RFC 9110, 15).
	maxStatus = 599
	// maxErrorBytes limits how much of a malformed response an error message
	// quotes, in bytes.
	maxErrorBytes = 200
)

// errHeadTooLong means that a response head exceeded maxHeadBytes.
const errHeadTooLong = errors.ConstError("the head of the answer is over 32 KB: check the endpoint")

// errChunkedHTTP10 means that the framing of a response is faulty (RFC 9112, 6.1).
const errChunkedHTTP10 = errors.ConstError("the answer has chunks, which HTTP/1.0 does not have: check the endpoint")

// errUnsent means that the connection ended before the request was sent. The end of a
// response that has neither a length nor chunks can't be told from a failure then: a reset
// that ends the write of the request lets a read find the end of the connection.
const errUnsent = errors.ConstError("the connection ended while the request was being sent: check the endpoint")

// Request is an HTTP request. Its fields are sent unchanged.
type Request struct {
	// Method, Path and Host form the request line and the Host header.
	Method string
	Path   string
	Host   string
	// Header is sent in addition to Host and Content-Length.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// EchoHeader names a header that the response must repeat with the request's
	// value. If the request has none, the response must have none either. It is
	// empty if responses aren't checked.
	EchoHeader string
}

// Conn is a connection that serves one request at a time.
type Conn struct {
	addr string
	nc   net.Conn
	// limited is the reader under r. It limits the size of response heads.
	limited *limitedReader
	r       *bufio.Reader
	w       *bufio.Writer
	// guard keeps the connection while the endpoint reads a long body late.
	guard *unackedGuard
	// sent is true once any byte of the current request may have been sent.
	sent bool
	// writeDone receives the result of writing the current request.
	writeDone chan error
	// writeOK is true once writeDone has delivered a nil error.
	writeOK bool
	// idleSince is when the connection became idle.
	idleSince time.Time
	// peerIdleTimeout is how long the endpoint keeps the connection idle, as
	// stated in Keep-Alive; 0 if it did not say.
	peerIdleTimeout time.Duration
	// reused is true if the connection has served a request before.
	reused bool
	// echo is the current request's value of its EchoHeader, and refused holds
	// those of the requests that were refused. Invariant: at most maxRefusals+1.
	echo    string
	refused []string
}

func newConn(addr string, nc net.Conn) *Conn {
	limited := &limitedReader{
		nc:        nc,
		remaining: math.MaxInt64,
	}
	return &Conn{
		addr:    addr,
		nc:      nc,
		limited: limited,
		r:       bufio.NewReaderSize(limited, bufferSize),
		w:       bufio.NewWriterSize(nc, bufferSize),
		guard:   newUnackedGuard(nc),
	}
}

// limitedReader reads from a connection until its byte limit is used up.
// net/http limits the parts of a chunked body but leaves the size of the head
// to its caller.
type limitedReader struct {
	nc net.Conn
	// remaining is how many bytes may still be read.
	remaining int64
}

// Read reads up to the remaining limit and returns errHeadTooLong once it is
// used up.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.nc.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}

// Sent reports whether any byte of the current request may have been sent.
func (c *Conn) Sent() bool { return c.sent }

// Reused reports whether the connection has served a request before.
func (c *Conn) Reused() bool { return c.reused }

// Refused records that the endpoint refused the current request. The endpoint
// may send the refusal once more, which could not be told from a refusal of
// another attempt with the same echo value, so Get does not return the
// connection for one.
func (c *Conn) Refused() { c.refused = append(c.refused, c.echo) }

// mayRepeatRefusal reports whether a response with the given echo value may be
// the repeated refusal of an earlier request.
func (c *Conn) mayRepeatRefusal(echo string) bool {
	return echo != "" && slices.Contains(c.refused, echo)
}

// Do sends req and returns the response once its head has arrived; the caller
// reads the body. When ctx ends, pending reads and writes fail at once.
func (c *Conn) Do(ctx context.Context, req Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, c.abort)
	c.sent = true
	c.echo = req.Header.Get(req.EchoHeader)
	c.writeDone = make(chan error, 1)
	c.writeOK = false
	if len(req.Body) > bufferSize/2 {
		// Written concurrently, because an endpoint may respond before it has
		// read the complete body.
		c.guard.beginWrite()
		go func() {
			err := c.writeRequest(req)
			c.guard.endWrite()
			c.writeDone <- err
		}()
	} else {
		c.writeDone <- c.writeRequest(req)
	}
	resp, err := c.readResponse(req)
	if err != nil {
		stop()
		return nil, errors.Trace(contextCause(ctx, c.guard.cause(err)))
	}
	resp.Body = &responseBody{
		ReadCloser: resp.Body,
		conn:       c,
		unframed:   unframed(resp),
		guard:      c.guard,
		ctx:        ctx,
		stop:       stop,
	}
	return resp, nil
}

// abort makes pending reads and writes fail.
func (c *Conn) abort() { _ = c.nc.SetDeadline(time.Unix(1, 0)) }

func (c *Conn) writeRequest(req Request) error {
	w := c.w
	_, _ = w.WriteString(req.Method + " " + req.Path + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	_ = req.Header.Write(w)
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(req.Body)
	return w.Flush()
}

// readResponse returns the response to req. It skips responses to earlier
// requests.
func (c *Conn) readResponse(req Request) (*http.Response, error) {
	for range maxStaleResponses + 1 {
		resp, err := c.readHead(req.Method)
		if err != nil {
			return nil, err
		}
		if req.EchoHeader == "" || resp.Header.Get(req.EchoHeader) == c.echo {
			return resp, nil
		}
		if unframed(resp) || resp.ContentLength > maxStaleBytes {
			break
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStaleBytes+1))
		if err != nil {
			return nil, err
		}
		if n > maxStaleBytes {
			// The rest of the body would be parsed as the next response head.
			break
		}
	}
	return nil, errors.New("the answer belongs to another request")
}

// readHead returns the next response that is not an interim (1xx) one.
func (c *Conn) readHead(method string) (*http.Response, error) {
	c.limited.remaining = maxHeadBytes
	defer func() { c.limited.remaining = math.MaxInt64 }()
	for {
		if c.chunkedHTTP10() {
			return nil, errChunkedHTTP10
		}
		resp, err := http.ReadResponse(c.r, &http.Request{
			Method: method,
		})
		switch {
		case err != nil && c.limited.remaining <= 0:
			// http.ReadResponse parses a line that the limit truncated as if it
			// were complete, so its error would be misleading.
			return nil, errHeadTooLong
		case err != nil:
			return nil, truncateError(err)
		}
		switch {
		case resp.StatusCode >= http.StatusOK && resp.StatusCode <= maxStatus:
			return resp, nil
		case resp.StatusCode < http.StatusContinue, resp.StatusCode > maxStatus, resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.Errorf("status %d answers no request of ours: check the endpoint", resp.StatusCode)
		}
	}
}

// chunkedHTTP10 reports whether the next response is an HTTP/1.0 one with a
// Transfer-Encoding, which http.ReadResponse ignores and removes. Only the part of
// the head that fits into the read buffer is examined. Errors are left to the reads
// that follow.
func (c *Conn) chunkedHTTP10() bool {
	const version = "HTTP/1.0"
	if start, err := c.r.Peek(len(version)); err != nil || string(start) != version {
		return false
	}
	for {
		head, _ := c.r.Peek(c.r.Buffered())
		text := strings.ToLower(strings.ReplaceAll(string(head), "\r\n", "\n"))
		text, _, complete := strings.Cut(text, "\n\n")
		if complete || len(head) == c.r.Size() {
			return strings.Contains(text, "\ntransfer-encoding:")
		}
		if _, err := c.r.Peek(len(head) + 1); err != nil {
			return false
		}
	}
}

// unframed reports whether only the end of the connection ends the body of resp.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// awaitWritten waits until the request is written, and returns an error if it was not
// written completely. An endpoint that responds early must read on.
func (c *Conn) awaitWritten() error {
	if c.writeOK {
		return nil
	}
	if err := <-c.writeDone; err != nil {
		c.writeDone <- err
		return errors.Annotate(errUnsent, err.Error())
	}
	c.writeOK = true
	return nil
}

// truncateError returns err, shortened if it quotes much of a response.
func truncateError(err error) error {
	text := err.Error()
	if len(text) <= maxErrorBytes {
		return err
	}
	return errors.New(text[:maxErrorBytes] + "...")
}

// reusable reports whether the connection can take another request: the last
// request was written completely and no unread bytes are pending.
func (c *Conn) reusable() bool {
	if c.r.Buffered() > 0 || !c.guard.reusable() {
		return false
	}
	if c.writeDone != nil && !c.writeOK {
		select {
		case err := <-c.writeDone:
			if err != nil {
				return false
			}
			c.writeOK = true
		default:
			return false
		}
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, err := syscall.Read(int(fd), buf[:])
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// Close closes the connection.
func (c *Conn) Close() { _ = c.nc.Close() }

// keepAliveTimeout returns the timeout in a Keep-Alive header, or 0 if there is
// none.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil && n >= 0 {
			return max(time.Duration(n)*time.Second, time.Millisecond)
		}
	}
	return 0
}

// responseBody is the body of a response. Reads fail when the request's context
// ends.
type responseBody struct {
	io.ReadCloser
	conn *Conn
	// unframed is true if only the end of the connection ends the body.
	unframed bool
	guard    *unackedGuard
	ctx      context.Context
	stop     func() bool
	// complete is true if EOF was reached before the context ended.
	complete bool
}

// Read reads from the body and detects its end.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.unframed && errors.Is(err, io.EOF) {
		if lost := b.conn.awaitWritten(); lost != nil {
			err = lost
		}
	}
	if errors.Is(err, io.EOF) {
		// If the context has already ended, abort may have set a deadline on
		// the connection, so it can't be reused.
		b.complete = b.stop()
		return n, io.EOF
	}
	if err != nil {
		err = contextCause(b.ctx, b.guard.cause(err))
	}
	return n, err
}

// Close detaches the body from its context. It does not read the rest.
func (b *responseBody) Close() error {
	b.stop()
	return nil
}

// contextCause returns the cause of ctx's end, if it has ended, instead of the
// timeout error that abort provoked.
func contextCause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
