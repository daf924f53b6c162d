package link_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/link"
)

// refusedCount is more than a connection remembers.
const refusedCount = 100

// sendRefused sends a request with an echo value on a connection of a pool that
// may open one connection, and puts the connection back as refused.
func sendRefused(t *testing.T, p *link.Pool, addr, echo string) {
	t.Helper()
	c, err := p.Get(t.Context(), addr, echo, 1, true)
	require.NoError(t, err)
	resp, err := c.Do(t.Context(), link.Request{
		Method: http.MethodGet,
		Path:   "/x",
		Host:   "h",
		Header: http.Header{
			"X-Id": {echo},
		},
		EchoHeader: "X-Id",
	})
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	c.Refused()
	p.Put(c, resp)
}

// serveEchoes responds to each request with its echo value.
func serveEchoes(t *testing.T) string {
	t.Helper()
	return serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, response(req.Header.Get("X-Id"), "no"))
		}
	})
}

// The connection on which a request was refused must not get a request with the same
// echo value, no matter how many others were refused since.
func TestRefusedEchoNeedsAnotherConnection(t *testing.T) {
	for _, others := range []int{0, 1, refusedCount} {
		p := link.New()
		addr := serveEchoes(t)
		sendRefused(t, p, addr, "a")
		require.EqualValues(t, 1, p.Dialed())
		for n := range others {
			sendRefused(t, p, addr, fmt.Sprint(n))
		}
		before := p.Dialed()
		require.LessOrEqual(t, before, int64(2), "refusals must not cost a connection each")
		c, err := p.Get(t.Context(), addr, "a", 1, true)
		require.NoError(t, err, "an idle connection must make room for a new one")
		require.GreaterOrEqual(t, p.Dialed(), int64(2), "the request was refused on the first connection")
		p.Drop(c)
		p.Close()
	}
}

// A limit that connections in use have reached holds for new connections as well.
func TestDialKeepsLimit(t *testing.T) {
	p := link.New()
	defer p.Close()
	addr := serveEchoes(t)
	c, err := p.Dial(t.Context(), addr, 1)
	require.NoError(t, err)
	_, err = p.Dial(t.Context(), addr, 1)
	require.ErrorIs(t, err, link.ErrFull)
	p.Drop(c)
}
