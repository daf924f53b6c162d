package peer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// answer answers the head of each request with response and resets the connection.
func answer(t *testing.T, response string) member.Node {
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
			time.Sleep(20 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	return member.Node{
		Name: "i1",
		Addr: l.Addr().String(),
	}
}

// An empty message is a valid one, so that a cut before its first byte, and a status that
// is none, must not pass for one.
func TestOddAnswerOfPeerIsAnError(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n",
		"HTTP/1.1 000 x\r\nContent-Type: application/protobuf\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 999 x\r\nContent-Type: application/protobuf\r\nContent-Length: 0\r\n\r\n",
	} {
		c := peer.NewClient([]byte("secret"))
		_, err := c.Stage(t.Context(), answer(t, head), &rpcapi.Document{
			Text: strings.Repeat("x", 4<<20),
		})
		require.Error(t, err, head)
		c.Close()
	}
}
