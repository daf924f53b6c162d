package ctrl_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/site"
)

const (
	// transferTimeout is the timeout of the control thread's actions.
	transferTimeout = 2 * time.Second
	// fromStore is the source of the transfers from the store, whose own link is wide.
	fromStore = -1
)

// transfer is a configuration under way to an instance.
type transfer struct {
	from, to int
	version  int64
	left     float64
	begun    time.Time
}

// linkModel models the transfers of a configuration over the links of a fleet. Transfers
// share a link equally.
type linkModel struct {
	fleet *meshFleet
	// size is that of the configuration in bytes, and rate that of a link in bytes a second.
	size, rate float64
	// stored is the newest version in the store.
	stored    int64
	transfers []transfer
	// dropped counts the transfers that were given up.
	dropped int
}

// newLinkModel returns the model of a fleet of which the first readers instances wait for
// changes at the store all the time.
func newLinkModel(size fleetSize, readers int, bytes, rate float64) *linkModel {
	m := &linkModel{
		fleet: newMeshFleet(size),
		size:  bytes,
		rate:  rate,
	}
	m.fleet.reads = func(i int) state.Collected {
		return state.Collected{
			OperatorsHeld: i < readers,
			RegistryHeld:  i < readers,
		}
	}
	m.fleet.ended = func(i int, a state.EndPauses) {
		if a.Operators {
			m.begin(fromStore, i, m.stored)
		}
	}
	m.fleet.fetched = func(i int, a state.FetchSite) {
		from := m.fleet.index(a.From.Name)
		m.begin(from, i, m.version(from))
	}
	return m
}

// version returns the version that is in force at instance i.
func (m *linkModel) version(i int) int64 { return m.fleet.instances[i].state.Routing.Site.Version() }

// begin begins a transfer unless the same one is under way.
func (m *linkModel) begin(from, to int, version int64) {
	same := func(t transfer) bool { return t.from == from && t.to == to }
	if version <= m.version(to) || slices.ContainsFunc(m.transfers, same) {
		return
	}
	m.transfers = append(m.transfers, transfer{
		from:    from,
		to:      to,
		version: version,
		left:    m.size,
		begun:   m.fleet.instances[to].now,
	})
}

// advance lets all instances tick once and moves the transfers on.
func (m *linkModel) advance() {
	m.fleet.advance(ctrl.ForwardInterval)
	out, in := map[int]float64{}, map[int]float64{}
	for _, t := range m.transfers {
		out[t.from]++
		in[t.to]++
	}
	var left, ended []transfer
	for _, t := range m.transfers {
		share := m.rate / in[t.to]
		if t.from != fromStore {
			share = min(share, m.rate/out[t.from])
		}
		t.left -= share * ctrl.ForwardInterval.Seconds()
		switch {
		case t.left <= 0:
			ended = append(ended, t)
		case m.fleet.instances[t.to].now.Sub(t.begun) >= transferTimeout:
			m.dropped++
		default:
			left = append(left, t)
		}
	}
	m.transfers = left
	for _, t := range ended {
		source := "store"
		if t.from != fromStore {
			source = fleetPeer(t.from).Name
		}
		m.fleet.step(t.to, state.SiteFound{
			Site:   site.New(t.version),
			Source: source,
		})
	}
}

// Guards against changes of a large configuration that are in force seconds late because
// their transfers between instances fill narrow links and are repeated.
func TestLargeSitesInSeriesAreInForceInTimeOverNarrowLinks(t *testing.T) {
	const (
		bound   = 2 * time.Second
		readers = 6
		changes = 12
		gap     = 1200 * time.Millisecond
	)
	for _, n := range []int{23, 66, 92, 139} {
		m := newLinkModel(fleetSize{
			instances: n,
			engines:   5,
		}, readers, 400e3, 10e6/8)
		m.fleet.advance(2 * time.Second)
		stored := map[int64]time.Time{}
		now := func() time.Time { return m.fleet.instances[0].now }
		worst := time.Duration(0)
		for begun := now(); now().Sub(begun) < changes*gap+bound; {
			if v := int64(now().Sub(begun)/gap) + 2; v > m.stored && v < changes+2 {
				m.stored, stored[v] = v, now()
				for i := range readers {
					m.begin(fromStore, i, v)
				}
			}
			m.advance()
			for i := range n {
				if next, ok := stored[m.version(i)+1]; ok {
					worst = max(worst, now().Sub(next))
				}
			}
		}
		t.Logf("%d instances: the last change is in force after %v, %d transfers were dropped", n, worst, m.dropped)
		require.LessOrEqual(t, worst, bound, "%d instances", n)
		require.Zero(t, m.dropped, "%d instances", n)
	}
}
