package filter_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/claim"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// newTable is a table without rows.
type newTable struct{}

func (newTable) Get(context.Context, string) (store.Row, error) {
	return store.Row{}, store.ErrMissing
}

func (newTable) Put(context.Context, store.Row) (int64, error) { return 1, nil }

// stuckClaims make claims, but store no outcomes.
type stuckClaims struct {
	claim.Claimer
	finishing chan claim.State
}

func (c stuckClaims) Finish(ctx context.Context, _ claim.Ticket, o claim.Outcome) error {
	c.finishing <- o.State
	<-ctx.Done()
	return ctx.Err()
}

// discardWriter takes a response.
type discardWriter struct{}

func (discardWriter) Begin(chain.Head) error { return nil }

func (discardWriter) Write(chain.Chunk) error { return nil }

// answering is a handler that answers unless it has an error.
type answering struct {
	err error
}

func (h answering) Handle(_ context.Context, _ chain.Request, w chain.Writer) (chain.Result, error) {
	if h.err != nil {
		return chain.Result{}, h.err
	}
	if err := w.Begin(chain.Head{}); err != nil {
		return chain.Result{}, err
	}
	return chain.Result{}, w.Write(chain.Chunk{
		End: true,
	})
}

// abortTime is how long handlers have to respond after the end of the grace period.
const abortTime = 150 * time.Millisecond

// A table that does not take the outcome of a call must not hold up the answer beyond the
// end of the grace period, when its connection is closed.
func TestEndOfGracePeriodEndsStorageOfOutcome(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		err  error
		want claim.State
	}{
		"answered": {
			want: claim.Done,
		},
		"not run": {
			err:  fault.New(fault.Unavailable, "none"),
			want: claim.Free,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			signal := grace.New()
			ctx, leave := context.WithCancel(signal.Context())
			defer leave()
			claims := stuckClaims{
				Claimer:   claim.New(newTable{}, nil, "owner", func() string { return "nonce" }),
				finishing: make(chan claim.State, 1),
			}
			f := filter.NewClaim(claims, signal, zerolog.Nop())
			ended := make(chan error, 1)
			go func() {
				_, err := f.Filter(ctx, chain.Request{
					Key: "key",
				}, discardWriter{}, answering{
					err: c.err,
				})
				ended <- err
			}()
			require.Equal(t, c.want, <-claims.finishing)
			leave()
			select {
			case err := <-ended:
				require.Fail(t, "the caller that left ended the storage of the outcome", "%v", err)
			case <-time.After(100 * time.Millisecond):
			}
			signal.End()
			select {
			case err := <-ended:
				require.Equal(t, c.err, err)
			case <-time.After(abortTime):
				require.Fail(t, "the answer was held up")
			}
		})
	}
}

// outcomeClaims make claims and record the outcomes.
type outcomeClaims struct {
	claim.Claimer
	outcomes chan claim.State
}

func (c outcomeClaims) Finish(_ context.Context, _ claim.Ticket, o claim.Outcome) error {
	c.outcomes <- o.State
	return nil
}

// A call whose handler panicked must not stay in progress while the instance runs.
func TestPanicLeavesUnknownOutcome(t *testing.T) {
	t.Parallel()
	claims := outcomeClaims{
		Claimer:  claim.New(newTable{}, nil, "owner", func() string { return "nonce" }),
		outcomes: make(chan claim.State, 1),
	}
	f := filter.NewClaim(claims, grace.New(), zerolog.Nop())
	require.Panics(t, func() {
		_, _ = f.Filter(t.Context(), chain.Request{
			Key: "key",
		}, discardWriter{}, handlerFunc(func() error { panic("a fault") }))
	})
	require.Len(t, claims.outcomes, 1)
	require.Equal(t, claim.Unknown, <-claims.outcomes)
}
