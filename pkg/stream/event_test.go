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
			data: "data: none\n\n",
		},
		{
			data: "id: 10\ndata: b\n\nid: 9\ndata: old\n\n",
			want: "data: none\n\nid: 10\ndata: b\n\n",
			id:   "10",
		},
	} {
		got, id, err := e.Push([]byte(c.data))
		require.NoError(t, err)
		require.Equal(t, c.want, string(got))
		require.Equal(t, c.id, id)
	}
	require.Equal(t, "id: 9\ndata: old\n\n", string(e.Rest()))
	_, err := e.End()
	require.ErrorIs(t, err, stream.ErrOrder)
	got, id, err := e.Push([]byte("id: 11\ndata: c\n\n"))
	require.ErrorIs(t, err, stream.ErrOrder, "an event that came again must not be delivered")
	require.Empty(t, got)
	require.Empty(t, id)
}

func TestResumedStreamStartsAfterLastEvent(t *testing.T) {
	for _, c := range []struct {
		last        string
		consecutive bool
		text        string
		err         error
	}{
		{
			last: "2",
			text: ": none\n\nid: 3\n\ndata: c\n\nid: 4\n\n",
		},
		{
			last: "2",
			text: "id: 5\n\nid: 9\n\n",
		},
		{
			last:        "2",
			consecutive: true,
			text:        "id: 3\n\nid: 5\n\n",
		},
		{
			last:        "b",
			consecutive: false,
			text:        "id: a\n\n",
		},
		{
			last:        "2",
			consecutive: true,
			text:        "id: 4\n\n",
			err:         stream.ErrOrder,
		},
		{
			last: "2",
			text: "id: 2\n\nid: 3\n\n",
			err:  stream.ErrOrder,
		},
		{
			last: "2",
			text: "id: 1\n\nid: 2\n\nid: 3\n\n",
			err:  stream.ErrOrder,
		},
		{
			last: "2",
			text: "data: error\n\nid: 3\n\n",
			err:  stream.ErrOrder,
		},
		{
			last: "2",
			text: "event: error\ndata: none\n\n",
			err:  stream.ErrOrder,
		},
	} {
		e := stream.After(c.last, c.consecutive)
		got, _, err := e.Push([]byte(c.text))
		if c.err == nil {
			require.NoError(t, err, "%q", c.text)
			require.Equal(t, c.text, string(got))
			continue
		}
		require.ErrorIs(t, err, c.err, "%q", c.text)
		require.Empty(t, got)
	}
}

func TestIDsThatSkipNumbersAreReported(t *testing.T) {
	for text, skips := range map[string]bool{
		"":                             false,
		"id: 1\n\nid: 2\n\nid: 3\n\n":  false,
		"id: 1\n\n: none\n\nid: 2\n\n": false,
		"id: 2\n\n":                    true,
		"id: 0\n\nid: 1\n\n":           true,
		"id: 1\n\nid: 3\n\nid: 4\n\n":  true,
		"id: a\n\nid: b\n\n":           true,
	} {
		var e stream.Events
		_, _, err := e.Push([]byte(text))
		require.NoError(t, err)
		require.Equal(t, skips, e.Skips(), "%q", text)
	}
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

func TestBytesThatAreNoEventAreMalformed(t *testing.T) {
	for text, wellFormed := range map[string]bool{
		"id: 2\ndata: b\nevent: x\nretry: 5\n\n":               true,
		"x-weight-versions: 2\nid: 2\ndata: b\n\n":             true,
		"id:2\r\ndata\r\n:none\r\n\r\n":                        true,
		"data: HTTP/1.1 500 No\n\n":                            true,
		"\n\n":                                                 true,
		"no such stream\n\n":                                   false,
		"error\n\n":                                            false,
		"error: none\n\n":                                      false,
		"x-weight-versions: 2\n\n":                             false,
		"{\"error\":\"full\"}\n\n":                             false,
		"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n":         false,
		"id: 2\ndata: tHTTP/1.1 500 No\nContent-Length: 0\n\n": false,
		"id: 2\ndaid: 3\ndata: c\n\n":                          false,
		"id: 2\nid: 3\ndata: c\n\n":                            false,
	} {
		var e stream.Events
		got, id, err := e.Push([]byte("id: 1\ndata: a\n\n" + text + "id: 9\n\n"))
		if wellFormed {
			require.NoError(t, err, "%q", text)
			require.Equal(t, "9", id)
			continue
		}
		require.ErrorIs(t, err, stream.ErrMalformed, "%q", text)
		require.Equal(t, "id: 1\ndata: a\n\n", string(got))
		require.Equal(t, "1", id)
	}
}
