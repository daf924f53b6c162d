package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/origin"
	"github.com/baobabtally/baobabtally/pkg/site"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// tracedFleet is a fleet of instances that trace streams for each other.
type tracedFleet struct {
	mu    sync.Mutex
	nodes map[string]*origins
	// dead names the instances that do not answer.
	dead map[string]bool
	// listed is what the store lists, and silent is set if it does not answer.
	listed origin.Listed
	silent bool
}

// read implements lister.
func (f *tracedFleet) read(context.Context) (origin.Listed, error) {
	if f.silent {
		return origin.Listed{}, errListLate
	}
	return f.listed, nil
}

// Trace implements tracer.
func (f *tracedFleet) Trace(ctx context.Context, to member.Node, known []origin.Stream, asked []string) ([]origin.Stream, error) {
	f.mu.Lock()
	o, dead := f.nodes[to.Name], f.dead[to.Name]
	f.mu.Unlock()
	if dead {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return o.Trace(known, asked), nil
}

// newTracedFleet returns n instances that know that the given versions of service "llm" are
// listed.
func newTracedFleet(n int, versions ...string) *tracedFleet {
	f := &tracedFleet{
		nodes: map[string]*origins{},
		dead:  map[string]bool{},
	}
	for _, v := range versions {
		f.listed = f.listed.With("llm", v)
	}
	for i := range n {
		s := rankedState(i, n)
		s.Routing.Software = s.Routing.Software.WithRow(f.listed, store.Row{})
		s.Routing.PeerHeardAt = time.Now()
		name := rankedName(i, n)
		f.nodes[name] = &origins{
			view:  func() *state.State { return s },
			list:  f,
			peers: f,
			now:   time.Now,
			log:   zerolog.Nop(),
			meter: discardMeter{},
		}
	}
	return f
}

// A stream must be found by any instance after the one at which it began, and some others,
// have ended.
func TestStreamsAreFoundAfterTheLossOfInstances(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newTracedFleet(12, "v1", "v2")
		first := f.nodes[rankedName(0, 12)]
		for i := range 20 {
			first.begin(string(rune('a'+i)), "v2")
		}
		first.pass(t.Context())
		synctest.Wait()
		for i := range 4 {
			f.dead[rankedName(i, 12)] = true
		}
		found := 0
		for i := range 20 {
			if a := f.nodes[rankedName(11, 12)].find(t.Context(), string(rune('a'+i)), "llm"); a.told != unknown {
				require.Equal(t, "v2", a.software)
				found++
			}
		}
		require.GreaterOrEqual(t, found, 18, "four others remember each stream, and three of eleven have ended")
		require.Equal(t, unknown, f.nodes[rankedName(11, 12)].find(t.Context(), "other", "llm").told)
	})
}

// Streams that began before a second version appeared are passed on, too.
func TestEarlierStreamsArePassedOnOnceVersionsAreMixed(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newTracedFleet(5, "v1")
		first, last := f.nodes[rankedName(0, 5)], f.nodes[rankedName(4, 5)]
		first.begin("s", "v1")
		first.pass(t.Context())
		synctest.Wait()
		_, known := last.book.Find("s")
		require.False(t, known, "nobody needs to remember it")
		mixed := *first.view()
		mixed.Routing.Software = mixed.Routing.Software.WithRow(mixed.Routing.Software.Listed.With("llm", "v2"), store.Row{})
		first.view = func() *state.State { return &mixed }
		first.pass(t.Context())
		synctest.Wait()
		v, _ := last.book.Find("s")
		require.Equal(t, "v1", v)
	})
}

// While the store does not answer, instances remember the streams of a single version for each
// other: nothing else tells that there is no other version.
func TestStreamsOfOneVersionAreFoundWhileTheStoreDoesNotAnswer(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		f := newTracedFleet(12, "v1")
		f.silent = true
		first, last := f.nodes[rankedName(0, 12)], f.nodes[rankedName(11, 12)]
		f.dead[rankedName(0, 12)] = true
		first.begin("before", "v1")
		first.pass(t.Context())
		synctest.Wait()
		require.Equal(t, unknown, last.find(t.Context(), "before", "llm").told)
		for _, o := range f.nodes {
			o.view().Routing.StoreReachable = false
		}
		first.begin("since", "v1")
		first.pass(t.Context())
		synctest.Wait()
		for _, id := range []string{"before", "since"} {
			require.Equal(t, "v1", last.find(t.Context(), id, "llm").software, id)
		}
	})
}

// reached is the handler after a filter.
type reached struct{ request *chain.Request }

func (h reached) Handle(_ context.Context, r chain.Request, _ chain.Writer) (chain.Result, error) {
	*h.request = r
	return chain.Result{}, nil
}

func TestStreamOfUnknownSoftwareIsRefused(t *testing.T) {
	t.Parallel()
	request := sharedPromptRequest()
	request.Route = newWaitingExchange(nil, nil, 0).request.Route
	resuming := request
	resuming.LastEventID, resuming.Resumes = "3", "s"
	plain := resuming
	plain.Route.Resumable = false
	for name, c := range map[string]struct {
		request  chain.Request
		versions []string
		// missed is a version that the store lists and the instance does not know.
		missed string
		// silent is set if the store does not answer.
		silent   bool
		refused  bool
		software string
	}{
		"new stream": {
			request:  request,
			versions: []string{"v1", "v2"},
		},
		"one version": {
			request:  resuming,
			versions: []string{"v1"},
			software: "v1",
		},
		"two versions": {
			request:  resuming,
			versions: []string{"v1", "v2"},
			refused:  true,
		},
		"one version at an instance that the store does not answer": {
			request:  resuming,
			versions: []string{"v1"},
			silent:   true,
			refused:  true,
		},
		"one version at an instance that has missed the second": {
			request:  resuming,
			versions: []string{"v1"},
			missed:   "v2",
			refused:  true,
		},
		"several versions at an instance that the store does not answer": {
			request:  resuming,
			versions: []string{"v1", "v2"},
			silent:   true,
			refused:  true,
		},
		"one version at an instance that knows of none": {
			request:  resuming,
			missed:   "v1",
			software: "v1",
		},
		"no stream that can be resumed": {
			request:  plain,
			versions: []string{"v1", "v2"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := newTracedFleet(3, c.versions...)
				f.silent = c.silent
				if c.missed != "" {
					f.listed = f.listed.With("llm", c.missed)
				}
				o := f.nodes[rankedName(1, 3)]
				var got chain.Request
				_, err := originFilter{
					origins: o,
				}.Filter(t.Context(), c.request, nil, reached{
					request: &got,
				})
				if c.refused {
					require.Error(t, err)
					require.Equal(t, fault.Unavailable, fault.From(err).Kind)
					require.Equal(t, fault.NotRun, fault.From(err).Run)
					return
				}
				require.NoError(t, err)
				require.Equal(t, c.software, got.Software)
			})
		})
	}
}

// A silent stream must not move to an engine with another version of the software.
func TestSilentStreamStaysAtItsSoftwareVersion(t *testing.T) {
	t.Parallel()
	for others, asked := range map[string]int{
		"v1": 2,
		"v2": 1,
	} {
		synctest.Test(t, func(t *testing.T) {
			s := fiveEngines()
			preferred, _ := preferredAndOther(t, s)
			s = withSoftware(s, func(engine string) string {
				if engine == preferred {
					return "v1"
				}
				return others
			})
			s.Routing.Software = s.Routing.Software.WithRow(origin.Listed{}, store.Row{})
			e := &scriptedEndpoints{
				scripts: []script{
					{
						pauseAt: 3,
						pause:   4 * time.Second,
					},
					{},
				},
			}
			w, err := serveScripted(t, e, func(x *exchange) {
				x.control = fixedState{
					state: s,
				}
			})
			require.NoError(t, err)
			require.Equal(t, wholeStream, w.body.String())
			require.Len(t, e.asked, asked, "the others have %s", others)
		})
	}
}

// New streams begin at listed versions, unless no endpoint has one.
func TestStreamsBeginAtListedSoftwareVersions(t *testing.T) {
	t.Parallel()
	s := fiveEngines()
	preferred, _ := preferredAndOther(t, s)
	s = withSoftware(s, func(engine string) string {
		if engine == preferred {
			return "v2"
		}
		return "v1"
	})
	r := sharedPromptRequest()
	r.Route = newWaitingExchange(nil, nil, 0).request.Route
	chosen := func(listed ...string) string {
		var l origin.Listed
		for _, v := range listed {
			l = l.With("llm", v)
		}
		s.Routing.Software = s.Routing.Software.WithRow(l, store.Row{})
		c, err := newChoosingExchange(s, r, begin).choose(t.Context(), position{})
		require.NoError(t, err)
		return c.endpoint.Node.Software
	}
	require.Equal(t, "v1", chosen("v1"))
	require.Equal(t, "v2", chosen("v1", "v2"))
	require.Equal(t, "v2", chosen("v0"))
	require.Equal(t, "v2", chosen(), "nothing was listed yet")
	require.Equal(t, "v1", chosen("v1"))
	x := newChoosingExchange(s, r, begin)
	for _, e := range s.Members.Nodes(member.Engine) {
		if e.Node.Name != preferred {
			x.tried = append(x.tried, e.Node.Name)
		}
	}
	_, err := x.choose(t.Context(), position{})
	require.Error(t, err, "a retry does not begin at another version either")
}

// Guards against streams that begin at a version which is not listed, at an instance that has
// just started: another one would take them for the only listed version's.
func TestNoStreamBeginsAtMixedVersionsBeforeTheListIsFound(t *testing.T) {
	t.Parallel()
	s := withSoftware(fiveEngines(), func(engine string) string {
		if engine == "e0" {
			return "v1"
		}
		return "v2"
	})
	r := sharedPromptRequest()
	r.Route = newWaitingExchange(nil, nil, 0).request.Route
	choose := func() error {
		_, err := newChoosingExchange(s, r, begin).choose(t.Context(), position{})
		return err
	}
	err := choose()
	require.Error(t, err)
	require.Equal(t, fault.NotRun, fault.From(err).Run)
	require.Positive(t, fault.From(err).Retry)
	r.Route.Resumable = false
	require.NoError(t, choose(), "nobody resumes it")
	r.Route.Resumable = true
	s.Routing.Software = s.Routing.Software.WithRow(origin.Listed{}, store.Row{})
	require.NoError(t, choose(), "no version was ever listed")
	s = withSoftware(fiveEngines(), func(string) string { return "v2" })
	require.NoError(t, choose(), "the engines have one version")
}

// withSoftware returns s in which the endpoints have the given versions of their software.
func withSoftware(s state.State, version func(engine string) string) state.State {
	var nodes []member.Node
	for _, e := range s.Members.Nodes(member.Engine) {
		n := e.Node
		n.Software = version(n.Name)
		nodes = append(nodes, n)
	}
	return s.WithMembers(s.Members.WithRegistry(nodes))
}

// A stream of a route with several services must go on at the one that began it.
func TestResumedStreamKeepsItsService(t *testing.T) {
	t.Parallel()
	s := fiveEngines()
	s.Routing.Site = site.New(2, site.WithRoutes(site.Route{
		Name:      "split",
		Host:      "h",
		Prefix:    "/",
		Kind:      site.Stream,
		Resumable: true,
		Targets: []site.Target{
			{
				Service: "a",
				Weight:  1,
			},
			{
				Service: "b",
				Weight:  1,
			},
		},
	}))
	service := func(r chain.Request) string {
		r.Host, r.Path = "h", "/x"
		var got chain.Request
		_, err := routeFilter{
			view: fixedState{
				state: s,
			},
		}.Filter(t.Context(), r, nil, reached{
			request: &got,
		})
		require.NoError(t, err)
		return got.Service
	}
	for i := range 50 {
		first := chain.Request{
			ID: fmt.Sprint("first-", i),
		}
		next := chain.Request{
			ID:          fmt.Sprint("next-", i),
			LastEventID: "3",
			Resumes:     first.ID,
		}
		require.Equal(t, service(first), service(next))
	}
}
