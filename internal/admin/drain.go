package admin

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/baobabtally/baobabtally/internal/client"
	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/pkg/invar"
)

// orderTimeout bounds an order to an endpoint. An order is only sent if the
// lease is valid for at least this long.
const orderTimeout = 1500 * time.Millisecond

// Drain orders an endpoint to take no new work. Only the holder of the lease for
// orders may do so; the order carries the lease's fencing token.
func (s Server) Drain(ctx context.Context, t *rpcapi.Target) (*rpcapi.Nothing, error) {
	st := s.loop.View()
	n, ok := st.Members.Find(t.GetName())
	if !ok {
		return nil, twirp.NotFoundError("no endpoint is called " + t.GetName() + ": status lists them")
	}
	deadline := s.now().Add(orderTimeout)
	if !st.Lease.Valid(s.now(), deadline) {
		return nil, twirp.NewError(twirp.FailedPrecondition, "this instance holds no lease for orders: send it to "+st.Lease.Holder())
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	now := s.now()
	invar.Check(st.Lease.Valid(now, now), invar.Fence, "order to %s after the lease expired", t.GetName())
	err := s.orders.Order(ctx, n.Node, client.Order{
		FencingToken: st.Lease.FencingToken(),
		Depart:       true,
	})
	s.log.Info().Str("event", "order").Str("endpoint", t.GetName()).Str("order", "leave").
		Int64("fence", st.Lease.FencingToken()).AnErr("error", err).Send()
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return &rpcapi.Nothing{}, nil
}
