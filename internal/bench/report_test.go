//go:build bench

package bench

import (
	"encoding/json"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/policy"
)

var seeds = []uint64{1, 2, 3, 4, 5}

// part is the outcomes between two times of one run.
type part struct {
	from, to time.Duration
}

// table plays scenarios with all seeds at once and gathers lines.
type table struct {
	mu    sync.Mutex
	lines []Line
}

// add plays s by each seed and adds a line of the measures that f takes.
func (tab *table) add(t *testing.T, s Scenario, r Router, names []string, f func(seed uint64, out []Outcome) []float64) {
	at := len(tab.lines)
	tab.lines = append(tab.lines, Line{
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
				got := f(seed, play(t, s, seed, r))
				tab.mu.Lock()
				defer tab.mu.Unlock()
				for i, v := range got {
					values[i] = append(values[i], v)
				}
			})
		}
	})
	for _, v := range values {
		tab.lines[at].Cells = append(tab.lines[at].Cells, CellOf(v))
	}
}

func ms(d time.Duration) float64 { return float64(d.Milliseconds()) }

func routing(t *testing.T, d Deployment) []Line {
	var tab table
	for _, load := range []float64{0.7, 0.85} {
		s := d.Steady(load)
		for _, r := range Routers {
			tab.add(t, s, r, []string{"hit rate", "tokens read", "urgent p50 ms", "urgent p99 ms", "normal p99 ms", "refused %"}, func(_ uint64, out []Outcome) []float64 {
				m := Summarise(out, 0, s.Length)
				refused := m.Urgent.Refused + m.Normal.Refused
				return []float64{m.Hits, m.Read, ms(m.Urgent.P50), ms(m.Urgent.P99), ms(m.Normal.P99), 100 * float64(refused) / float64(m.Requests)}
			})
		}
	}
	return tab.lines
}

func floods(t *testing.T, d Deployment) []Line {
	var tab table
	names := []string{"urgent p99 ms before", "urgent p99 ms in flood", "urgent refused %", "normal tokens/s before", "normal tokens/s in flood", "goodput tokens/s", "untrue refusals", "urgent p99 ms 10 s after"}
	for _, rank := range []policy.Rank{policy.Normal, policy.Urgent} {
		s := d.Steady(0.5).WithFlood(rank, 3)
		tab.add(t, s, Ours, names, func(_ uint64, out []Outcome) []float64 {
			before := Summarise(out, 0, s.FloodAt)
			in := Summarise(out, s.FloodAt+5*time.Second, s.FloodEnd)
			after := Summarise(out, s.FloodEnd+10*time.Second, s.Length)
			return []float64{
				ms(before.Urgent.P99), ms(in.Urgent.P99),
				100 * float64(in.Urgent.Refused) / float64(in.Urgent.Refused+in.Urgent.Answered),
				before.Normal.Tokens, in.Normal.Tokens, in.Goodput, float64(in.False), ms(after.Urgent.P99),
			}
		})
	}
	return tab.lines
}

// small returns the 99th percentile of urgent work of the teams that ask for little.
func small(out []Outcome, length time.Duration) float64 {
	var few []Outcome
	for _, o := range out {
		if o.Team > 0 {
			few = append(few, o)
		}
	}
	return ms(Summarise(few, 0, length).Urgent.P99)
}

func fairness(t *testing.T, d Deployment) []Line {
	var tab table
	alone := d.Steady(0.2).WithGreedy(1).WithTitle("small teams alone")
	tab.add(t, alone, Ours, []string{"Jain index", "small teams' urgent p99 ms", "refused %"}, func(_ uint64, out []Outcome) []float64 {
		m := Summarise(out, 0, alone.Length)
		return []float64{m.Jain, small(out, alone.Length), 100 * float64(m.Urgent.Refused+m.Normal.Refused) / float64(m.Requests)}
	})
	greedy := d.Steady(1.6).WithGreedy(50)
	tab.add(t, greedy, Ours, tab.lines[0].Names, func(_ uint64, out []Outcome) []float64 {
		m := Summarise(out, 0, greedy.Length)
		return []float64{m.Jain, small(out, greedy.Length), 100 * float64(m.Urgent.Refused+m.Normal.Refused) / float64(m.Requests)}
	})
	return tab.lines
}

func events(t *testing.T, d Deployment) []Line {
	var tab table
	shift, herd, crash := d.Steady(0.7).WithTitle("hot sheets shift"), d.Steady(0.7).WithTitle("herd restart"), d.Steady(0.7).WithTitle("engines crash")
	shift.Shift, herd.Herd, crash.Crash = true, true, true
	for _, s := range []Scenario{shift, herd, crash} {
		half := s.Length / 2
		if s.Crash {
			half = s.Length / 3
		}
		tab.add(t, s, Ours, []string{"hit rate before", "hit rate 5 s after", "hit rate 15 s after", "urgent p99 ms 5 s after", "refused"}, func(_ uint64, out []Outcome) []float64 {
			at := func(p part) Summary { return Summarise(out, p.from, p.to) }
			soon := at(part{half, half + 5*time.Second})
			all := at(part{0, s.Length})
			return []float64{
				at(part{0, half}).Hits, soon.Hits, at(part{half + 10*time.Second, half + 15*time.Second}).Hits,
				ms(soon.Urgent.P99), float64(all.Urgent.Refused + all.Normal.Refused),
			}
		})
	}
	return tab.lines
}

func plots(t *testing.T, dir string) {
	s := Tassel().Steady(0.5).WithFlood(policy.Normal, 3)
	var curves []Curve
	for _, r := range []Router{Ours, Bounded, Least} {
		out := play(t, s, 1, r)
		curves = append(curves, Curve{
			Name:   r.String(),
			Values: FirstBySecond(out, policy.Urgent, s.Length),
		})
	}
	require.NoError(t, Plot(dir+"/flood.png", "Urgent p99 while normal work floods in from 20 s to 45 s", "ms", curves))
	h := Tassel().Steady(0.7)
	h.Herd = true
	curves = nil
	for _, r := range []Router{Ours, Oracle, Bounded} {
		out := play(t, h, 1, r)
		curves = append(curves, Curve{
			Name:   r.String(),
			Values: HitsBySecond(out, h.Length),
		})
	}
	require.NoError(t, Plot(dir+"/herd.png", "Hit rate around a herd restart at 22 s", "share", curves))
}

func TestReport(t *testing.T) {
	var all []Line
	sections := []struct {
		title string
		lines func(t *testing.T, d Deployment) []Line
	}{
		{"Routing", routing},
		{"Floods", floods},
		{"Fairness", fairness},
		{"Failures", events},
	}
	for _, s := range sections {
		var lines []Line
		for _, d := range []Deployment{Tassel(), Midlands()} {
			lines = append(lines, s.lines(t, d)...)
		}
		all = append(all, lines...)
		if os.Getenv("OUTPUT") != "json" {
			_, _ = os.Stdout.WriteString("## " + s.title + "\n\n")
			PrintTable(os.Stdout, lines)
		}
	}
	if os.Getenv("OUTPUT") == "json" {
		require.NoError(t, json.NewEncoder(os.Stdout).Encode(all))
	}
	if dir := os.Getenv("PLOTS"); dir != "" {
		plots(t, dir)
	}
}
