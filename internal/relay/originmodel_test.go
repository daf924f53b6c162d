package relay

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/origin"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// modelStore is the store as the instances of an originModel read it.
type modelStore struct {
	model *originModel
	node  int
}

// Get returns the row of the listed versions, or does not answer an instance that is cut off.
func (s modelStore) Get(ctx context.Context, _ string) (store.Row, error) {
	time.Sleep(5 * time.Millisecond)
	if s.model.nodes[s.node].storeless {
		<-ctx.Done()
		return store.Row{}, ctx.Err()
	}
	data, err := s.model.listed.Marshal()
	return store.Row{
		Key:     state.SoftwareRow,
		Value:   data,
		Version: s.model.version,
	}, err
}

// modelNode is an instance of an originModel.
type modelNode struct {
	origins *origins
	state   *state.State
	// side is the part of the fleet whose instances reach each other.
	side int
	// storeless is set while the instance does not reach the store, and paused until it
	// wakes.
	storeless bool
	paused    bool
}

// originModel is a fleet of instances before engines of several versions of their software.
// Instances are paused, are cut off from others and from the store, and learn of new versions
// late. What they heard of others is recorded whether or not that told them anything.
type originModel struct {
	nodes   []*modelNode
	listed  origin.Listed
	version int64
	// began maps the streams to the versions that began them.
	began map[string]string
	ids   []string
}

const modelService = "llm"

func newOriginModel(ctx context.Context, n int) *originModel {
	m := &originModel{
		listed:  origin.Listed{}.With(modelService, "v1"),
		version: 1,
		began:   map[string]string{},
	}
	for i := range n {
		s := rankedState(i, n)
		node := &modelNode{
			state: s,
		}
		view := func() *state.State { return s }
		list := newListing(modelStore{
			model: m,
			node:  i,
		}, view, time.Now)
		go func() { _ = list.run(ctx) }()
		node.origins = &origins{
			view: view,
			list: list,
			peers: modelPeers{
				model: m,
				from:  node,
			},
			now:   time.Now,
			log:   zerolog.Nop(),
			meter: discardMeter{},
		}
		m.nodes = append(m.nodes, node)
		m.tell(node)
	}
	return m
}

// tell has a node know what the store lists.
func (m *originModel) tell(n *modelNode) {
	n.state.Routing.Software = n.state.Routing.Software.WithRow(m.listed, store.Row{
		Version: m.version,
	})
}

// modelPeers calls the nodes of an originModel.
type modelPeers struct {
	model *originModel
	from  *modelNode
}

// Trace implements tracer.
func (p modelPeers) Trace(ctx context.Context, to member.Node, known []origin.Stream, asked []string) ([]origin.Stream, error) {
	for i, n := range p.model.nodes {
		if rankedName(i, len(p.model.nodes)) == to.Name && n.side == p.from.side && !n.paused {
			return n.origins.Trace(known, asked), nil
		}
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// originStep is a step of an originModel, at one of its nodes.
type originStep struct {
	kind string
	node int
	// of chooses among the streams or versions, and mask among the nodes.
	of, mask int
}

// genOriginStep draws a step. Streams begin and come back more often than faults happen.
func genOriginStep() *rapid.Generator[originStep] {
	return rapid.Custom(func(t *rapid.T) originStep {
		return originStep{
			kind: rapid.SampledFrom([]string{
				"begin", "begin", "begin", "resume", "resume", "resume", "resume",
				"list", "pass", "cut", "store", "pause", "hear", "hear", "wait",
			}).Draw(t, "kind"),
			node: rapid.IntRange(0, 5).Draw(t, "node"),
			of:   rapid.IntRange(0, 999).Draw(t, "of"),
			mask: rapid.IntRange(0, 63).Draw(t, "mask"),
		}
	})
}

// take carries out a step and returns what it broke.
func (m *originModel) take(ctx context.Context, s originStep) string {
	n := m.nodes[s.node%len(m.nodes)]
	switch s.kind {
	case "wait":
		time.Sleep(time.Duration(3*s.of) * time.Millisecond)
		return ""
	case "cut":
		n.side = s.mask % 2
		return ""
	case "store":
		n.storeless = s.mask%2 == 0
		return ""
	case "pause":
		n.paused = !n.paused
		return ""
	}
	if n.paused {
		return ""
	}
	switch s.kind {
	case "list":
		m.list(n, s.mask)
	case "begin":
		m.begin(n, s.of)
	case "pass":
		n.origins.pass(ctx)
		time.Sleep(traceTimeout)
		synctest.Wait()
	case "hear":
		n.state.Routing.PeerHeardAt = time.Now()
		if !n.storeless {
			n.state.Routing.StoreAnswered = time.Now()
		}
	case "resume":
		return m.resume(ctx, n, s.of)
	}
	return ""
}

// list has n list a second version in the store, and tell the others in mask that it
// reaches.
func (m *originModel) list(n *modelNode, mask int) {
	if n.storeless || m.listed.Mixed() {
		return
	}
	m.version++
	m.listed = m.listed.With(modelService, "v2")
	for i, other := range m.nodes {
		if other == n || other.side == n.side && !other.paused && mask>>i&1 == 1 {
			m.tell(other)
		}
	}
}

// begin has a stream begin at n, at a version that n knows to be listed.
func (m *originModel) begin(n *modelNode, of int) {
	versions := []string{"v1"}
	if n.state.Routing.Software.Listed.Contains(modelService, "v2") {
		versions = append(versions, "v2")
	}
	id := fmt.Sprint("s", len(m.ids))
	m.ids = append(m.ids, id)
	m.began[id] = versions[of%len(versions)]
	n.origins.begin(id, m.began[id])
}

// resume has a caller take up a stream at n.
func (m *originModel) resume(ctx context.Context, n *modelNode, of int) string {
	if len(m.ids) == 0 {
		return ""
	}
	id := m.ids[of%len(m.ids)]
	a := n.origins.find(ctx, id, modelService)
	time.Sleep(listTimeout)
	synctest.Wait()
	switch {
	case a.told != unknown && a.software != m.began[id]:
		return fmt.Sprintf("stream %s of %s goes on at %s, as told by source %q", id, m.began[id], a.software, a.told)
	case a.told == unknown && !n.storeless && !m.listed.Mixed():
		return fmt.Sprintf("stream %s is refused though just one version is listed and the store answers", id)
	}
	return ""
}

// Guards against streams that an instance joins from two versions because it heard nothing of
// the second one: while it was paused or cut off, from others that were, or from any that did
// not know.
func TestInstancesOutOfStepJoinNoStreams(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(r *rapid.T) {
		count := rapid.IntRange(3, 6).Draw(r, "instances")
		steps := rapid.SliceOfN(genOriginStep(), 40, 80).Draw(r, "steps")
		broken := ""
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			m := newOriginModel(ctx, count)
			for _, s := range steps {
				if broken = m.take(ctx, s); broken != "" {
					return
				}
			}
		})
		if broken != "" {
			r.Fatal(broken)
		}
	})
}

// slowRow is a row that counts its reads, each of which takes a while.
type slowRow struct {
	reads atomic.Int64
	row   store.Row
	err   error
}

// Get implements rowGetter.
func (s *slowRow) Get(context.Context, string) (store.Row, error) {
	s.reads.Add(1)
	time.Sleep(20 * time.Millisecond)
	return s.row, s.err
}

// Requests that come while the store is being read wait for the next read together: the
// current one may have begun before the version of their streams was listed. The reads of a
// fleet are bounded.
func TestReadsOfListedVersionsAreShared(t *testing.T) {
	t.Parallel()
	const span = 1400 * time.Millisecond
	for _, n := range []int{1, 7, 66, 340} {
		// 500 a second for all, and the first one.
		most := 1 + int(500*span.Seconds())/n
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			data, err := origin.Listed{}.With(modelService, "v1").Marshal()
			require.NoError(t, err)
			rows := &slowRow{
				row: store.Row{
					Value:   data,
					Version: 1,
				},
			}
			s := rankedState(0, n)
			l := newListing(rows, func() *state.State { return s }, time.Now)
			go func() { _ = l.run(ctx) }()
			var served atomic.Int64
			for range 1000 {
				go func() {
					listed, err := l.read(ctx)
					if v, ok := listed.Only(modelService); ok && err == nil && v == "v1" {
						served.Add(1)
					}
				}()
				time.Sleep(time.Millisecond)
			}
			time.Sleep(span - time.Second)
			require.LessOrEqual(t, int(rows.reads.Load()), most, "%d instances", n)
			t.Logf("%d instances: %d reads, %d of 1000 requests served", n, rows.reads.Load(), served.Load())
			require.Positive(t, served.Load())
			if n <= 66 {
				require.EqualValues(t, 1000, served.Load(), "%d instances", n)
			}
		})
	}
}

// Before the first version is listed there is no row. That is known, and no failure.
func TestMissingListIsEmpty(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		s := rankedState(0, 3)
		l := newListing(&slowRow{
			err: store.ErrMissing,
		}, func() *state.State { return s }, time.Now)
		go func() { _ = l.run(ctx) }()
		listed, err := l.read(ctx)
		require.NoError(t, err)
		require.True(t, listed.Empty(modelService))
	})
}

// A list that was read from an older copy of the store may lack a version until those that
// knew it have written it again.
func TestListOfANewEraIsNotReliedOnAtOnce(t *testing.T) {
	t.Parallel()
	began := time.Now()
	row := store.Row{
		Era: 4,
	}
	for name, c := range map[string]struct {
		routing  state.Routing
		doubtful bool
	}{
		"the era of the start": {
			routing: state.Routing{
				StoreEra: 4,
			},
		},
		"an era that began lately": {
			routing: state.Routing{
				StoreEra:      4,
				StoreEraSince: began.Add(-time.Second),
			},
			doubtful: true,
		},
		"an era that began long ago": {
			routing: state.Routing{
				StoreEra:      4,
				StoreEraSince: began.Add(-time.Minute),
			},
		},
		"an era of which the control thread does not know": {
			routing: state.Routing{
				StoreEra: 3,
			},
			doubtful: true,
		},
	} {
		require.Equal(t, c.doubtful, doubtful(row, c.routing, began), name)
	}
}
