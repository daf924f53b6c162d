// Command probe checks a running fleet from the outside. Each subcommand checks
// one property and prints one line with its result. The exit status is 1 if the
// property does not hold.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("probe", "Checks of a running fleet.")
	p := probe{
		key:     app.Flag("key", "The API key.").Default("demo-key").String(),
		engines: app.Flag("engine", "An engine stand-in.").Strings(),
		service: app.Flag("service", "The service stand-in.").String(),
	}
	addrs := app.Flag("at", "An instance.").Strings()
	checks := map[string]func(addrs []string) (string, error){
		"stream": p.stream,
		"prefix": p.prefix,
		"charge": p.charge,
		"ready":  p.ready,
		"cross":  p.resume,
		"frozen": p.stream,
	}
	app.Command("stream", "A streamed answer is complete and in order.")
	app.Command("prefix", "A second long prompt reaches the engine that holds it.")
	app.Command("charge", "A charge that is sent twice runs once.")
	app.Command("ready", "An instance serves, and how soon.")
	app.Command("frozen", "Answers are whole while an engine is frozen.")
	app.Command("cross", "A stream is resumed through another instance.")
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	result, err := checks[name](*addrs)
	if err != nil {
		_, _ = fmt.Fprintf(os.Stdout, "FAIL %s: %v\n", name, err)
		os.Exit(1)
	}
	_, _ = fmt.Fprintf(os.Stdout, "ok   %s: %s\n", name, result)
}
