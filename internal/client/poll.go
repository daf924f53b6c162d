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

// maxPoll is the longest answer to a poll, in bytes.
const maxPoll = 4 << 20

// loadReport is an endpoint's report as it is encoded.
type loadReport struct {
	Epoch   string  `json:"epoch"`
	Version string  `json:"version"`
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Tokens  int     `json:"tokens"`
	Slots   int     `json:"slots"`
	Prefill float64 `json:"prefill"`
	Step    float64 `json:"step"`
	Leaving bool    `json:"leaving"`
}

// Load asks an endpoint for its load.
func (c *Client) Load(ctx context.Context, n member.Node) (member.Report, load.Work, error) {
	var r loadReport
	if err := c.poll(ctx, n, "/v1/load", &r); err != nil {
		return member.Report{}, load.Work{}, err
	}
	report := member.Report{
		Epoch:   epochOf(r.Epoch, r.Version),
		Version: r.Version,
		Leaving: r.Leaving,
		Slots:   r.Slots,
		Prefill: r.Prefill,
		Step:    time.Duration(r.Step * float64(time.Second)),
	}
	return report, load.Work{
		Calls:  r.Running + r.Waiting,
		Tokens: r.Tokens,
	}, nil
}

// eventBatch is an engine's cache events as they are encoded.
type eventBatch struct {
	Epoch   string `json:"epoch"`
	Version string `json:"version"`
	Events  []struct {
		Seq     int64    `json:"seq"`
		Removed bool     `json:"removed"`
		Hashes  []uint64 `json:"hashes"`
	} `json:"events"`
}

// Events asks an engine for its cache events after a number.
func (c *Client) Events(ctx context.Context, n member.Node, after int64) (state.Cached, error) {
	var b eventBatch
	if err := c.poll(ctx, n, "/v1/events?after="+strconv.FormatInt(after, 10), &b); err != nil {
		return state.Cached{}, err
	}
	out := state.Cached{
		Endpoint: n.Name,
		Epoch:    epochOf(b.Epoch, b.Version),
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

// Order is an order to an engine.
type Order struct {
	// Fence is the fencing number of the lease under which it is given.
	Fence int64 `json:"fence"`
	// Version is the version of weights to load, or empty.
	Version string `json:"version,omitempty"`
	// Leave has the engine take no new work.
	Leave bool `json:"leave,omitempty"`
}

// Order gives an order to an engine. It states the desired end, so that giving
// it twice is the same as once.
func (c *Client) Order(ctx context.Context, n member.Node, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return errors.Trace(err)
	}
	return c.do(ctx, n, http.MethodPost, "/v1/orders", body, nil)
}

// Cancel has an engine end a stream.
func (c *Client) Cancel(ctx context.Context, n member.Node, attempt string) error {
	return c.do(ctx, n, http.MethodDelete, "/v1/streams/"+attempt, nil, nil)
}

func (c *Client) poll(ctx context.Context, n member.Node, path string, into any) error {
	return c.do(ctx, n, http.MethodGet, path, nil, into)
}

// epochOf joins what empties an engine's cache: a new incarnation and new weights.
func epochOf(incarnation, version string) string { return incarnation + "/" + version }

func (c *Client) do(ctx context.Context, n member.Node, method, path string, body []byte, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.Addr+path, readerOf(body))
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := c.kept.Do(req)
	if err != nil {
		return errors.Annotatef(err, "endpoint %s does not answer", n.Name)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPoll))
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
