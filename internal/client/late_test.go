package client_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/client"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// A late response to one poll must not be taken for one to another: the endpoint would seem
// to be idle, or to have nothing new in its cache.
func TestPollIgnoresLateResponseToAnother(t *testing.T) {
	const (
		report = `{"epoch":"a","version":"1","running":3,"waiting":1,"slots":8}`
		events = `{"epoch":"a","version":"1","events":[{"seq":1,"hashes":[7]}]}`
	)
	respond := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	var late atomic.Pointer[string]
	addr := serveRaw(t, func(nc net.Conn, r *http.Request, n int) {
		response := respond(report)
		if strings.HasPrefix(r.URL.Path, "/v1/events") {
			response = respond(events)
		}
		if before := late.Load(); before != nil && n > 1 {
			response = *before + response
		}
		_, _ = fmt.Fprint(nc, response)
	})
	cl := client.New()
	defer cl.Close()
	n := member.Node{
		Name: "e1",
		Addr: addr,
	}
	for _, before := range []string{respond(report), respond(events)} {
		late.Store(nil)
		_, _, err := cl.Load(t.Context(), n)
		require.NoError(t, err)
		late.Store(&before)
		_, work, err := cl.Load(t.Context(), n)
		require.True(t, err != nil || work.Calls == 4, "the endpoint seems to be idle: %s", before)
		late.Store(nil)
		_, err = cl.Events(t.Context(), n, 0)
		require.NoError(t, err)
		late.Store(&before)
		batch, err := cl.Events(t.Context(), n, 0)
		require.True(t, err != nil || len(batch.Events) == 1, "events were lost: %s", before)
	}
}
