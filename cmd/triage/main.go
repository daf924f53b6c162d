// Command triage evaluates the test output that scripts/test.sh records, and
// exits with status 1 if a test failed that KNOWN-RED.txt does not list.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/baobabtally/baobabtally/internal/triage"
)

func main() {
	app := kingpin.New("triage", "Evaluate a test run against the list of known failures.")
	app.Command("show", "Print the events of go test -json from standard input as they arrive.")
	dir := app.Flag("dir", "The directory with the recorded parts.").Default("out/test").String()
	list := app.Flag("list", "The list of known failures.").Default("KNOWN-RED.txt").String()
	app.Command("again", "Print the part, package and -skip pattern of each run to repeat without known failures.")
	judge := app.Command("judge", "Print the summary and exit with status 1 if the run failed.")
	parts := app.Flag("part", "A recorded part of the test run.").Strings()
	reruns := judge.Flag("again", "A run that was repeated without known failures.").Strings()
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case "show":
		if err := triage.Show(os.Stdout, os.Stdin); err != nil {
			app.Fatalf("%v", err)
		}
	case "again":
		for _, r := range triage.Reruns(triage.Read(*list, *dir, *parts, nil)) {
			_, _ = fmt.Fprintf(os.Stdout, "%s\t%s\t%s\n", r.Part, r.Package, r.Skip)
		}
	case "judge":
		v := triage.Evaluate(triage.Read(*list, *dir, *parts, *reruns))
		_, _ = fmt.Fprint(os.Stdout, v)
		if v.Red() {
			os.Exit(1)
		}
	}
}
