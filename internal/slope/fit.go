package slope

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// Measurement is one cost, measured at several sizes.
type Measurement struct {
	// Name is the cost that was measured, and Unit its unit.
	Name string
	Unit string
	// Variable is the quantity that Sizes counts.
	Variable string
	// Sizes and Costs are the coordinates of the measured points.
	Sizes []float64
	Costs []float64
}

// Line is a line fitted to the points of a Measurement.
type Line struct {
	// Base is the cost at size 0, and Slope the cost per unit of size.
	Base  float64
	Slope float64
	// Residual is the largest deviation of a point from the line, relative to the
	// largest cost.
	Residual float64
}

// At returns the cost that the line predicts for a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// Fit returns the least-squares line through the points.
func (m Measurement) Fit() Line {
	n := float64(len(m.Sizes))
	var sx, sy, sxx, sxy, maxCost float64
	for i, x := range m.Sizes {
		y := m.Costs[i]
		sx += x
		sy += y
		sxx += x * x
		sxy += x * y
		maxCost = max(maxCost, y)
	}
	l := Line{
		Slope: (n*sxy - sx*sy) / (n*sxx - sx*sx),
	}
	l.Base = (sy - l.Slope*sx) / n
	for i, x := range m.Sizes {
		l.Residual = max(l.Residual, math.Abs(m.Costs[i]-l.At(x))/maxCost)
	}
	return l
}

// String returns the measurement and its line as a row of a Markdown table.
func (m Measurement) String() string {
	l := m.Fit()
	points := make([]string, len(m.Sizes))
	for i, x := range m.Sizes {
		points[i] = fmt.Sprintf("%.0f: %.4g", x, m.Costs[i])
	}
	return fmt.Sprintf("| %s | %s | %s | %s | %.4g | %.4g | %.0f%% |",
		m.Name, m.Unit, m.Variable, strings.Join(points, ", "), l.Base, l.Slope, 100*l.Residual)
}

// Header is the header of the Markdown table of measurements.
const Header = `| cost | unit | per | measured | base | slope | residual |
|---|---|---|---|---|---|---|`

// timingDuration is how long nanosPerCall repeats a function.
const timingDuration = 100 * time.Millisecond

// nanosPerCall returns the mean duration of a call of f in nanoseconds, after one
// call to warm up.
func nanosPerCall(f func()) float64 {
	f()
	n := 0
	begin := time.Now()
	for time.Since(begin) < timingDuration {
		f()
		n++
	}
	return float64(time.Since(begin).Nanoseconds()) / float64(n)
}

// measure calls cost for each size and returns the points.
func measure(name, unit, variable string, sizes []int, cost func(n int) float64) Measurement {
	m := Measurement{
		Name:     name,
		Unit:     unit,
		Variable: variable,
	}
	for _, n := range sizes {
		m.Sizes = append(m.Sizes, float64(n))
		m.Costs = append(m.Costs, cost(n))
	}
	return m
}
