package proof

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/baobabtally/baobabtally/internal/admin"
	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/client"
	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	latency = 2 * time.Millisecond
	// callTimeout is how long a call to something frozen or unreachable takes to fail.
	callTimeout = 1 * time.Second
)

type controller = ctrl.Controller

func controllers() []controller { return ctrl.Controllers() }

// endpointClient is the client of endpoints, which a mutation may replace.
type endpointClient interface {
	Open(ctx context.Context, a call.Attempt) (call.Reply, error)
	Load(ctx context.Context, n member.Node) (member.Report, load.Work, error)
	Events(ctx context.Context, n member.Node, after int64) (state.CacheEvents, error)
	Order(ctx context.Context, n member.Node, o client.Order) error
	Cancel(ctx context.Context, n member.Node, attempt string) error
}

// fakeTable is the platform's table.
type fakeTable struct {
	mu   sync.Mutex
	rows map[string]tableRow
	down bool
	// lostResponses is how many of the next writes lose their response after they took
	// effect, and lateWrites how many take effect only after the response was lost.
	lostResponses int
	lateWrites    int
}

type tableRow struct {
	value   []byte
	version int64
}

func (t *fakeTable) set(f func(*fakeTable)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t)
}

func (t *fakeTable) get(key string) (store.Row, error) {
	time.Sleep(latency)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return store.Row{}, store.ErrUnavailable
	}
	r, ok := t.rows[key]
	if !ok {
		return store.Row{}, store.ErrMissing
	}
	return store.Row{
		Key:     key,
		Value:   r.value,
		Version: r.version,
	}, nil
}

func (t *fakeTable) put(sim *simulation, row store.Row) (int64, error) {
	time.Sleep(latency)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return 0, store.ErrUnavailable
	}
	if t.lateWrites > 0 {
		t.lateWrites--
		sim.count("fault late write")
		sim.calls.Go(func() {
			time.Sleep(300 * time.Millisecond)
			t.mu.Lock()
			defer t.mu.Unlock()
			_, _ = t.write(row)
		})
		return 0, store.ErrLost
	}
	v, err := t.write(row)
	if err == nil && t.lostResponses > 0 {
		t.lostResponses--
		sim.count("fault lost answer")
		return 0, store.ErrLost
	}
	return v, err
}

func (t *fakeTable) write(row store.Row) (int64, error) {
	if t.rows[row.Key].version != row.Version {
		return 0, store.ErrConflict
	}
	t.rows[row.Key] = tableRow{
		value:   slices.Clone(row.Value),
		version: row.Version + 1,
	}
	return row.Version + 1, nil
}

// hasChange reports whether the configuration's row contains a change.
func (t *fakeTable) hasChange(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, err := peer.UnmarshalDocument(t.rows[admin.ConfigKey].value)
	return err == nil && slices.Contains(m.GetPast(), id)
}

// fakeObject is the platform's object store.
type fakeObject struct {
	mu      sync.Mutex
	objects map[string][]byte
	down    bool
}

func (o *fakeObject) set(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

// network connects one incarnation of an instance to the platform, to other
// instances and to endpoints.
type network struct {
	sim  *simulation
	slot *slot
	ctx  context.Context
}

// reach returns an error if the incarnation was killed or the target is cut off.
func (net *network) reach(off bool) error {
	if net.ctx.Err() != nil {
		return store.ErrUnavailable
	}
	if off {
		time.Sleep(callTimeout)
		return store.ErrUnavailable
	}
	return nil
}

// Get reads a row.
func (net *network) Get(_ context.Context, key string) (store.Row, error) {
	if err := net.reach(net.slot.noTable.Load()); err != nil {
		return store.Row{}, err
	}
	return net.sim.table.get(key)
}

// Put writes a row.
func (net *network) Put(_ context.Context, row store.Row) (int64, error) {
	if err := net.reach(net.slot.noTable.Load()); err != nil {
		return 0, err
	}
	return net.sim.table.put(net.sim, row)
}

// Nodes lists the registered nodes.
func (net *network) Nodes(context.Context) ([]member.Node, error) {
	if err := net.reach(false); err != nil {
		return nil, err
	}
	net.sim.mu.Lock()
	defer net.sim.mu.Unlock()
	return slices.Collect(maps.Values(net.sim.registry)), nil
}

// peer returns the running incarnation of another instance.
func (net *network) peer(n member.Node) (*incarnation, error) {
	for _, s := range net.sim.slots {
		if s.name != n.Name {
			continue
		}
		if err := net.reach(net.slot.noPeers.Load() || s.noPeers.Load()); err != nil {
			return nil, err
		}
		if live := s.live.Load(); live != nil {
			return live, nil
		}
		return nil, store.ErrUnavailable
	}
	return nil, store.ErrMissing
}

// SendHeartbeat sends a heartbeat and returns that of the peer.
func (net *network) SendHeartbeat(ctx context.Context, to member.Node, p state.Heartbeat) (state.Heartbeat, error) {
	s, err := net.peer(to)
	if err != nil {
		return state.Heartbeat{}, store.ErrUnavailable
	}
	m, err := s.core.Peer.Beat(ctx, peer.EncodeHeartbeat(p))
	if err != nil {
		return state.Heartbeat{}, err
	}
	time.Sleep(latency)
	return peer.DecodeHeartbeat(m), nil
}

// Fetch reads a peer's configuration.
func (net *network) Fetch(ctx context.Context, from member.Node) (policy.Document, error) {
	s, err := net.peer(from)
	if err != nil {
		return policy.Document{}, store.ErrUnavailable
	}
	m, err := s.core.Peer.Fetch(ctx, &rpcapi.Nothing{})
	if err != nil {
		return policy.Document{}, err
	}
	return peer.DecodeDocument(m), nil
}

// Stage sends a configuration to a peer.
func (net *network) Stage(ctx context.Context, to member.Node, m *rpcapi.Document) (int64, error) {
	s, err := net.peer(to)
	if err != nil {
		return 0, store.ErrUnavailable
	}
	p, err := s.core.Peer.Stage(ctx, m)
	return p.GetVersion(), err
}

// endpoint returns the fake endpoint, or an error if the incarnation was killed.
func (net *network) endpoint(n member.Node) (*fakeEndpoint, error) {
	if net.ctx.Err() != nil {
		return nil, call.Failure{
			Cause: call.Broken,
		}
	}
	return net.sim.endpoints[n.Name], nil
}

// Open sends an attempt to its endpoint.
func (net *network) Open(ctx context.Context, a call.Attempt) (call.Reply, error) {
	n, err := net.endpoint(a.Endpoint.Node)
	if err != nil {
		return nil, err
	}
	return n.open(ctx, net, a)
}

// Load reads an endpoint's load.
func (net *network) Load(_ context.Context, m member.Node) (member.Report, load.Work, error) {
	n, err := net.endpoint(m)
	if err != nil {
		return member.Report{}, load.Work{}, err
	}
	return n.load()
}

// Events reads an engine's cache events.
func (net *network) Events(_ context.Context, m member.Node, after int64) (state.CacheEvents, error) {
	n, err := net.endpoint(m)
	if err != nil {
		return state.CacheEvents{}, err
	}
	return n.listEvents(after)
}

// Order ignores orders.
func (*network) Order(context.Context, member.Node, client.Order) error { return nil }

// Cancel ends a stream.
func (net *network) Cancel(_ context.Context, m member.Node, attempt string) error {
	n, err := net.endpoint(m)
	if err != nil {
		return err
	}
	n.set(func(n *fakeEndpoint) { delete(n.streams, attempt) })
	net.sim.count("stream cancelled")
	return nil
}

func (net *network) object() *objectClient { return &objectClient{net: net} }

// objectClient connects an incarnation to the object store.
type objectClient struct{ net *network }

func (o *objectClient) store() (*fakeObject, error) {
	if err := o.net.reach(o.net.slot.noTable.Load()); err != nil {
		return nil, err
	}
	time.Sleep(latency)
	s := o.net.sim.object
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, store.ErrUnavailable
	}
	return s, nil
}

// Get reads an object.
func (o *objectClient) Get(_ context.Context, key string) ([]byte, error) {
	s, err := o.store()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[key], nil
}

// Put writes an object.
func (o *objectClient) Put(_ context.Context, key string, value []byte) error {
	s, err := o.store()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[key] = value
	return nil
}

// Delete removes an object.
func (o *objectClient) Delete(context.Context, string) error { return nil }

// Last lists the keys with a prefix in descending order.
func (o *objectClient) Last(_ context.Context, prefix, _ string) ([]string, error) {
	s, err := o.store()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for k := range s.objects {
		if strings.HasPrefix(k, prefix) {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	slices.Reverse(keys)
	return keys, nil
}

func policyText(n int) string {
	return fmt.Sprintf("[[policy]]\nname = \"usual\"\ncover = \"\"\nfloor = 0.%d\n", n%9)
}

// storeInitialConfig writes a first configuration to the table and the object
// store.
func (sim *simulation) storeInitialConfig() {
	value, err := peer.MarshalDocument(&rpcapi.Document{
		Version: 1,
		Change:  "seed",
		Past:    []string{"seed"},
		Text:    policyText(1),
	})
	if err != nil {
		panic(err)
	}
	sim.table.rows[admin.ConfigKey] = tableRow{
		value:   value,
		version: 1,
	}
	sim.object.objects[fmt.Sprintf("%s%012d", admin.ConfigPrefix, 1)] = value
}
