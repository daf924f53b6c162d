package soak_test

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/soak"
)

// oracle expects the response "whole" from all endpoints and seals of the form
// endpoint/attempt.
type oracle struct{}

func (oracle) ExpectedBody(soak.Attempt) string { return "whole" }

func (oracle) Owner(seal string) (string, string) {
	end, id, _ := strings.Cut(seal, "/")
	return end, id
}

var bounds = soak.Bounds{
	SettleTime:       3 * time.Second,
	Apply:            2 * time.Second,
	Drain:            2 * time.Second,
	QuietIn:          500 * time.Millisecond,
	QuietRequests:    2,
	WeightsIn:        8 * time.Second,
	HolderGap:        3 * time.Second,
	ResumeGrace:      300 * time.Millisecond,
	Grace:            8 * time.Second,
	Slack:            200 * time.Millisecond,
	Abandon:          500 * time.Millisecond,
	Timeout:          3 * time.Second,
	TimeoutSlack:     500 * time.Millisecond,
	ConfigSlack:      time.Second,
	CutRatio:         3,
	UsedShare:        0.7,
	DeadlineSlack:    500 * time.Millisecond,
	MaxLongDeadlines: 20,
	Attempts:         2,
	MaxExceptions:    3,
}

// begin is the start of the recordings in the tests.
var begin = time.Now().Add(-time.Hour)

// at returns a time in milliseconds after begin.
func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

// success is an attempt that succeeds 20 s after begin.
var success = soak.Attempt{
	Request: soak.Request{
		Key:   "k",
		Route: "/r/",
		Once:  true,
		Limit: 2 * time.Second,
	},
	ID:           "a",
	Instance:     "n",
	Begun:        at(20000),
	Sent:         at(20000),
	Done:         at(20100),
	Status:       200,
	Echo:         "a",
	Seal:         "e/a",
	ResponseBody: "whole",
	Complete:     true,
}

// run is the run that belongs to success.
var run = soak.Run{
	Endpoint:      "e",
	Service:       "s",
	ID:            "a",
	Team:          "t",
	Weights:       1,
	RemainingTime: 2 * time.Second,
	At:            at(20050),
}

// recordAttempt records success, modified by change, and runs.
func recordAttempt(rec *soak.Recorder, change func(a *soak.Attempt), runs ...soak.Run) {
	a := success
	change(&a)
	rec.RecordAttempt(a)
	for _, r := range runs {
		rec.RecordRun(r)
	}
}

// unchanged leaves the attempt as it is.
func unchanged(*soak.Attempt) {}

// cutConnection makes the connection fail without a response.
func cutConnection(a *soak.Attempt) {
	a.Status, a.Echo, a.Seal, a.ResponseBody, a.Complete = 0, "", "", "", false
	a.Done, a.ConnError = at(20800), "reset"
}

// recordCutAtEndOfGrace records a run whose connection is cut 7 s after SIGTERM.
func recordCutAtEndOfGrace(rec *soak.Recorder) {
	rec.RecordConfig(soak.Config{
		Version: 2,
		Routes: map[string]string{
			"/r/": "s",
		},
		Keys: map[string]string{
			"k": "t",
		},
		Timeouts: map[string]time.Duration{
			"/r/": 10 * time.Second,
		},
	}, at(100))(at(101))
	rec.RecordEvent(soak.Stop, "n", 0, at(19400))
	recordAttempt(rec, func(a *soak.Attempt) {
		cutConnection(a)
		a.Limit, a.Done = 10*time.Second, at(26400)
	}, run)
}

// runWith returns run, modified by change.
func runWith(change func(r *soak.Run)) soak.Run {
	r := run
	change(&r)
	return r
}

// recordOrder records an order of holder with a fencing token.
func recordOrder(rec *soak.Recorder, holder string, token int64, ms int) {
	rec.RecordOrder(soak.Order{
		Endpoint:     "e",
		Holder:       holder,
		FencingToken: token,
		At:           at(ms),
	})
}

// recordSameConfig records a configuration just before success that allows the same as
// the first.
func recordSameConfig(rec *soak.Recorder) {
	rec.RecordConfig(soak.Config{
		Version: 2,
		Routes: map[string]string{
			"/r/": "s",
		},
		Keys: map[string]string{
			"k": "t",
		},
	}, at(19500))(at(19600))
}

// cases maps "RULE: description" to a function that records a violation of the
// rule, or "ok: description" to one that records none. The recorder already holds
// a configuration that allows success.
var cases = map[string]func(rec *soak.Recorder){
	"ok: one run":     func(rec *soak.Recorder) { recordAttempt(rec, unchanged, run) },
	"TWICE: two runs": func(rec *soak.Recorder) { recordAttempt(rec, unchanged, run, run) },
	"REFUSED: ran after the refusal": func(rec *soak.Recorder) {
		recordAttempt(rec, func(a *soak.Attempt) { a.Status, a.Seal, a.ResponseBody = 503, "", "" }, runWith(func(r *soak.Run) { r.At = at(24000) }))
	},
	"MIXED: no seal": func(rec *soak.Recorder) { recordAttempt(rec, func(a *soak.Attempt) { a.Seal = "" }, run) },
	"MIXED: response to another attempt": func(rec *soak.Recorder) {
		recordAttempt(rec, func(a *soak.Attempt) { a.Echo, a.Seal = "b", "e/b" }, run)
	},
	"ORDER: complete stream with a missing chunk": func(rec *soak.Recorder) {
		recordAttempt(rec, func(a *soak.Attempt) { a.Stream, a.ResponseBody = true, "who" }, run)
	},
	"ORDER: duplicate chunk": func(rec *soak.Recorder) {
		recordAttempt(rec, func(a *soak.Attempt) {
			a.Stream, a.Complete, a.CallerClosed, a.ResponseBody = true, false, true, "whwh"
		}, run)
	},
	"UNASKED: no caller sent it": func(rec *soak.Recorder) { rec.RecordRun(run) },
	"UNASKED: another body":      func(rec *soak.Recorder) { recordAttempt(rec, unchanged, runWith(func(r *soak.Run) { r.Body = "x" })) },
	"CONFIG: another service": func(rec *soak.Recorder) {
		recordAttempt(rec, unchanged, runWith(func(r *soak.Run) { r.Service = "x" }))
	},
	"CONFIG: refused though allowed": func(rec *soak.Recorder) {
		recordAttempt(rec, func(a *soak.Attempt) { a.Status, a.Seal = 401, "" })
	},
	"CONFIG: no response after the route's timeout": func(rec *soak.Recorder) {
		for range 8 {
			recordAttempt(rec, func(a *soak.Attempt) { a.Limit, a.Status, a.Seal, a.Done = 5*time.Second, 504, "", at(23600) })
		}
	},
	"VERSION: weights replaced 9 s before": func(rec *soak.Recorder) {
		rec.RecordEvent(soak.Weights, "", 2, at(11000))
		recordAttempt(rec, unchanged, run)
	},
	"ok: weights replaced 7 s before": func(rec *soak.Recorder) {
		rec.RecordEvent(soak.Weights, "", 2, at(13000))
		recordAttempt(rec, unchanged, run)
	},
	"VERSION: stable store for longer than the bound": func(rec *soak.Recorder) {
		rec.RecordEvent(soak.Weights, "", 2, at(8600))
		rec.RecordFault("m", soak.StoreUnavailableToOne.String(), at(8500))(at(8900))
		recordAttempt(rec, unchanged, run)
	},
	"ok: stable store for less than the bound": func(rec *soak.Recorder) {
		rec.RecordEvent(soak.Weights, "", 2, at(8600))
		rec.RecordFault("m", soak.StoreUnavailableToOne.String(), at(8500))(at(9200))
		recordAttempt(rec, unchanged, run)
	},
	"LOST: connection cut at a planned stop": func(rec *soak.Recorder) {
		rec.RecordEvent(soak.Stop, "n", 0, at(19000))
		recordAttempt(rec, cutConnection)
	},
	"LOST: cut at the end of the grace period after its endpoint was done": func(rec *soak.Recorder) {
		recordCutAtEndOfGrace(rec)
		rec.RecordRunEnd(soak.RunEnd{
			Endpoint: "e",
			ID:       "a",
			At:       at(19400 + 6600),
		})
	},
	"ok: cut at the end of the grace period while its endpoint executes it": func(rec *soak.Recorder) {
		recordCutAtEndOfGrace(rec)
		rec.RecordRunEnd(soak.RunEnd{
			Endpoint: "e",
			ID:       "a",
			At:       at(19400 + 6700),
		})
	},
	"ok: the same beside a reload": func(rec *soak.Recorder) {
		recordCutAtEndOfGrace(rec)
		rec.RecordEvent(soak.Reload, "n", 0, at(19500))
	},
	"ok: one connection cut": func(rec *soak.Recorder) { recordAttempt(rec, cutConnection, run) },
	"LOST: connection cut beside a configuration": func(rec *soak.Recorder) {
		recordSameConfig(rec)
		recordAttempt(rec, cutConnection, run)
	},
	"LOST: connection of an endpoint that pauses cut beside a configuration": func(rec *soak.Recorder) {
		recordSameConfig(rec)
		rec.RecordEvent(soak.EndpointPause, "e", 1500, at(19900))
		recordAttempt(rec, cutConnection, run)
	},
	"ok: cut as often at other times": func(rec *soak.Recorder) {
		recordSameConfig(rec)
		recordAttempt(rec, cutConnection, run)
		recordAttempt(rec, func(a *soak.Attempt) {
			cutConnection(a)
			a.ID, a.Begun, a.Sent, a.Done = "b", at(30000), at(30000), at(30800)
		}, runWith(func(r *soak.Run) { r.ID, r.At = "b", at(30050) }))
	},
	"ok: cut beside a configuration when most of the time was used": func(rec *soak.Recorder) {
		recordSameConfig(rec)
		recordAttempt(rec, func(a *soak.Attempt) {
			cutConnection(a)
			a.Done = at(21500)
		}, run)
	},
	"ok: cut by a fault beside a configuration": func(rec *soak.Recorder) {
		recordSameConfig(rec)
		rec.RecordFault("e", soak.EndpointCut.String(), at(20500))(at(20700))
		recordAttempt(rec, cutConnection, run)
	},
	"DRAIN: run after the departure": func(rec *soak.Recorder) {
		rec.RecordEvent(soak.EndpointDepart, "e", 0, at(18000))
		recordAttempt(rec, unchanged, run)
	},
	"ok: run after the return": func(rec *soak.Recorder) {
		rec.RecordEvent(soak.EndpointDepart, "e", 0, at(15000))
		rec.RecordEvent(soak.EndpointDepart, "e", 1, at(19000))
		recordAttempt(rec, unchanged, run)
	},
	"BUDGET: endpoints are told too much remaining time": func(rec *soak.Recorder) {
		recordAttempt(rec, func(a *soak.Attempt) { a.Once = false })
		for range 21 {
			rec.RecordRun(runWith(func(r *soak.Run) { r.RemainingTime = 3 * time.Second }))
		}
	},
	"ONE: another holder too early": func(rec *soak.Recorder) {
		recordOrder(rec, "n", 1, 1000)
		recordOrder(rec, "m", 2, 3900)
	},
	"ok: another holder after the least gap": func(rec *soak.Recorder) {
		recordOrder(rec, "n", 1, 1000)
		recordOrder(rec, "m", 2, 4100)
	},
	"ONE: lower fencing token": func(rec *soak.Recorder) {
		recordOrder(rec, "n", 2, 1000)
		recordOrder(rec, "n", 1, 9000)
	},
	"ONE: same fencing token from two holders": func(rec *soak.Recorder) {
		recordOrder(rec, "n", 2, 1000)
		recordOrder(rec, "m", 2, 9000)
	},
}

func TestCheckDetectsEachViolation(t *testing.T) {
	t.Parallel()
	for name, record := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rec := newRecorder(map[string]string{
				"k": "t",
			})
			record(rec)
			found := "ok"
			for _, f := range soak.Check(rec, bounds, oracle{}) {
				require.Contains(t, []string{"ok", f.Rule}, found)
				found = f.Rule
			}
			rule, _, _ := strings.Cut(name, ":")
			require.Equal(t, rule, found)
		})
	}
}

// newRecorder returns a recorder with a configuration every 17 s.
func newRecorder(keys ...map[string]string) *soak.Recorder {
	rec := soak.NewRecorder()
	for v, k := range keys {
		rec.RecordConfig(soak.Config{
			Version: int64(v),
			Routes: map[string]string{
				"/r/": "s",
			},
			Keys: k,
		}, at(17000*v))(at(17000*v + 1))
	}
	return rec
}

func TestOldConfigurationIsAllowedAfterFault(t *testing.T) {
	t.Parallel()
	recorded := func() *soak.Recorder {
		rec := newRecorder(map[string]string{
			"k": "t",
		}, nil)
		recordAttempt(rec, unchanged, run)
		return rec
	}
	require.Len(t, soak.Check(recorded(), bounds, oracle{}), 1)
	rec := recorded()
	rec.RecordFault("n", soak.Kill.String(), at(16000))(at(17500))
	require.Empty(t, soak.Check(rec, bounds, oracle{}))
}

func TestPlanIsDeterministic(t *testing.T) {
	t.Parallel()
	size := soak.Size{
		Instances: 3,
		Endpoints: 6,
	}
	first, again := soak.NewPlan(7, size, time.Minute), soak.NewPlan(7, size, time.Minute)
	require.Equal(t, first, again)
	require.NotEqual(t, soak.NewPlan(7, size, time.Minute).String(), soak.NewPlan(8, size, time.Minute).String())
}

// drawnApart reports whether s comes from a random source of its own, so that seeds from
// before such steps keep all others.
func drawnApart(s soak.Step) bool {
	k := s.Kind
	return s.Apart || k == soak.EndpointPause || k == soak.Limits || k == soak.EndpointAnnounce || k == soak.EndpointQuiet
}

// New kinds of steps must not change the steps of seeds that failed.
func TestSeedsKeepTheirSteps(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		seed    uint64
		seconds int
		sum     uint64
	}{
		{seed: 428, seconds: 30, sum: 0xf19fac4047d0bf23},
		{seed: 501, seconds: 30, sum: 0xf2905c75fc88cd3a},
		{seed: 7, seconds: 60, sum: 0xa3ecaa7799b9c816},
	} {
		h := fnv.New64a()
		kinds := map[soak.Kind]int{}
		p := soak.NewPlan(c.seed, soak.Size{
			Instances: 3,
			Endpoints: 6,
		}, time.Duration(c.seconds)*time.Second)
		for _, s := range p.Steps {
			kinds[s.Kind]++
			if !drawnApart(s) {
				_, _ = fmt.Fprintln(h, s)
			}
		}
		require.Equal(t, c.sum, h.Sum64(), "seed %d", c.seed)
		require.Positive(t, kinds[soak.EndpointPause])
		require.Positive(t, kinds[soak.Limits])
		require.Positive(t, kinds[soak.StoreOlder])
	}
}

// Planned work has no step that excuses a lost request, also in short plans.
func TestPlannedPlanHasNoFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		p := soak.NewPlannedPlan(seed, soak.Size{
			Instances: 3,
			Endpoints: 6,
		}, 8*time.Second)
		kinds := map[soak.Kind]int{}
		for _, s := range p.Steps {
			kinds[s.Kind]++
		}
		for _, k := range []soak.Kind{soak.Stop, soak.Reload, soak.Change, soak.Bulk, soak.EndpointPause} {
			require.Positive(t, kinds[k], "%v of seed %d", k, seed)
			delete(kinds, k)
		}
		delete(kinds, soak.Limits)
		require.Empty(t, kinds)
	}
}

// Outages of the store end long enough before what is checked after them, in all their
// forms, and each kind of step comes in some of the plans.
func TestOutagePlanLeavesTheBoundsTimeToApply(t *testing.T) {
	t.Parallel()
	kinds := map[soak.Kind]int{}
	for seed := range uint64(40) {
		p := soak.NewOutagePlan(seed, soak.Size{
			Instances: 3,
			Endpoints: 6,
		}, time.Minute)
		var end time.Duration
		for _, s := range p.Steps {
			kinds[s.Kind]++
			if slices.Contains([]soak.Kind{soak.StoreSilent, soak.StoreUnavailable, soak.StoreSlow}, s.Kind) {
				end = s.At + s.Duration
			}
			if s.Kind == soak.EndpointVanish || s.Kind == soak.EndpointDepart {
				require.Greater(t, s.At, end+bounds.SettleTime, "seed %d", seed)
			}
		}
	}
	for _, k := range []soak.Kind{soak.StoreSilent, soak.StoreUnavailable, soak.StoreSlow, soak.Change, soak.Weights, soak.EndpointVanish, soak.EndpointDepart, soak.Kill, soak.KillTakers} {
		require.Positive(t, kinds[k], "%v", k)
	}
}

func TestTableCountsWhatCallersGot(t *testing.T) {
	t.Parallel()
	rec := newRecorder()
	rec.RecordFault("n", soak.Stop.String(), at(20050))(at(26000))
	recordAttempt(rec, unchanged, run)
	recordAttempt(rec, cutConnection)
	recordAttempt(rec, func(a *soak.Attempt) {
		a.Sent, a.Done, a.Complete, a.Stream, a.Once = at(22000), at(23000), false, true, false
	})
	recordAttempt(rec, func(a *soak.Attempt) {
		a.ID, a.Sent, a.Done, a.Status, a.Complete = "b", at(24000), at(24001), 0, false
	})
	recordAttempt(rec, func(a *soak.Attempt) { a.Sent, a.Done, a.Status = at(26001), at(26002), 503 })
	rec.RecordDialError("n", at(25000))
	var got []string
	for _, line := range strings.Split(strings.TrimSpace(soak.Table(rec, bounds)), "\n") {
		got = append(got, strings.Join(strings.Fields(line), " "))
	}
	require.Equal(t, []string{
		"sent kind answered refused failed cut in answer read, no answer not read no connection caller left",
		"before SIGTERM not idempotent 1 0 0 0 1 0 0 0",
		"within 3 s of SIGTERM resumable stream 0 0 0 1 0 0 0 0",
		"later connection 0 0 0 0 0 0 1 0",
		"later not idempotent 0 0 0 0 0 1 0 0",
		"other times not idempotent 0 1 0 0 0 0 0 0",
	}, got)
}
