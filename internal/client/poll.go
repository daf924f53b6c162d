package client

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// maxPollBytes bounds the body of a poll's response.
const maxPollBytes = 4 << 20

// errOtherPoll means that a response came late: polls have no id.
const errOtherPoll = errors.ConstError("the answer belongs to another poll")

// loadReport is the encoding of an endpoint's load report.
type loadReport struct {
	Epoch     string  `json:"epoch"`
	Version   string  `json:"version"`
	Running   int     `json:"running"`
	Waiting   int     `json:"waiting"`
	Tokens    int     `json:"tokens"`
	Slots     int     `json:"slots"`
	Prefill   float64 `json:"prefill"`
	Step      float64 `json:"step"`
	Departing bool    `json:"leaving"`
	// Events is only in a response with cache events.
	Events json.RawMessage `json:"events"`
}

// Load polls an endpoint for its load.
func (c *Client) Load(ctx context.Context, n member.Node) (member.Report, load.Work, error) {
	var r loadReport
	if err := c.poll(ctx, n, "/v1/load", &r); err != nil {
		return member.Report{}, load.Work{}, err
	}
	if r.Events != nil {
		return member.Report{}, load.Work{}, errors.Annotatef(errOtherPoll, "endpoint %s", n.Name)
	}
	report := member.Report{
		Epoch:     cacheEpoch(r.Epoch, r.Version),
		Version:   r.Version,
		Departing: r.Departing,
		Slots:     r.Slots,
		Prefill:   r.Prefill,
		Step:      time.Duration(r.Step * float64(time.Second)),
	}
	return report, load.Work{
		Calls:         r.Running + r.Waiting,
		PrefillTokens: r.Tokens,
	}, nil
}

// eventBatch is the encoding of an engine's cache events.
type eventBatch struct {
	Epoch   string `json:"epoch"`
	Version string `json:"version"`
	Events  []struct {
		Seq     int64    `json:"seq"`
		Removed bool     `json:"removed"`
		Hashes  []uint64 `json:"hashes"`
	} `json:"events"`
	// Running is only in a load report.
	Running json.RawMessage `json:"running"`
}

// Events polls an engine for the cache events whose sequence number is greater
// than after.
func (c *Client) Events(ctx context.Context, n member.Node, after int64) (state.CacheEvents, error) {
	var b eventBatch
	if err := c.poll(ctx, n, "/v1/events?after="+strconv.FormatInt(after, 10), &b); err != nil {
		return state.CacheEvents{}, err
	}
	if b.Running != nil {
		return state.CacheEvents{}, errors.Annotatef(errOtherPoll, "endpoint %s", n.Name)
	}
	out := state.CacheEvents{
		Endpoint: n.Name,
		Epoch:    cacheEpoch(b.Epoch, b.Version),
	}
	for _, e := range b.Events {
		out.Events = append(out.Events, state.CacheEvent{
			Seq:     e.Seq,
			Removed: e.Removed,
			Hashes:  e.Hashes,
		})
	}
	return out, nil
}

// Order is a command to an engine.
type Order struct {
	// FencingToken is the fencing token of the lease under which the order is sent.
	FencingToken int64 `json:"fence"`
	// DesiredVersion is the version of weights to load, or empty.
	DesiredVersion string `json:"version,omitempty"`
	// Depart makes the engine stop accepting new work.
	Depart bool `json:"leave,omitempty"`
}

// Order sends an order to an engine. An order states the desired state, so that
// it is idempotent.
func (c *Client) Order(ctx context.Context, n member.Node, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Trace(err)
	}
	return c.do(ctx, n, http.MethodPost, "/v1/orders", body, nil)
}

// Cancel makes an engine stop generating the stream of an attempt.
func (c *Client) Cancel(ctx context.Context, n member.Node, attempt string) error {
	return c.do(ctx, n, http.MethodDelete, "/v1/streams/"+attempt, nil, nil)
}

func (c *Client) poll(ctx context.Context, n member.Node, path string, into any) error {
	return c.do(ctx, n, http.MethodGet, path, nil, into)
}

// cacheEpoch returns the epoch of an engine's cache. It covers both events that
// empty the cache: a restart of the engine and a change of weights.
func cacheEpoch(incarnation, version string) string { return incarnation + "/" + version }

func (c *Client) do(ctx context.Context, n member.Node, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.Addr+path, bodyReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	client := c.pooled
	if method != http.MethodGet {
		// The responses of calls with an effect have no id either, but on a new
		// connection no other response can be due.
		client = c.unpooled
	}
	resp, err := client.Do(req)
	if err != nil {
		return errors.Annotatef(err, "endpoint %s does not answer", n.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPollBytes))
	if err != nil {
		return errors.Trace(err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("endpoint %s answers %d to %s: check its version", n.Name, resp.StatusCode, path)
	}
	if into == nil {
		return nil
	}
	return errors.Annotatef(json.Unmarshal(data, into), "endpoint %s answers %s malformed", n.Name, path)
}
