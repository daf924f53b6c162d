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
	"github.com/baobabtally/baobabtally/internal/client"
	"github.com/baobabtally/baobabtally/internal/core"
	"github.com/baobabtally/baobabtally/internal/front"
	"github.com/baobabtally/baobabtally/internal/meter"
	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/plat"
	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/setup"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/invar"
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
	core     *core.Core
	server   *http.Server
	meter    *meter.Meter
	// closers drop idle connections at the end.
	closers []closer
	done    chan struct{}
}

// closer drops the connections that are not in use.
type closer interface {
	Close()
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
	table, object, list := plat.NewTable(s.Table, admin.Key), plat.NewObject(s.Object), plat.NewList(s.List)
	peers := peer.NewClient(secret)
	ends := client.New(client.WithGap(time.Duration(s.Gap)), client.WithFirst(time.Duration(s.First)))
	i := &Instance{
		settings: s,
		log:      log,
		meter:    m,
		done:     make(chan struct{}),
		closers:  []closer{table, object, list, peers, ends},
		core: core.New(core.Parts{
			Self: state.Self{
				Name:   s.Name,
				Epoch:  uuid.NewString(),
				Domain: s.Domain,
			},
			Table:    table,
			Object:   object,
			List:     list,
			Peers:    peers,
			Ends:     ends,
			Callers:  newCallers(s.Callers),
			Meter:    m,
			Log:      log,
			Distance: time.Duration(s.Distance),
		}),
	}
	i.server = i.serve(secret)
	return i, nil
}

// Done is closed when the instance has stopped.
func (i *Instance) Done() <-chan struct{} { return i.done }

// Spent returns how many steps the control thread made and the time they took.
func (i *Instance) Spent() (int64, time.Duration) { return i.core.Loop.Spent() }

// Run serves on l until ctx ends, and then stops gracefully.
func (i *Instance) Run(ctx context.Context, l net.Listener) error {
	defer close(i.done)
	defer invar.Hook(i.breach)()
	defer i.close()
	i.log.Info().Str("event", "start").Str("name", i.settings.Name).Str("listen", l.Addr().String()).Send()
	var group run.Group
	control, stopControl := context.WithCancel(context.Background())
	group.Add(func() error {
		return i.core.Loop.Run(control)
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
	if err := i.core.Loop.Tell(ctx, state.Stopping{}); err != nil {
		return nil
	}
	time.Sleep(time.Duration(i.settings.Linger))
	err := i.server.Shutdown(ctx)
	i.log.Info().Str("event", "drained").Stringer("took", time.Since(begin).Round(time.Millisecond)).AnErr("error", err).Send()
	return errors.Annotatef(err, "calls were cut after %s: stop earlier or raise the limit", drainLimit)
}

func (i *Instance) close() {
	for _, c := range i.closers {
		c.Close()
	}
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
	front.Mount(e, i.core.Handler, i.core.Loop, stream.NewSigner(secret))
	e.GET("/metrics", echo.WrapHandler(i.meter.Handler()))
	e.POST(rpcapi.PeerPathPrefix+"*", echo.WrapHandler(peer.Guard(secret, rpcapi.NewPeerServer(i.core.Peer))))
	e.POST(rpcapi.AdminPathPrefix+"*", echo.WrapHandler(peer.Guard(secret, rpcapi.NewAdminServer(i.core.Admin))))
	return &http.Server{
		Handler:           e,
		ReadHeaderTimeout: headerLimit,
		ReadTimeout:       readLimit,
		MaxHeaderBytes:    maxHeader,
	}
}
