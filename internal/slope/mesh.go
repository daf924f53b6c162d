package slope

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/daemon"
	"github.com/baobabtally/baobabtally/internal/plat"
	"github.com/baobabtally/baobabtally/internal/setup"
	"github.com/baobabtally/baobabtally/internal/stand"
)

const (
	// secretEnv is the environment variable with the instances' shared secret.
	secretEnv = "BAOBABTALLY_SLOPES_SECRET"
	// meshWarmUp is how long the instances run before the measurement.
	meshWarmUp = 4 * time.Second
	// meshDuration is the duration of the measurement.
	meshDuration = 10 * time.Second
)

// Mesh is the cost of instances that exchange their real messages over loopback.
type Mesh struct {
	// Instances and Engines are the numbers of instances and of engines.
	Instances int
	Engines   int
	// BytesIn and BytesOut are the bytes per second that each instance's listener
	// received and sent.
	BytesIn  float64
	BytesOut float64
	// CPU is the share of a core that each instance used. It includes the
	// stand-ins, which run in the same process.
	CPU float64
	// ControlThread is the share of a core that each control thread used.
	ControlThread float64
	// Reads and Writes are the table's requests per second.
	Reads  float64
	Writes float64
}

// RunMesh runs n instances in front of the given number of engines and measures
// their cost without traffic.
func RunMesh(n, engines int) (Mesh, error) {
	if err := os.Setenv(secretEnv, "slopes-secret-slopes-secret"); err != nil {
		return Mesh{}, err
	}
	m := mesh{
		table:    stand.NewTable(),
		registry: stand.NewRegistry(),
	}
	defer m.close()
	if err := m.start(n, engines); err != nil {
		return Mesh{}, err
	}
	time.Sleep(meshWarmUp)
	before := m.sample()
	time.Sleep(meshDuration)
	return m.difference(before, m.sample(), n, engines), nil
}

// mesh is a set of running instances and the stand-ins that they use.
type mesh struct {
	table     *stand.Table
	registry  *stand.Registry
	in, out   atomic.Int64
	instances []*daemon.Instance
	stops     []func()
	running   sync.WaitGroup
}

// sample is a snapshot of the counters.
type sample struct {
	at            time.Time
	in, out       int64
	cpu           time.Duration
	controlThread time.Duration
	reads, writes int
}

func (m *mesh) sample() sample {
	s := sample{
		at:  time.Now(),
		in:  m.in.Load(),
		out: m.out.Load(),
	}
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err == nil {
		s.cpu = time.Duration(use.Utime.Nano() + use.Stime.Nano())
	}
	for _, i := range m.instances {
		_, busy := i.StepTime()
		s.controlThread += busy
	}
	s.reads, s.writes = m.table.Counts()
	return s
}

// difference returns the rates between two samples.
func (m *mesh) difference(before, after sample, n, engines int) Mesh {
	seconds := after.at.Sub(before.at).Seconds()
	instanceSeconds := seconds * float64(n)
	return Mesh{
		Instances:     n,
		Engines:       engines,
		BytesIn:       float64(after.in-before.in) / instanceSeconds,
		BytesOut:      float64(after.out-before.out) / instanceSeconds,
		CPU:           (after.cpu - before.cpu).Seconds() / instanceSeconds,
		ControlThread: (after.controlThread - before.controlThread).Seconds() / instanceSeconds,
		Reads:         float64(after.reads-before.reads) / seconds,
		Writes:        float64(after.writes-before.writes) / seconds,
	}
}

func (m *mesh) start(n, engines int) error {
	urls := make([]string, 3)
	for i, h := range []http.Handler{m.table, stand.NewObjectStore(), m.registry} {
		l, err := m.serve(h)
		if err != nil {
			return err
		}
		urls[i] = "http://" + l.Addr().String()
	}
	for i := range engines {
		l, err := m.serve(stand.NewEngine("1"))
		if err != nil {
			return err
		}
		m.register(fmt.Sprint("e", i), "engine", l)
	}
	for i := range n {
		if err := m.startInstance(fmt.Sprint("i", i), urls); err != nil {
			return err
		}
	}
	return nil
}

// register adds a node to the registry stand-in.
func (m *mesh) register(name, role string, l net.Listener) {
	m.registry.Set(plat.Entry{
		Name:   name,
		Role:   role,
		Addr:   l.Addr().String(),
		Domain: "a",
		Models: []string{"small"},
	})
}

func listen() (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
}

func (m *mesh) serve(h http.Handler) (net.Listener, error) {
	l, err := listen()
	if err != nil {
		return nil, err
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: time.Second,
	}
	m.running.Go(func() { _ = s.Serve(l) })
	m.stops = append(m.stops, func() { _ = s.Close() })
	return l, nil
}

func (m *mesh) startInstance(name string, urls []string) error {
	l, err := listen()
	if err != nil {
		return err
	}
	m.register(name, "instance", l)
	s := setup.Defaults()
	s.Name = name
	s.Domain = "a"
	s.Table, s.Object, s.List = urls[0], urls[1], urls[2]
	s.Secret.Env = secretEnv
	s.Linger = 0
	i, err := daemon.New(s, zerolog.Nop())
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	m.instances = append(m.instances, i)
	m.stops = append(m.stops, stop)
	m.running.Go(func() {
		_ = i.Run(ctx, countingListener{
			Listener: l,
			m:        m,
		})
	})
	return nil
}

// close stops the servers in reverse order, so that the instances stop before the
// stand-ins that they call.
func (m *mesh) close() {
	for i := range m.stops {
		m.stops[len(m.stops)-1-i]()
	}
	m.running.Wait()
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	m *mesh
}

// Accept returns a connection that counts its bytes.
func (c countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countingConn{
		Conn: conn,
		m:    c.m,
	}, err
}

type countingConn struct {
	net.Conn
	m *mesh
}

// Read counts the received bytes.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.in.Add(int64(n))
	return n, err
}

// Write counts the sent bytes.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.out.Add(int64(n))
	return n, err
}
