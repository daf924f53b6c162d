package httpd_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/holds"
	"github.com/baobabtally/baobabtally/internal/httpd"
)

const (
	heldLimit = 8 << 20
	bodyLimit = 4 << 20
)

// serveBodies starts a server that responds with the length of the body, or 503 if there
// is no room for it.
func serveBodies(t *testing.T, options ...httpd.Option) (string, *holds.Keeper) {
	t.Helper()
	keeper := holds.New(heldLimit)
	s := httpd.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := httpd.ReadBody(w, r, bodyLimit, 1, r.Header.Get("X-Key"))
		var crowded httpd.Crowded
		switch {
		case errors.As(err, &crowded):
			w.Header().Set("Retry-After", strconv.Itoa(int(crowded.Wait.Seconds()+1)))
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			_, _ = fmt.Fprint(w, len(body))
		}
	}), append(options, httpd.WithHolds(keeper))...)
	return serve(t, s), keeper
}

// serve has s serve until the test ends, and returns its address.
func serve(t *testing.T, s *httpd.Server) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(l)
	}()
	t.Cleanup(func() {
		_ = s.Close()
		<-done
	})
	return l.Addr().String()
}

// dial opens a connection that ends with the test.
func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	return c, bufio.NewReader(c)
}

// status reads a response and returns its status and body.
func status(t *testing.T, r *bufio.Reader) (int, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(body)
}

// A body that does not fit is refused before it is read. Its caller gets the refusal
// although it writes the whole body first, and can use the connection further.
func TestRefusedBodyLeavesConnectionUsable(t *testing.T) {
	for name, framing := range map[string]string{
		"length": "Content-Length: 3000000\r\n\r\n" + strings.Repeat("x", 3000000),
		"chunks": "Transfer-Encoding: chunked\r\n\r\n2dc6c0\r\n" + strings.Repeat("x", 3000000) + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			addr, keeper := serveBodies(t)
			keeper.Keep("other", heldLimit-(1<<20))
			c, r := dial(t, addr)
			_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\n"+framing)
			require.NoError(t, err)
			code, _ := status(t, r)
			require.Equal(t, http.StatusServiceUnavailable, code)
			keeper.Free("other", heldLimit-(1<<20))
			_, err = io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\n"+framing)
			require.NoError(t, err)
			code, body := status(t, r)
			require.Equal(t, http.StatusOK, code)
			require.Equal(t, "3000000", body)
			_ = c.Close()
			require.Eventually(t, func() bool {
				held, _, _ := keeper.Held()
				return held == 0
			}, 5*time.Second, 10*time.Millisecond, "all must be set free")
		})
	}
}

// A caller that sends next to nothing of a body loses its connection, and what it holds.
func TestStalledBodyIsEnded(t *testing.T) {
	addr, keeper := serveBodies(t, httpd.WithProgressTime(300*time.Millisecond))
	c, r := dial(t, addr)
	_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nx")
	require.NoError(t, err)
	code, _ := status(t, r)
	require.Equal(t, http.StatusBadRequest, code)
	_, err = r.ReadByte()
	require.Error(t, err)
	require.Eventually(t, func() bool {
		held, _, _ := keeper.Held()
		return held == 0
	}, 5*time.Second, 10*time.Millisecond)
}

// A caller that reads slowly, but reads, gets the whole response.
func TestSlowReaderGetsWholeResponse(t *testing.T) {
	const size = 6 << 20
	s := httpd.New(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("x"), size))
	}), httpd.WithProgressTime(300*time.Millisecond))
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	c, r := dial(t, l.Addr().String())
	_ = c.(*net.TCPConn).SetReadBuffer(16 << 10)
	_, err = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	for range 10 {
		time.Sleep(150 * time.Millisecond)
		_, err = io.CopyN(io.Discard, resp.Body, 256<<10)
		require.NoError(t, err)
	}
	rest, err := io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.EqualValues(t, size-10*(256<<10), rest)
}

// At the limit on connections, the one that has kept the server waiting longest makes room.
// A request that is being served does not.
func TestConnectionsMakeRoomForOthers(t *testing.T) {
	release, begun := make(chan struct{}), make(chan struct{}, 1)
	s := httpd.New(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			begun <- struct{}{}
			<-release
		}
	}), httpd.WithMaxConnections(3))
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	served, answer := dial(t, l.Addr().String())
	_, err = io.WriteString(served, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	<-begun
	for range 4 {
		c, _ := dial(t, l.Addr().String())
		_, err = io.WriteString(c, "GET /half HTTP/1.1\r\nHo")
		require.NoError(t, err)
		time.Sleep(200 * time.Millisecond)
	}
	c, r := dial(t, l.Addr().String())
	_, err = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	code, _ := status(t, r)
	require.Equal(t, http.StatusOK, code)
	close(release)
	code, _ = status(t, answer)
	require.Equal(t, http.StatusOK, code)
}

// A header of very many fields is refused by a promise once it does not fit, and served in
// calm.
func TestManyFieldsCountInTheLedger(t *testing.T) {
	header := "GET /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 3000) + "\r\n"
	addr, keeper := serveBodies(t)
	c, r := dial(t, addr)
	_, err := io.WriteString(c, header)
	require.NoError(t, err)
	code, _ := status(t, r)
	require.Equal(t, http.StatusOK, code)
	require.Eventually(t, func() bool {
		held, _, _ := keeper.Held()
		return held <= 64<<10
	}, 5*time.Second, time.Millisecond, "the connection alone must be held once the request has ended")
	keeper.Keep("other", heldLimit-(200<<10))
	c, r = dial(t, addr)
	_, err = io.WriteString(c, header)
	require.NoError(t, err)
	code, body := status(t, r)
	require.Equal(t, http.StatusServiceUnavailable, code)
	require.Contains(t, body, "not_run")
}

// smallBuffers is a listener whose connections buffer little of what is written.
type smallBuffers struct {
	net.Listener
}

func (l smallBuffers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(8 << 10)
	}
	return c, err
}

// What a slow caller leaves unread is held while the ledger has room, so that the engine
// behind the response is not held up. The caller gets all of it.
func TestUnreadResponseIsHeldForSlowCaller(t *testing.T) {
	const parts, size = 150, 4 << 10
	written := make(chan struct{})
	keeper := holds.New(heldLimit)
	s := httpd.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/long" {
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(parts*size))
		for n := range parts {
			_, _ = w.Write(bytes.Repeat([]byte{byte(n)}, size))
			_ = http.NewResponseController(w).Flush()
		}
		close(written)
	}), httpd.WithHolds(keeper))
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		_ = s.Serve(smallBuffers{
			Listener: l,
		})
	}()
	defer func() { _ = s.Close() }()
	c, r := dial(t, l.Addr().String())
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = io.WriteString(c, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("the handler waits for its caller")
	}
	held, _, _ := keeper.Held()
	require.Greater(t, held, int64(parts*size/2), "what is held counts")
	code, body := status(t, r)
	require.Equal(t, http.StatusOK, code)
	require.Len(t, body, parts*size)
	for n := range parts {
		require.Equal(t, strings.Repeat(string([]byte{byte(n)}), size), body[n*size:(n+1)*size])
	}
	_, err = io.WriteString(c, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	require.NoError(t, err)
	code, _ = status(t, r)
	require.Equal(t, http.StatusOK, code)
	_ = c.Close()
	require.Eventually(t, func() bool {
		held, _, _ := keeper.Held()
		return held == 0
	}, 5*time.Second, 10*time.Millisecond, "all must be set free")
}
