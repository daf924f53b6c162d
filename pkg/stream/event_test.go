package stream_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabtally/baobabtally/pkg/stream"
)

func TestEventsPassWholeOrNotAtAll(t *testing.T) {
	text := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata: cut"
	rapid.Check(t, func(t *rapid.T) {
		var e stream.Events
		var got, last string
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			whole, id := e.Push([]byte(rest[:n]))
			got += string(whole)
			if id != "" {
				last = id
			}
			rest = rest[n:]
		}
		require.Equal(t, text[:len(text)-len("id: 4\ndata: cut")], got)
		require.Equal(t, "id: 4\ndata: cut", string(e.Rest()))
		require.Equal(t, "3", last)
	})
}
