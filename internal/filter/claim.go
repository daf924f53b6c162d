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
)

const (
	// claimLimit is how long a claim may take.
	claimLimit = 1500 * time.Millisecond
	// finishLimit is how long recording an outcome may take.
	finishLimit = 3 * time.Second
)

// book claims calls.
type book interface {
	Begin(ctx context.Context, team, key, digest string) (claim.Ticket, error)
	Finish(ctx context.Context, t claim.Ticket, o claim.Outcome) error
}

// Claim has non-idempotent calls with a key run at most once.
type Claim struct {
	book book
	log  zerolog.Logger
}

// NewClaim returns the filter that claims in b.
func NewClaim(b book, log zerolog.Logger) Claim {
	return Claim{
		book: b,
		log:  log,
	}
}

// Filter claims r before it passes it on, and answers a repeat of a call that
// ended with that call's answer.
func (f Claim) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	if r.Idempotent || r.Key == "" {
		return next.Handle(ctx, r, w)
	}
	limited, cancel := context.WithTimeout(ctx, claimLimit)
	t, err := f.book.Begin(limited, r.Team, r.Key, digest(r))
	cancel()
	var repeat claim.Repeat
	if errors.As(err, &repeat) {
		return chain.Result{}, replay(repeat.Outcome, w)
	}
	if err != nil {
		return chain.Result{}, err
	}
	if !t.Sendable() {
		return chain.Result{}, fault.New(fault.Internal, "the claim is not settled: retry with the same key")
	}
	kept := &keeper{
		Writer: w,
	}
	result, err := next.Handle(ctx, r, kept)
	f.finish(ctx, r, t, kept.outcome(err))
	return result, err
}

// finish records the outcome even where the caller has gone.
func (f Claim) finish(ctx context.Context, r chain.Request, t claim.Ticket, o claim.Outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishLimit)
	defer cancel()
	err := f.book.Finish(ctx, t, o)
	if err != nil {
		f.log.Warn().Str("event", "claim").Str("request", r.ID).Str("team", r.Team).
			Str("outcome", string(o.State)).Err(err).Send()
	}
}

// keeper passes an answer on and keeps it.
type keeper struct {
	chain.Writer
	head   chain.Head
	answer []byte
	ended  bool
}

// Begin keeps the head and passes it on.
func (k *keeper) Begin(h chain.Head) error {
	k.head = h
	return k.Writer.Begin(h)
}

// Write keeps the chunk and passes it on.
func (k *keeper) Write(c chain.Chunk) error {
	k.answer = append(k.answer, c.Data...)
	k.ended = c.End
	return k.Writer.Write(c)
}

// outcome tells how the call ended, given the error of the filters below.
func (k *keeper) outcome(err error) claim.Outcome {
	switch {
	case k.ended:
		return claim.Outcome{
			State:  claim.Done,
			Status: k.head.Status,
			Type:   k.head.Type,
			Answer: k.answer,
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

// replay writes a kept answer.
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

// digest tells requests apart that share a key.
func digest(r chain.Request) string {
	h := xxhash.New()
	for _, part := range []string{r.Method, r.Model, r.Path, string(r.Body)} {
		_, _ = h.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	return hex.EncodeToString(h.Sum(nil))
}
