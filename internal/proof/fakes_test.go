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
	// limit is how long a call to something cut or frozen takes to fail.
	limit = 1 * time.Second
)

type controller = ctrl.Controller

func controllers() []controller { return ctrl.Controllers() }

// ends is what breaks may replace.
type ends interface {
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
	// lost is how many writes lose their answer after their effect, and late
	// how many have their effect only after the answer was lost.
	lost int
	late int
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

func (t *fakeTable) put(w *world, row store.Row) (int64, error) {
	time.Sleep(latency)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return 0, store.ErrUnavailable
	}
	if t.late > 0 {
		t.late--
		w.count("fault late write")
		w.calls.Go(func() {
			time.Sleep(300 * time.Millisecond)
			t.mu.Lock()
			defer t.mu.Unlock()
			_, _ = t.write(row)
		})
		return 0, store.ErrLost
	}
	v, err := t.write(row)
	if err == nil && t.lost > 0 {
		t.lost--
		w.count("fault lost answer")
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

// made tells whether a change is among those of the configuration's row.
func (t *fakeTable) made(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, err := peer.UnmarshalDocument(t.rows[admin.Key].value)
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

// link is the way of one incarnation of an instance to everything else.
type link struct {
	w    *world
	slot *slot
	ctx  context.Context
}

// cut returns an error where the instance is dead or cut off.
func (l *link) cut(off bool) error {
	if l.ctx.Err() != nil {
		return store.ErrUnavailable
	}
	if off {
		time.Sleep(limit)
		return store.ErrUnavailable
	}
	return nil
}

// Get reads a row.
func (l *link) Get(_ context.Context, key string) (store.Row, error) {
	if err := l.cut(l.slot.noTable.Load()); err != nil {
		return store.Row{}, err
	}
	return l.w.table.get(key)
}

// Put writes a row.
func (l *link) Put(_ context.Context, row store.Row) (int64, error) {
	if err := l.cut(l.slot.noTable.Load()); err != nil {
		return 0, err
	}
	return l.w.table.put(l.w, row)
}

// Nodes reads the list.
func (l *link) Nodes(context.Context) ([]member.Node, error) {
	if err := l.cut(false); err != nil {
		return nil, err
	}
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	return slices.Collect(maps.Values(l.w.listed)), nil
}

// other returns the running incarnation of another instance.
func (l *link) other(n member.Node) (*incarnation, error) {
	for _, s := range l.w.slots {
		if s.name != n.Name {
			continue
		}
		if err := l.cut(l.slot.noPeers.Load() || s.noPeers.Load()); err != nil {
			return nil, err
		}
		if live := s.live.Load(); live != nil {
			return live, nil
		}
		return nil, store.ErrUnavailable
	}
	return nil, store.ErrMissing
}

// Beat sends a pulse.
func (l *link) Beat(ctx context.Context, to member.Node, p state.Heartbeat) (state.Heartbeat, error) {
	s, err := l.other(to)
	if err != nil {
		return state.Heartbeat{}, store.ErrUnavailable
	}
	m, err := s.core.Peer.Beat(ctx, peer.EncodePulse(p))
	if err != nil {
		return state.Heartbeat{}, err
	}
	time.Sleep(latency)
	return peer.DecodePulse(m), nil
}

// Fetch reads a peer's configuration.
func (l *link) Fetch(ctx context.Context, from member.Node) (policy.Document, error) {
	s, err := l.other(from)
	if err != nil {
		return policy.Document{}, store.ErrUnavailable
	}
	m, err := s.core.Peer.Fetch(ctx, &rpcapi.Nothing{})
	if err != nil {
		return policy.Document{}, err
	}
	return peer.DecodeDocument(m), nil
}

// Stage hands over a configuration.
func (l *link) Stage(ctx context.Context, to member.Node, m *rpcapi.Document) (int64, error) {
	s, err := l.other(to)
	if err != nil {
		return 0, store.ErrUnavailable
	}
	p, err := s.core.Peer.Stage(ctx, m)
	return p.GetVersion(), err
}

// node returns the endpoint, or an error where this incarnation is dead.
func (l *link) node(n member.Node) (*fakeNode, error) {
	if l.ctx.Err() != nil {
		return nil, call.Failure{
			Cause: call.Broken,
		}
	}
	return l.w.nodes[n.Name], nil
}

// Open sends an attempt.
func (l *link) Open(ctx context.Context, a call.Attempt) (call.Reply, error) {
	n, err := l.node(a.Endpoint.Node)
	if err != nil {
		return nil, err
	}
	return n.open(ctx, l, a)
}

// Load reads an endpoint's load.
func (l *link) Load(_ context.Context, m member.Node) (member.Report, load.Work, error) {
	n, err := l.node(m)
	if err != nil {
		return member.Report{}, load.Work{}, err
	}
	return n.load()
}

// Events reads an engine's cache events.
func (l *link) Events(_ context.Context, m member.Node, after int64) (state.CacheEvents, error) {
	n, err := l.node(m)
	if err != nil {
		return state.CacheEvents{}, err
	}
	return n.listEvents(after)
}

// Order gives no order.
func (*link) Order(context.Context, member.Node, client.Order) error { return nil }

// Cancel ends a stream.
func (l *link) Cancel(_ context.Context, m member.Node, attempt string) error {
	n, err := l.node(m)
	if err != nil {
		return err
	}
	n.set(func(n *fakeNode) { delete(n.streams, attempt) })
	l.w.count("stream cancelled")
	return nil
}

func (l *link) object() *objectLink { return &objectLink{l: l} }

// objectLink is the way to the object store.
type objectLink struct{ l *link }

func (o *objectLink) store() (*fakeObject, error) {
	if err := o.l.cut(o.l.slot.noTable.Load()); err != nil {
		return nil, err
	}
	time.Sleep(latency)
	s := o.l.w.object
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, store.ErrUnavailable
	}
	return s, nil
}

// Get reads an object.
func (o *objectLink) Get(_ context.Context, key string) ([]byte, error) {
	s, err := o.store()
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[key], nil
}

// Put writes an object.
func (o *objectLink) Put(_ context.Context, key string, value []byte) error {
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
func (o *objectLink) Delete(context.Context, string) error { return nil }

// Last lists the greatest keys.
func (o *objectLink) Last(_ context.Context, prefix, _ string) ([]string, error) {
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

// seed puts a first configuration into the table and the object store.
func (w *world) seed() {
	value, err := peer.MarshalDocument(&rpcapi.Document{
		Version: 1,
		Change:  "seed",
		Past:    []string{"seed"},
		Text:    policyText(1),
	})
	if err != nil {
		panic(err)
	}
	w.table.rows[admin.Key] = tableRow{
		value:   value,
		version: 1,
	}
	w.object.objects[fmt.Sprintf("%s%012d", admin.Prefix, 1)] = value
}
