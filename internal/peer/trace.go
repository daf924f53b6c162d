package peer

import (
	"context"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/origin"
)

// Trace remembers the known streams of a peer and returns those that it asks for.
func (s Server) Trace(_ context.Context, m *rpcapi.Streams) (*rpcapi.Streams, error) {
	if s.tracer == nil {
		return nil, twirp.Unimplemented.Error("this instance traces no streams")
	}
	return &rpcapi.Streams{
		Known: encodeStreams(s.tracer.Trace(decodeStreams(m.GetKnown()), m.GetAsked())),
	}, nil
}

// Trace has a peer remember the known streams, and returns those of the asked ones that it
// knows.
func (c *Client) Trace(ctx context.Context, to member.Node, known []origin.Stream, asked []string) ([]origin.Stream, error) {
	m, err := c.peer(to).Trace(ctx, &rpcapi.Streams{
		Known: encodeStreams(known),
		Asked: asked,
	})
	if err != nil {
		return nil, errors.Annotatef(err, "instance %s does not respond", to.Name)
	}
	return decodeStreams(m.GetKnown()), nil
}

func encodeStreams(streams []origin.Stream) []*rpcapi.Stream {
	out := make([]*rpcapi.Stream, 0, len(streams))
	for _, s := range streams {
		out = append(out, &rpcapi.Stream{
			Id:       s.ID,
			Software: s.Software,
		})
	}
	return out
}

func decodeStreams(messages []*rpcapi.Stream) []origin.Stream {
	out := make([]origin.Stream, 0, len(messages))
	for _, m := range messages {
		out = append(out, origin.Stream{
			ID:       m.GetId(),
			Software: m.GetSoftware(),
		})
	}
	return out
}
