package stream_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabtally/baobabtally/pkg/stream"
)

func TestEventsReturnsOnlyCompleteEvents(t *testing.T) {
	text := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata: cut"
	rapid.Check(t, func(t *rapid.T) {
		var e stream.Events
		var got, last string
		for rest := text; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "n")
			whole, id, err := e.Push([]byte(rest[:n]))
			require.NoError(t, err)
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

func TestEventsWithoutNewIDAreBuffered(t *testing.T) {
	var e stream.Events
	for _, c := range []struct{ data, want, id string }{
		{
			data: ": comment\n\n",
		},
		{
			data: "id: 1\ndata: a\n\n",
			want: ": comment\n\nid: 1\ndata: a\n\n",
			id:   "1",
		},
		{
			data: "id: 1\ndata: a\n\ndata: none\n\n",
		},
		{
			data: "id: 10\ndata: b\n\nid: 9\ndata: old\n\n",
			want: "id: 1\ndata: a\n\ndata: none\n\nid: 10\ndata: b\n\n",
			id:   "10",
		},
	} {
		got, id, err := e.Push([]byte(c.data))
		require.NoError(t, err)
		require.Equal(t, c.want, string(got))
		require.Equal(t, c.id, id)
	}
	require.Equal(t, "id: 9\ndata: old\n\n", string(e.Rest()))
}

func TestStreamWithoutNewIDsIsBounded(t *testing.T) {
	for _, again := range []string{"x", "data: x\n", ": x\n\n", "data: x\n\n", "id: 7\n\n"} {
		var e stream.Events
		_, _, err := e.Push([]byte("id: 7\ndata: a\n\n"))
		sent := 0
		for ; err == nil; sent += len(again) {
			require.LessOrEqual(t, sent, stream.MaxEventBytes, again)
			_, _, err = e.Push([]byte(again))
		}
		require.ErrorIs(t, err, stream.ErrNoEvent)
	}
}

func TestEndInsideAnEventIsCut(t *testing.T) {
	text := ""
	ends := map[int]bool{
		0: true,
	}
	for _, whole := range []string{"id: 1\ndata: a\n\n", ": none\n\n", "id: 2\r\ndata: b\r\n\r\n", "data: end\n\n", "\n"} {
		text += whole
		ends[len(text)] = true
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, len(text)).Draw(t, "n")
		split := rapid.IntRange(0, n).Draw(t, "split")
		var e stream.Events
		var got string
		for _, part := range []string{text[:split], text[split:n]} {
			whole, _, err := e.Push([]byte(part))
			require.NoError(t, err)
			got += string(whole)
		}
		rest, err := e.End()
		if !ends[n] {
			require.ErrorIs(t, err, stream.ErrCut, "%q", text[:n])
			return
		}
		require.NoError(t, err, "%q", text[:n])
		require.Equal(t, text[:n], got+string(rest))
	})
}
