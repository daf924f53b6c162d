package client

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/pkg/chain"
)

// openService sends a request to a plain service over a new connection. Pooled
// connections are unsafe here for two reasons: a plain service need not return
// the id of the request that it answers, and on a reused connection net/http
// itself retries requests that have an idempotency key.
func (c *Client) openService(ctx context.Context, a call.Attempt) (call.Reply, error) {
	ctx, x := withWatchdog(ctx, c.firstChunkTimeout)
	r := a.Request
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+a.Endpoint.Node.Addr+r.Path, bodyReader(r.Body))
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
	req.Header.Set(headerRequestID, a.ID)
	if r.Key != "" {
		req.Header.Set(headerIdempotencyKey, r.Key)
	}
	resp, err := c.unpooled.Do(req)
	if err != nil {
		f := x.failure(err)
		x.close(nil)
		return nil, f
	}
	if got := resp.Header.Get(headerRequestID); got != "" && got != a.ID {
		x.close(resp.Body)
		return nil, wrongAttempt(got, a.ID)
	}
	return &serviceReply{
		client:  c,
		x:       x,
		attempt: a,
		resp:    resp,
	}, nil
}

// serviceReply reads the response of a plain service.
type serviceReply struct {
	client  *Client
	x       exchange
	attempt call.Attempt
	resp    *http.Response
}

// Head returns the status and the content type of the response.
func (s *serviceReply) Head() chain.Head {
	return chain.Head{
		Status:   s.resp.StatusCode,
		Type:     s.resp.Header.Get("Content-Type"),
		Endpoint: s.attempt.Endpoint.Node.Name,
		Attempt:  s.attempt.ID,
	}
}

// Usage returns the zero value because plain services count no tokens.
func (s *serviceReply) Usage() call.Usage { return call.Usage{} }

// Close releases the response.
func (s *serviceReply) Close() { s.x.close(s.resp.Body) }

// Next returns the complete body as one chunk.
func (s *serviceReply) Next() (chain.Chunk, int, error) {
	data, err := io.ReadAll(io.LimitReader(s.resp.Body, maxServiceBodyBytes+1))
	if err != nil {
		return chain.Chunk{}, 0, s.x.failure(err)
	}
	if len(data) > maxServiceBodyBytes {
		return chain.Chunk{}, 0, s.x.failure(fmt.Errorf("the answer is over %d bytes", maxServiceBodyBytes))
	}
	return chain.Chunk{
		Data: data,
		End:  true,
	}, 0, nil
}
