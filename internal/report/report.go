package report

import (
	"fmt"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/baobabtally/baobabtally/internal/bench"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

// Cell is one measure over all seeds.
type Cell struct {
	// Median is the middle value, and Spread the greatest less the least.
	Median float64 `json:"median"`
	Spread float64 `json:"spread"`
}

// CellOf returns the cell of a measure.
func CellOf(values []float64) Cell {
	m, s := bench.Median(values)
	return Cell{
		Median: m,
		Spread: s,
	}
}

// String returns the median with half the spread.
func (c Cell) String() string { return fmt.Sprintf("%.4g ± %.2g", c.Median, c.Spread/2) }

// Line is one line of a table.
type Line struct {
	// Deployment and Load say what was played, and Router by whom.
	Deployment string `json:"deployment"`
	Load       string `json:"load"`
	Router     string `json:"router"`
	// Names and Cells are the measures.
	Names []string `json:"names"`
	Cells []Cell   `json:"cells"`
}

// PrintTable prints lines that have the same measures as a Markdown table.
func PrintTable(w io.Writer, lines []Line) {
	if len(lines) == 0 {
		return
	}
	_, _ = fmt.Fprint(w, "| deployment | load | router |")
	for _, n := range lines[0].Names {
		_, _ = fmt.Fprintf(w, " %s |", n)
	}
	_, _ = fmt.Fprint(w, "\n|---|---|---|")
	for range lines[0].Names {
		_, _ = fmt.Fprint(w, "---|")
	}
	_, _ = fmt.Fprintln(w)
	for _, l := range lines {
		_, _ = fmt.Fprintf(w, "| %s | %s | %s |", l.Deployment, l.Load, l.Router)
		for _, c := range l.Cells {
			_, _ = fmt.Fprintf(w, " %s |", c)
		}
		_, _ = fmt.Fprintln(w)
	}
	_, _ = fmt.Fprintln(w)
}

// Curve is one line of a plot: a measure of each second.
type Curve struct {
	// Name is the curve's name in the legend.
	Name string
	// Values are those of the seconds from 0.
	Values []float64
}

// FirstBySecond returns the 99th percentile of the time to first token of rank
// for each span of five seconds, in milliseconds.
func FirstBySecond(outcomes []bench.Outcome, rank policy.Rank, length time.Duration) []float64 {
	const span = 5 * time.Second
	var out []float64
	for at := time.Duration(0); at < length; at += span {
		s := bench.Summarise(outcomes, at, at+span)
		t := s.Urgent
		if rank == policy.Normal {
			t = s.Normal
		}
		out = append(out, float64(t.P99.Milliseconds()))
	}
	return out
}

// HitsBySecond returns the hit rate for each span of five seconds.
func HitsBySecond(outcomes []bench.Outcome, length time.Duration) []float64 {
	const span = 5 * time.Second
	var out []float64
	for at := time.Duration(0); at < length; at += span {
		out = append(out, bench.Summarise(outcomes, at, at+span).Hits)
	}
	return out
}

// Plot writes curves of five-second spans to a PNG file.
func Plot(file, title, unit string, curves []Curve) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	most := 0.0
	for i, c := range curves {
		points := make(plotter.XYs, len(c.Values))
		for j, v := range c.Values {
			points[j].X = 5 * float64(j)
			points[j].Y = v
			most = max(most, v)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = colours[i%len(colours)]
		line.Width = vg.Points(2)
		p.Add(line)
		p.Legend.Add(c.Name, line)
	}
	// The legend stands above the curves.
	p.Y.Max = 1.3 * most
	p.Legend.Top = true
	return p.Save(18*vg.Centimeter, 9*vg.Centimeter, file)
}
