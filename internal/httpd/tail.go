package httpd

import (
	"errors"
	"syscall"
	"time"

	"github.com/baobabtally/baobabtally/internal/holds"
)

// maxTail bounds what is held of one response for a slow caller, in bytes.
const maxTail = 1 << 20

// tail is the part of a response that its caller has not taken yet. An engine cuts a
// response that is left unread, so that the rest is read and held here while the ledger
// has room for it. The zero value is empty.
type tail struct {
	buf []byte
	// held is what buf holds in the ledger.
	held int64
	// sending is closed when buf was sent, or can't be. It is nil while buf is empty.
	sending chan struct{}
	// err is why the rest can't be sent.
	err error
}

// writeTail writes p without waiting for the caller, as far as the ledger allows. It
// returns how much it has taken; the rest is to be written by waiting.
func (c *conn) writeTail(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.tail
	if t.err != nil {
		return 0, t.err
	}
	if c.phase != handling || !c.served || c.finished || c.server.holds.Unlimited() {
		return 0, nil
	}
	n := 0
	if t.sending == nil {
		n = writeNow(c.Conn, p)
		if n > 0 {
			c.lastByte, c.answered = time.Now(), true
		}
	}
	rest := p[n:]
	if len(rest) == 0 || !t.grow(c.server.holds, len(rest)) {
		return n, nil
	}
	t.buf = append(t.buf, rest...)
	if t.sending == nil {
		t.sending = make(chan struct{})
		go c.sendTail()
	}
	return len(p), nil
}

// grow makes room for n more bytes. It returns false if they don't fit.
func (t *tail) grow(k *holds.Keeper, n int) bool {
	size := len(t.buf) + n
	if size > maxTail {
		return false
	}
	if size <= cap(t.buf) {
		return true
	}
	room := min(max(2*cap(t.buf), size, 4<<10), maxTail)
	_, ok := k.Hold("", int64(room))
	if !ok {
		return false
	}
	t.free(k)
	t.held = int64(room)
	t.buf = append(make([]byte, 0, room), t.buf...)
	return true
}

// free sets free what the tail holds.
func (t *tail) free(k *holds.Keeper) {
	if t.held > 0 {
		k.Free("", t.held)
	}
	t.held = 0
}

// sendTail sends the tail to its end.
func (c *conn) sendTail() {
	for {
		c.mu.Lock()
		t := &c.tail
		if len(t.buf) == 0 || t.err != nil {
			t.free(c.server.holds)
			t.buf = nil
			close(t.sending)
			t.sending = nil
			c.mu.Unlock()
			return
		}
		part := t.buf
		c.mu.Unlock()
		n, err := c.writeWaiting(part)
		c.mu.Lock()
		t.err = err
		// What was appended meanwhile lies behind part, in the same buffer or in a new one.
		t.buf = t.buf[:copy(t.buf, t.buf[n:])]
		c.mu.Unlock()
	}
}

// awaitTail waits until the tail was sent, and returns why it was not.
func (c *conn) awaitTail() error {
	c.mu.Lock()
	sending := c.tail.sending
	c.mu.Unlock()
	if sending != nil {
		<-sending
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tail.err
}

// writeNow writes to the socket of c as much of p as it takes at once. Errors are left to
// the write that follows.
func writeNow(c any, p []byte) int {
	raw, ok := rawConn(c)
	if !ok {
		return 0
	}
	n := 0
	_ = raw.Write(func(fd uintptr) bool {
		for n < len(p) {
			m, err := syscall.Write(int(fd), p[n:])
			if m > 0 {
				n += m
			}
			if err != nil && !errors.Is(err, syscall.EINTR) || m == 0 && err == nil {
				break
			}
		}
		return true
	})
	return n
}
