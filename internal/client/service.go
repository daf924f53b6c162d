package client

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/whole"
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

// errUnsent means that an answer that neither a length nor chunks end came before the call
// was sent. Its end can't be told from that of a service that failed.
const errUnsent = errors.ConstError("the connection ended while the call was being sent: check the service")

// serviceReply reads the response of a plain service.
type serviceReply struct {
	client  *Client
	x       exchange
	attempt call.Attempt
	resp    *http.Response
	// reserved is how many bytes of the client's held ones are this answer's.
	reserved int64
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
func (s *serviceReply) Close() {
	s.x.close(s.resp.Body)
	s.client.held.Add(-s.reserved)
	for ; s.reserved > 0; s.reserved -= blockBytes {
		s.client.holds.Free("", blockCopies*blockBytes)
	}
}

// Next returns the complete body as one chunk. It reads it in blocks, since a buffer that
// grows leaves several times its size behind.
func (s *serviceReply) Next() (chain.Chunk, int, error) {
	var blocks [][]byte
	for total := int64(0); total <= maxServiceBodyBytes; {
		if err := s.reserve(total > 0); err != nil {
			return chain.Chunk{}, 0, s.x.failure(err)
		}
		var block bytes.Buffer
		block.Grow(s.blockSize())
		n, err := io.CopyN(&block, s.resp.Body, blockBytes)
		if err != nil && !errors.Is(err, io.EOF) {
			return chain.Chunk{}, 0, s.x.failure(err)
		}
		blocks = append(blocks, block.Bytes())
		total += n
		if n < blockBytes && total <= maxServiceBodyBytes {
			if !whole.Framed(s.resp) && !s.x.written.Load() {
				return chain.Chunk{}, 0, s.x.failure(errUnsent)
			}
			return chain.Chunk{
				Data: bytes.Join(blocks, nil),
				End:  true,
			}, 0, nil
		}
	}
	return chain.Chunk{}, 0, s.x.failure(fmt.Errorf("the answer is over %d bytes", maxServiceBodyBytes))
}

// blockSize returns the size of the buffer for a block of the body.
func (s *serviceReply) blockSize() int {
	size := int64(blockBytes)
	if length := s.resp.ContentLength; length >= 0 {
		size = min(size, length)
	}
	// The buffer grows unless it has room for one more read.
	return int(size) + bytes.MinRead
}

// reserve reserves the next block of an answer. The first one is free, so that answers
// without end do not keep short ones from being read.
func (s *serviceReply) reserve(further bool) error {
	if !further {
		return nil
	}
	if s.client.held.Add(blockBytes) > maxHeldBytes {
		s.client.held.Add(-blockBytes)
		return errors.New("too many long answers are being read: send the request again later")
	}
	if _, ok := s.client.holds.Hold("", blockCopies*blockBytes); !ok {
		s.client.held.Add(-blockBytes)
		return errors.New("the instance holds too many bytes for callers: send the request again later")
	}
	s.reserved += blockBytes
	return nil
}
