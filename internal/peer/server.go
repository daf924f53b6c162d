package peer

import (
	"context"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/allot"
	"github.com/baobabtally/baobabtally/pkg/origin"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// loop gives access to the control thread: the published state and its event
// queue.
type loop interface {
	View() *state.State
	Post(e state.Event) bool
	Tell(ctx context.Context, e state.Event) error
}

// granter grants credit of teams' allotments.
type granter interface {
	Grant(a allot.Ask) allot.Answer
}

// Server implements rpcapi.Peer, the API for other instances.
type Server struct {
	loop loop
	// granter is nil if the instance divides no allotments.
	granter granter
	// tracer is nil if the instance traces no streams.
	tracer tracer
}

// tracer remembers streams and the software that began them.
type tracer interface {
	Trace(known []origin.Stream, asked []string) []origin.Stream
}

// Option configures a Server.
type Option func(*Server)

// WithGranter has g answer asks for credit.
func WithGranter(g granter) Option {
	return func(s *Server) { s.granter = g }
}

// WithTracer has t remember streams.
func WithTracer(t tracer) Option {
	return func(s *Server) { s.tracer = t }
}

// NewServer returns a server for the control thread l.
func NewServer(l loop, opts ...Option) Server {
	s := Server{
		loop: l,
	}
	for _, o := range opts {
		o(&s)
	}
	return s
}

// Beat posts a peer's heartbeat to the control thread and returns this instance's
// own.
func (s Server) Beat(_ context.Context, m *rpcapi.Pulse) (*rpcapi.Pulse, error) {
	v := s.loop.View()
	_, known := v.Members.Find(m.GetName())
	s.loop.Post(DecodeHeartbeat(m))
	if known || m.GetRelay() == nil {
		return s.encodeOwnHeartbeat(), nil
	}
	// An instance that is new here may know few others, so its first response lists
	// the known ones.
	h := ctrl.HeartbeatOf(*v)
	h.Relay.Peers = v.Routing.Peers
	return EncodeHeartbeat(h), nil
}

// Fetch returns the effective configuration.
func (s Server) Fetch(context.Context, *rpcapi.Nothing) (*rpcapi.Document, error) {
	return EncodeDocument(s.loop.View().Config.Document()), nil
}

// Site returns the effective forwarding configuration.
func (s Server) Site(context.Context, *rpcapi.Nothing) (*rpcapi.Blob, error) {
	data, err := site.Marshal(s.loop.View().Routing.Site)
	return &rpcapi.Blob{
		Data: data,
	}, err
}

// Listing returns a snapshot of the known endpoints.
func (s Server) Listing(context.Context, *rpcapi.Nothing) (*rpcapi.Blob, error) {
	data, err := encodeSnapshot(s.loop.View())
	return &rpcapi.Blob{
		Data: data,
	}, err
}

// Stage makes a configuration effective if it is newer than the current one, and
// returns once the control thread has published it.
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
	return s.encodeOwnHeartbeat(), nil
}

// encodeOwnHeartbeat returns this instance's heartbeat.
func (s Server) encodeOwnHeartbeat() *rpcapi.Pulse {
	return EncodeHeartbeat(ctrl.HeartbeatOf(*s.loop.View()))
}
