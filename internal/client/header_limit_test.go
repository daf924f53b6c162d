package client_test

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

	"github.com/baobabtally/baobabtally/internal/client"
	"github.com/baobabtally/baobabtally/pkg/member"
)

const (
	// instanceMemory is the memory of the smallest instance, in bytes, and
	// maxConnsPerEndpoint the number of its connections to one endpoint. Each
	// connection may use at most an equal share of the memory.
	instanceMemory      = 112 << 20
	maxConnsPerEndpoint = 100
	memoryPerConn       = instanceMemory / maxConnsPerEndpoint
	// requestTimeout is how long an endpoint may take to respond.
	requestTimeout = 2 * time.Second
	// socketBuffer is the write buffer of the stand-in endpoint's socket, in bytes.
	socketBuffer = 32 << 10
)

// A faulty endpoint that never ends its response header must not exhaust the
// memory of an instance: the client fails before it has read one connection's
// share.
func TestEndlessResponseHeaderIsRejected(t *testing.T) {
	for name, c := range map[string]struct{ start, repeat string }{
		"status line": {
			start:  "HTTP/1.1 200 ",
			repeat: "x",
		},
		"headers": {
			start:  "HTTP/1.1 200 OK\r\n",
			repeat: "X-More: x\r\n",
		},
		"interim responses": {
			repeat: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
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
				_ = nc.(*net.TCPConn).SetWriteBuffer(socketBuffer)
				_ = nc.SetDeadline(time.Now().Add(2 * requestTimeout))
				if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
					return
				}
				_, err = io.WriteString(nc, c.start)
				for block := strings.Repeat(c.repeat, 1+4096/len(c.repeat)); err == nil; {
					_, err = io.WriteString(nc, block)
					total += len(block)
				}
			}()
			cl := client.New()
			defer cl.Close()
			ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
			defer cancel()
			_, _, err = cl.Load(ctx, member.Node{
				Name: "e1",
				Addr: l.Addr().String(),
			})
			require.ErrorContains(t, err, "response headers exceeded")
			_ = l.Close()
			require.Less(t, <-sent, memoryPerConn)
		})
	}
}
