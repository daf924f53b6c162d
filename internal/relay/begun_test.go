package relay

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/pkg/chain"
)

// slowEnds is engines at which a stream begins at once and ends after a time, or
// earlier where the attempt is given up.
type slowEnds struct {
	ends
	// first is how long the first event takes, and rest what follows it.
	first time.Duration
	rest  time.Duration
}

func (e slowEnds) Open(ctx context.Context, _ call.Attempt) (call.Reply, error) {
	return &slowReply{
		ctx:   ctx,
		waits: []time.Duration{e.first, e.rest},
	}, nil
}

// slowReply is one such stream.
type slowReply struct {
	ctx   context.Context
	waits []time.Duration
}

func (*slowReply) Head() chain.Head {
	return chain.Head{
		Status: 200,
	}
}

func (r *slowReply) Next() (chain.Chunk, int, error) {
	wait := r.waits[0]
	r.waits = r.waits[1:]
	select {
	case <-time.After(wait):
		return chain.Chunk{
			Event: "1",
			End:   len(r.waits) == 0,
		}, 0, nil
	case <-r.ctx.Done():
		return chain.Chunk{}, 0, r.ctx.Err()
	}
}

func (*slowReply) Usage() call.Usage { return call.Usage{} }

func (*slowReply) Close() {}

// noWriter is a caller that takes all.
type noWriter struct {
	chain.Writer
}

func (noWriter) Begin(chain.Head) error { return nil }

func (noWriter) Write(chain.Chunk) error { return nil }

// TestStreamThatBeganInTimeGoesOn has streams that outlast the time in which
// they may begin, and one that waits at an engine which lacks nothing.
func TestStreamThatBeganInTimeGoesOn(t *testing.T) {
	t.Parallel()
	const bound = withdrawTime + 200*time.Millisecond
	behind := engines()
	behind.Routing.Weights = behind.Routing.Weights.WithNamed("m", 2, time.Now())
	for name, c := range map[string]struct {
		state fixed
		ends  slowEnds
	}{
		"begins in time, ends later": {
			state: fixed{
				state: behind,
			},
			ends: slowEnds{
				rest: bound,
			},
		},
		"waits long at an engine that lacks nothing": {
			state: fixed{
				state: engines(),
			},
			ends: slowEnds{
				first: bound + withdrawTime,
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := waiting(c.state, c.ends, bound)
			x.writer = noWriter{}
			picked, ok := chosen(t, c.state.state, long())
			require.True(t, ok)
			err := x.try(t.Context(), picked)
			require.NoError(t, err, "cause %v", errors.Unwrap(err))
		})
	}
}
