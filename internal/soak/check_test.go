package soak_test

import (
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
	WeightsIn:        8 * time.Second,
	HolderGap:        3 * time.Second,
	ResumeGrace:      300 * time.Millisecond,
	Grace:            8 * time.Second,
	Slack:            200 * time.Millisecond,
	Abandon:          500 * time.Millisecond,
	Timeout:          3 * time.Second,
	TimeoutSlack:     500 * time.Millisecond,
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
func recordAttempt(b *soak.Recorder, change func(a *soak.Attempt), runs ...soak.Run) {
	a := success
	change(&a)
	b.RecordAttempt(a)
	for _, r := range runs {
		b.RecordRun(r)
	}
}

// unchanged leaves the attempt as it is.
func unchanged(*soak.Attempt) {}

// cutConnection makes the connection fail without a response.
func cutConnection(a *soak.Attempt) {
	a.Status, a.Echo, a.Seal, a.ResponseBody, a.Complete = 0, "", "", "", false
	a.Done, a.ConnError = at(20800), "reset"
}

// runWith returns run, modified by change.
func runWith(change func(r *soak.Run)) soak.Run {
	r := run
	change(&r)
	return r
}

// recordOrder records an order of holder with a fencing token.
func recordOrder(b *soak.Recorder, holder string, fence int64, ms int) {
	b.RecordOrder(soak.Order{
		Endpoint:     "e",
		Holder:       holder,
		FencingToken: fence,
		At:           at(ms),
	})
}

// cases maps "RULE: description" to a function that records a violation of the
// rule, or "ok: description" to one that records none. The recorder already holds
// a configuration that allows success.
var cases = map[string]func(b *soak.Recorder){
	"ok: one run":     func(b *soak.Recorder) { recordAttempt(b, unchanged, run) },
	"TWICE: two runs": func(b *soak.Recorder) { recordAttempt(b, unchanged, run, run) },
	"REFUSED: ran after the refusal": func(b *soak.Recorder) {
		recordAttempt(b, func(a *soak.Attempt) { a.Status, a.Seal, a.ResponseBody = 503, "", "" }, runWith(func(r *soak.Run) { r.At = at(24000) }))
	},
	"MIXED: no seal": func(b *soak.Recorder) { recordAttempt(b, func(a *soak.Attempt) { a.Seal = "" }, run) },
	"MIXED: response to another attempt": func(b *soak.Recorder) {
		recordAttempt(b, func(a *soak.Attempt) { a.Echo, a.Seal = "b", "e/b" }, run)
	},
	"ORDER: complete stream with a missing chunk": func(b *soak.Recorder) {
		recordAttempt(b, func(a *soak.Attempt) { a.Stream, a.ResponseBody = true, "who" }, run)
	},
	"ORDER: duplicate chunk": func(b *soak.Recorder) {
		recordAttempt(b, func(a *soak.Attempt) {
			a.Stream, a.Complete, a.CallerClosed, a.ResponseBody = true, false, true, "whwh"
		}, run)
	},
	"UNASKED: no caller sent it": func(b *soak.Recorder) { b.RecordRun(run) },
	"UNASKED: another body":      func(b *soak.Recorder) { recordAttempt(b, unchanged, runWith(func(r *soak.Run) { r.Body = "x" })) },
	"CONFIG: another service":    func(b *soak.Recorder) { recordAttempt(b, unchanged, runWith(func(r *soak.Run) { r.Service = "x" })) },
	"CONFIG: refused though allowed": func(b *soak.Recorder) {
		recordAttempt(b, func(a *soak.Attempt) { a.Status, a.Seal = 401, "" })
	},
	"CONFIG: no response after the route's timeout": func(b *soak.Recorder) {
		for range 8 {
			recordAttempt(b, func(a *soak.Attempt) { a.Limit, a.Status, a.Seal, a.Done = 5*time.Second, 504, "", at(23600) })
		}
	},
	"VERSION: weights replaced 9 s before": func(b *soak.Recorder) {
		b.RecordEvent(soak.Weights, "", 2, at(11000))
		recordAttempt(b, unchanged, run)
	},
	"ok: weights replaced 7 s before": func(b *soak.Recorder) {
		b.RecordEvent(soak.Weights, "", 2, at(13000))
		recordAttempt(b, unchanged, run)
	},
	"VERSION: stable store for longer than the bound": func(b *soak.Recorder) {
		b.RecordEvent(soak.Weights, "", 2, at(8600))
		b.RecordFault("m", soak.StoreUnavailableToOne.String(), at(8500))(at(8900))
		recordAttempt(b, unchanged, run)
	},
	"ok: stable store for less than the bound": func(b *soak.Recorder) {
		b.RecordEvent(soak.Weights, "", 2, at(8600))
		b.RecordFault("m", soak.StoreUnavailableToOne.String(), at(8500))(at(9200))
		recordAttempt(b, unchanged, run)
	},
	"LOST: connection cut at a planned stop": func(b *soak.Recorder) {
		b.RecordEvent(soak.Stop, "n", 0, at(19000))
		recordAttempt(b, cutConnection)
	},
	"ok: one connection cut": func(b *soak.Recorder) { recordAttempt(b, cutConnection, run) },
	"DRAIN: run after the departure": func(b *soak.Recorder) {
		b.RecordEvent(soak.EndpointDepart, "e", 0, at(18000))
		recordAttempt(b, unchanged, run)
	},
	"ok: run after the return": func(b *soak.Recorder) {
		b.RecordEvent(soak.EndpointDepart, "e", 0, at(15000))
		b.RecordEvent(soak.EndpointDepart, "e", 1, at(19000))
		recordAttempt(b, unchanged, run)
	},
	"BUDGET: endpoints are told too much remaining time": func(b *soak.Recorder) {
		recordAttempt(b, func(a *soak.Attempt) { a.Once = false })
		for range 21 {
			b.RecordRun(runWith(func(r *soak.Run) { r.RemainingTime = 3 * time.Second }))
		}
	},
	"ONE: another holder too early": func(b *soak.Recorder) {
		recordOrder(b, "n", 1, 1000)
		recordOrder(b, "m", 2, 3900)
	},
	"ok: another holder after the least gap": func(b *soak.Recorder) {
		recordOrder(b, "n", 1, 1000)
		recordOrder(b, "m", 2, 4100)
	},
	"ONE: lower fencing token": func(b *soak.Recorder) {
		recordOrder(b, "n", 2, 1000)
		recordOrder(b, "n", 1, 9000)
	},
	"ONE: same fencing token from two holders": func(b *soak.Recorder) {
		recordOrder(b, "n", 2, 1000)
		recordOrder(b, "m", 2, 9000)
	},
}

func TestCheckDetectsEachViolation(t *testing.T) {
	t.Parallel()
	for name, see := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newRecorder(map[string]string{
				"k": "t",
			})
			see(b)
			found := "ok"
			for _, f := range soak.Check(b, bounds, oracle{}) {
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
	b := soak.NewRecorder()
	for v, k := range keys {
		b.RecordConfig(soak.Config{
			Version: int64(v),
			Routes: map[string]string{
				"/r/": "s",
			},
			Keys: k,
		}, at(17000*v))(at(17000*v + 1))
	}
	return b
}

func TestOldConfigurationIsAllowedAfterFault(t *testing.T) {
	t.Parallel()
	recorded := func() *soak.Recorder {
		b := newRecorder(map[string]string{
			"k": "t",
		}, nil)
		recordAttempt(b, unchanged, run)
		return b
	}
	require.Len(t, soak.Check(recorded(), bounds, oracle{}), 1)
	b := recorded()
	b.RecordFault("n", soak.Kill.String(), at(16000))(at(17500))
	require.Empty(t, soak.Check(b, bounds, oracle{}))
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
