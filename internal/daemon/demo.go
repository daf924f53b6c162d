package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/internal/admin"
	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/plat"
	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/setup"
	"github.com/baobabtally/baobabtally/internal/stand"
)

const (
	// demoKey is the API key that the demo instance accepts.
	demoKey = "demo-key"
	// demoSecret is the demo instance's secret for peers and operators. It is
	// public, so it protects nothing.
	demoSecret = "demo-secret-demo-secret"
)

// demoPolicies are the policies of the demo instance.
const demoPolicies = `[[policy]]
name = "checks"
cover = "kind=check"
rank = "urgent"
target = "900ms"
within = 95

[[policy]]
name = "usual"
cover = ""
rank = "normal"
floor = 0.2
`

// Demo runs stand-ins for the endpoints and the platform in this process and
// holds the settings of an instance that uses them.
type Demo struct {
	// Settings are the settings of the demo instance.
	Settings setup.Settings
	servers  []*http.Server
}

// NewDemo starts the stand-ins on loopback addresses.
func NewDemo(listen string) (*Demo, error) {
	d := &Demo{
		Settings: setup.Defaults(),
	}
	if err := d.start(listen); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Demo) start(listen string) error {
	var failed error
	serve := func(h http.Handler) string {
		addr, err := d.startServer(h)
		if err != nil {
			failed = err
		}
		return addr
	}
	models := []string{"small"}
	nodes := []plat.Entry{
		registryEntry("i1", "instance", listen, nil),
		registryEntry("e1", "engine", serve(stand.NewEngine("1")), models),
		registryEntry("e2", "engine", serve(stand.NewEngine("1")), models),
		registryEntry("b1", "service", serve(stand.NewService()), []string{"billing"}),
	}
	table := stand.NewTable()
	if err := seedPolicies(table); err != nil {
		return err
	}
	s := &d.Settings
	s.Name = "i1"
	s.Domain = "a"
	s.Listen = listen
	s.Linger = setup.Duration(200 * time.Millisecond)
	s.Table = "http://" + serve(table)
	s.Object = "http://" + serve(stand.NewObjectStore())
	s.List = "http://" + serve(stand.NewRegistry(nodes...))
	s.Secret = setup.LiteralSecret(demoSecret)
	s.Callers = []setup.Caller{
		{
			Hash: HashKey(demoKey),
			Team: "loom",
		},
	}
	return failed
}

// Close stops the stand-ins.
func (d *Demo) Close() {
	for _, s := range d.servers {
		_ = s.Close()
	}
}

func (d *Demo) startServer(h http.Handler) (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Annotate(err, "can't listen on loopback for a stand-in: free some ports")
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	d.servers = append(d.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// seedPolicies stores demoPolicies in the table as version 1.
func seedPolicies(t *stand.Table) error {
	value, err := peer.MarshalDocument(&rpcapi.Document{
		Version: 1,
		Change:  "demo",
		Author:  "demo",
		Text:    demoPolicies,
	})
	if err != nil {
		return err
	}
	t.Seed(admin.ConfigKey, value)
	return nil
}

func registryEntry(name, role, addr string, models []string) plat.Entry {
	return plat.Entry{
		Name:   name,
		Role:   role,
		Addr:   addr,
		Domain: "a",
		Models: models,
	}
}
