package link_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/link"
)

// longBody is longer than what two sockets buffer.
var longBody = make([]byte, 16<<20)

// sendLong sends longBody and reads the response after late. It returns the response's
// body.
func sendLong(t *testing.T, addr string, late time.Duration) (string, error) {
	t.Helper()
	p := link.New()
	defer p.Close()
	c, err := p.Dial(t.Context(), addr, 0)
	require.NoError(t, err)
	defer p.Drop(c)
	resp, err := c.Do(t.Context(), link.Request{
		Method: http.MethodPost,
		Path:   "/x",
		Host:   "h",
		Body:   longBody,
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	time.Sleep(late)
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// An engine that answers at once without a length, sends a part of its body and resets the
// connection has not answered, however late the body is read. The reset reaches the write
// of the request, and a read after it finds the end of the connection.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nfirst part,\n")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	for _, late := range []time.Duration{0, 10 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond} {
		for range 5 {
			body, err := sendLong(t, addr, late)
			require.Error(t, err, "read %s late: %q", late, body)
		}
	}
}

// An engine that ends in the middle of an upload closes its connection like one that has
// answered. Only the upload then shows that it was not read.
func TestEndDuringUploadIsNoEnd(t *testing.T) {
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nfirst part,\n")
		_ = c.(*net.TCPConn).CloseWrite()
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	_, err := sendLong(t, addr, 0)
	require.Error(t, err)
}

// An engine may answer before it has read the request, if it reads on.
func TestEarlyResponseWithoutLengthIsComplete(t *testing.T) {
	addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, _ := http.ReadRequest(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nthe whole")
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, req.Body)
	})
	body, err := sendLong(t, addr, 0)
	require.NoError(t, err)
	require.Equal(t, "the whole", body)
}

func TestStatusOutOfRangeIsNoResponse(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		addr := serve(t, func(_ int, c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r)
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" x\r\nContent-Length: 2\r\n\r\n{}")
		})
		p := link.New()
		c, err := p.Dial(t.Context(), addr, 0)
		require.NoError(t, err)
		_, err = c.Do(t.Context(), link.Request{
			Method: http.MethodGet,
			Path:   "/x",
			Host:   "h",
		})
		require.Error(t, err, status)
		p.Drop(c)
		p.Close()
	}
}
