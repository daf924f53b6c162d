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
	// instanceMemory is the memory of the smallest instance, in bytes, and
	// instanceConns how many connections it has to one service. connMemory is
	// the share of one connection.
	instanceMemory = 112 << 20
	instanceConns  = 100
	connMemory     = instanceMemory / instanceConns
	// maxSent is where the test endpoint stops sending if the client doesn't
	// close the connection, in bytes.
	maxSent = 32 << 20
	// callerTimeout is the deadline of a caller.
	callerTimeout = 3 * time.Second
	// socketBuffer is the test endpoint's send buffer. It is small, so that the
	// number of bytes sent is close to the number received.
	socketBuffer = 32 << 10
	responseHead = "HTTP/1.1 200 OK\r\nX-Id: a\r\n"
	chunkedHead  = responseHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// writeUntilClosed writes start and then repeated until the client closes the
// connection or maxSent is reached. It returns how many bytes were sent.
func writeUntilClosed(c net.Conn, start, repeated string) int64 {
	_ = c.(*net.TCPConn).SetWriteBuffer(socketBuffer)
	_ = c.SetDeadline(time.Now().Add(2 * callerTimeout))
	block := strings.Repeat(repeated, 1+4096/len(repeated))
	// A single write, so that the extra bytes arrive together with the end of
	// the response.
	n, err := io.WriteString(c, start+block)
	sent := int64(n)
	for err == nil && sent < maxSent {
		n, err = io.WriteString(c, block)
		sent += int64(n)
	}
	return sent
}

// serveEndless runs writeUntilClosed for each request and returns the address
// and a channel with the number of bytes sent on each connection.
func serveEndless(t *testing.T, start, repeated string) (string, <-chan int64) {
	t.Helper()
	sent := make(chan int64, 16)
	return serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			sent <- writeUntilClosed(c, start, repeated)
		}
	}), sent
}

func TestEndlessResponseIsAnError(t *testing.T) {
	chunk := "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"
	for name, c := range map[string]struct {
		start, repeated, want string
		// most limits the bytes that may be sent if they are not held in
		// memory; 0 means connMemory.
		most int64
	}{
		"status line": {
			start:    "HTTP/1.1 200 ",
			repeated: "x",
			want:     "head",
		},
		"header line": {
			start:    responseHead + "X-Long: ",
			repeated: "x",
			want:     "head",
		},
		"headers": {
			start:    responseHead,
			repeated: "X-More: x\r\n",
			want:     "head",
		},
		"continued header": {
			start:    responseHead + "X-Long: x\r\n",
			repeated: " x\r\n",
			want:     "head",
		},
		"empty lines": {
			repeated: "\r\n",
			want:     "malformed",
		},
		"interim responses": {
			repeated: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
			want:     "head",
		},
		"interim responses that name the request": {
			repeated: "HTTP/1.1 102 Processing\r\nX-Id: a\r\n\r\n",
			want:     "head",
		},
		"text that is not HTTP": {
			repeated: "no answer at all\n",
			want:     "malformed",
		},
		"bytes that are not HTTP": {
			repeated: "\x00\xff",
			want:     "head",
		},
		"responses to other requests": {
			repeated: response("old", "bad"),
			want:     "another request",
		},
		"response to another request": {
			start:    strings.Replace(chunkedHead, "X-Id: a", "X-Id: old", 1),
			repeated: chunk,
			want:     "another request",
			most:     maxSent,
		},
		"chunk size": {
			start:    chunkedHead,
			repeated: "0",
			want:     "line too long",
		},
		"chunk extension": {
			start:    chunkedHead + "1;",
			repeated: "x",
			want:     "line too long",
		},
		"chunk extensions": {
			start:    chunkedHead,
			repeated: "1;" + strings.Repeat("x", 200) + "\r\nx\r\n",
			want:     "too much non-data",
		},
		"trailer": {
			start:    chunkedHead + "0\r\nX-Long: ",
			repeated: "x",
			want:     "trailer",
		},
		"trailers": {
			start:    chunkedHead + "0\r\n",
			repeated: "X-More: x\r\n",
			want:     "trailer",
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := link.New()
			defer p.Close()
			addr, sent := serveEndless(t, c.start, c.repeated)
			ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
			defer cancel()
			begin := time.Now()
			_, err := sendRequest(ctx, p, addr)
			require.ErrorContains(t, err, c.want)
			require.Less(t, time.Since(begin), callerTimeout/2, "the caller must not wait until its deadline")
			require.Less(t, <-sent, max(c.most, connMemory))
		})
	}
}

func TestSlowEndlessHeadStopsWithContext(t *testing.T) {
	p := link.New()
	defer p.Close()
	closed := make(chan struct{})
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		defer close(closed)
		if !readRequest(r) {
			return
		}
		_, err := io.WriteString(c, responseHead)
		for err == nil {
			time.Sleep(10 * time.Millisecond)
			_, err = io.WriteString(c, "X-More: x\r\n")
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := sendRequest(ctx, p, addr)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	select {
	case <-closed:
	case <-time.After(callerTimeout):
		require.Fail(t, "the connection stayed open")
	}
}

func TestBytesAfterResponseCloseConnection(t *testing.T) {
	p := link.New()
	defer p.Close()
	addr, sent := serveEndless(t, response("a", "one"), "x")
	for range 2 {
		got, err := sendRequest(t.Context(), p, addr)
		require.NoError(t, err)
		require.Equal(t, "one", got)
	}
	require.EqualValues(t, 2, p.Dialed(), "the connection must not be reused")
	p.Close()
	for range 2 {
		require.Less(t, <-sent, int64(connMemory))
	}
}

func TestEndlessHeadWhileRequestIsNotRead(t *testing.T) {
	p := link.New()
	defer p.Close()
	sent := make(chan int64, 1)
	addr := serve(t, func(_ int, c net.Conn, _ *bufio.Reader) {
		sent <- writeUntilClosed(c, "HTTP/1.1 200 ", "x")
	})
	c, err := p.Get(t.Context(), addr, "", 1, true)
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
	require.Less(t, time.Since(begin), callerTimeout/2)
	require.Less(t, <-sent, int64(connMemory))
}

func TestInterimResponseIsSkipped(t *testing.T) {
	for _, interim := range []string{
		"HTTP/1.1 100 Continue\r\n\r\n",
		"HTTP/1.1 102 Processing\r\nX-Id: a\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
	} {
		p := link.New()
		addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for readRequest(r) {
				_, _ = io.WriteString(c, interim+response("a", "one"))
			}
		})
		for range 2 {
			got, err := sendRequest(t.Context(), p, addr)
			require.NoError(t, err)
			require.Equal(t, "one", got, interim)
		}
		require.EqualValues(t, 1, p.Dialed())
		p.Close()
	}
}

func TestUnrequestedProtocolSwitchIsAnError(t *testing.T) {
	p := link.New()
	defer p.Close()
	for _, status := range []string{"101 Switching Protocols", "042 None"} {
		addr, _ := serveEndless(t, "HTTP/1.1 "+status+"\r\nX-Id: a\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", "x")
		_, err := sendRequest(t.Context(), p, addr)
		require.ErrorContains(t, err, "answers no request")
	}
}

func TestLongStaleResponseIsNotSplit(t *testing.T) {
	p := link.New()
	defer p.Close()
	bad := response("a", "bad")
	// The responses inside the body are aligned so that a client that cuts the
	// body after 1 MB would parse the next one as a response.
	body := strings.Repeat("x", 1<<20%len(bad)) + strings.Repeat(bad, 1<<17)
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		}
		readRequest(r)
	})
	got, err := sendRequest(t.Context(), p, addr)
	require.ErrorContains(t, err, "another request", got)
}

func TestTrimClosesIdleConnectionWithPendingBytes(t *testing.T) {
	p := link.New()
	defer p.Close()
	sent := make(chan int64, 1)
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if !readRequest(r) {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: a\r\nKeep-Alive: timeout=60\r\nContent-Length: 3\r\n\r\none")
		time.Sleep(20 * time.Millisecond)
		sent <- writeUntilClosed(c, "", "x")
	})
	got, err := sendRequest(t.Context(), p, addr)
	require.NoError(t, err)
	require.Equal(t, "one", got)
	time.Sleep(100 * time.Millisecond)
	p.Trim()
	select {
	case n := <-sent:
		require.Less(t, n, int64(connMemory))
	case <-time.After(callerTimeout):
		require.Fail(t, "Trim did not close a connection with unexpected bytes")
	}
}

func TestTrimKeepsCleanIdleConnection(t *testing.T) {
	p := link.New()
	defer p.Close()
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) {
			_, _ = io.WriteString(c, response("a", "one"))
		}
	})
	for range 2 {
		_, err := sendRequest(t.Context(), p, addr)
		require.NoError(t, err)
		p.Trim()
	}
	require.EqualValues(t, 1, p.Dialed())
}
