package soak_test

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/soak"
)

// The steps that seeds had before endpoints announced departures and asked for quiet
// must stay the same, so that seeds that failed once repeat their faults.
func TestSignalsLeaveTheOtherStepsOfASeed(t *testing.T) {
	t.Parallel()
	p := soak.NewPlan(428, soak.Size{
		Instances: 3,
		Endpoints: 6,
	}, time.Minute)
	var others strings.Builder
	kinds := map[soak.Kind]int{}
	for _, s := range p.Steps {
		kinds[s.Kind]++
		if !drawnApart(s) {
			others.WriteString(s.String() + "\n")
		}
	}
	require.Equal(t, uint64(11881540722725413367), xxhash.Sum64String(others.String()))
	require.Positive(t, kinds[soak.EndpointAnnounce])
	require.Positive(t, kinds[soak.EndpointQuiet])
}

// signalRules returns the rules that were violated if e announces its departure and asks
// for quiet from 20 s on, and the attempts run or are rejected there at their begin.
func signalRules(change func(r *soak.Recorder), begins ...int) []string {
	r := soak.NewRecorder()
	r.RecordConfig(soak.Config{
		Version: 1,
		Routes: map[string]string{
			"/r/": "s",
		},
		Keys: map[string]string{
			"k": "t",
		},
	}, begin)(begin)
	change(r)
	for i, ms := range begins {
		a := success
		a.ID = "a" + strconv.Itoa(i)
		a.Begun, a.Sent, a.Done = at(ms), at(ms), at(ms+100)
		a.Echo, a.Seal = a.ID, "e/"+a.ID
		r.RecordAttempt(a)
		r.RecordRun(soak.Run{
			Endpoint: "e",
			Service:  "s",
			Team:     "t",
			ID:       a.ID,
			At:       at(ms + 10),
		})
	}
	var out []string
	for _, v := range soak.Check(r, bounds, oracle{}) {
		if v.Rule == "DRAIN" || v.Rule == "BUDGET" {
			out = append(out, v.Rule)
		}
	}
	return out
}

func TestRequestAfterPassedOnAnnouncementIsFound(t *testing.T) {
	t.Parallel()
	announce := func(r *soak.Recorder) { r.RecordAnnounced("e", at(20000))(at(30000)) }
	require.Empty(t, signalRules(announce, 19000, 20050, 22000), "within the bound")
	require.Empty(t, signalRules(announce, 19000, 29000), "the first one that announces it")
	require.Equal(t, []string{"DRAIN"}, signalRules(announce, 20050, 22200))
	require.Empty(t, signalRules(announce, 20050, 30100), "another incarnation")
	require.Empty(t, signalRules(func(r *soak.Recorder) {
		announce(r)
		r.RecordFault("n", soak.Pause.String(), at(21000))(at(21500))
	}, 20050, 22200), "a pause excuses it")
	require.Equal(t, []string{"DRAIN"}, signalRules(func(r *soak.Recorder) {
		announce(r)
		r.RecordFault("n", soak.Link.String(), at(21000))(at(21500))
		r.RecordFault(soak.Core, soak.StoreSlow.String(), at(21000))(at(21500))
	}, 20050, 22200), "in touch or not")
}

func TestRequestsDuringQuietAreFound(t *testing.T) {
	t.Parallel()
	quiet := func(r *soak.Recorder) {
		r.RecordRejection(soak.Rejection{
			Endpoint: "e",
			ID:       "a0",
			Quiet:    3 * time.Second,
			At:       at(20000),
		})
	}
	require.Empty(t, signalRules(quiet, 20000, 20100, 20200, 20300, 20400), "they may be on their way")
	require.Empty(t, signalRules(quiet, 20000, 20600, 20700, 23000), "two may come, and any number after it")
	require.Equal(t, []string{"BUDGET"}, signalRules(quiet, 20000, 20600, 20700, 22900))
	require.Empty(t, signalRules(func(r *soak.Recorder) {
		quiet(r)
		r.RecordFault("n", soak.Link.String(), at(21000))(at(21500))
	}, 20000, 20600, 20700, 22900), "a cut excuses it")
}
