// Command slopes measures how the cost of each part grows and prints the table
// that docs/CAPACITY.md builds on.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/baobabtally/baobabtally/internal/slope"
)

func main() {
	app := kingpin.New("slopes", "Measures slopes for docs/CAPACITY.md.")
	commit := app.Flag("commit", "The commit that is measured.").Default("unknown").String()
	engines := app.Flag("engines", "The engines of the mesh.").Default("4").Int()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	print := func(format string, args ...any) { _, _ = fmt.Fprintf(os.Stdout, format+"\n", args...) }
	print("# Measured slopes\n\nMade by `make slopes` at commit %s.\n\n%s", *commit, slope.Header)
	for _, r := range slope.Rows() {
		print("%s", r)
	}
	print("\n## Instances that exchange the real messages over loopback\n")
	print("Before %d engines, without traffic. Core includes the stand-ins, which run in the same process.\n", *engines)
	print("| instances | bytes/s in | bytes/s out | core each | control thread each | table reads/s | table writes/s |\n|---|---|---|---|---|---|---|")
	for _, n := range []int{4, 8, 10, 20, 40, 80} {
		m, err := slope.RunMesh(n, *engines)
		if err != nil {
			_, _ = fmt.Fprintln(os.Stderr, "slopes: "+err.Error())
			os.Exit(1)
		}
		print("| %d | %.0f | %.0f | %.2f%% | %.3f%% | %.0f | %.1f |", m.Instances, m.In, m.Out, 100*m.Core, 100*m.Thread, m.Reads, m.Writes)
	}
}
