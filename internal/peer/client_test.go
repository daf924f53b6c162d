package peer_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
)

const (
	// minInstanceMemory is the memory limit of the smallest instance, in bytes.
	minInstanceMemory = 112 << 20
	// callTimeout is the timeout of the control thread's actions.
	callTimeout = 2 * time.Second
)

// TestEndlessResponseIsAnError guards against a peer that exhausts the memory of
// an instance by an endless response, in its header or its body.
func TestEndlessResponseIsAnError(t *testing.T) {
	for name, c := range map[string]struct{ start, repeat, want string }{
		"head": {
			start:  "HTTP/1.1 200 OK\r\n",
			repeat: "X-More: x\r\n",
			want:   "response headers exceeded",
		},
		"body": {
			start:  "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n",
			repeat: "x",
			want:   "over 8 MB",
		},
		"failure": {
			start:  "HTTP/1.1 500 Failed\r\n\r\n",
			repeat: "x",
			want:   "over 8 MB",
		},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			sent := make(chan int, 1)
			go func() {
				total := 0
				defer func() { sent <- total }()
				nc, err := l.Accept()
				if err != nil {
					return
				}
				defer func() { _ = nc.Close() }()
				_ = nc.SetDeadline(time.Now().Add(2 * callTimeout))
				if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
					return
				}
				_, err = io.WriteString(nc, c.start)
				for block := strings.Repeat(c.repeat, 4<<10); err == nil && total < minInstanceMemory; {
					_, err = io.WriteString(nc, block)
					total += len(block)
				}
			}()
			client := peer.NewClient([]byte("secret"))
			defer client.Close()
			ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
			defer cancel()
			_, err = client.SendHeartbeat(ctx, member.Node{
				Name: "i2",
				Addr: l.Addr().String(),
			}, state.Heartbeat{})
			require.ErrorContains(t, err, c.want)
			_ = l.Close()
			require.Less(t, <-sent, minInstanceMemory/4)
		})
	}
}
