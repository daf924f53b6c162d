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
	meshEnv = "BAOBABTALLY_SLOPES_SECRET"
	// warmUp is how long instances run before they are measured.
	warmUp = 4 * time.Second
	// meshFor is how long they are measured.
	meshFor = 10 * time.Second
)

// Mesh is what instances that exchange the real messages over loopback cost.
type Mesh struct {
	// Instances is how many ran in this process, and Engines before how many.
	Instances int
	Engines   int
	// In and Out are the bytes a second that each one's socket took and gave.
	In  float64
	Out float64
	// Core is the share of a core that each one took, stand-ins included.
	Core float64
	// Thread is the share of a core that its control thread took.
	Thread float64
	// Reads and Writes are the table's load a second.
	Reads  float64
	Writes float64
}

// RunMesh runs n instances before a few engines and measures them.
func RunMesh(n, engines int) (Mesh, error) {
	if err := os.Setenv(meshEnv, "slopes-secret-slopes-secret"); err != nil {
		return Mesh{}, err
	}
	m := mesh{
		table: stand.NewTable(),
		list:  stand.NewList(),
	}
	defer m.close()
	if err := m.start(n, engines); err != nil {
		return Mesh{}, err
	}
	time.Sleep(warmUp)
	before := m.sample()
	time.Sleep(meshFor)
	return m.difference(before, m.sample(), n, engines), nil
}

type mesh struct {
	table   *stand.Table
	list    *stand.List
	in, out atomic.Int64
	runs    []*daemon.Instance
	stops   []func()
	ended   sync.WaitGroup
}

// sample is the counters at one moment.
type sample struct {
	at            time.Time
	in, out       int64
	cpu           time.Duration
	thread        time.Duration
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
	for _, i := range m.runs {
		_, busy := i.ControlTime()
		s.thread += busy
	}
	s.reads, s.writes = m.table.Counts()
	return s
}

func (m *mesh) difference(a, b sample, n, engines int) Mesh {
	span := b.at.Sub(a.at).Seconds()
	each := span * float64(n)
	return Mesh{
		Instances: n,
		Engines:   engines,
		In:        float64(b.in-a.in) / each,
		Out:       float64(b.out-a.out) / each,
		Core:      (b.cpu - a.cpu).Seconds() / each,
		Thread:    (b.thread - a.thread).Seconds() / each,
		Reads:     float64(b.reads-a.reads) / span,
		Writes:    float64(b.writes-a.writes) / span,
	}
}

func (m *mesh) start(n, engines int) error {
	urls := make([]string, 3)
	for i, h := range []http.Handler{m.table, stand.NewObject(), m.list} {
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
		m.entry(fmt.Sprint("e", i), "engine", l)
	}
	for i := range n {
		if err := m.instance(fmt.Sprint("i", i), urls); err != nil {
			return err
		}
	}
	return nil
}

func (m *mesh) entry(name, role string, l net.Listener) {
	m.list.Set(plat.Entry{
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
	m.ended.Go(func() { _ = s.Serve(l) })
	m.stops = append(m.stops, func() { _ = s.Close() })
	return l, nil
}

func (m *mesh) instance(name string, urls []string) error {
	l, err := listen()
	if err != nil {
		return err
	}
	m.entry(name, "instance", l)
	s := setup.Defaults()
	s.Name = name
	s.Domain = "a"
	s.Table, s.Object, s.List = urls[0], urls[1], urls[2]
	s.Secret.Env = meshEnv
	s.Linger = 0
	i, err := daemon.New(s, zerolog.Nop())
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	m.runs = append(m.runs, i)
	m.stops = append(m.stops, stop)
	m.ended.Go(func() {
		_ = i.Run(ctx, counted{
			Listener: l,
			m:        m,
		})
	})
	return nil
}

// close stops the instances before what they call.
func (m *mesh) close() {
	for i := range m.stops {
		m.stops[len(m.stops)-1-i]()
	}
	m.ended.Wait()
}

// counted counts the bytes of the connections it accepts.
type counted struct {
	net.Listener
	m *mesh
}

// Accept returns a connection that is counted.
func (c counted) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countedConn{
		Conn: conn,
		m:    c.m,
	}, err
}

type countedConn struct {
	net.Conn
	m *mesh
}

// Read counts the bytes that come in.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.in.Add(int64(n))
	return n, err
}

// Write counts the bytes that go out.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.out.Add(int64(n))
	return n, err
}
