package link_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/link"
)

const (
	// memory is that of the smallest instance, in bytes, and conns how many
	// connections it has to one service. One connection may take its part.
	memory = 112 << 20
	conns  = 100
	part   = memory / conns
	// plenty is where a stand-in stops that nobody stopped, in bytes.
	plenty = 32 << 20
	// deadline is that of a caller.
	deadline = 3 * time.Second
	// sockets is the buffer of a stand-in's socket, so that what it sent is near
	// what was received.
	sockets = 32 << 10
	head    = "HTTP/1.1 200 OK\r\nX-Id: a\r\n"
	chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
)

// flood writes start, and then again without end, until the other end closes.
// It returns how many bytes could be sent.
func flood(c net.Conn, start, again string) int64 {
	_ = c.(*net.TCPConn).SetWriteBuffer(sockets)
	_ = c.SetDeadline(time.Now().Add(2 * deadline))
	block := strings.Repeat(again, 1+4096/len(again))
	// One write, so that what follows a whole answer is there with its end.
	n, err := io.WriteString(c, start+block)
	sent := int64(n)
	for err == nil && sent < plenty {
		n, err = io.WriteString(c, block)
		sent += int64(n)
	}
	return sent
}

// floods serves a flood on each connection and tells how much of it was sent.
func floods(t *testing.T, start, again string) (string, <-chan int64) {
	t.Helper()
	sent := make(chan int64, 16)
	return serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if accept(r) {
			sent <- flood(c, start, again)
		}
	}), sent
}

func TestAnswerWithoutEndEndsTheConnection(t *testing.T) {
	chunk := "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"
	for name, c := range map[string]struct {
		start, again, want string
		// most bounds what could be sent where that is not kept; 0 for a
		// connection's part.
		most int64
	}{
		"status line": {
			start: "HTTP/1.1 200 ",
			again: "x",
			want:  "head",
		},
		"header line": {
			start: head + "X-Long: ",
			again: "x",
			want:  "head",
		},
		"headers": {
			start: head,
			again: "X-More: x\r\n",
			want:  "head",
		},
		"continued header": {
			start: head + "X-Long: x\r\n",
			again: " x\r\n",
			want:  "head",
		},
		"empty lines": {
			again: "\r\n",
			want:  "malformed",
		},
		"interim answers": {
			again: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
			want:  "head",
		},
		"interim answers that name the request": {
			again: "HTTP/1.1 102 Processing\r\nX-Id: a\r\n\r\n",
			want:  "head",
		},
		"text that is no answer": {
			again: "no answer at all\n",
			want:  "malformed",
		},
		"bytes that are no answer": {
			again: "\x00\xff",
			want:  "head",
		},
		"answers to other requests": {
			again: answer("old", "bad"),
			want:  "another request",
		},
		"an answer to another request": {
			start: strings.Replace(chunked, "X-Id: a", "X-Id: old", 1),
			again: chunk,
			want:  "another request",
			most:  plenty,
		},
		"chunk size": {
			start: chunked,
			again: "0",
			want:  "line too long",
		},
		"chunk extension": {
			start: chunked + "1;",
			again: "x",
			want:  "line too long",
		},
		"chunk extensions": {
			start: chunked,
			again: "1;" + strings.Repeat("x", 200) + "\r\nx\r\n",
			want:  "too much non-data",
		},
		"trailer": {
			start: chunked + "0\r\nX-Long: ",
			again: "x",
			want:  "trailer",
		},
		"trailers": {
			start: chunked + "0\r\n",
			again: "X-More: x\r\n",
			want:  "trailer",
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := link.New()
			defer p.Close()
			addr, sent := floods(t, c.start, c.again)
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			begin := time.Now()
			_, err := ask(ctx, p, addr)
			require.ErrorContains(t, err, c.want)
			require.Less(t, time.Since(begin), deadline/2, "the caller waits for nothing")
			require.Less(t, <-sent, max(c.most, part))
		})
	}
}

func TestHeadWithoutEndThatTricklesEndsWithTheContext(t *testing.T) {
	p := link.New()
	defer p.Close()
	closed := make(chan struct{})
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		defer close(closed)
		if !accept(r) {
			return
		}
		_, err := io.WriteString(c, head)
		for err == nil {
			time.Sleep(10 * time.Millisecond)
			_, err = io.WriteString(c, "X-More: x\r\n")
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := ask(ctx, p, addr)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	select {
	case <-closed:
	case <-time.After(deadline):
		require.Fail(t, "the connection stayed open")
	}
}

func TestBytesAfterTheAnswerEndTheConnection(t *testing.T) {
	p := link.New()
	defer p.Close()
	addr, sent := floods(t, answer("a", "one"), "x")
	for range 2 {
		got, err := ask(t.Context(), p, addr)
		require.NoError(t, err)
		require.Equal(t, "one", got)
	}
	require.EqualValues(t, 2, p.Dialed(), "the connection must not carry another request")
	p.Close()
	for range 2 {
		require.Less(t, <-sent, int64(part))
	}
}

func TestBytesWithoutEndFromAnEndpointThatReadsNothing(t *testing.T) {
	p := link.New()
	defer p.Close()
	sent := make(chan int64, 1)
	addr := serve(t, func(_ int, c net.Conn, _ *bufio.Reader) {
		sent <- flood(c, "HTTP/1.1 200 ", "x")
	})
	c, err := p.Get(t.Context(), addr, 1, true)
	require.NoError(t, err)
	begin := time.Now()
	_, err = c.Do(t.Context(), link.Request{
		Method: http.MethodPost,
		Path:   "/",
		Host:   "h",
		Header: http.Header{},
		Body:   []byte(strings.Repeat("x", 8<<20)),
	})
	require.ErrorContains(t, err, "head")
	p.Drop(c)
	require.Less(t, time.Since(begin), deadline/2)
	require.Less(t, <-sent, int64(part))
}

func TestInterimAnswerIsNotTheAnswer(t *testing.T) {
	for _, interim := range []string{
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 102 Processing\r\nX-Id: a\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
	} {
		p := link.New()
		addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for accept(r) {
				_, _ = io.WriteString(c, interim+answer("a", "one"))
			}
		})
		for range 2 {
			got, err := ask(t.Context(), p, addr)
			require.NoError(t, err)
			require.Equal(t, "one", got, interim)
		}
		require.EqualValues(t, 1, p.Dialed())
		p.Close()
	}
}

func TestChangeOfProtocolThatNobodyAskedForIsAnError(t *testing.T) {
	p := link.New()
	defer p.Close()
	for _, status := range []string{"101 Switching Protocols", "042 None"} {
		addr, _ := floods(t, "HTTP/1.1 "+status+"\r\nX-Id: a\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", "x")
		_, err := ask(t.Context(), p, addr)
		require.ErrorContains(t, err, "answers no request")
	}
}

func TestRestOfALongStrayAnswerIsNoAnswer(t *testing.T) {
	p := link.New()
	defer p.Close()
	bad := answer("a", "bad")
	// The answers in the body begin anew where a bound of a power of two cuts it.
	body := strings.Repeat("x", 1<<20%len(bad)) + strings.Repeat(bad, 1<<17)
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if accept(r) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		accept(r)
	})
	got, err := ask(t.Context(), p, addr)
	require.ErrorContains(t, err, "another request", got)
}

func TestBytesOnAnIdleConnectionEndIt(t *testing.T) {
	p := link.New()
	defer p.Close()
	sent := make(chan int64, 1)
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if !accept(r) {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=60\r\nContent-Length: 3\r\n\r\none")
		time.Sleep(20 * time.Millisecond)
		sent <- flood(c, "", "x")
	})
	got, err := ask(t.Context(), p, addr)
	require.NoError(t, err)
	require.Equal(t, "one", got)
	time.Sleep(100 * time.Millisecond)
	p.Trim()
	select {
	case n := <-sent:
		require.Less(t, n, int64(part))
	case <-time.After(deadline):
		require.Fail(t, "what nobody asked for stays in memory while no request comes")
	}
}

func TestQuietIdleConnectionOutlastsATrim(t *testing.T) {
	p := link.New()
	defer p.Close()
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for accept(r) {
			_, _ = io.WriteString(c, answer("a", "one"))
		}
	})
	for range 2 {
		_, err := ask(t.Context(), p, addr)
		require.NoError(t, err)
		p.Trim()
	}
	require.EqualValues(t, 1, p.Dialed())
}
