package stream

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// MaxEvent bounds the bytes from the end of one event that has a new id to the
// end of the next one. An event carries a few tokens, some hundred bytes.
const MaxEvent = 64 << 10

// ErrNoEvent means that a stream sends bytes and does not go on.
const ErrNoEvent = errors.ConstError("64 KB came without a new event: check the endpoint")

// Events cuts a byte stream of server-sent events into whole events. Ids
// increase. What has no new id, such as a comment, is held back until an event
// that has one follows it. The zero value is ready.
type Events struct {
	// rest is what was not returned yet.
	// Invariant: at most MaxEvent bytes and those of one Push.
	rest []byte
	// seen is how much of rest is whole events without a new id.
	seen int
	// last is the newest id.
	last string
}

// Push adds data and returns the whole events that are there, as they came, and
// the id of the last of them. The bytes hold until the next call.
func (e *Events) Push(data []byte) ([]byte, string, error) {
	e.rest = append(e.rest, data...)
	end, id := 0, ""
	for {
		n := eventEnd(e.rest[e.seen:])
		if n == 0 {
			break
		}
		found := idOf(e.rest[e.seen : e.seen+n])
		e.seen += n
		if newer(found, e.last) {
			end, id, e.last = e.seen, found, found
		}
	}
	whole := e.rest[:end]
	if end > 0 {
		e.rest = append([]byte(nil), e.rest[end:]...)
		e.seen -= end
	}
	if len(e.rest) > MaxEvent {
		return whole, id, ErrNoEvent
	}
	return whole, id, nil
}

// Rest returns the bytes after the last event with a new id.
func (e *Events) Rest() []byte { return e.rest }

// eventEnd returns the length of the first whole event, or 0.
func eventEnd(data []byte) int {
	for at := 0; ; {
		n := bytes.IndexByte(data[at:], '\n')
		if n < 0 {
			return 0
		}
		at += n + 1
		switch rest := data[at:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return at + len("\n")
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return at + len("\r\n")
		}
	}
}

// newer tells whether id comes after last. Ids that are no numbers are only
// compared for being another one.
func newer(id, last string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	before, errBefore := strconv.ParseInt(last, 10, 64)
	if err == nil && errBefore == nil {
		return n > before
	}
	return id != "" && id != last
}

// idOf returns the value of the last id field of an event.
func idOf(event []byte) string {
	at := bytes.LastIndex(event, []byte("\nid:"))
	switch {
	case at >= 0:
		at += len("\nid:")
	case bytes.HasPrefix(event, []byte("id:")):
		at = len("id:")
	default:
		return ""
	}
	line, _, _ := strings.Cut(string(event[at:]), "\n")
	return strings.TrimSpace(line)
}
