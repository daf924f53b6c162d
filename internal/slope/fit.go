package slope

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Row is one cost measured at several sizes.
type Row struct {
	// Name says what was measured, and Unit of what.
	Name string
	Unit string
	// Per is the variable.
	Per string
	// Sizes and Costs are the measured points.
	Sizes []float64
	Costs []float64
}

// Line is a straight line through the points of a row.
type Line struct {
	// Base is the cost at size 0, and Slope the cost of each further one.
	Base  float64
	Slope float64
	// Residual is the greatest distance of a point from the line, as a share of
	// the greatest cost.
	Residual float64
}

// At returns the cost at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// Fit returns the line with the least squares.
func (r Row) Fit() Line {
	n := float64(len(r.Sizes))
	var sx, sy, sxx, sxy, most float64
	for i, x := range r.Sizes {
		y := r.Costs[i]
		sx += x
		sy += y
		sxx += x * x
		sxy += x * y
		most = max(most, y)
	}
	l := Line{
		Slope: (n*sxy - sx*sy) / (n*sxx - sx*sx),
	}
	l.Base = (sy - l.Slope*sx) / n
	for i, x := range r.Sizes {
		l.Residual = max(l.Residual, math.Abs(r.Costs[i]-l.At(x))/most)
	}
	return l
}

// String returns the row of a Markdown table.
func (r Row) String() string {
	l := r.Fit()
	points := make([]string, len(r.Sizes))
	for i, x := range r.Sizes {
		points[i] = fmt.Sprintf("%.0f: %.4g", x, r.Costs[i])
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %.4g | %.4g | %.0f%% |",
		r.Name, r.Unit, r.Per, strings.Join(points, ", "), l.Base, l.Slope, 100*l.Residual)
}

// Header is the head of the table.
const Header = `| cost | unit | per | measured | base | slope | residual |
|---|---|---|---|---|---|---|`

// measureFor is how long a function is repeated to time it.
const measureFor = 100 * time.Millisecond

// timed returns how many nanoseconds one call of f takes.
func timed(f func()) float64 {
	f()
	n := 0
	begin := time.Now()
	for time.Since(begin) < measureFor {
		f()
		n++
	}
	return float64(time.Since(begin).Nanoseconds()) / float64(n)
}

// row measures cost at each size.
func row(name, unit, per string, sizes []int, cost func(n int) float64) Row {
	r := Row{
		Name: name,
		Unit: unit,
		Per:  per,
	}
	for _, n := range sizes {
		r.Sizes = append(r.Sizes, float64(n))
		r.Costs = append(r.Costs, cost(n))
	}
	return r
}
