//go:build bench

package report_test

import (
	"encoding/json"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/bench"
	"github.com/baobabtally/baobabtally/internal/report"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

var seeds = []uint64{1, 2, 3, 4, 5}

// runScenario runs a scenario under a fake clock.
func runScenario(t *testing.T, s bench.Scenario, seed uint64, r bench.Router) []bench.Outcome {
	t.Helper()
	var out []bench.Outcome
	synctest.Test(t, func(t *testing.T) {
		outcomes, err := bench.Run(s, seed, r)
		require.NoError(t, err)
		out = outcomes
	})
	return out
}

// interval is a span of the measured time of a run.
type interval struct {
	from, to time.Duration
}

// tableBuilder runs scenarios with all seeds in parallel and collects table rows.
type tableBuilder struct {
	mu   sync.Mutex
	rows []report.Row
}

// add runs s with each seed and adds a row of the measures that f returns.
func (tab *tableBuilder) add(t *testing.T, s bench.Scenario, r bench.Router, names []string, f func(seed uint64, out []bench.Outcome) []float64) {
	at := len(tab.rows)
	tab.rows = append(tab.rows, report.Row{
		Deployment: s.Name,
		Load:       s.Title,
		Router:     r.String(),
		Names:      names,
	})
	values := make([][]float64, len(names))
	t.Run(s.Name+" "+s.Title+" "+r.String(), func(t *testing.T) {
		for _, seed := range seeds {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				got := f(seed, runScenario(t, s, seed, r))
				tab.mu.Lock()
				defer tab.mu.Unlock()
				for i, v := range got {
					values[i] = append(values[i], v)
				}
			})
		}
	})
	for _, v := range values {
		tab.rows[at].Cells = append(tab.rows[at].Cells, report.NewCell(v))
	}
}

func ms(d time.Duration) float64 { return float64(d.Milliseconds()) }

func routing(t *testing.T, d bench.Deployment) []report.Row {
	var tab tableBuilder
	s := d.Steady(0.7)
	for _, r := range bench.Routers {
		tab.add(t, s, r, []string{"hit rate", "tokens read", "urgent p50 ms", "urgent p99 ms", "normal p99 ms", "refused %"}, func(_ uint64, out []bench.Outcome) []float64 {
			m := bench.Summarise(out, 0, s.Length)
			refused := m.Urgent.Refused + m.Normal.Refused
			return []float64{m.HitRate, m.PrefillTokens, ms(m.Urgent.P50), ms(m.Urgent.P99), ms(m.Normal.P99), 100 * float64(refused) / float64(m.Requests)}
		})
	}
	return tab.rows
}

func floods(t *testing.T, d bench.Deployment) []report.Row {
	var tab tableBuilder
	names := []string{"urgent p99 ms before", "urgent p99 ms in flood", "urgent refused %", "normal tokens/s before", "normal tokens/s in flood", "goodput tokens/s", "untrue refusals", "urgent p99 ms 10 s after"}
	for _, rank := range []policy.Rank{policy.Normal, policy.Urgent} {
		s := d.Steady(0.5).WithFlood(rank, 3)
		tab.add(t, s, bench.Baobabtally, names, func(_ uint64, out []bench.Outcome) []float64 {
			before := bench.Summarise(out, 0, s.FloodAt)
			in := bench.Summarise(out, s.FloodAt+5*time.Second, s.FloodEnd)
			after := bench.Summarise(out, s.FloodEnd+10*time.Second, s.Length)
			return []float64{
				ms(before.Urgent.P99), ms(in.Urgent.P99),
				100 * float64(in.Urgent.Refused) / float64(in.Urgent.Refused+in.Urgent.Answered),
				before.Normal.OutputRate, in.Normal.OutputRate, in.Goodput, float64(in.FalseRefusals), ms(after.Urgent.P99),
			}
		})
	}
	return tab.rows
}

// smallTeamsUrgentP99 returns the 99th percentile of the time to first token of
// urgent requests of all teams but the greedy one.
func smallTeamsUrgentP99(out []bench.Outcome, length time.Duration) float64 {
	var small []bench.Outcome
	for _, o := range out {
		if o.Team > 0 {
			small = append(small, o)
		}
	}
	return ms(bench.Summarise(small, 0, length).Urgent.P99)
}

func fairness(t *testing.T, d bench.Deployment) []report.Row {
	var tab tableBuilder
	alone := d.Steady(0.2).WithGreedy(1).WithTitle("small teams alone")
	tab.add(t, alone, bench.Baobabtally, []string{"Jain index", "small teams' urgent p99 ms", "refused %"}, func(_ uint64, out []bench.Outcome) []float64 {
		m := bench.Summarise(out, 0, alone.Length)
		return []float64{m.JainIndex, smallTeamsUrgentP99(out, alone.Length), 100 * float64(m.Urgent.Refused+m.Normal.Refused) / float64(m.Requests)}
	})
	greedy := d.Steady(1.6).WithGreedy(50)
	tab.add(t, greedy, bench.Baobabtally, tab.rows[0].Names, func(_ uint64, out []bench.Outcome) []float64 {
		m := bench.Summarise(out, 0, greedy.Length)
		return []float64{m.JainIndex, smallTeamsUrgentP99(out, greedy.Length), 100 * float64(m.Urgent.Refused+m.Normal.Refused) / float64(m.Requests)}
	})
	return tab.rows
}

func events(t *testing.T, d bench.Deployment) []report.Row {
	var tab tableBuilder
	shift, herd, crash := d.Steady(0.7).WithTitle("hot sheets shift"), d.Steady(0.7).WithTitle("herd restart"), d.Steady(0.7).WithTitle("engines crash")
	shift.ShiftPopularity, herd.RestartAll, crash.Crash = true, true, true
	for _, s := range []bench.Scenario{shift, herd, crash} {
		half := s.Length / 2
		if s.Crash {
			half = s.Length / 3
		}
		tab.add(t, s, bench.Baobabtally, []string{"hit rate before", "hit rate 5 s after", "hit rate 15 s after", "urgent p99 ms 5 s after", "refused"}, func(_ uint64, out []bench.Outcome) []float64 {
			at := func(p interval) bench.Summary { return bench.Summarise(out, p.from, p.to) }
			after := at(interval{half, half + 5*time.Second})
			all := at(interval{0, s.Length})
			return []float64{
				at(interval{0, half}).HitRate, after.HitRate, at(interval{half + 10*time.Second, half + 15*time.Second}).HitRate,
				ms(after.Urgent.P99), float64(all.Urgent.Refused + all.Normal.Refused),
			}
		})
	}
	return tab.rows
}

// TestPlots writes plots of a flood and of a restart to the directory PLOTS.
func TestPlots(t *testing.T) {
	dir := os.Getenv("PLOTS")
	s := bench.Tassel().Steady(0.5).WithFlood(policy.Normal, 3)
	var curves []report.Curve
	for _, r := range []bench.Router{bench.Baobabtally, bench.BoundedHash, bench.LeastLoad} {
		out := runScenario(t, s, 1, r)
		curves = append(curves, report.Curve{
			Name:   r.String(),
			Values: report.FirstTokenSeries(out, policy.Urgent, s.Length),
		})
	}
	require.NoError(t, report.Plot(dir+"/flood.png", "Urgent p99 while normal work floods in from 20 s to 45 s", "ms", curves))
	h := bench.Tassel().Steady(0.7)
	h.RestartAll = true
	curves = nil
	for _, r := range []bench.Router{bench.Baobabtally, bench.Oracle, bench.BoundedHash} {
		out := runScenario(t, h, 1, r)
		curves = append(curves, report.Curve{
			Name:   r.String(),
			Values: report.HitRateSeries(out, h.Length),
		})
	}
	require.NoError(t, report.Plot(dir+"/herd.png", "Hit rate around a herd restart at 22 s", "share", curves))
}

// TestReport writes the tables of all scenarios to the file OUT, as Markdown or,
// if OUTPUT is json, as JSON.
func TestReport(t *testing.T) {
	out, err := os.Create(os.Getenv("OUT"))
	require.NoError(t, err)
	defer func() { require.NoError(t, out.Close()) }()
	var all []report.Row
	sections := []struct {
		title string
		rows  func(t *testing.T, d bench.Deployment) []report.Row
	}{
		{"Routing", routing},
		{"Floods", floods},
		{"Fairness", fairness},
		{"Failures", events},
	}
	for _, s := range sections {
		var rows []report.Row
		for _, d := range []bench.Deployment{bench.Tassel(), bench.Midlands()} {
			rows = append(rows, s.rows(t, d)...)
		}
		all = append(all, rows...)
		if os.Getenv("OUTPUT") != "json" {
			_, _ = out.WriteString("## " + s.title + "\n\n")
			report.PrintTable(out, rows)
		}
	}
	if os.Getenv("OUTPUT") == "json" {
		require.NoError(t, json.NewEncoder(out).Encode(all))
	}
}
