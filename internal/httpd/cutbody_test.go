package httpd_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/holds"
	"github.com/baobabtally/baobabtally/internal/httpd"
)

// block is the size of the first block in which a body of unknown length is read.
const block = 32 << 10

// read is what ReadBody returned.
type read struct {
	body string
	err  error
}

// serveReads starts a server that reports what is read of each body, and responds with 400
// if that fails.
func serveReads(t *testing.T, options ...httpd.Option) (*httpd.Server, string, <-chan read, *holds.Keeper) {
	t.Helper()
	keeper := holds.New(heldLimit)
	reads := make(chan read, 1)
	s := httpd.New(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := httpd.ReadBody(w, r, bodyLimit, 1, "loom")
		reads <- read{
			body: string(body),
			err:  err,
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	}), append(options, httpd.WithHolds(keeper))...)
	return s, serve(t, s), reads, keeper
}

// chunk returns data as one chunk.
func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

const (
	chunked  = "Transfer-Encoding: chunked\r\n\r\n"
	trailers = "Trailer: X-Sum\r\n" + chunked
)

// cutBodies are the heads and bodies of requests that stop before their end.
func cutBodies() map[string]string {
	return map[string]string{
		"inside the length":                 "Content-Length: 10\r\n\r\nhello",
		"before a body with a length":       "Content-Length: 10\r\n\r\n",
		"before the first chunk":            chunked,
		"at the edge of a chunk":            chunked + chunk("hello"),
		"inside a chunk":                    chunked + "a\r\nhello",
		"before the end of a chunk's line":  chunked + "5\r\nhello",
		"inside a size":                     chunked + chunk("hello") + "1",
		"inside the line of a size":         chunked + chunk("hello") + "5\r",
		"after the last size":               chunked + chunk("hello") + "0",
		"after the last size's line":        chunked + chunk("hello") + "0\r\n",
		"inside the last empty line":        chunked + chunk("hello") + "0\r\n\r",
		"inside a trailer":                  trailers + chunk("hello") + "0\r\nX-Sum: 1",
		"after a trailer":                   trailers + chunk("hello") + "0\r\nX-Sum: 1\r\n",
		"after one block":                   chunked + chunk(strings.Repeat("x", block)),
		"after one block, inside a chunk":   chunked + "fffff\r\n" + strings.Repeat("x", block),
		"after several blocks":              chunked + chunk(strings.Repeat("x", 3*block)),
		"after several blocks and a part":   chunked + chunk(strings.Repeat("x", 3*block+100)),
		"at a chunk's edge beside a length": "Content-Length: 5\r\n" + chunked + chunk("hello"),
	}
}

// A request whose body ends before its framing says so must not be taken for a whole one:
// the endpoint would run a part of it.
func TestBodyThatEndsEarlyIsAnError(t *testing.T) {
	t.Parallel()
	ends := map[string]func(c *net.TCPConn, s *httpd.Server) error{
		"close":      func(c *net.TCPConn, _ *httpd.Server) error { return c.Close() },
		"half close": func(c *net.TCPConn, _ *httpd.Server) error { return c.CloseWrite() },
		"reset": func(c *net.TCPConn, _ *httpd.Server) error {
			if err := c.SetLinger(0); err != nil {
				return err
			}
			return c.Close()
		},
		"stall":     func(*net.TCPConn, *httpd.Server) error { return nil },
		"stop":      func(_ *net.TCPConn, s *httpd.Server) error { return s.Close() },
		"bad chunk": func(c *net.TCPConn, _ *httpd.Server) error { return sendBadChunk(c) },
	}
	for cut, text := range cutBodies() {
		for end, finish := range ends {
			if end == "bad chunk" && !strings.HasSuffix(text, chunk("hello")) {
				continue
			}
			t.Run(cut+"/"+end, func(t *testing.T) {
				t.Parallel()
				s, addr, reads, keeper := serveReads(t, httpd.WithProgressTime(200*time.Millisecond))
				c, r := dial(t, addr)
				_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\n"+text)
				require.NoError(t, err)
				// The server reads what has arrived before the connection ends.
				time.Sleep(20 * time.Millisecond)
				require.NoError(t, finish(c.(*net.TCPConn), s))
				select {
				case got := <-reads:
					require.Error(t, got.err, "a part of %d bytes was taken for the whole body", len(got.body))
				case <-time.After(10 * time.Second):
					t.Fatal("the body is still being read")
				}
				if end == "half close" || end == "stall" || end == "bad chunk" {
					code, _ := status(t, r)
					require.Equal(t, http.StatusBadRequest, code)
					_, err = r.ReadByte()
					require.Error(t, err, "what follows must not be taken for a request")
				}
				_ = c.Close()
				require.Eventually(t, func() bool {
					held, _, _ := keeper.Held()
					return held == 0
				}, 5*time.Second, 10*time.Millisecond, "all must be set free")
			})
		}
	}
}

// sendBadChunk sends a chunk whose size is none, and what would be a request.
func sendBadChunk(c net.Conn) error {
	_, err := io.WriteString(c, "zz\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
	return err
}

// Bodies of every framing are read whole, and what follows them is the next request.
func TestWholeBodiesOfEveryFramingAreRead(t *testing.T) {
	t.Parallel()
	for _, size := range []int{0, 1, block - 1, block, block + 1, 3 * block, 3*block + 100, 300_000} {
		want := strings.Repeat("x", size)
		last := "0\r\n\r\n"
		forms := map[string]string{
			"length":         fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, want),
			"several chunks": chunked + pieces(want, 1000) + last,
			"trailer":        trailers + pieces(want, block) + "0\r\nX-Sum: 1\r\n\r\n",
		}
		if size > 0 {
			forms["one chunk"] = chunked + chunk(want) + last
		}
		for form, text := range forms {
			t.Run(fmt.Sprintf("%d/%s", size, form), func(t *testing.T) {
				t.Parallel()
				_, addr, reads, _ := serveReads(t)
				c, r := dial(t, addr)
				for range 2 {
					_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\n"+text)
					require.NoError(t, err)
					got := <-reads
					require.NoError(t, got.err)
					require.Len(t, got.body, size)
					require.Equal(t, xxhash.Sum64String(want), xxhash.Sum64String(got.body), "other bytes")
					code, _ := status(t, r)
					require.Equal(t, http.StatusOK, code)
				}
			})
		}
	}
}

// pieces returns data as chunks of at most size bytes.
func pieces(data string, size int) string {
	var b strings.Builder
	for len(data) > 0 {
		n := min(size, len(data))
		b.WriteString(chunk(data[:n]))
		data = data[n:]
	}
	return b.String()
}
