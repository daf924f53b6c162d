// Command triage reads what scripts/test.sh keeps of a run of the tests, and
// exits 1 where anything failed that KNOWN-RED.txt does not list.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/baobabtally/baobabtally/internal/triage"
)

func main() {
	app := kingpin.New("triage", "Judges a run of the tests by the list of tests that may fail.")
	app.Command("show", "Print the events of go test -json as they come.")
	dir := app.Flag("dir", "Where the parts are.").Default("out/test").String()
	list := app.Flag("list", "The tests that may fail.").Default("KNOWN-RED.txt").String()
	app.Command("again", "Print the part, package and -skip pattern of each run to repeat without listed tests.")
	judge := app.Command("judge", "Print the closing lines and exit 1 for red.")
	parts := app.Flag("part", "A part of the test command.").Strings()
	again := judge.Flag("again", "A run that was repeated without listed tests.").Strings()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case "show":
		if err := triage.Show(os.Stdout, os.Stdin); err != nil {
			app.Fatalf("%v", err)
		}
	case "again":
		for _, r := range triage.Repeats(triage.Read(*list, *dir, *parts, nil)) {
			_, _ = fmt.Fprintf(os.Stdout, "%s\t%s\t%s\n", r.Part, r.Package, r.Skip)
		}
	case "judge":
		v := triage.Judge(triage.Read(*list, *dir, *parts, *again))
		_, _ = fmt.Fprint(os.Stdout, v)
		if v.Red() {
			os.Exit(1)
		}
	}
}
