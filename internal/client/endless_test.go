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
	// memory is that of the smallest instance, in bytes, and conns how many
	// connections it has to one endpoint. One connection may take its part.
	memory = 112 << 20
	conns  = 100
	part   = memory / conns
	// limit is how long an endpoint may take to answer.
	limit = 2 * time.Second
	// sockets is the buffer of a stand-in's socket.
	sockets = 32 << 10
)

func TestHeadWithoutEndIsAnError(t *testing.T) {
	for name, c := range map[string]struct{ start, again string }{
		"status line": {
			start: "HTTP/1.1 200 ",
			again: "x",
		},
		"headers": {
			start: "HTTP/1.1 200 OK\r\n",
			again: "X-More: x\r\n",
		},
		"interim answers": {
			again: "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n",
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
				_ = nc.(*net.TCPConn).SetWriteBuffer(sockets)
				_ = nc.SetDeadline(time.Now().Add(2 * limit))
				if _, err := http.ReadRequest(bufio.NewReader(nc)); err != nil {
					return
				}
				_, err = io.WriteString(nc, c.start)
				for block := strings.Repeat(c.again, 1+4096/len(c.again)); err == nil; {
					_, err = io.WriteString(nc, block)
					total += len(block)
				}
			}()
			cl := client.New()
			defer cl.Close()
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			_, _, err = cl.Load(ctx, member.Node{
				Name: "e1",
				Addr: l.Addr().String(),
			})
			require.ErrorContains(t, err, "response headers exceeded")
			_ = l.Close()
			require.Less(t, <-sent, part)
		})
	}
}
