package plat_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/plat"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// reset ends a connection, after the response was read, so that the other side finds no end.
func reset(c net.Conn) {
	time.Sleep(20 * time.Millisecond)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// answer answers the head of each request with response and ends the connection.
func answer(t *testing.T, response string, end func(c net.Conn)) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, response)
			end(c)
		}
	}()
	return "http://" + l.Addr().String()
}

// A status that is none says nothing of an object, and an answer without a length that was
// reset during an upload does not confirm it.
func TestOddAnswerOfObjectStoreIsAnError(t *testing.T) {
	for _, status := range []string{"000", "099", "999"} {
		o := plat.NewObjectStore(answer(t, "HTTP/1.1 "+status+" x\r\nContent-Length: 2\r\n\r\n{}", reset))
		_, err := o.Get(t.Context(), "k")
		require.Error(t, err, status)
		require.Error(t, o.Put(t.Context(), "k", []byte("x")), status)
		o.Close()
	}
	target := answer(t, "HTTP/1.1 200 OK\r\n\r\npart", reset)
	for range 20 {
		o := plat.NewObjectStore(target)
		require.Error(t, o.Put(t.Context(), "k", make([]byte, 8<<20)))
		o.Close()
	}
}

// An answer that has neither a length nor chunks may be a part: its end is that of the
// connection, however it came about. A part of a row or of a list must not be taken for all.
func TestUnframedAnswerIsAnError(t *testing.T) {
	target := answer(t, "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nConnection: close\r\n\r\n[]", func(c net.Conn) { _ = c.Close() })
	table, objects, list := plat.NewTable(target), plat.NewObjectStore(target), plat.NewList(target)
	defer table.Close()
	defer objects.Close()
	defer list.Close()
	_, err := table.Get(t.Context(), "k")
	require.ErrorIs(t, err, store.ErrUnavailable)
	_, err = table.Put(t.Context(), store.Row{
		Key: "k",
	})
	require.ErrorIs(t, err, store.ErrLost, "the write may have happened")
	_, err = objects.Get(t.Context(), "k")
	require.ErrorIs(t, err, store.ErrUnavailable)
	_, err = objects.Last(t.Context(), "k", "1")
	require.ErrorIs(t, err, store.ErrUnavailable)
	_, err = list.Nodes(t.Context())
	require.ErrorIs(t, err, store.ErrUnavailable)
}
