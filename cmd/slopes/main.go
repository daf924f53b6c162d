// Command slopes measures how the cost of each component grows with its size and
// prints the tables that docs/CAPACITY.md is based on.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/baobabtally/baobabtally/internal/slope"
)

func main() {
	app := kingpin.New("slopes", "Measure how costs grow, for docs/CAPACITY.md.")
	commit := app.Flag("commit", "The commit under test, for the heading.").Default("unknown").String()
	engines := app.Flag("engines", "The number of engines in the loopback measurement.").Default("4").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	print := func(format string, args ...any) { _, _ = fmt.Fprintf(os.Stdout, format+"\n", args...) }
	print("# Measured slopes\n\nMade by `make slopes` at commit %s.\n\n%s", *commit, slope.Header)
	for _, m := range slope.Measure() {
		print("%s", m)
	}
	print("\n## Instances that exchange the real messages over loopback\n")
	print("With %d engines and without traffic. The core share includes the stand-ins, which run in the same process.\n", *engines)
	print("| instances | bytes/s in | bytes/s out | core per instance | core per control thread | table reads/s | table writes/s |\n|---|---|---|---|---|---|---|")
	for _, n := range []int{4, 8, 10, 20, 40, 80} {
		m, err := slope.RunMesh(n, *engines)
		if err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "slopes: "+err.Error())
			os.Exit(1)
		}
		print("| %d | %.0f | %.0f | %.2f%% | %.3f%% | %.0f | %.1f |", m.Instances, m.BytesIn, m.BytesOut, 100*m.CPU, 100*m.ControlThread, m.Reads, m.Writes)
	}
}
