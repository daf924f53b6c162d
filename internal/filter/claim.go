package filter

import (
	"context"
	"encoding/hex"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/claim"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/grace"
)

const (
	// claimTimeout bounds the time to claim a call.
	claimTimeout = 1500 * time.Millisecond
	// finishTimeout bounds the time to record an outcome.
	finishTimeout = 3 * time.Second
	// lastFinishTimeout bounds the time to record an outcome after the end of the grace
	// period. The answer waits for it, and its connection is closed soon after.
	lastFinishTimeout = 50 * time.Millisecond
)

// claimStore stores the claims and outcomes of calls.
type claimStore interface {
	Begin(ctx context.Context, team, key, digest string) (claim.Ticket, error)
	Finish(ctx context.Context, t claim.Ticket, o claim.Outcome) error
}

// Claim ensures that a non-idempotent call with an idempotency key runs at most
// once.
type Claim struct {
	store claimStore
	grace detacher
	log   zerolog.Logger
}

// NewClaim returns a filter that stores claims in s, until the grace period of g has
// ended.
func NewClaim(s claimStore, g detacher, log zerolog.Logger) Claim {
	return Claim{
		store: s,
		grace: g,
		log:   log,
	}
}

// Filter claims r before it passes it on. It answers a repetition of a completed
// call with the recorded answer of that call.
func (f Claim) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	if r.Idempotent || r.Key == "" {
		return next.Handle(ctx, r, w)
	}
	limited, cancel := context.WithTimeout(ctx, claimTimeout)
	ticket, err := f.store.Begin(limited, r.Team, r.Key, digest(r))
	cancel()
	var repeat claim.Repeat
	if errors.As(err, &repeat) {
		return chain.Result{}, replay(repeat.Outcome, w)
	}
	if err != nil {
		return chain.Result{}, err
	}
	if !ticket.Sendable() {
		return chain.Result{}, fault.New(fault.Internal, "the claim is not settled: retry with the same key")
	}
	recorder := &answerRecorder{
		Writer: w,
	}
	outcome := claim.Outcome{
		State: claim.Unknown,
	}
	// Deferred, so that a call whose handler panics does not stay in progress.
	defer func() { f.finish(ctx, r, ticket, outcome) }()
	result, err := next.Handle(ctx, r, recorder)
	outcome = recorder.outcome(err)
	return result, err
}

// finish records the outcome, even if the caller has disconnected.
func (f Claim) finish(ctx context.Context, r chain.Request, t claim.Ticket, o claim.Outcome) {
	if o.State == claim.Unknown && grace.Ended(ctx) {
		// A claim whose owner is gone counts as unknown, too, and the caller has to get
		// its answer before the process ends.
		return
	}
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	detached, release := f.grace.Detach(ctx)
	defer release()
	stop := context.AfterFunc(detached, func() { time.AfterFunc(lastFinishTimeout, cancel) })
	defer stop()
	err := f.store.Finish(limited, t, o)
	if err != nil {
		f.log.Warn().Str("event", "claim").Str("request", r.ID).Str("team", r.Team).
			Str("outcome", string(o.State)).Err(err).Send()
	}
}

// answerRecorder passes an answer on and records it.
type answerRecorder struct {
	chain.Writer
	head     chain.Head
	body     []byte
	complete bool
}

// Begin records the head and passes it on.
func (a *answerRecorder) Begin(h chain.Head) error {
	a.head = h
	return a.Writer.Begin(h)
}

// Write records the chunk and passes it on.
func (a *answerRecorder) Write(c chain.Chunk) error {
	a.body = append(a.body, c.Data...)
	a.complete = c.End
	return a.Writer.Write(c)
}

// outcome returns the outcome of the call, given the error of the filters after
// this one.
func (a *answerRecorder) outcome(err error) claim.Outcome {
	switch {
	case a.complete:
		return claim.Outcome{
			State:  claim.Done,
			Status: a.head.Status,
			Type:   a.head.Type,
			Answer: a.body,
		}
	case err != nil && fault.From(err).Run == fault.NotRun:
		return claim.Outcome{
			State: claim.Free,
		}
	}
	return claim.Outcome{
		State: claim.Unknown,
	}
}

// replay writes a recorded answer.
func replay(o claim.Outcome, w chain.Writer) error {
	err := w.Begin(chain.Head{
		Status: o.Status,
		Type:   o.Type,
	})
	if err != nil {
		return err
	}
	return w.Write(chain.Chunk{
		Data: o.Answer,
		End:  true,
	})
}

// digest returns a hash that distinguishes different requests with the same key.
func digest(r chain.Request) string {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Model, r.Path, string(r.Body)} {
		_, _ = h.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return hex.EncodeToString(h.Sum(nil))
}
