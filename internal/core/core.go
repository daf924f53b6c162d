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
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/route"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// table is the platform's table.
type table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Put(ctx context.Context, row store.Row) (int64, error)
}

// object is the platform's object store.
type object interface {
	Get(ctx context.Context, key string) ([]byte, error)
	Put(ctx context.Context, key string, value []byte) error
	Delete(ctx context.Context, key string) error
	Last(ctx context.Context, prefix string, n string) ([]string, error)
}

// list is the platform's list of nodes.
type list interface {
	Nodes(ctx context.Context) ([]member.Node, error)
}

// peers is the other instances.
type peers interface {
	Beat(ctx context.Context, to member.Node, p state.Pulse) (state.Pulse, error)
	Fetch(ctx context.Context, from member.Node) (policy.Document, error)
	Stage(ctx context.Context, to member.Node, m *rpcapi.Document) (int64, error)
}

// ends is the endpoints.
type ends interface {
	Open(ctx context.Context, a call.Attempt) (call.Reply, error)
	Load(ctx context.Context, n member.Node) (member.Report, load.Work, error)
	Events(ctx context.Context, n member.Node, after int64) (state.Cached, error)
	Order(ctx context.Context, n member.Node, o client.Order) error
	Cancel(ctx context.Context, n member.Node, attempt string) error
}

// directory finds callers by their secret.
type directory interface {
	Find(secret string) (filter.Caller, bool)
}

// meter counts outcomes.
type meter interface {
	Outcome(r chain.Request, result chain.Result, outcome string)
}

// Parts is what an instance is put together from. All fields are needed but
// those with a default.
type Parts struct {
	// Self is the instance.
	Self state.Self
	// Table, Object and List are the platform.
	Table  table
	Object object
	List   list
	// Peers is the other instances.
	Peers peers
	// Ends is the endpoints.
	Ends ends
	// Callers finds callers.
	Callers directory
	// Meter counts outcomes.
	Meter meter
	// Log takes a line for each event.
	Log zerolog.Logger
	// Distance is the added time to reach another failure domain.
	Distance time.Duration
	// Now tells the time; time.Now by default.
	Now func() time.Time
	// NewID returns a new id at each call; random ones by default.
	NewID func() string
}

// Core is an instance without its sockets.
type Core struct {
	// Loop is the control thread.
	Loop *ctrl.Loop
	// Handler is the filter chain.
	Handler chain.Handler
	// Peer answers other instances.
	Peer peer.Server
	// Admin answers operators.
	Admin admin.Server
}

// Option changes a core that New makes.
type Option func(*options)

type options struct {
	controllers []ctrl.Controller
	filters     func([]chain.Filter) []chain.Filter
	chooser     chooser
}

// chooser picks the endpoint for a request.
type chooser interface {
	Choose(q route.Query, pool []member.Endpoint, v route.View) (route.Choice, bool)
}

// WithChooser replaces how endpoints are picked.
func WithChooser(c chooser) Option {
	return func(o *options) { o.chooser = c }
}

// WithControllers replaces the controllers.
func WithControllers(cs ...ctrl.Controller) Option {
	return func(o *options) { o.controllers = cs }
}

// WithFilters has f change the filters of the chain.
func WithFilters(f func([]chain.Filter) []chain.Filter) Option {
	return func(o *options) { o.filters = f }
}

// New returns an instance that does nothing before its loop runs.
func New(p Parts, opts ...Option) *Core {
	if p.Now == nil {
		p.Now = time.Now
	}
	if p.NewID == nil {
		p.NewID = uuid.NewString
	}
	o := options{
		controllers: ctrl.Controllers(),
		chooser:     route.Best{},
	}
	for _, opt := range opts {
		opt(&o)
	}
	d := doer{
		parts: p,
		gauge: &load.Gauge{},
		tally: &filter.Tally{},
		log:   p.Log,
	}
	loop := ctrl.New(state.New(p.Self), d, ctrl.WithClock(p.Now), ctrl.WithControllers(o.controllers...))
	return &Core{
		Loop:    loop,
		Handler: d.chain(loop, o),
		Peer:    peer.NewServer(loop),
		Admin: admin.New(loop,
			admin.WithTable(p.Table),
			admin.WithObject(p.Object),
			admin.WithPeers(p.Peers),
			admin.WithOrders(p.Ends),
			admin.WithGauge(d.gauge),
			admin.WithClock(p.Now),
			admin.WithLog(p.Log)),
	}
}

// chain returns the filter chain.
func (d doer) chain(loop *ctrl.Loop, o options) chain.Handler {
	p := d.parts
	end := filter.NewDispatch(loop, p.Ends, d.gauge, p.NewID,
		filter.WithDistance(p.Distance),
		filter.WithClock(p.Now),
		filter.WithChooser(o.chooser),
		filter.WithLog(d.log))
	living := alive{
		loop: loop,
		now:  p.Now,
	}
	book := claim.New(p.Table, living, p.Self.Incarnation(), p.NewID)
	filters := []chain.Filter{
		filter.NewIdentify(p.Callers),
		filter.NewReady(loop, p.Now),
		filter.NewMatch(loop),
		filter.NewAccount(d.tally, p.Meter),
		filter.NewLimit(loop, p.Now),
		filter.NewClaim(book, d.log),
		filter.NewGate(loop, d.tally, p.Now, d.log),
	}
	if o.filters != nil {
		filters = o.filters(filters)
	}
	return chain.Build(end, filters...)
}

// alive tells which incarnations of instances run, from the control state.
type alive struct {
	loop *ctrl.Loop
	now  func() time.Time
}

// Alive tells whether incarnation runs.
func (a alive) Alive(incarnation string) bool {
	return a.loop.View().Alive(incarnation, a.now())
}
