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
	// ErrOrder means that an event came again, is missing or can't be placed.
	ErrOrder = errors.ConstError("an event came again, is missing or has no id: check the endpoint")
	// ErrCut means that a stream ended inside an event.
	ErrCut = errors.ConstError("the stream ended inside an event: check the endpoint")
)

// Events splits a byte stream of server-sent events into complete events. Event ids must
// increase. Lines must be comments or fields of events; extension fields must have the
// name of a header in lowercase. Bytes without a new id, such as a comment, are buffered
// until an event with a new id follows them. The zero value is ready to use.
type Events struct {
	// buffer holds the bytes that were not returned yet. Invariant: at most
	// MaxEventBytes plus the bytes of one Push.
	buffer []byte
	// scanned is the length of the complete events without a new id at the start of
	// buffer.
	scanned int
	// lastID is the newest id.
	lastID string
	// resumed is whether the next event with a new id is the first one of a resumed
	// stream, and consecutive whether that id must be the number after lastID.
	resumed     bool
	consecutive bool
	// repeated is whether buffer holds an event with an id that is not new.
	repeated bool
	// skips is whether the ids are not consecutive numbers.
	skips bool
	// begun is whether an event came. Comments are none.
	begun bool
}

// After returns the Events of a stream that resumes after the event with the given id.
// Bytes of another run must not be joined to the stream, so an id that is not new is an
// error, and so is an event without an id before the first new one. With consecutive, the
// ids before were consecutive numbers, and an id that skips numbers is an error as well.
func After(id string, consecutive bool) Events {
	return Events{
		lastID:      id,
		resumed:     id != "",
		consecutive: consecutive,
	}
}

// Begun reports whether an event came.
func (e *Events) Begun() bool { return e.begun }

// Skips reports whether the ids so far are not consecutive numbers.
func (e *Events) Skips() bool { return e.skips }

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
		ev, wellFormed := parse(e.buffer[e.scanned : e.scanned+n])
		if !wellFormed {
			return e.take(end), id, ErrMalformed
		}
		isNew := isNewer(ev.id, e.lastID)
		if !e.place(ev, isNew) {
			return e.take(end), id, ErrOrder
		}
		e.scanned += n
		if isNew {
			end, id, e.lastID = e.scanned, ev.id, ev.id
		}
	}
	complete := e.take(end)
	if len(e.buffer) > MaxEventBytes {
		return complete, id, ErrNoEvent
	}
	return complete, id, nil
}

// place records the next event. It returns false if the event can't follow those before.
func (e *Events) place(ev event, isNew bool) bool {
	e.begun = e.begun || ev.content
	switch {
	case isNew:
		last, _ := strconv.ParseInt(e.lastID, 10, 64)
		n, err := strconv.ParseInt(ev.id, 10, 64)
		skips := err != nil || n != last+1
		if e.repeated || e.resumed && e.consecutive && skips {
			return false
		}
		e.skips = e.skips || skips
		e.resumed = false
	case ev.id != "":
		e.repeated = true
	case e.resumed:
		return !ev.content
	}
	return true
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
	if e.repeated {
		return nil, ErrOrder
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

// event is an event of a stream.
type event struct {
	// id is empty if the event has none.
	id string
	// content is whether the event is not just a comment.
	content bool
}

// parse returns an event and whether it is well-formed. Only an event with an id may have
// extension fields.
func parse(text []byte) (event, bool) {
	var ev event
	ids, extended := 0, false
	for len(text) > 0 {
		var line []byte
		line, text, _ = bytes.Cut(text, []byte("\n"))
		line = bytes.TrimSuffix(line, []byte("\r"))
		name, value, hasColon := bytes.Cut(line, []byte(":"))
		switch string(name) {
		case "":
			// A comment or the end of the event.
			continue
		case "id":
			ev.id = string(bytes.TrimSpace(value))
			ids++
		case "data", "event", "retry":
		default:
			extended = true
			if !hasColon || !isExtension(name) {
				return event{}, false
			}
		}
		ev.content = true
	}
	return ev, ids <= 1 && (ev.id != "" || !extended)
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
