package link

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// bufferSize is the size of a connection's buffers, in bytes; a header fits.
	bufferSize = 4 << 10
	// maxSkipped is how many answers to earlier requests are read over before a
	// connection counts as broken.
	maxSkipped = 2
	// maxStray bounds the bytes of an answer that is read over.
	maxStray = 1 << 20
	// maxHead bounds an answer's head, in bytes, with the interim heads before it:
	// twice the longest head of a request, which an endpoint may repeat.
	maxHead = 32 << 10
	// maxQuoted bounds what an error repeats of a malformed answer, in bytes.
	maxQuoted = 200
)

// errLongHead means that an endpoint sent more than a head may have.
const errLongHead = errors.ConstError("the head of the answer is over 32 KB: check the endpoint")

// Request is what is sent. Its fields go out as they are.
type Request struct {
	// Method, Path and Host are those of the request line and its host.
	Method string
	Path   string
	Host   string
	// Header is sent besides the host and the length.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// Echo names a header that an answer must repeat; empty for none.
	Echo string
}

// Conn is a connection that serves one request at a time.
type Conn struct {
	addr string
	nc   net.Conn
	// in is what r reads from.
	in *inlet
	r  *bufio.Reader
	w  *bufio.Writer
	// sent tells whether any byte of the present request may have left.
	sent bool
	// wrote is closed when the present request is written.
	wrote chan error
	// written tells that wrote was read without an error.
	written bool
	// used is when the connection became idle.
	used time.Time
	// keep is how long the other end keeps it idle; 0 where it did not say.
	keep time.Duration
	// reused tells that the connection served a request before.
	reused bool
}

func newConn(addr string, nc net.Conn) *Conn {
	in := &inlet{
		nc:   nc,
		left: math.MaxInt64,
	}
	return &Conn{
		addr: addr,
		nc:   nc,
		in:   in,
		r:    bufio.NewReaderSize(in, bufferSize),
		w:    bufio.NewWriterSize(nc, bufferSize),
	}
}

// inlet reads from a connection until its allowance is used up. The standard
// library bounds the parts of a body, and leaves the head to its caller.
type inlet struct {
	nc net.Conn
	// left is how many bytes may still be read.
	left int64
}

// Read reads what the allowance grants.
func (i *inlet) Read(p []byte) (int, error) {
	if i.left <= 0 {
		return 0, errLongHead
	}
	n, err := i.nc.Read(p[:min(int64(len(p)), i.left)])
	i.left -= int64(n)
	return n, err
}

// Sent tells whether any byte of the present request may have left.
func (c *Conn) Sent() bool { return c.sent }

// Reused tells whether the connection served a request before.
func (c *Conn) Reused() bool { return c.reused }

// Do sends req and returns the head of its answer. The body is read from the
// answer until its end. When ctx ends, reads and writes fail at once.
func (c *Conn) Do(ctx context.Context, req Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, c.abort)
	c.sent = true
	c.wrote = make(chan error, 1)
	c.written = false
	if len(req.Body) > bufferSize/2 {
		// An endpoint may answer before it has read the body.
		go func() { c.wrote <- c.write(req) }()
	} else {
		c.wrote <- c.write(req)
	}
	resp, err := c.read(req)
	if err != nil {
		stop()
		return nil, errors.Trace(cause(ctx, err))
	}
	resp.Body = &body{
		ReadCloser: resp.Body,
		ctx:        ctx,
		stop:       stop,
	}
	return resp, nil
}

// abort fails what is being read and written.
func (c *Conn) abort() { _ = c.nc.SetDeadline(time.Unix(1, 0)) }

func (c *Conn) write(req Request) error {
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

// read returns the answer to req and reads over those to earlier requests.
func (c *Conn) read(req Request) (*http.Response, error) {
	want := req.Header.Get(req.Echo)
	for range maxSkipped + 1 {
		resp, err := c.head(req.Method)
		if err != nil {
			return nil, err
		}
		if req.Echo == "" || resp.Header.Get(req.Echo) == want {
			return resp, nil
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 || resp.ContentLength > maxStray {
			break
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStray+1))
		if err != nil {
			return nil, err
		}
		if n > maxStray {
			// What follows on the connection is no head.
			break
		}
	}
	return nil, errors.New("the answer belongs to another request")
}

// head returns the next answer that is not an interim one.
func (c *Conn) head(method string) (*http.Response, error) {
	c.in.left = maxHead
	defer func() { c.in.left = math.MaxInt64 }()
	for {
		resp, err := http.ReadResponse(c.r, &http.Request{
			Method: method,
		})
		switch {
		case err != nil && c.in.left <= 0:
			// The reader takes a line that was cut for a whole one.
			return nil, errLongHead
		case err != nil:
			return nil, quoted(err)
		}
		switch {
		case resp.StatusCode >= http.StatusOK:
			return resp, nil
		case resp.StatusCode < http.StatusContinue, resp.StatusCode == http.StatusSwitchingProtocols:
			return nil, errors.Errorf("status %d answers no request of ours: check the endpoint", resp.StatusCode)
		}
	}
}

// quoted returns err, or its beginning where it repeats much of an answer.
func quoted(err error) error {
	text := err.Error()
	if len(text) <= maxQuoted {
		return err
	}
	return errors.New(text[:maxQuoted] + "...")
}

// clean tells whether the connection can take a request: all of the last one
// was written and nothing waits to be read.
func (c *Conn) clean() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	if c.wrote != nil && !c.written {
		select {
		case err := <-c.wrote:
			if err != nil {
				return false
			}
			c.written = true
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Close drops the connection.
func (c *Conn) Close() { _ = c.nc.Close() }

// keepAlive returns how long the other end keeps an idle connection.
func keepAlive(h http.Header) time.Duration {
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

// body is the body of an answer. Reading ends when the request's context does.
type body struct {
	io.ReadCloser
	ctx  context.Context
	stop func() bool
	// ended tells that the end was read before the context's.
	ended bool
}

// Read reads on.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		// A context that has ended may have spoiled the connection.
		b.ended = b.stop()
		return n, io.EOF
	}
	if err != nil {
		err = cause(b.ctx, err)
	}
	return n, err
}

// Close leaves the rest unread.
func (b *body) Close() error {
	b.stop()
	return nil
}

// cause returns why ctx ended in place of the time-out that it made.
func cause(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
