package httpd

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const (
	// fieldBytes is what a line of a header takes once it is parsed and copied for an
	// endpoint, and headerCopies how often the bytes of a header are held.
	fieldBytes   = 400
	headerCopies = 3
	// freeHeaderBytes is what the header of an ordinary request holds at most. It counts
	// as a part of the connection.
	freeHeaderBytes = 16 << 10
	// firstBlock is the size of the first block in which a body of unknown length is read.
	firstBlock = 32 << 10
	// maxBlock bounds the blocks that follow.
	maxBlock = 1 << 20
	// crowdedResponse answers a request whose header does not fit.
	crowdedResponse = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/problem+json\r\nRetry-After: %d\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s"
	crowdedProblem  = `{"title":"overload","detail":"the instance holds too many bytes for callers: retry later","run":"not_run"}` + "\n"
)

// ErrNoLength is the error of a body whose end is not known: HTTP/1.0 has no chunks.
const ErrNoLength = errors.ConstError("a request of HTTP/1.0 has no length")

// Crowded is the error of a request that the server has no room to hold. It was not read
// to its end.
type Crowded struct {
	// Wait is after what time there will probably be room.
	Wait time.Duration
}

// Error implements error.
func (e Crowded) Error() string { return "no room for the body: retry after " + e.Wait.String() }

// hold is what the current request of a connection holds in the server's ledger.
type hold struct {
	// header is the part of its header, of which size bytes and lines were read.
	header      int64
	size, lines int64
	// body is the part of its body, and owner whose it is.
	body  int64
	owner string
	// refused is true if the body was refused and may still be sent.
	refused bool
	// unread is how many bytes of a refused body are read at most.
	unread int64
}

// endHold sets free what the current request holds. The caller holds mu.
func (c *conn) endHold() {
	k := c.server.holds
	if c.hold.header > 0 {
		k.Free("", c.hold.header)
	}
	if c.hold.body > 0 {
		k.Free(c.hold.owner, c.hold.body)
	}
	c.hold = hold{}
}

// resize changes what is held for owner from *held to size bytes. If these don't fit,
// nothing is held. The caller holds mu.
func (c *conn) resize(held *int64, size int64, owner string) (time.Duration, bool) {
	wait, ok := c.server.holds.Resize(owner, *held, size)
	*held = 0
	if ok {
		*held = size
	}
	return wait, ok
}

// holdHeader counts a part of a header. It refuses the request if that does not fit.
func (c *conn) holdHeader(p []byte) bool {
	c.mu.Lock()
	if c.phase != reading {
		c.mu.Unlock()
		return true
	}
	if end := bytes.Index(p, []byte("\r\n\r\n")); end >= 0 {
		p = p[:end]
	}
	h := &c.hold
	h.size += int64(len(p))
	h.lines += int64(bytes.Count(p, []byte("\n")))
	need := headerCopies*h.size + fieldBytes*h.lines
	if need <= freeHeaderBytes || need <= h.header {
		c.mu.Unlock()
		return true
	}
	// Steps of a quarter keep a header that comes byte by byte from being counted anew
	// each time.
	wait, ok := c.resize(&h.header, need+need/4, "")
	if !ok {
		c.setPhase(leaving)
	}
	c.mu.Unlock()
	if !ok {
		c.refuseHeader(wait)
	}
	return ok
}

// refuseHeader answers a request whose header is not read to its end.
func (c *conn) refuseHeader(wait time.Duration) {
	s := c.server
	s.log.Warn().Str("event", "refuse").Str("reason", "overload").Str("detail", "the header does not fit").Str("peer", c.RemoteAddr().String()).Send()
	s.meter.Closed(crowded.String())
	end := time.Now().Add(restTime)
	_ = c.SetWriteDeadline(end)
	_, _ = fmt.Fprintf(c.Conn, crowdedResponse, int64(max(wait, time.Second).Seconds()), len(crowdedProblem), crowdedProblem)
	// CloseWrite begins a phase without a deadline.
	if c.CloseWrite() == nil && c.Conn.SetReadDeadline(end) == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
}

// ReadBody reads the body of r, of at most limit bytes, and holds copies times as many in
// the server's ledger for owner until the handler returns. It returns a Crowded error if
// they don't fit: before it has read anything if the length is declared, and else as soon
// as it is known. What the caller still sends then is discarded behind the response.
func ReadBody(w http.ResponseWriter, r *http.Request, limit, copies int64, owner string) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{
			Limit: limit,
		}
	}
	if r.ContentLength == 0 {
		if !lengthKnown(r) {
			// What the caller may send as a body must not be taken for a request.
			w.Header().Set("Connection", "close")
			return nil, ErrNoLength
		}
		return []byte{}, nil
	}
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	}
	if r.ContentLength > 0 {
		if err := c.holdBody(w, r, copies*r.ContentLength, limit, owner); err != nil {
			return nil, err
		}
		body := make([]byte, r.ContentLength)
		_, err := io.ReadFull(r.Body, body)
		return body, err
	}
	return c.readUnknown(w, r, limit, copies, owner)
}

// lengthKnown reports whether a body that net/http takes for empty is known to be. net/http
// drops the Transfer-Encoding of a request of HTTP/1.0, which may have one against the
// protocol (RFC 9112, 6.1), and methods with a body need a length there (RFC 1945, 7.2.2).
func lengthKnown(r *http.Request) bool {
	if r.ProtoAtLeast(1, 1) || r.Header.Get("Content-Length") != "" {
		return true
	}
	return r.Method != http.MethodPost && r.Method != http.MethodPut && r.Method != http.MethodPatch
}

// holdBody holds n bytes for the body of r in place of what it has held.
func (c *conn) holdBody(w http.ResponseWriter, r *http.Request, n, limit int64, owner string) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hold.owner = owner
	wait, ok := c.resize(&c.hold.body, n, owner)
	if ok {
		return nil
	}
	// A caller that was asked to wait with the body sends none once it is refused.
	if r.Header.Get("Expect") == "" && http.NewResponseController(w).EnableFullDuplex() == nil {
		c.hold.refused, c.hold.unread = true, limit
	}
	return Crowded{
		Wait: wait,
	}
}

// readUnknown reads a body of unknown length in blocks, since a buffer that grows leaves
// several times its size behind.
func (c *conn) readUnknown(w http.ResponseWriter, r *http.Request, limit, copies int64, owner string) ([]byte, error) {
	in := http.MaxBytesReader(w, r.Body, limit)
	var blocks [][]byte
	total, room := int64(0), int64(0)
	for size := int64(firstBlock); ; size = min(2*size, maxBlock) {
		room += size
		// The blocks are joined in the end.
		if err := c.holdBody(w, r, (copies+1)*room, limit, owner); err != nil {
			return nil, err
		}
		block := make([]byte, size)
		n, ended, err := fill(in, block)
		if err != nil {
			return nil, err
		}
		total += int64(n)
		blocks = append(blocks, block[:n])
		if ended {
			return c.joined(blocks, total, copies, owner)
		}
	}
}

// fill reads from r until block is full or r ends, which only io.EOF says. io.ReadFull would
// return io.ErrUnexpectedEOF both for a body that is shorter than the block and for one that
// is cut.
func fill(r io.Reader, block []byte) (n int, ended bool, err error) {
	for n < len(block) {
		m, err := r.Read(block[n:])
		n += m
		if err == io.EOF {
			return n, true, nil
		}
		if err != nil {
			return n, false, err
		}
	}
	return n, false, nil
}

// joined returns blocks as one body that holds what it needs.
func (c *conn) joined(blocks [][]byte, total, copies int64, owner string) ([]byte, error) {
	body := bytes.Join(blocks, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.server.holds
	if less := c.hold.body - copies*total; less > 0 && total > 0 {
		// What remains may be refused in no case: it is there.
		k.Free(owner, c.hold.body)
		c.hold.body = copies * total
		k.Keep(owner, c.hold.body)
	}
	return body, nil
}

// takeRefused reads on behind the response to a refused body, so that a caller that still
// writes gets the response and the connection can be used further.
func (c *conn) takeRefused(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	refused, most := c.hold.refused, c.hold.unread
	c.mu.Unlock()
	if !refused || http.NewResponseController(w).Flush() != nil {
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, most))
}
