package stream

import (
	"bytes"
	"strings"
)

// Events cuts a byte stream of server-sent events into whole events. The zero
// value is ready.
type Events struct {
	rest []byte
}

// Push adds data and returns the whole events that are there, as they came, and
// the id of the last of them. The bytes hold until the next call.
func (e *Events) Push(data []byte) ([]byte, string) {
	e.rest = append(e.rest, data...)
	end := bytes.LastIndex(e.rest, []byte("\n\n"))
	if crlf := bytes.LastIndex(e.rest, []byte("\r\n\r\n")); crlf >= 0 && crlf+2 > end {
		end = crlf + 2
	}
	if end < 0 {
		return nil, ""
	}
	whole := e.rest[:end+2]
	e.rest = append([]byte(nil), e.rest[end+2:]...)
	return whole, lastID(whole)
}

// Rest returns the bytes after the last whole event.
func (e *Events) Rest() []byte { return e.rest }

// lastID returns the value of the last id field.
func lastID(whole []byte) string {
	at := bytes.LastIndex(whole, []byte("\nid:"))
	switch {
	case at >= 0:
		at += len("\nid:")
	case bytes.HasPrefix(whole, []byte("id:")):
		at = len("id:")
	default:
		return ""
	}
	line, _, _ := strings.Cut(string(whole[at:]), "\n")
	return strings.TrimSpace(line)
}
