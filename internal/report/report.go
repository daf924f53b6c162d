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

// Cell summarises one measure over all seeds.
type Cell struct {
	// Median is the median, and Spread the maximum minus the minimum.
	Median float64 `json:"median"`
	Spread float64 `json:"spread"`
}

// NewCell summarises the values of a measure, one per seed.
func NewCell(values []float64) Cell {
	median, spread := bench.Median(values)
	return Cell{
		Median: median,
		Spread: spread,
	}
}

// String formats the median with half the spread as its uncertainty.
func (c Cell) String() string { return fmt.Sprintf("%.4g ± %.2g", c.Median, c.Spread/2) }

// Row is one row of a table: the measures of one scenario and router.
type Row struct {
	// Deployment and Load name the scenario, and Router the routing strategy.
	Deployment string `json:"deployment"`
	Load       string `json:"load"`
	Router     string `json:"router"`
	// Names and Cells are the names and values of the measures.
	Names []string `json:"names"`
	Cells []Cell   `json:"cells"`
}

// PrintTable prints rows as a Markdown table. All rows must have the same
// measures.
func PrintTable(w io.Writer, rows []Row) {
	if len(rows) == 0 {
		return
	}
	_, _ = fmt.Fprint(w, "| deployment | load | router |")
	for _, n := range rows[0].Names {
		_, _ = fmt.Fprintf(w, " %s |", n)
	}
	_, _ = fmt.Fprint(w, "\n|---|---|---|")
	for range rows[0].Names {
		_, _ = fmt.Fprint(w, "---|")
	}
	_, _ = fmt.Fprintln(w)
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "| %s | %s | %s |", r.Deployment, r.Load, r.Router)
		for _, c := range r.Cells {
			_, _ = fmt.Fprintf(w, " %s |", c)
		}
		_, _ = fmt.Fprintln(w)
	}
	_, _ = fmt.Fprintln(w)
}

// Curve is one line of a plot: a measure over time.
type Curve struct {
	// Name is the label in the legend.
	Name string
	// Values are the values of consecutive five-second spans from 0.
	Values []float64
}

// FirstTokenSeries returns the 99th percentile of the time to first token of rank
// in milliseconds, for each span of five seconds.
func FirstTokenSeries(outcomes []bench.Outcome, rank policy.Rank, length time.Duration) []float64 {
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

// HitRateSeries returns the hit rate for each span of five seconds.
func HitRateSeries(outcomes []bench.Outcome, length time.Duration) []float64 {
	const span = 5 * time.Second
	var out []float64
	for at := time.Duration(0); at < length; at += span {
		out = append(out, bench.Summarise(outcomes, at, at+span).HitRate)
	}
	return out
}

// Plot writes curves to a PNG file.
func Plot(file, title, unit string, curves []Curve) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	p.Y.Min = 0
	highest := 0.0
	for i, c := range curves {
		points := make(plotter.XYs, len(c.Values))
		for j, v := range c.Values {
			points[j].X = 5 * float64(j)
			points[j].Y = v
			highest = max(highest, v)
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
	// Leave room for the legend above the curves.
	p.Y.Max = 1.3 * highest
	p.Legend.Top = true
	return p.Save(18*vg.Centimeter, 9*vg.Centimeter, file)
}
