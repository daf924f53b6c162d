package client_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/client"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// serveRaw serves each connection with respond, which is called for each request with its
// number on the connection, and returns the address.
func serveRaw(t *testing.T, respond func(c net.Conn, r *http.Request, n int)) string {
	t.Helper()
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var all sync.WaitGroup
	all.Go(func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				defer func() { _ = nc.Close() }()
				r := bufio.NewReader(nc)
				for n := 1; ; n++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, req.Body); err != nil {
						return
					}
					respond(nc, req, n)
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		all.Wait()
	})
	return l.Addr().String()
}

func rawRefusal(id string) string {
	if id != "" {
		id = "X-Request-Id: " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + id + "Content-Length: 0\r\n\r\n"
}

// openGeneration sends a generation request and returns the failure of its attempt.
func openGeneration(t *testing.T, cl *client.Client, addr, id string) call.Failure {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
	defer cancel()
	reply, err := cl.Open(ctx, call.Attempt{
		ID: id,
		Endpoint: member.Endpoint{
			Node: member.Node{
				Name: "e1",
				Addr: addr,
			},
		},
		Request: chain.Request{
			Kind: chain.Chat,
			Body: []byte("{}"),
		},
	})
	if err == nil {
		reply.Close()
	}
	var f call.Failure
	require.ErrorAs(t, err, &f)
	return f
}

// A refusal that an engine repeats on a reused connection must not be taken for one of the
// request that is sent there now.
func TestRefusalOfOtherRequestIsNotBelieved(t *testing.T) {
	for name, c := range map[string]struct {
		first, second string
		// maybeSent tells for each whether the request may have run.
		firstSent, secondSent bool
	}{
		"with the ids": {
			first:  rawRefusal("a"),
			second: rawRefusal("b"),
		},
		"without ids": {
			first:      rawRefusal(""),
			second:     rawRefusal(""),
			secondSent: true,
		},
		"repeated": {
			first:      rawRefusal("a"),
			second:     rawRefusal("a") + rawRefusal("b"),
			secondSent: true,
		},
		"of another request": {
			first:      rawRefusal("c"),
			second:     rawRefusal("b"),
			firstSent:  true,
			secondSent: false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			addr := serveRaw(t, func(nc net.Conn, r *http.Request, _ int) {
				response := c.first
				if r.Header.Get("X-Request-Id") == "b" {
					response = c.second
				}
				_, _ = fmt.Fprint(nc, response)
			})
			cl := client.New()
			defer cl.Close()
			require.Equal(t, c.firstSent, openGeneration(t, cl, addr, "a").MaybeSent)
			require.Equal(t, c.secondSent, openGeneration(t, cl, addr, "b").MaybeSent)
		})
	}
}

// The response to an order must not be that of an earlier call on a reused connection.
func TestOrderIgnoresLateResponse(t *testing.T) {
	addr := serveRaw(t, func(nc net.Conn, r *http.Request, n int) {
		response := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
		switch {
		case r.Method == http.MethodPost && n > 1:
			response += "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
		case r.Method == http.MethodPost:
			response = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
		}
		_, _ = fmt.Fprint(nc, response)
	})
	cl := client.New()
	defer cl.Close()
	n := member.Node{
		Name: "e1",
		Addr: addr,
	}
	_, _, err := cl.Load(t.Context(), n)
	require.NoError(t, err)
	require.ErrorContains(t, cl.Order(t.Context(), n, client.Order{
		Depart: true,
	}), "409")
}
