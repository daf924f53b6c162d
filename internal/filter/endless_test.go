package filter_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

// maxEndlessChunks is where endlessEngines give up.
const maxEndlessChunks = 300

// endlessEngines stream chunks of text without an end.
type endlessEngines struct {
	text string
	// opened and sent count the attempts and the chunks.
	opened, sent *int
}

func (e endlessEngines) Open(_ context.Context, a call.Attempt) (call.Reply, error) {
	*e.opened++
	return &endlessStream{
		engines: e,
		attempt: a,
		next:    a.Resume.Offset,
	}, nil
}

type endlessStream struct {
	oneChunk
	engines endlessEngines
	attempt call.Attempt
	next    int
}

func (s *endlessStream) Head() chain.Head {
	return chain.Head{
		Attempt: s.attempt.ID,
	}
}

func (s *endlessStream) Next() (chain.Chunk, int, error) {
	*s.engines.sent++
	s.next++
	if *s.engines.sent > maxEndlessChunks {
		return chain.Chunk{}, 0, call.Failure{
			Cause:     call.Rejected,
			MaybeSent: true,
		}
	}
	return chain.Chunk{
		Text: s.engines.text,
	}, s.next - 1, nil
}

// Guards against a stream of valid chunks that does not end: an instance kept its text, to
// go on at another engine, until the caller left.
func TestEndlessStreamIsEnded(t *testing.T) {
	t.Parallel()
	for name, text := range map[string]string{
		"short chunks": "x",
		"long chunks":  strings.Repeat("x", 512<<10),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var s state.State
			s.Members = member.Unpolled().WithRegistry([]member.Node{
				{
					Name:   "e1",
					Role:   member.Engine,
					Addr:   "e1:1",
					Models: []string{"llm"},
				},
			})
			opened, sent := 0, 0
			d := filter.NewDispatch(fixedControl{
				state: s,
			}, endlessEngines{
				text:   text,
				opened: &opened,
				sent:   &sent,
			}, &load.Gauge{}, func() string { return "id" })
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			const output = 50
			_, err := d.Handle(ctx, chain.Request{
				ID:     "r",
				Kind:   chain.Chat,
				Model:  "llm",
				Output: output,
				Policy: policy.Policy{
					Name: "p",
				},
			}, discard{})
			require.Error(t, err)
			require.NoError(t, ctx.Err())
			require.LessOrEqual(t, sent, 2*output)
			require.LessOrEqual(t, sent*len(text), 4<<20)
			require.Equal(t, 1, opened, "another engine has nothing to add")
		})
	}
}
