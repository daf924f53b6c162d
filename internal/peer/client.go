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
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/site"
)

const (
	// dialLimit is how long a connection to a peer may take.
	dialLimit = 500 * time.Millisecond
	// mostHead bounds the head of an answer, in bytes; peers send a few fields.
	mostHead = 32 << 10
	// mostAnswer bounds an answer, in bytes: the endpoints of a fleet of 2,000 are
	// about one MB.
	mostAnswer = 8 << 20
)

// errLong means that an answer may have no end.
const errLong = errors.ConstError("the answer is over 8 MB: check who answers at this address")

// Client calls other instances. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// mu guards peers, by address.
	mu    sync.Mutex
	peers map[string]rpcapi.Peer
}

// NewClient returns a client that shows secret to its peers.
func NewClient(secret []byte) *Client {
	return &Client{
		http:  HTTP(secret),
		peers: map[string]rpcapi.Peer{},
	}
}

// Close drops the connections that are not in use.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Beat sends a pulse and returns the answer.
func (c *Client) Beat(ctx context.Context, to member.Node, p state.Heartbeat) (state.Heartbeat, error) {
	m, err := c.peer(to).Beat(ctx, EncodePulse(p))
	if err != nil {
		return state.Heartbeat{}, errors.Annotatef(err, "instance %s does not answer", to.Name)
	}
	return DecodePulse(m), nil
}

// Fetch returns the configuration that a peer holds.
func (c *Client) Fetch(ctx context.Context, from member.Node) (policy.Document, error) {
	m, err := c.peer(from).Fetch(ctx, &rpcapi.Nothing{})
	if err != nil {
		return policy.Document{}, errors.Annotatef(err, "instance %s does not answer", from.Name)
	}
	return DecodeDocument(m), nil
}

// Site returns the forwarding configuration that a peer holds.
func (c *Client) Site(ctx context.Context, from member.Node) (site.Site, error) {
	m, err := c.peer(from).Site(ctx, &rpcapi.Nothing{})
	if err != nil {
		return site.Site{}, errors.Annotatef(err, "instance %s does not answer", from.Name)
	}
	return site.Unmarshal(m.GetData())
}

// Roster returns the endpoints that a peer knows.
func (c *Client) Roster(ctx context.Context, from member.Node) (state.RegistrySnapshot, error) {
	m, err := c.peer(from).Listing(ctx, &rpcapi.Nothing{})
	if err != nil {
		return state.RegistrySnapshot{}, errors.Annotatef(err, "instance %s does not answer", from.Name)
	}
	return decodeRoster(m.GetData(), from.Name)
}

// Stage hands a configuration over and returns the version that the peer then holds.
func (c *Client) Stage(ctx context.Context, to member.Node, m *rpcapi.Document) (int64, error) {
	p, err := c.peer(to).Stage(ctx, m)
	return p.GetVersion(), errors.Annotatef(err, "instance %s does not answer", to.Name)
}

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

// HTTP returns an HTTP client that shows secret with each call.
func HTTP(secret []byte) *http.Client {
	dialer := &net.Dialer{
		Timeout: dialLimit,
	}
	return &http.Client{
		Transport: bearer{
			token: tokenOf(secret),
			next: &http.Transport{
				DialContext:         dialer.DialContext,
				MaxIdleConnsPerHost: 2,
				IdleConnTimeout:     10 * time.Second,
				// The bound holds for interim heads too.
				MaxResponseHeaderBytes: mostHead,
			},
		},
	}
}

// Guard lets only those calls pass that show secret.
func Guard(secret []byte, next http.Handler) http.Handler {
	want := []byte("Bearer " + tokenOf(secret))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			http.Error(w, "show the operators' secret", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// bearer adds the token to each call.
type bearer struct {
	token string
	next  *http.Transport
}

// RoundTrip sends r with the token.
func (b bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.token)
	resp, err := b.next.RoundTrip(r)
	if err == nil {
		resp.Body = &bounded{
			ReadCloser: resp.Body,
			left:       mostAnswer,
		}
	}
	return resp, err
}

// bounded is a body that fails once more than left bytes were read.
type bounded struct {
	io.ReadCloser
	left int64
}

// Read reads on.
func (b *bounded) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.left -= int64(n)
	if b.left < 0 {
		return n, errLong
	}
	return n, err
}

// CloseIdleConnections drops the connections that are not in use.
func (b bearer) CloseIdleConnections() { b.next.CloseIdleConnections() }

func tokenOf(secret []byte) string { return hex.EncodeToString(secret) }
