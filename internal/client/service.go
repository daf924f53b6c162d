package client

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/pkg/chain"
)

// openService sends a call to a plain service. Each call has a connection of
// its own: plain services need not name the call that they answer, and the
// HTTP library sends a call with a key again by itself over a reused one.
func (c *Client) openService(ctx context.Context, a call.Attempt) (call.Reply, error) {
	ctx, x := watch(ctx, c.first)
	r := a.Request
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+a.Endpoint.Node.Addr+r.Path, readerOf(r.Body))
	if err != nil {
		x.close(nil)
		return nil, call.Failure{
			Cause:  call.Rejected,
			Detail: err.Error(),
		}
	}
	if r.Type != "" {
		req.Header.Set("Content-Type", r.Type)
	}
	req.Header.Set(headerRequest, a.ID)
	if r.Key != "" {
		req.Header.Set(headerKey, r.Key)
	}
	resp, err := c.fresh.Do(req)
	if err != nil {
		f := x.fail(err)
		x.close(nil)
		return nil, f
	}
	if got := resp.Header.Get(headerRequest); got != "" && got != a.ID {
		x.close(resp.Body)
		return nil, crossed(got, a.ID)
	}
	return &wholeReply{
		client:  c,
		x:       x,
		attempt: a,
		resp:    resp,
	}, nil
}

// wholeReply reads one answer of a plain service.
type wholeReply struct {
	client  *Client
	x       exchange
	attempt call.Attempt
	resp    *http.Response
}

// Head returns the start of the answer.
func (w *wholeReply) Head() chain.Head {
	return chain.Head{
		Status:   w.resp.StatusCode,
		Type:     w.resp.Header.Get("Content-Type"),
		Endpoint: w.attempt.Endpoint.Node.Name,
		Attempt:  w.attempt.ID,
	}
}

// Usage returns nothing, since plain services count no tokens.
func (w *wholeReply) Usage() call.Usage { return call.Usage{} }

// Close ends the answer.
func (w *wholeReply) Close() { w.x.close(w.resp.Body) }

// Next returns the whole body as one chunk.
func (w *wholeReply) Next() (chain.Chunk, int, error) {
	data, err := io.ReadAll(io.LimitReader(w.resp.Body, maxBody+1))
	if err != nil {
		return chain.Chunk{}, 0, w.x.fail(err)
	}
	if len(data) > maxBody {
		return chain.Chunk{}, 0, w.x.fail(fmt.Errorf("the answer is over %d bytes", maxBody))
	}
	return chain.Chunk{
		Data: data,
		End:  true,
	}, 0, nil
}
