package daemon

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
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
	"github.com/baobabtally/baobabtally/internal/halt"
	"github.com/baobabtally/baobabtally/internal/holds"
	"github.com/baobabtally/baobabtally/internal/httpd"
	"github.com/baobabtally/baobabtally/internal/meter"
	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/plat"
	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/setup"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/invar"
	"github.com/baobabtally/baobabtally/pkg/stream"
)

const (
	// readHeaderTimeout bounds the time to read the header of a request.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the time to read a complete request.
	readTimeout = 30 * time.Second
	// idleTimeout is how long a connection may stay without a request.
	idleTimeout = 30 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	// memoryShare is the share of the machine's memory that is set as the garbage
	// collector's soft limit.
	memoryShare = 0.6
	// drainTimeout is how long in-flight requests may continue when an instance
	// stops.
	drainTimeout = 5 * time.Minute
)

// Instance is one instance of the router. It is created by New.
type Instance struct {
	settings setup.Settings
	log      zerolog.Logger
	core     *core.Core
	server   *httpd.Server
	meter    *meter.Meter
	grace    *grace.Signal
	// closers are the clients whose idle connections are closed when the
	// instance stops.
	closers []closer
	done    chan struct{}
}

// closer closes the idle connections of a client.
type closer interface {
	Close()
}

// New returns an instance, which does nothing until Run is called.
func New(s setup.Settings, log zerolog.Logger) (*Instance, error) {
	secret, err := s.Secret.Read()
	if err != nil {
		return nil, err
	}
	m, err := meter.New()
	if err != nil {
		return nil, err
	}
	if s.Memory > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.Memory) * (1 << 20)))
	}
	keeper := holds.New(holds.Limit())
	if err := holds.Register(m, keeper); err != nil {
		return nil, err
	}
	table, object, list := plat.NewTable(s.Table, admin.ConfigKey), plat.NewObjectStore(s.Object), plat.NewList(s.List)
	peers := peer.NewClient(secret)
	endpoints := client.New(client.WithChunkTimeout(time.Duration(s.Gap)), client.WithFirstChunkTimeout(time.Duration(s.First)), client.WithHolds(keeper))
	signal := grace.New()
	i := &Instance{
		settings: s,
		log:      log,
		meter:    m,
		grace:    signal,
		done:     make(chan struct{}),
		closers:  []closer{table, object, list, peers, endpoints},
		core: core.New(core.Parts{
			Self: state.Self{
				Name:   s.Name,
				Epoch:  uuid.NewString(),
				Domain: s.Domain,
			},
			Table:     table,
			Object:    object,
			List:      list,
			Peers:     peers,
			Endpoints: endpoints,
			Callers:   newCallerDirectory(s.Callers),
			Meter:     m,
			Log:       log,
			Distance:  time.Duration(s.Distance),
			Grace:     signal,
		}),
	}
	i.server = i.newServer(secret, keeper)
	return i, nil
}

// Done is closed when the instance has stopped.
func (i *Instance) Done() <-chan struct{} { return i.done }

// StepTime returns the number of steps of the control thread and the total time that
// they took.
func (i *Instance) StepTime() (int64, time.Duration) { return i.core.Loop.StepTime() }

// Run serves on l until ctx is done, and then shuts down gracefully.
func (i *Instance) Run(ctx context.Context, l net.Listener) error {
	defer close(i.done)
	defer invar.Hook(i.recordViolation)()
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
			// Serve returns as soon as Stop starts. Wait until Stop has drained
			// the in-flight requests.
			<-control.Done()
			return nil
		}
		return errors.Annotatef(err, "can't serve on %s: free the address or change listen", l.Addr())
	}, func(error) { _ = i.server.Close() })
	wait, stopWait := context.WithCancel(ctx)
	group.Add(func() error {
		<-wait.Done()
		return i.drain()
	}, func(error) { stopWait() })
	err := group.Run()
	i.log.Info().Str("event", "stop").Str("name", i.settings.Name).Send()
	return err
}

// drain makes the instance not ready, leaves load balancers the linger time to
// notice, and waits for the in-flight requests.
func (i *Instance) drain() error {
	err := halt.Stop(halt.Parts{
		Server:  i.server,
		Control: i.core.Loop,
		Signal:  i.grace,
		Log:     i.log,
		Now:     time.Now,
		Kill:    drainTimeout,
		Linger:  time.Duration(i.settings.Linger),
	})
	return errors.Annotatef(err, "in-flight requests were cut after the drain timeout of %s: stop earlier or raise the timeout", drainTimeout)
}

func (i *Instance) close() {
	for _, c := range i.closers {
		c.Close()
	}
	_ = i.meter.Close(context.Background())
}

func (i *Instance) recordViolation(v invar.Violation) {
	i.meter.Violation(v)
	i.log.Error().Str("event", "breach").Str("rule", v.Rule.String()).Str("detail", v.Detail).
		Str("trace", v.Trace).Send()
}

// newServer returns the HTTP server for callers, peers and operators.
func (i *Instance) newServer(secret []byte, keeper *holds.Keeper) *httpd.Server {
	e := echo.New()
	front.Mount(e, i.core.Handler, i.core.Loop, stream.NewSigner(secret), i.grace)
	e.GET("/metrics", echo.WrapHandler(i.meter.Handler()))
	e.POST(rpcapi.PeerPathPrefix+"*", echo.WrapHandler(peer.RequireSecret(secret, rpcapi.NewPeerServer(i.core.Peer))))
	e.POST(rpcapi.AdminPathPrefix+"*", echo.WrapHandler(peer.RequireSecret(secret, rpcapi.NewAdminServer(i.core.Admin))))
	return httpd.New(e,
		httpd.WithLog(i.log),
		httpd.WithMeter(i.meter),
		httpd.WithGrace(i.grace),
		httpd.WithFailure(front.WriteFailure),
		httpd.WithIdleTimeout(func() time.Duration { return idleTimeout }),
		httpd.WithHeaderTimeout(readHeaderTimeout),
		httpd.WithReadTimeout(readTimeout),
		httpd.WithMaxHeaderBytes(maxHeaderBytes),
		httpd.WithHolds(keeper),
		httpd.WithMaxConnections(holds.Connections(0)))
}
