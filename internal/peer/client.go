package peer

import (
	"context"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/internal/whole"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/site"
)

const (
	// dialTimeout bounds the time to connect to a peer.
	dialTimeout = 500 * time.Millisecond
	// maxHeaderBytes bounds the header of a response; peers send a few fields.
	maxHeaderBytes = 32 << 10
	// maxResponseBytes bounds the body of a response: the registry snapshot of a
	// fleet of 2,000 endpoints has about one MB.
	maxResponseBytes = 8 << 20
)

// errResponseTooLarge means that a response exceeds maxResponseBytes and may be
// endless.
const errResponseTooLarge = errors.ConstError("the answer is over 8 MB: check who answers at this address")

// errUnframed means that a response has neither a length nor chunks, one of which the
// responses of all instances have, so that its end shows that it is whole.
const errUnframed = errors.ConstError("the answer has neither a length nor chunks: check who answers at this address")

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// mu guards peers, by address.
	mu    sync.Mutex
	peers map[string]rpcapi.Peer
}

// NewClient returns a client that authenticates with secret.
func NewClient(secret []byte) *Client {
	return &Client{
		http:  NewHTTPClient(secret),
		peers: map[string]rpcapi.Peer{},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// SendHeartbeat sends a heartbeat and returns the peer's own.
func (c *Client) SendHeartbeat(ctx context.Context, to member.Node, h state.Heartbeat) (state.Heartbeat, error) {
	m, err := c.peer(to).Beat(ctx, EncodeHeartbeat(h))
	if err != nil {
		return state.Heartbeat{}, errors.Annotatef(err, "instance %s does not respond", to.Name)
	}
	return DecodeHeartbeat(m), nil
}

// Fetch returns the effective configuration of a peer.
func (c *Client) Fetch(ctx context.Context, from member.Node) (policy.Document, error) {
	m, err := c.peer(from).Fetch(ctx, &rpcapi.Nothing{})
	if err != nil {
		return policy.Document{}, errors.Annotatef(err, "instance %s does not respond", from.Name)
	}
	return DecodeDocument(m), nil
}

// Site returns the effective forwarding configuration of a peer.
func (c *Client) Site(ctx context.Context, from member.Node) (site.Site, error) {
	m, err := c.peer(from).Site(ctx, &rpcapi.Nothing{})
	if err != nil {
		return site.Site{}, errors.Annotatef(err, "instance %s does not respond", from.Name)
	}
	return site.Unmarshal(m.GetData())
}

// RegistrySnapshot returns a snapshot of the endpoints that a peer knows.
func (c *Client) RegistrySnapshot(ctx context.Context, from member.Node) (state.RegistrySnapshot, error) {
	m, err := c.peer(from).Listing(ctx, &rpcapi.Nothing{})
	if err != nil {
		return state.RegistrySnapshot{}, errors.Annotatef(err, "instance %s does not respond", from.Name)
	}
	return decodeSnapshot(m.GetData(), from.Name)
}

// Stage sends a configuration to a peer and returns the version that is then
// effective there.
func (c *Client) Stage(ctx context.Context, to member.Node, m *rpcapi.Document) (int64, error) {
	p, err := c.peer(to).Stage(ctx, m)
	return p.GetVersion(), errors.Annotatef(err, "instance %s does not respond", to.Name)
}

// peer returns the RPC client for n, which is created on first use.
func (c *Client) peer(n member.Node) rpcapi.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.peers[n.Addr]
	if p == nil {
		p = rpcapi.NewPeerProtobufClient("http://"+n.Addr, c.http)
		c.peers[n.Addr] = p
	}
	return p
}

// NewHTTPClient returns an HTTP client that sends secret as a bearer token and
// bounds the responses.
func NewHTTPClient(secret []byte) *http.Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Client{
		Transport: bearerTransport{
			token: encodeToken(secret),
			next: whole.Transport(&http.Transport{
				DialContext:         whole.Dial(dialer.DialContext),
				MaxIdleConnsPerHost: 2,
				IdleConnTimeout:     10 * time.Second,
				// The limit also applies to interim (1xx) responses.
				MaxResponseHeaderBytes: maxHeaderBytes,
			}),
		},
	}
}

// RequireSecret returns a handler that rejects requests without the bearer token of
// secret and passes the others to next.
func RequireSecret(secret []byte, next http.Handler) http.Handler {
	want := []byte("Bearer " + encodeToken(secret))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			http.Error(w, "show the operators' secret", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// bearerTransport adds a bearer token to each request and bounds the body of each
// response.
type bearerTransport struct {
	token string
	next  http.RoundTripper
}

// RoundTrip sends a copy of r with the token.
func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	resp, err := b.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &limitedBody{
		ReadCloser: resp.Body,
		framed:     whole.Framed(resp),
		remaining:  maxResponseBytes,
	}
	return resp, nil
}

// limitedBody is a body that fails once more than remaining bytes were read, or at its end
// if that is not framed.
type limitedBody struct {
	io.ReadCloser
	framed    bool
	remaining int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.remaining -= int64(n)
	if b.remaining < 0 {
		return n, errResponseTooLarge
	}
	if !b.framed && errors.Is(err, io.EOF) {
		return n, errUnframed
	}
	return n, err
}

// CloseIdleConnections lets http.Client close the idle connections of next.
func (b bearerTransport) CloseIdleConnections() {
	if c, ok := b.next.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// encodeToken returns the bearer token of secret.
func encodeToken(secret []byte) string { return hex.EncodeToString(secret) }
