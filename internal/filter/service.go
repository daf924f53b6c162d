package filter

import (
	"context"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/invar"
)

// service has a plain service serve r. A call that may run only once is sent
// again only while no byte of it can have left.
func (f Dispatch) service(ctx context.Context, r chain.Request, w chain.Writer) (chain.Result, error) {
	if !r.Idempotent {
		// The call goes on when its caller leaves, so that its outcome is known.
		limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), onceLimit)
		defer cancel()
		ctx = limited
	}
	var tried []string
	sent := 0
	for n := 1; ; n++ {
		choice, err := f.choose(r, tried)
		if err != nil {
			return chain.Result{}, err
		}
		invar.That(r.Idempotent || sent == 0, invar.Once, "%s is sent again", r.ID)
		head, chunks, err := f.whole(ctx, f.attempt(r, choice.Endpoint))
		f.report(choice.Endpoint, err)
		if err == nil {
			return f.deliver(r, w, choice.Endpoint.Node.Name, n, head, chunks)
		}
		failure := failureOf(err)
		if failure.Sent {
			sent++
		}
		f.log.Warn().Str("event", "fail").Str("request", r.ID).Str("endpoint", choice.Endpoint.Node.Name).
			Str("cause", failure.Cause.String()).Bool("sent", failure.Sent).Err(err).Send()
		if failure.Sent && !r.Idempotent {
			return chain.Result{}, fault.New(fault.Lost, "the answer of %s was lost (%v): look the result up before you send it again", choice.Endpoint.Node.Name, err).WithRun(fault.Unknown)
		}
		tried = append(tried, choice.Endpoint.Node.Name)
		if err := f.again(ctx, n, err); err != nil {
			return chain.Result{}, err
		}
	}
}

// whole reads the whole answer to a, so that a cut one is never passed on.
func (f Dispatch) whole(ctx context.Context, a call.Attempt) (chain.Head, []chain.Chunk, error) {
	counted := f.gauge.Start(a.Endpoint.Node.Name, 0)
	defer counted.End()
	reply, err := f.client.Open(ctx, a)
	if err != nil {
		return chain.Head{}, nil, err
	}
	defer reply.Close()
	var chunks []chain.Chunk
	for {
		c, _, err := reply.Next()
		if err != nil {
			return chain.Head{}, nil, err
		}
		chunks = append(chunks, c)
		if c.End {
			return reply.Head(), chunks, nil
		}
	}
}

func (f Dispatch) deliver(r chain.Request, w chain.Writer, endpoint string, attempts int, head chain.Head, chunks []chain.Chunk) (chain.Result, error) {
	result := chain.Result{
		Endpoint: endpoint,
		Attempts: attempts,
		First:    f.now().Sub(r.Arrived),
	}
	if err := w.Begin(head); err != nil {
		return result, callerGone(err)
	}
	for _, c := range chunks {
		if err := w.Write(c); err != nil {
			return result, callerGone(err)
		}
	}
	return result, nil
}

// callerGone is the outcome of an answer that its caller did not read.
func callerGone(err error) error {
	return fault.New(fault.Lost, "the caller left before the answer ended (%v): resume with the last event id", err).WithRun(fault.Unknown)
}
