package relay

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/internal/watch"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/site"
	"github.com/baobabtally/baobabtally/pkg/store"
	"github.com/baobabtally/baobabtally/pkg/weight"
)

const (
	// leaseKey is the row of the lease for orders.
	leaseKey = "lease/orders"
	// leaseLength is how long a hold lasts without renewal. It is short, since a
	// new holder waits for it and for the quiet time besides.
	leaseLength = 1800 * time.Millisecond
	// leaseRenewal is how often a holder renews.
	leaseRenewal = 700 * time.Millisecond
	// operatorWait is how long the store holds back a read of what operators
	// write, within the 30 s that the store allows.
	operatorWait = 20 * time.Second
	// rosterPause is the time between two reads of the registry by all instances
	// of a small fleet, a fraction of the time after which a leaving endpoint must
	// get no requests. Larger fleets share the reads: whoever finds news tells all.
	rosterPause = 900 * time.Millisecond
	// rosterFleet is how many instances read that often, and rosterLongest the
	// longest pause of one of many.
	rosterFleet   = 9
	rosterLongest = 8 * time.Second
	// rosterWait is how long the store holds such a read back.
	rosterWait = 300 * time.Millisecond
)

// table is the platform's store.
type table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Put(ctx context.Context, row store.Row) (int64, error)
	Rows(ctx context.Context, table string) (store.Batch, error)
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (store.Batch, error)
	// Clock returns the last reading of the store's clock.
	Clock() store.Clock
}

// decoder reads the rows of the platform.
type decoder interface {
	// Operator returns what operators want, and what could not be read.
	Operator(b store.Batch) ([]state.Event, []error)
	// Registry returns the endpoints, and what could not be read.
	Registry(b store.Batch) (state.Roster, []error)
	// Tables returns the names of the tables of operators and of the registry.
	Tables() (operators, registry string)
}

// peers is the other instances.
type peers interface {
	Beat(ctx context.Context, to member.Node, p state.Pulse) (state.Pulse, error)
	Site(ctx context.Context, from member.Node) (site.Site, error)
	Roster(ctx context.Context, from member.Node) (state.Roster, error)
}

// ends is the endpoints.
type ends interface {
	Open(ctx context.Context, a call.Attempt) (call.Reply, error)
	Load(ctx context.Context, n member.Node) (member.Report, load.Work, error)
	// Holds tells whether an engine reports that it has the request id under way,
	// or others that wait, of which it may be one.
	Holds(ctx context.Context, n member.Node, id string) (bool, error)
	// Events returns what an endpoint stored and dropped after event number after.
	Events(ctx context.Context, n member.Node, after int64) (state.Cached, error)
	// Order has an engine take new weights if it took expected orders before.
	// Just before the order leaves it asks may.
	Order(ctx context.Context, n member.Node, o weight.Order, fence, expected int64, may func() bool) (state.Outcome, error)
}

// meter counts outcomes.
type meter interface {
	Outcome(r chain.Request, result chain.Result, outcome string)
	// Decision counts what the control thread noted.
	Decision(kind string)
	// Chosen counts an attempt's endpoint, and the tokens that it was expected to
	// read.
	Chosen(reason, source string, read int)
	// Failed counts an attempt that failed.
	Failed(cause string)
	// Refused counts a request that no endpoint was asked for.
	Refused(reason string)
	// Waited counts a turn that was waited for, or waited for in vain.
	Waited(wait time.Duration, served bool)
}

// Parts is what an instance is put together from.
type Parts struct {
	// Self is the instance.
	Self state.Self
	// Store is the platform's store, and Decoder reads its rows.
	Store   table
	Decoder decoder
	// Peers is the other instances, and Seeds those to ask first.
	Peers peers
	Seeds []member.Node
	// Ends is the endpoints.
	Ends ends
	// Meter counts outcomes.
	Meter meter
	// Log takes a line for each event.
	Log zerolog.Logger
	// Now tells the time since the machine started; suspended time counts.
	Now func() time.Time
	// Bounds are what the platform grants.
	Bounds Bounds
}

// Bounds are what the platform grants.
type Bounds struct {
	// Quiet is the least time between the orders of two holders.
	Quiet time.Duration
	// WeightsIn is how long requests may begin on weights after newer ones were
	// named.
	WeightsIn time.Duration
	// RetryShare and RetryExtra bound the requests that are sent again within
	// RetrySpan, over all instances.
	RetryShare float64
	RetryExtra float64
	RetrySpan  time.Duration
}

// Relay is an instance that forwards by routes, without its sockets.
type Relay struct {
	// Loop is the control thread.
	Loop *ctrl.Loop
	// Handler is the filter chain.
	Handler chain.Handler
	// Peer answers other instances.
	Peer peer.Server

	parts     Parts
	operators *watch.Table
	registry  *watch.Table
	done      chan struct{}
}

// New returns an instance that does nothing before Run.
func New(p Parts) *Relay {
	d := doer{
		parts: p,
		gauge: &load.Gauge{},
		tally: &filter.Tally{},
	}
	hold := lease.New(leaseKey, p.Self.Incarnation(),
		lease.WithLength(leaseLength, leaseRenewal),
		lease.WithQuiet(p.Bounds.Quiet))
	loop := ctrl.New(state.Forwarding(p.Self, hold), &d,
		ctrl.WithClock(p.Now),
		ctrl.WithInterval(ctrl.ForwardInterval),
		ctrl.WithControllers(ctrl.Forwarding()...))
	d.loop = loop
	operators, registry := p.Decoder.Tables()
	in := intake{
		loop:    loop,
		decoder: p.Decoder,
		log:     p.Log,
	}
	return &Relay{
		Loop:    loop,
		Handler: d.chain(),
		Peer:    peer.NewServer(loop),
		parts:   p,
		operators: watch.New(p.Store, operators, operatorSink{
			intake: in,
		}, watch.WithWait(operatorWait)),
		registry: watch.New(p.Store, registry, registrySink{
			intake: in,
		}, watch.WithWait(rosterWait), watch.WithPause(func() time.Duration { return pauseOf(loop.View()) })),
		done: make(chan struct{}),
	}
}

// pauseOf returns the time between two reads of the registry. It is short while
// endpoints are missing that may return.
func pauseOf(s *state.State) time.Duration {
	if len(s.Routing.Going) > 0 {
		return rosterPause
	}
	share := (len(s.Routing.Mates) + rosterFleet) / rosterFleet
	return min(rosterPause*time.Duration(share), rosterLongest)
}

// chain returns the filter chain.
func (d *doer) chain() chain.Handler {
	p := d.parts
	return chain.Build(
		newForward(d, p),
		d.logged(filter.NewReady(d.loop, p.Now)),
		d.logged(routes{
			view: d.loop,
		}),
		d.logged(teams{
			view: d.loop,
		}),
		ranks{
			view: d.loop,
		},
		filter.NewAccount(d.tally, p.Meter),
		newGate(d.loop, p.Now, p.Log, p.Meter),
	)
}

// logged returns f with its refusals logged and counted.
func (d *doer) logged(f chain.Filter) chain.Filter {
	return logged{
		inner: f,
		view:  d.loop,
		log:   d.parts.Log,
		meter: d.parts.Meter,
	}
}

// Done is closed when the instance has stopped.
func (i *Relay) Done() <-chan struct{} { return i.done }

// Run follows the store and steps the control thread until ctx ends.
func (i *Relay) Run(ctx context.Context) error {
	defer close(i.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	for _, actor := range []func(context.Context) error{i.Loop.Run, i.operators.Run, i.registry.Run, i.join} {
		group.Add(func() error {
			err := actor(ctx)
			if err == nil {
				<-ctx.Done()
			}
			return err
		}, func(error) { cancel() })
	}
	return errors.Trace(group.Run())
}
