package peer

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"
	"github.com/twitchtv/twirp"

	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/pkg/allot"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// Grant answers the ask of a peer for credit of teams' allotments.
func (s Server) Grant(_ context.Context, m *rpcapi.Blob) (*rpcapi.Blob, error) {
	if s.granter == nil {
		return nil, twirp.Unimplemented.Error("this instance divides no allotments")
	}
	var ask allot.Ask
	if err := json.Unmarshal(m.GetData(), &ask); err != nil {
		return nil, twirp.Malformed.Errorf("the ask can't be read: %v", err)
	}
	data, err := json.Marshal(s.granter.Grant(ask))
	return &rpcapi.Blob{
		Data: data,
	}, errors.Trace(err)
}

// Grant asks a peer for credit of teams' allotments.
func (c *Client) Grant(ctx context.Context, to member.Node, a allot.Ask) (allot.Answer, error) {
	data, err := json.Marshal(a)
	if err != nil {
		return allot.Answer{}, errors.Trace(err)
	}
	m, err := c.peer(to).Grant(ctx, &rpcapi.Blob{
		Data: data,
	})
	if err != nil {
		return allot.Answer{}, errors.Annotatef(err, "instance %s does not respond", to.Name)
	}
	var answer allot.Answer
	err = json.Unmarshal(m.GetData(), &answer)
	return answer, errors.Annotatef(err, "the grant of instance %s can't be read", to.Name)
}
