package peer

import (
	"context"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// loop is the control thread as peers reach it.
type loop interface {
	View() *state.State
	Post(e state.Event) bool
	Tell(ctx context.Context, e state.Event) error
}

// Server answers other instances.
type Server struct {
	loop loop
}

// NewServer returns a server that speaks for l.
func NewServer(l loop) Server {
	return Server{
		loop: l,
	}
}

// Beat takes a pulse and answers with this instance's own.
func (s Server) Beat(_ context.Context, m *rpcapi.Pulse) (*rpcapi.Pulse, error) {
	v := s.loop.View()
	_, known := v.Members.Find(m.GetName())
	s.loop.Post(DecodePulse(m))
	if known || m.GetRelay() == nil {
		return s.pulse(), nil
	}
	// An instance that was not known may know few others.
	p := ctrl.HeartbeatOf(*v)
	p.Relay.Peers = v.Routing.Peers
	return EncodePulse(p), nil
}

// Fetch returns the configuration in force.
func (s Server) Fetch(context.Context, *rpcapi.Nothing) (*rpcapi.Document, error) {
	return EncodeDocument(s.loop.View().Config.Document()), nil
}

// Site returns the forwarding configuration in force.
func (s Server) Site(context.Context, *rpcapi.Nothing) (*rpcapi.Blob, error) {
	data, err := site.Marshal(s.loop.View().Routing.Site)
	return &rpcapi.Blob{
		Data: data,
	}, err
}

// Listing returns the endpoints that are known.
func (s Server) Listing(context.Context, *rpcapi.Nothing) (*rpcapi.Blob, error) {
	data, err := encodeRoster(s.loop.View())
	return &rpcapi.Blob{
		Data: data,
	}, err
}

// Stage puts a newer configuration in force and answers once it is.
func (s Server) Stage(ctx context.Context, m *rpcapi.Document) (*rpcapi.Pulse, error) {
	if s.loop.View().Config.Document().Version < m.GetVersion() {
		found := state.NewConfigFound(DecodeDocument(m))
		if err := s.loop.Tell(ctx, found); err != nil {
			return nil, err
		}
		if err := found.Wait(ctx); err != nil {
			return nil, err
		}
	}
	return s.pulse(), nil
}

func (s Server) pulse() *rpcapi.Pulse { return EncodePulse(ctrl.HeartbeatOf(*s.loop.View())) }
