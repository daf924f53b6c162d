package stream

import (
	"bytes"
	"strconv"

	"github.com/juju/errors"
)

// MaxEventBytes is the maximum number of bytes between the ends of two successive events
// with new ids. Typical events carry a few tokens in some hundred bytes.
const MaxEventBytes = 64 << 10

const (
	// ErrNoEvent means that a stream sent more than MaxEventBytes without a new event.
	ErrNoEvent = errors.ConstError("64 KB came without a new event: check the endpoint")
	// ErrMalformed means that a stream contained bytes that are no event.
	ErrMalformed = errors.ConstError("the stream holds bytes that are no event: check the endpoint")
	// ErrCut means that a stream ended inside an event.
	ErrCut = errors.ConstError("the stream ended inside an event: check the endpoint")
)

// Events splits a byte stream of server-sent events into complete events. Event ids must
// increase. Lines must be comments or fields of events; extension fields must have the
// name of a header in lowercase. Bytes without a new id, such as a comment, are buffered until an event with
// a new id follows them. The zero value is ready to use.
type Events struct {
	// buffer holds the bytes that were not returned yet. Invariant: at most
	// MaxEventBytes plus the bytes of one Push.
	buffer []byte
	// scanned is the length of the complete events without a new id at the start of
	// buffer.
	scanned int
	// lastID is the newest id.
	lastID string
}

// Push appends data and returns all complete events up to the last one with a new id,
// unchanged, and that id. The returned bytes are valid until the next call.
func (e *Events) Push(data []byte) ([]byte, string, error) {
	e.buffer = append(e.buffer, data...)
	end, id := 0, ""
	for {
		n := eventLength(e.buffer[e.scanned:])
		if n == 0 {
			break
		}
		newID, wellFormed := eventID(e.buffer[e.scanned : e.scanned+n])
		if !wellFormed {
			return e.take(end), id, ErrMalformed
		}
		e.scanned += n
		if isNewer(newID, e.lastID) {
			end, id, e.lastID = e.scanned, newID, newID
		}
	}
	complete := e.take(end)
	if len(e.buffer) > MaxEventBytes {
		return complete, id, ErrNoEvent
	}
	return complete, id, nil
}

// take removes the first n bytes, which were scanned, from the buffer and returns them.
func (e *Events) take(n int) []byte {
	taken := e.buffer[:n]
	if n > 0 {
		e.buffer = append([]byte(nil), e.buffer[n:]...)
		e.scanned -= n
	}
	return taken
}

// Rest returns the bytes after the last event with a new id.
func (e *Events) Rest() []byte { return e.buffer }

// End returns the rest of a stream whose body has ended, or ErrCut if the end is inside
// an event. Whether further events are missing can't be told from the events.
func (e *Events) End() ([]byte, error) {
	if len(bytes.Trim(e.buffer[e.scanned:], "\r\n")) > 0 {
		return nil, ErrCut
	}
	return e.buffer, nil
}

// eventLength returns the length of the first complete event in data, or 0 if there is
// none.
func eventLength(data []byte) int {
	for at := 0; ; {
		n := bytes.IndexByte(data[at:], '\n')
		if n < 0 {
			return 0
		}
		at += n + 1
		switch tail := data[at:]; {
		case bytes.HasPrefix(tail, []byte("\n")):
			return at + len("\n")
		case bytes.HasPrefix(tail, []byte("\r\n")):
			return at + len("\r\n")
		}
	}
}

// isNewer reports whether id follows lastID. Ids that are not numbers are newer if they
// differ.
func isNewer(id, lastID string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	lastNumber, errLast := strconv.ParseInt(lastID, 10, 64)
	if err == nil && errLast == nil {
		return n > lastNumber
	}
	return id != "" && id != lastID
}

// eventID returns the id of an event, or an empty string if it has none, and whether the
// event is well-formed. Only an event with an id may have extension fields.
func eventID(event []byte) (string, bool) {
	id, ids, extended := "", 0, false
	for len(event) > 0 {
		var line []byte
		line, event, _ = bytes.Cut(event, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, hasColon := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "id":
			id = string(bytes.TrimSpace(value))
			ids++
		case "", "data", "event", "retry":
		default:
			extended = true
			if !hasColon || !isExtension(name) {
				return "", false
			}
		}
	}
	return id, ids <= 1 && (id != "" || !extended)
}

// isExtension reports whether name is that of an extension field, which is the name of a
// header in lowercase. A response head inside a stream has names with capitals.
func isExtension(name []byte) bool {
	for _, c := range name {
		if c != '-' && (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return false
		}
	}
	return bytes.ContainsRune(name, '-')
}
