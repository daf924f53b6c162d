package client

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/whole"
	"github.com/baobabtally/baobabtally/pkg/chain"
)

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = 1 * time.Second
	// defaultFirstChunkTimeout bounds the time to the first chunk of a response.
	defaultFirstChunkTimeout = 20 * time.Second
	// defaultChunkTimeout bounds the time between two chunks of a response.
	defaultChunkTimeout = 2 * time.Second
	// idleConnTimeout is how long an idle connection stays in the pool. It is
	// short because an idle connection can stop passing data without an error.
	idleConnTimeout = 10 * time.Second
	// maxIdleConnsPerEndpoint bounds the idle connections in the pool for each
	// endpoint.
	maxIdleConnsPerEndpoint = 64
	// maxResponseHeaderBytes bounds the header of a response, including the
	// interim (1xx) responses before it. The standard library allows 10 MB.
	maxResponseHeaderBytes = 32 << 10
	// maxServiceBodyBytes bounds the body of a plain service's response.
	maxServiceBodyBytes = 8 << 20
	// maxHeldBytes bounds what all answers of plain services together hold beyond their
	// first block of blockBytes: a tenth of the memory of the smallest instance, since
	// the heap grows to several times what is held before it is collected on a busy
	// machine.
	maxHeldBytes = 12 << 20
	blockBytes   = 64 << 10
	// blockCopies is how often a block is held: as it was read, and as a part of the
	// answer.
	blockCopies = 2

	headerRequestID      = "X-Request-Id"
	headerLastEventID    = "Last-Event-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// Client sends attempts to endpoints. It is safe for concurrent use.
type Client struct {
	// pooled reuses connections; unpooled opens a new one for each request.
	pooled            *http.Client
	unpooled          *http.Client
	firstChunkTimeout time.Duration
	chunkTimeout      time.Duration
	// held is how many bytes the answers of plain services hold beyond their first blocks.
	held  atomic.Int64
	holds holder
}

// Option configures a Client.
type Option func(*Client)

// holder keeps a ledger of bytes.
type holder interface {
	// Hold holds bytes for owner. If they don't fit, it returns false and after what time
	// they may.
	Hold(owner string, n int64) (time.Duration, bool)
	// Free ends what Hold began.
	Free(owner string, n int64)
}

// noLedger holds any number of bytes.
type noLedger struct{}

// Hold does nothing.
func (noLedger) Hold(string, int64) (time.Duration, bool) { return 0, true }

// Free does nothing.
func (noLedger) Free(string, int64) {}

// WithHolds counts the answers of plain services in the ledger of h.
func WithHolds(h holder) Option { return func(c *Client) { c.holds = h } }

// WithFirstChunkTimeout sets the timeout for the first chunk of a response.
func WithFirstChunkTimeout(d time.Duration) Option {
	return func(c *Client) { c.firstChunkTimeout = d }
}

// WithChunkTimeout sets the timeout for each further chunk of a response.
func WithChunkTimeout(d time.Duration) Option {
	return func(c *Client) { c.chunkTimeout = d }
}

// New returns a Client with the given options.
func New(opts ...Option) *Client {
	c := &Client{
		pooled: &http.Client{
			Transport: newTransport(false),
		},
		unpooled: &http.Client{
			Transport: newTransport(true),
		},
		firstChunkTimeout: defaultFirstChunkTimeout,
		chunkTimeout:      defaultChunkTimeout,
		holds:             noLedger{},
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Open sends a and returns the reply as soon as its header has arrived.
func (c *Client) Open(ctx context.Context, a call.Attempt) (call.Reply, error) {
	switch {
	case a.Request.Kind == chain.Service:
		return c.openService(ctx, a)
	case a.Resume.Active():
		return c.resumeStream(ctx, a)
	}
	return c.openStream(ctx, a)
}

func newTransport(disableKeepAlives bool) http.RoundTripper {
	dial := whole.Dial((&net.Dialer{
		Timeout: dialTimeout,
	}).DialContext)
	return whole.Transport(&http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			nc, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &headConn{
				Conn: nc,
			}, nil
		},
		MaxIdleConnsPerHost: maxIdleConnsPerEndpoint,
		IdleConnTimeout:     idleConnTimeout,
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	})
}

// exchange is one HTTP request whose watchdog cancels it when no data arrives.
type exchange struct {
	// sent is set once the request has a connection, because bytes may be sent
	// from then on.
	sent *atomic.Bool
	// written is set once the request was written whole.
	written *atomic.Bool
	// reused is set if that connection has served another request before.
	reused   *atomic.Bool
	cancel   context.CancelFunc
	watchdog *time.Timer
	// timedOut is set when the watchdog cancelled the request.
	timedOut *atomic.Bool
}

// withWatchdog returns a context for one request, which is cancelled when the
// watchdog is not reset within d.
func withWatchdog(ctx context.Context, d time.Duration) (context.Context, exchange) {
	ctx, cancel := context.WithCancel(ctx)
	x := exchange{
		sent:     &atomic.Bool{},
		reused:   &atomic.Bool{},
		written:  &atomic.Bool{},
		cancel:   cancel,
		timedOut: &atomic.Bool{},
	}
	x.watchdog = time.AfterFunc(d, func() {
		x.timedOut.Store(true)
		cancel()
	})
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			x.sent.Store(true)
			x.reused.Store(info.Reused)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { x.written.Store(info.Err == nil) },
	}
	return httptrace.WithClientTrace(ctx, trace), x
}

// resetWatchdog restarts the watchdog with timeout d.
func (x exchange) resetWatchdog(d time.Duration) { x.watchdog.Reset(d) }

// close ends the request. If the response was not read to its end, its
// connection is closed instead of being reused.
func (x exchange) close(body io.Closer) {
	x.watchdog.Stop()
	x.cancel()
	if body != nil {
		_ = body.Close()
	}
}

// failure returns the call.Failure for err.
func (x exchange) failure(err error) call.Failure {
	f := call.Failure{
		Cause:     call.Broken,
		MaybeSent: x.sent.Load(),
	}
	if err != nil {
		f.Detail = err.Error()
	}
	if x.timedOut.Load() {
		f.Cause = call.TimedOut
		f.Detail = "no data within the limit"
	}
	return f
}

func bodyReader(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(body)
}
