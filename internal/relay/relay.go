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
	"github.com/baobabtally/baobabtally/pkg/allot"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/poison"
	"github.com/baobabtally/baobabtally/pkg/site"
	"github.com/baobabtally/baobabtally/pkg/store"
	"github.com/baobabtally/baobabtally/pkg/weight"
)

const (
	// leaseKey is the row of the lease for sending orders.
	leaseKey = "lease/orders"
	// leaseTTL is how long the lease lasts without renewal. It is short,
	// because a new holder must wait for its expiry and for the quiet period.
	leaseTTL = 1800 * time.Millisecond
	// leaseRenewInterval is how often the holder renews the lease.
	leaseRenewInterval = 700 * time.Millisecond
	// operatorLongPoll is how long a read of the operators' table waits at the
	// store for changes. The store allows up to 30 s, which a quarter more stays below.
	operatorLongPoll = 20 * time.Second
	// operatorReaders is how many instances wait for changes of the operators' table at
	// any time, however many there are: the first by rendezvous hashing, of which some
	// may be paused, cut off or about to end, and as many again by chance. The others
	// learn of a change from them, in two or three hops. maxOperatorPause limits the
	// mean pause of one instance between two waits.
	operatorReaders  = 6
	maxOperatorPause = 5 * time.Minute
	// registryInterval is how often an instance without peers reads the registry. It
	// is a fraction of the time after which a departing endpoint must get no more
	// requests. Instances with peers divide the reads: one that finds changes sends
	// them to all others.
	registryInterval = 900 * time.Millisecond
	// registryReaders is how many instances read the registry per registryInterval,
	// however many there are: more than one, since a reader may be paused, cut off or
	// about to end. maxRegistryInterval limits the interval of one instance, and with
	// it for how long it can miss a change that no peer sent to it.
	registryReaders     = 3
	maxRegistryInterval = 30 * time.Second
	// registryLongPoll is how long such a read waits at the store for changes. It is
	// longer than registryInterval, so that at almost any time some instance waits
	// for them.
	registryLongPoll = time.Second
	// smallFleet is the number of instances up to which each reads the registry at
	// registryInterval while the news of peers can't be relied on. More instances
	// divide the reads, up to maxStoreProbeInterval, since the store refuses calls
	// beyond its rate and each refused call has its price.
	smallFleet            = 9
	maxStoreProbeInterval = 3 * time.Second
	// hedgeInterval is how long a read of changes may be overdue before a small fleet
	// sends another one. Larger fleets wait longer, up to maxHedgeInterval.
	hedgeInterval    = 400 * time.Millisecond
	maxHedgeInterval = time.Second
	// eraSpread is the time for each instance over which the reads of whole tables in a new
	// era of the store are spread, so that they are 200 a second of each table.
	// maxEraSpread leaves a configuration the rest of the time that it has.
	eraSpread    = 5 * time.Millisecond
	maxEraSpread = time.Second
	// heartbeatInterval is the time between two rounds of heartbeats, and
	// heartbeatsPerRound the number that an instance of a fleet of hundreds sends in
	// one, times the number of its peers.
	heartbeatInterval  = 800 * time.Millisecond
	heartbeatsPerRound = 81
	// isolationRounds is how many heartbeats may fail to arrive in a row before an
	// instance reads the registry as if it had no peers.
	isolationRounds = 3
)

// rowStore is the platform's store.
type rowStore interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Put(ctx context.Context, row store.Row) (int64, error)
	Rows(ctx context.Context, table string) (store.Batch, error)
	Changes(ctx context.Context, table string, after int64, wait time.Duration) (store.Batch, error)
	// Clock returns the last known reading of the store's clock.
	Clock() store.Clock
}

// decoder decodes the rows of the platform's store.
type decoder interface {
	// Operator returns the operators' settings as events, and a problem for each
	// row that can't be decoded.
	Operator(b store.Batch) ([]state.Event, []store.Problem)
	// Registry returns the registered endpoints, and a problem for each row that
	// names none.
	Registry(b store.Batch) (state.RegistrySnapshot, []store.Problem)
	// Tables returns the names of the operators' table and of the registry's.
	Tables() (operators, registry string)
}

// peerClient calls other instances.
type peerClient interface {
	SendHeartbeat(ctx context.Context, to member.Node, p state.Heartbeat) (state.Heartbeat, error)
	Site(ctx context.Context, from member.Node) (site.Site, error)
	RegistrySnapshot(ctx context.Context, from member.Node) (state.RegistrySnapshot, error)
	// Grant asks a peer for credit of teams' allotments.
	Grant(ctx context.Context, to member.Node, a allot.Ask) (allot.Answer, error)
	tracer
}

// endpoints calls endpoints.
type endpoints interface {
	Open(ctx context.Context, a call.Attempt) (call.Reply, error)
	Load(ctx context.Context, n member.Node) (member.Report, load.Work, error)
	// InFlight reports whether an engine says that request id is in flight, or
	// that it has queued requests, of which id may be one.
	InFlight(ctx context.Context, n member.Node, id string) (bool, error)
	// Down reports whether an endpoint refuses connections, as one does whose
	// process has ended. An endpoint that can't be reached is not known to be down.
	Down(ctx context.Context, n member.Node) bool
	// Events returns what an endpoint stored and evicted after event number
	// after.
	Events(ctx context.Context, n member.Node, after int64) (state.CacheEvents, error)
	// Order has an engine load new weights, provided that it has taken the
	// expected number of orders before. It calls allowed right before sending
	// and sends nothing if that returns false.
	Order(ctx context.Context, n member.Node, o weight.Order, fencingToken, expected int64, allowed func() bool) (state.Outcome, error)
}

// meter records metrics.
type meter interface {
	Outcome(r chain.Request, result chain.Result, outcome string)
	// Decision counts an event that the controllers noted.
	Decision(kind string)
	// Chosen counts the endpoint chosen for an attempt and the tokens that it
	// is expected to prefill.
	Chosen(reason, source string, uncached int)
	// Failed counts a failed attempt.
	Failed(cause string)
	// Refused counts a request that was refused before any endpoint was called.
	Refused(reason string)
	// Unreadable counts a version of a row that can't be used.
	Unreadable(table string)
	// Signaled counts an answer in which an endpoint said that it is departing or
	// wants no calls for a while.
	Signaled(kind string)
	// Resumed counts a stream that a caller takes up again, by the source from which the
	// version of the software is known that began it.
	Resumed(source string)
	// Waited records the time that a request waited in the queue, and whether
	// it was admitted.
	Waited(wait time.Duration, served bool)
}

// Parts are the dependencies and settings of an instance.
type Parts struct {
	// Self identifies the instance.
	Self state.Self
	// Store is the platform's store, and Decoder decodes its rows.
	Store   rowStore
	Decoder decoder
	// Peers calls other instances. Seeds are the ones to contact first.
	Peers peerClient
	Seeds []member.Node
	// Endpoints calls endpoints.
	Endpoints endpoints
	// Meter records metrics.
	Meter meter
	// Log receives a line for each event.
	Log zerolog.Logger
	// Now returns the time since boot, including suspended time.
	Now func() time.Time
	// Bounds are the limits that the platform sets.
	Bounds Bounds
	// Grace tells requests that the instance stops.
	Grace *grace.Signal
}

// Bounds are the limits that the platform sets.
type Bounds struct {
	// QuietPeriod is the minimum time between orders of two different lease holders.
	QuietPeriod time.Duration
	// StaleWeightsLimit is how long requests may still start on replaced weights after
	// a newer version was set.
	StaleWeightsLimit time.Duration
	// RetryShare and RetryExtra limit retries within RetrySpan, over all
	// instances: a share of the requests and a fixed number in addition.
	RetryShare float64
	RetryExtra float64
	RetrySpan  time.Duration
	// Allot is what is tolerated beyond the allotments of teams.
	Allot allot.Bounds
}

// Relay is an instance that forwards requests according to routes. Its
// listeners are not part of it.
type Relay struct {
	// Loop is the control thread.
	Loop *ctrl.Loop
	// Handler is the filter chain.
	Handler chain.Handler
	// Peer serves the requests of other instances.
	Peer peer.Server

	parts     Parts
	gate      *gate
	allotter  *allotter
	operators *watch.Table
	registry  *watch.Table
	origins   *origins
	listing   *listing
	// rejoin receives a value when the instance has to look for its row in the store.
	rejoin <-chan struct{}
	done   chan struct{}
}

// New returns an instance that is started by Run.
func New(p Parts) *Relay {
	exec := executor{
		parts:  p,
		gauge:  &load.Gauge{},
		tally:  &filter.Tally{},
		served: &poison.Served{},
		rejoin: make(chan struct{}, 1),
	}
	orderLease := lease.New(leaseKey, p.Self.Incarnation(),
		lease.WithLength(leaseTTL, leaseRenewInterval),
		lease.WithQuietPeriod(p.Bounds.QuietPeriod))
	loop := ctrl.New(state.Forwarding(p.Self, orderLease), &exec,
		ctrl.WithClock(p.Now),
		ctrl.WithInterval(ctrl.ForwardInterval),
		ctrl.WithControllers(ctrl.Forwarding()...))
	exec.loop = loop
	list := newListing(p.Store, loop.View, p.Now)
	exec.origins = &origins{
		view:  loop.View,
		list:  list,
		peers: p.Peers,
		now:   p.Now,
		log:   p.Log,
		meter: p.Meter,
	}
	gate := newGate(loop, p.Now, p.Log, p.Meter)
	allotter := newAllotter(loop, p)
	operators, registry := p.Decoder.Tables()
	hedging := watch.WithHedging(func() time.Duration { return hedgeIntervalOf(len(loop.View().Routing.Peers)) })
	spread := watch.WithSpread(func() time.Duration { return eraSpreadOf(len(loop.View().Routing.Peers)) })
	newSink := func(table string) controlSink {
		return controlSink{
			loop:     loop,
			decoder:  p.Decoder,
			log:      p.Log,
			problems: newProblemLog(table, p.Log, p.Meter),
		}
	}
	operatorsTable := watch.New(p.Store, operators, operatorSink{
		controlSink: newSink("operators"),
	}, hedging, spread, watch.WithLongPoll(operatorLongPoll), watch.WithPause(func() time.Duration { return operatorPause(loop.View(), p.Now()) }))
	registryTable := watch.New(p.Store, registry, registrySink{
		controlSink: newSink("registry"),
	}, hedging, spread, registryReads(loop.View, p.Store.Clock, p.Now))
	exec.operators, exec.registry = operatorsTable, registryTable
	return &Relay{
		Loop:      loop,
		Handler:   exec.chain(allotter, gate),
		Peer:      peer.NewServer(loop, peer.WithGranter(allotter), peer.WithTracer(exec.origins)),
		parts:     p,
		gate:      gate,
		allotter:  allotter,
		operators: operatorsTable,
		registry:  registryTable,
		origins:   exec.origins,
		listing:   list,
		rejoin:    exec.rejoin,
		done:      make(chan struct{}),
	}
}

// registryReads sets when the registry is read.
func registryReads(view func() *state.State, clock func() store.Clock, now func() time.Time) watch.Option {
	return func(t *watch.Table) {
		watch.WithLongPoll(registryLongPoll)(t)
		watch.WithInterval(func() time.Duration { return registryReadInterval(view(), now()) })(t)
		watch.WithTurns(func() (time.Duration, bool) { return registryTurn(view(), clock(), now()) })(t)
	}
}

// registryTurn returns the time from now until the turn of this instance to read the
// registry, and false while it does not rely on the turns of others. The turns are spread
// over the interval, which the store's clock starts for all instances, by a ranking in
// which those of one failure domain do not follow each other.
func registryTurn(s *state.State, clock store.Clock, now time.Time) (time.Duration, bool) {
	rank, ranked := s.Routing.Ranks.Of(state.RegistryTable)
	if !ranked || clock.Reading == 0 || readsAlone(s, now) {
		return 0, false
	}
	interval := registryReadInterval(s, now)
	turn := interval * time.Duration(rank) / time.Duration(len(s.Routing.Peers)+1)
	elapsed := (clock.Reading + now.Sub(clock.SentAt)) % interval
	return (interval + turn - elapsed) % interval, true
}

// readsAlone reports whether the instance reads the registry as if it had no peers: while
// endpoints are missing that may reappear, while the store does not answer, and while no
// peer is heard from, which would send changes.
func readsAlone(s *state.State, now time.Time) bool {
	return len(s.Routing.Departing) > 0 || !s.Routing.StoreReachable || isolated(s, now)
}

// registryReadInterval returns the time between two reads of the registry at now. It is
// short while the instance reads alone.
func registryReadInterval(s *state.State, now time.Time) time.Duration {
	peers := len(s.Routing.Peers)
	if readsAlone(s, now) {
		return min(registryInterval*time.Duration((peers+smallFleet)/smallFleet), maxStoreProbeInterval)
	}
	share := (peers + registryReaders) / registryReaders
	return min(registryInterval*time.Duration(share), maxRegistryInterval)
}

// hedgeIntervalOf returns the time after which a read of changes is overdue at an instance
// with the given number of peers.
func hedgeIntervalOf(peers int) time.Duration {
	return min(hedgeInterval*time.Duration((peers+smallFleet)/smallFleet), maxHedgeInterval)
}

// eraSpreadOf returns the time over which an instance with the given number of peers
// spreads its reads of whole tables in a new era of the store.
func eraSpreadOf(peers int) time.Duration {
	return min(eraSpread*time.Duration(peers), maxEraSpread)
}

// operatorPause returns the mean pause between two waits for changes of the operators'
// table at now. There is none where the news of peers can't be relied on.
func operatorPause(s *state.State, now time.Time) time.Duration {
	instances := len(s.Routing.Peers) + 1
	rank, ranked := s.Routing.Ranks.Of(state.OperatorsTable)
	if !ranked || rank < operatorReaders || !s.Routing.StoreReachable || isolated(s, now) {
		return 0
	}
	// The ranks may still be those of a larger fleet.
	others := max(instances-operatorReaders, 0)
	return min(operatorLongPoll*time.Duration(others)/operatorReaders, maxOperatorPause)
}

// isolated reports whether no heartbeat has come from a peer for longer than the
// rotation explains.
func isolated(s *state.State, now time.Time) bool {
	return now.Sub(s.Routing.PeerHeardAt) > isolationTime(s)
}

// isolationTime returns how long the heartbeats of peers may fail to arrive.
func isolationTime(s *state.State) time.Duration {
	gap := heartbeatInterval * time.Duration(max(1, len(s.Routing.Peers)/heartbeatsPerRound))
	return isolationRounds * gap
}

// chain builds the filter chain.
func (x *executor) chain(a *allotter, g *gate) chain.Handler {
	p := x.parts
	return chain.Build(
		newForwarder(x, p),
		x.logRefusals(filter.NewReady(x.loop, p.Now)),
		x.logRefusals(routeFilter{
			view: x.loop,
		}),
		x.logRefusals(teamFilter{
			view: x.loop,
		}),
		x.logRefusals(filter.NewLate(p.Grace, p.Now)),
		x.logRefusals(poisonFilter{
			view: x.loop,
			now:  p.Now,
		}),
		x.logRefusals(originFilter{
			origins: x.origins,
		}),
		policyFilter{
			view: x.loop,
		},
		filter.NewAccount(x.tally, p.Meter),
		a,
		g,
	)
}

// logRefusals wraps f, so that its refusals are logged and counted.
func (x *executor) logRefusals(f chain.Filter) chain.Filter {
	return refusalLogger{
		inner: f,
		view:  x.loop,
		log:   x.parts.Log,
		meter: x.parts.Meter,
	}
}

// Done returns a channel that is closed when Run has returned.
func (i *Relay) Done() <-chan struct{} { return i.done }

// Run follows the store and runs the control thread until ctx ends.
func (i *Relay) Run(ctx context.Context) error {
	defer close(i.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	for _, actor := range []func(context.Context) error{i.Loop.Run, i.operators.Run, i.registry.Run, i.join, i.gate.run, i.allotter.run, i.origins.run, i.listing.run} {
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
