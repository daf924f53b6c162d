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
	"github.com/baobabtally/baobabtally/pkg/chain"
)

const (
	// dialLimit is how long a connection may take.
	dialLimit = 1 * time.Second
	// defaultFirst is how long the first chunk of an answer may take.
	defaultFirst = 20 * time.Second
	// defaultGap is how long each further chunk may take.
	defaultGap = 2 * time.Second
	// idleLimit is how long an unused connection is kept. It is short, since
	// connections can go silent for good while nobody uses them.
	idleLimit = 10 * time.Second
	// idleConns is how many unused connections are kept for each endpoint.
	idleConns = 64
	// maxHead bounds the head of an answer, in bytes, with the interim ones before
	// it; the standard library grants 10 MB.
	maxHead = 32 << 10
	// maxBody is the longest body of a plain service's answer, in bytes.
	maxBody = 8 << 20

	headerRequest = "X-Request-Id"
	headerEvent   = "Last-Event-Id"
	headerKey     = "Idempotency-Key"
)

// Client makes attempts at endpoints. It is safe for concurrent use.
type Client struct {
	// kept reuses connections, fresh opens one for each call.
	kept  *http.Client
	fresh *http.Client
	first time.Duration
	gap   time.Duration
}

// Option changes a client that New makes.
type Option func(*Client)

// WithFirst sets how long the first chunk may take.
func WithFirst(d time.Duration) Option {
	return func(c *Client) { c.first = d }
}

// WithGap sets how long each further chunk may take.
func WithGap(d time.Duration) Option {
	return func(c *Client) { c.gap = d }
}

// New returns a client.
func New(opts ...Option) *Client {
	c := &Client{
		kept: &http.Client{
			Transport: transport(false),
		},
		fresh: &http.Client{
			Transport: transport(true),
		},
		first: defaultFirst,
		gap:   defaultGap,
	}
	for _, o := range opts {
		o(c)
	}
	return c
}

// Close drops the connections that are not in use.
func (c *Client) Close() {
	c.kept.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Open sends a and returns its answer once that has begun.
func (c *Client) Open(ctx context.Context, a call.Attempt) (call.Reply, error) {
	switch {
	case a.Request.Kind == chain.Service:
		return c.openService(ctx, a)
	case a.Resume.Active():
		return c.resumeStream(ctx, a)
	}
	return c.openStream(ctx, a)
}

func transport(fresh bool) *http.Transport {
	dialer := &net.Dialer{
		Timeout: dialLimit,
	}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleLimit,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHead,
	}
}

// exchange is one HTTP call with a watchdog.
type exchange struct {
	// sent is set once the call has a connection, from when on bytes may leave.
	sent   *atomic.Bool
	cancel context.CancelFunc
	dog    *time.Timer
	// bitten is set when the watchdog ended the call.
	bitten *atomic.Bool
}

// watch returns a context for one call that ends after d without a kick.
func watch(ctx context.Context, d time.Duration) (context.Context, exchange) {
	ctx, cancel := context.WithCancel(ctx)
	x := exchange{
		sent:   &atomic.Bool{},
		cancel: cancel,
		bitten: &atomic.Bool{},
	}
	x.dog = time.AfterFunc(d, func() {
		x.bitten.Store(true)
		cancel()
	})
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { x.sent.Store(true) },
	}
	return httptrace.WithClientTrace(ctx, trace), x
}

// kick restarts the watchdog.
func (x exchange) kick(d time.Duration) { x.dog.Reset(d) }

// close ends the call. An answer that was not read to its end loses its connection.
func (x exchange) close(body io.Closer) {
	x.dog.Stop()
	x.cancel()
	if body != nil {
		_ = body.Close()
	}
}

// fail returns the failure for err.
func (x exchange) fail(err error) call.Failure {
	f := call.Failure{
		Cause: call.Broken,
		Sent:  x.sent.Load(),
	}
	if err != nil {
		f.Detail = err.Error()
	}
	if x.bitten.Load() {
		f.Cause = call.Silent
		f.Detail = "no data within the limit"
	}
	return f
}

func readerOf(body []byte) io.Reader {
	if len(body) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(body)
}
