package filter

import (
	"context"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/invar"
)

// service forwards r to a plain service. A non-idempotent call is retried only if
// no byte of it can have been sent.
func (f Dispatch) service(ctx context.Context, r chain.Request, w chain.Writer) (chain.Result, error) {
	if !r.Idempotent {
		// The call continues if its caller disconnects, so that its outcome
		// is recorded.
		detached, release := f.grace.Detach(ctx)
		defer release()
		limited, cancel := context.WithTimeout(detached, nonIdempotentTimeout)
		defer cancel()
		ctx = limited
	}
	var failedEndpoints []string
	sentAttempts := 0
	for n := 1; ; n++ {
		choice, err := f.choose(r, failedEndpoints)
		if err != nil {
			return chain.Result{}, withRunState(err, sentAttempts)
		}
		invar.Check(r.Idempotent || sentAttempts == 0, invar.Once, "non-idempotent request %s is sent more than once", r.ID)
		head, chunks, err := f.readAll(ctx, f.newAttempt(r, choice.Endpoint))
		f.reportOutcome(ctx, choice.Endpoint, err)
		if err == nil {
			return f.writeAnswer(r, w, choice.Endpoint.Node.Name, n, head, chunks)
		}
		failure := failureOf(err)
		if failure.MaybeSent {
			sentAttempts++
		}
		f.log.Warn().Str("event", "fail").Str("request", r.ID).Str("endpoint", choice.Endpoint.Node.Name).
			Str("cause", failure.Cause.String()).Bool("sent", failure.MaybeSent).Err(err).Send()
		if grace.Ended(ctx) {
			return chain.Result{}, grace.Fault(sentAttempts > 0)
		}
		if failure.MaybeSent && !r.Idempotent {
			return chain.Result{}, fault.New(fault.Lost, "the answer of %s was lost (%v): look the result up before you send it again", choice.Endpoint.Node.Name, err).WithRun(fault.Unknown)
		}
		failedEndpoints = append(failedEndpoints, choice.Endpoint.Node.Name)
		if err := f.backOff(ctx, n, err); err != nil {
			return chain.Result{}, withRunState(err, sentAttempts)
		}
	}
}

// withRunState returns err. It marks whether the request was executed as unknown if an
// attempt may have been sent.
func withRunState(err error, sentAttempts int) error {
	if sentAttempts == 0 {
		return err
	}
	return fault.From(err).WithRun(fault.Unknown)
}

// readAll reads the complete response to a, so that a truncated one is never
// forwarded.
func (f Dispatch) readAll(ctx context.Context, a call.Attempt) (chain.Head, []chain.Chunk, error) {
	counted := f.gauge.Start(a.Endpoint.Node.Name, 0)
	defer counted.End()
	held := admissionOf(ctx)
	held.move(a.Endpoint.Node.Name)
	defer held.move("")
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

func (f Dispatch) writeAnswer(r chain.Request, w chain.Writer, endpoint string, attempts int, head chain.Head, chunks []chain.Chunk) (chain.Result, error) {
	result := chain.Result{
		Endpoint: endpoint,
		Attempts: attempts,
		First:    f.now().Sub(r.Arrived),
	}
	if err := w.Begin(head); err != nil {
		return result, callerDisconnected(err)
	}
	for _, c := range chunks {
		if err := w.Write(c); err != nil {
			return result, callerDisconnected(err)
		}
	}
	return result, nil
}

// callerDisconnected returns the error for an answer whose caller disconnected
// before its end.
func callerDisconnected(err error) error {
	return fault.New(fault.Lost, "the caller left before the answer ended (%v): resume with the last event id", err).WithRun(fault.Unknown)
}
