package core

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/admin"
	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/client"
	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/claim"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/route"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// configTable is the platform's key-value table, which holds the configuration and
// the claims of requests.
type configTable interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Put(ctx context.Context, row store.Row) (int64, error)
}

// objectStore is the platform's object store, which holds a backup of the
// configuration.
type objectStore interface {
	Get(ctx context.Context, key string) ([]byte, error)
	Put(ctx context.Context, key string, value []byte) error
	Delete(ctx context.Context, key string) error
	Last(ctx context.Context, prefix string, n string) ([]string, error)
}

// nodeLister reads the platform's list of nodes.
type nodeLister interface {
	Nodes(ctx context.Context) ([]member.Node, error)
}

// peerClient calls the other instances.
type peerClient interface {
	SendHeartbeat(ctx context.Context, to member.Node, p state.Heartbeat) (state.Heartbeat, error)
	Fetch(ctx context.Context, from member.Node) (policy.Document, error)
	Stage(ctx context.Context, to member.Node, m *rpcapi.Document) (int64, error)
}

// endpointClient calls the endpoints.
type endpointClient interface {
	Open(ctx context.Context, a call.Attempt) (call.Reply, error)
	Load(ctx context.Context, n member.Node) (member.Report, load.Work, error)
	Events(ctx context.Context, n member.Node, after int64) (state.CacheEvents, error)
	Order(ctx context.Context, n member.Node, o client.Order) error
	Cancel(ctx context.Context, n member.Node, attempt string) error
}

// callerDirectory finds callers by their secret.
type callerDirectory interface {
	Find(secret string) (filter.Caller, bool)
}

// outcomeMeter counts the outcomes of requests.
type outcomeMeter interface {
	Outcome(r chain.Request, result chain.Result, outcome string)
}

// Parts holds the dependencies of an instance. All fields are required except those
// with a default.
type Parts struct {
	// Self is the identity of the instance.
	Self state.Self
	// Table, Object and List are the clients of the platform.
	Table  configTable
	Object objectStore
	List   nodeLister
	// Peers calls the other instances.
	Peers peerClient
	// Endpoints calls the endpoints.
	Endpoints endpointClient
	// Callers finds callers by their secret.
	Callers callerDirectory
	// Meter counts outcomes.
	Meter outcomeMeter
	// Log receives one line for each event.
	Log zerolog.Logger
	// Distance is the additional latency to reach another failure domain.
	Distance time.Duration
	// Now returns the current time; time.Now by default.
	Now func() time.Time
	// NewID returns a new unique id on each call; random UUIDs by default.
	NewID func() string
	// Grace tells requests that the instance stops; by default it never does.
	Grace *grace.Signal
}

// Core is an instance without its sockets.
type Core struct {
	// Loop is the control thread.
	Loop *ctrl.Loop
	// Handler is the filter chain for requests.
	Handler chain.Handler
	// Peer serves calls from other instances.
	Peer peer.Server
	// Admin serves calls from operators.
	Admin admin.Server
}

// Option configures the Core that New creates.
type Option func(*options)

type options struct {
	controllers []ctrl.Controller
	filters     func([]chain.Filter) []chain.Filter
	chooser     endpointChooser
}

// endpointChooser selects the endpoint for a request.
type endpointChooser interface {
	Choose(q route.Query, pool []member.Endpoint, v route.View) (route.Choice, bool)
}

// WithChooser replaces the algorithm that selects endpoints.
func WithChooser(c endpointChooser) Option {
	return func(o *options) { o.chooser = c }
}

// WithControllers replaces the controllers.
func WithControllers(cs ...ctrl.Controller) Option {
	return func(o *options) { o.controllers = cs }
}

// WithFilters lets f modify the list of filters of the chain.
func WithFilters(f func([]chain.Filter) []chain.Filter) Option {
	return func(o *options) { o.filters = f }
}

// New creates an instance. It does nothing until its loop runs.
func New(p Parts, opts ...Option) *Core {
	if p.Now == nil {
		p.Now = time.Now
	}
	if p.NewID == nil {
		p.NewID = uuid.NewString
	}
	if p.Grace == nil {
		p.Grace = grace.New()
	}
	o := options{
		controllers: ctrl.Controllers(),
		chooser:     route.Best{},
	}
	for _, opt := range opts {
		opt(&o)
	}
	x := executor{
		parts: p,
		gauge: &load.Gauge{},
		tally: &filter.Tally{},
		log:   p.Log,
	}
	loop := ctrl.New(state.New(p.Self), x, ctrl.WithClock(p.Now), ctrl.WithControllers(o.controllers...))
	return &Core{
		Loop:    loop,
		Handler: x.buildChain(loop, o),
		Peer:    peer.NewServer(loop),
		Admin: admin.New(loop,
			admin.WithTable(p.Table),
			admin.WithObjectStore(p.Object),
			admin.WithPeers(p.Peers),
			admin.WithOrders(p.Endpoints),
			admin.WithGauge(x.gauge),
			admin.WithClock(p.Now),
			admin.WithLog(p.Log)),
	}
}

// buildChain builds the filter chain for requests.
func (x executor) buildChain(loop *ctrl.Loop, o options) chain.Handler {
	p := x.parts
	dispatch := filter.NewDispatch(loop, p.Endpoints, x.gauge, p.NewID,
		filter.WithDistance(p.Distance),
		filter.WithClock(p.Now),
		filter.WithChooser(o.chooser),
		filter.WithLog(x.log),
		filter.WithGrace(p.Grace))
	liveness := livenessView{
		loop: loop,
		now:  p.Now,
	}
	claims := claim.New(p.Table, liveness, p.Self.Incarnation(), p.NewID)
	filters := []chain.Filter{
		filter.NewIdentify(p.Callers),
		filter.NewReady(loop, p.Now),
		filter.NewMatch(loop),
		filter.NewLate(p.Grace, p.Now),
		filter.NewAccount(x.tally, p.Meter),
		filter.NewLimit(loop, p.Now),
		filter.NewClaim(claims, p.Grace, x.log),
		filter.NewGate(loop, x.tally, p.Now, x.log),
	}
	if o.filters != nil {
		filters = o.filters(filters)
	}
	return chain.Build(dispatch, filters...)
}

// livenessView looks up in the control state which incarnations of instances are
// running.
type livenessView struct {
	loop *ctrl.Loop
	now  func() time.Time
}

// Alive reports whether incarnation is running.
func (a livenessView) Alive(incarnation string) bool {
	return a.loop.View().Alive(incarnation, a.now())
}
