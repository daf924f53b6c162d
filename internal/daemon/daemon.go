package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/admin"
	"github.com/baobabtally/baobabtally/internal/api"
	"github.com/baobabtally/baobabtally/internal/client"
	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/internal/front"
	"github.com/baobabtally/baobabtally/internal/meter"
	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/plat"
	"github.com/baobabtally/baobabtally/internal/setup"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/claim"
	"github.com/baobabtally/baobabtally/pkg/invar"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/stream"
)

const (
	// headerLimit is how long the headers of a call may take.
	headerLimit = 5 * time.Second
	// readLimit is how long a whole call may take to come in.
	readLimit = 30 * time.Second
	// maxHeader is the longest headers of a call, in bytes.
	maxHeader = 64 << 10
	// drainLimit is how long calls under way may take when an instance stops.
	drainLimit = 5 * time.Minute
)

// Instance is one entry instance. It is made by New.
type Instance struct {
	settings setup.Settings
	log      zerolog.Logger
	loop     *ctrl.Loop
	server   *http.Server
	doer     doer
	meter    *meter.Meter
	done     chan struct{}
}

// New returns an instance that does nothing before Run.
func New(s setup.Settings, log zerolog.Logger) (*Instance, error) {
	secret, err := s.Secret.Read()
	if err != nil {
		return nil, err
	}
	m, err := meter.New()
	if err != nil {
		return nil, err
	}
	i := &Instance{
		settings: s,
		log:      log,
		meter:    m,
		done:     make(chan struct{}),
		doer: doer{
			table:  plat.NewTable(s.Table),
			object: plat.NewObject(s.Object),
			list:   plat.NewList(s.List),
			peers:  peer.NewClient(secret),
			ends:   client.New(client.WithGap(time.Duration(s.Gap)), client.WithFirst(time.Duration(s.First))),
			gauge:  &load.Gauge{},
			tally:  &filter.Tally{},
			log:    log,
		},
	}
	self := state.Self{
		Name:   s.Name,
		Epoch:  uuid.NewString(),
		Domain: s.Domain,
	}
	i.loop = ctrl.New(state.New(self), i.doer)
	i.server = i.serve(secret)
	return i, nil
}

// Done is closed when the instance has stopped.
func (i *Instance) Done() <-chan struct{} { return i.done }

// Run serves on l until ctx ends, and then stops gracefully.
func (i *Instance) Run(ctx context.Context, l net.Listener) error {
	defer close(i.done)
	defer invar.Hook(i.breach)()
	defer i.close()
	i.log.Info().Str("event", "start").Str("name", i.settings.Name).Str("listen", l.Addr().String()).Send()
	var group run.Group
	control, stopControl := context.WithCancel(context.Background())
	group.Add(func() error {
		return i.loop.Run(control)
	}, func(error) { stopControl() })
	group.Add(func() error {
		err := i.server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			// Shutdown waits for the calls under way.
			<-control.Done()
			return nil
		}
		return errors.Annotatef(err, "can't serve on %s: free the address or change listen", l.Addr())
	}, func(error) { _ = i.server.Close() })
	wait, stopWait := context.WithCancel(ctx)
	group.Add(func() error {
		<-wait.Done()
		return i.stop()
	}, func(error) { stopWait() })
	err := group.Run()
	i.log.Info().Str("event", "stop").Str("name", i.settings.Name).Send()
	return err
}

// stop has the balancer look elsewhere and waits for the calls under way.
func (i *Instance) stop() error {
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), drainLimit)
	defer cancel()
	if err := i.loop.Tell(ctx, state.Stopping{}); err != nil {
		return nil
	}
	time.Sleep(time.Duration(i.settings.Linger))
	err := i.server.Shutdown(ctx)
	i.log.Info().Str("event", "drained").Stringer("took", time.Since(begin).Round(time.Millisecond)).AnErr("error", err).Send()
	return errors.Annotatef(err, "calls were cut after %s: stop earlier or raise the limit", drainLimit)
}

func (i *Instance) close() {
	i.doer.table.Close()
	i.doer.object.Close()
	i.doer.list.Close()
	i.doer.peers.Close()
	i.doer.ends.Close()
	_ = i.meter.Close(context.Background())
}

func (i *Instance) breach(b invar.Breach) {
	i.meter.Breach(b)
	i.log.Error().Str("event", "breach").Str("rule", b.Rule.String()).Str("detail", b.Detail).
		Str("trace", b.Trace).Send()
}

// serve returns the HTTP server for callers, peers and operators.
func (i *Instance) serve(secret []byte) *http.Server {
	e := echo.New()
	front.Mount(e, i.chain(), i.loop, stream.NewSigner(secret))
	e.GET("/metrics", echo.WrapHandler(i.meter.Handler()))
	ops := admin.New(i.loop,
		admin.WithTable(i.doer.table),
		admin.WithObject(i.doer.object),
		admin.WithPeers(i.doer.peers),
		admin.WithOrders(i.doer.ends),
		admin.WithGauge(i.doer.gauge),
		admin.WithLog(i.log))
	e.POST(api.PeerPathPrefix+"*", echo.WrapHandler(peer.Guard(secret, api.NewPeerServer(peer.NewServer(i.loop)))))
	e.POST(api.AdminPathPrefix+"*", echo.WrapHandler(peer.Guard(secret, api.NewAdminServer(ops))))
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: headerLimit,
		ReadTimeout:       readLimit,
		MaxHeaderBytes:    maxHeader,
	}
}

// chain returns the filter chain.
func (i *Instance) chain() chain.Handler {
	d := i.doer
	end := filter.NewDispatch(i.loop, d.ends, d.gauge, uuid.NewString,
		filter.WithDistance(time.Duration(i.settings.Distance)),
		filter.WithLog(i.log))
	living := alive{
		loop: i.loop,
	}
	book := claim.New(d.table, living, i.loop.View().Self.Incarnation(), uuid.NewString)
	return chain.Build(end,
		filter.NewIdentify(newCallers(i.settings.Callers)),
		filter.NewReady(i.loop, time.Now),
		filter.NewMatch(i.loop),
		filter.NewAccount(d.tally, i.meter),
		filter.NewLimit(i.loop, time.Now),
		filter.NewClaim(book, i.log),
		filter.NewGate(i.loop, d.tally, time.Now, i.log),
	)
}

// alive tells which incarnations of instances run, from the control state.
type alive struct {
	loop *ctrl.Loop
}

// Alive tells whether incarnation runs.
func (a alive) Alive(incarnation string) bool {
	return a.loop.View().Alive(incarnation, time.Now())
}
