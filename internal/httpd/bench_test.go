package httpd_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/holds"
	"github.com/baobabtally/baobabtally/internal/httpd"
)

// BenchmarkRequest sends requests with an ordinary header and a body of 800 bytes on a
// kept connection.
func BenchmarkRequest(b *testing.B) {
	s := httpd.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := httpd.ReadBody(w, r, 4<<20, 1, "loom")
		if err != nil {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(body)
	}), httpd.WithHolds(holds.New(32<<20)), httpd.WithMaxConnections(1000))
	l, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	require.NoError(b, err)
	go func() { _ = s.Serve(l) }()
	defer func() { _ = s.Close() }()
	c := http.Client{
		Transport: &http.Transport{},
	}
	defer c.CloseIdleConnections()
	body := bytes.Repeat([]byte("x"), 800)
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+l.Addr().String()+"/a", bytes.NewReader(body))
		require.NoError(b, err)
		for _, name := range []string{"X-Attempt-Id", "X-Model", "X-Token-Usage", "X-Prompt-Prefix", "X-Deadline-Ms", "X-Key"} {
			req.Header.Set(name, "5c1e07a2:800,91bd3f06:410")
		}
		resp, err := c.Do(req)
		require.NoError(b, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}
