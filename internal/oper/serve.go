package oper

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/baobabtally/baobabtally/internal/daemon"
	"github.com/baobabtally/baobabtally/internal/logs"
	"github.com/baobabtally/baobabtally/internal/setup"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

// serve is the command that runs an instance.
type serve struct {
	settings *string
	listen   *string
	stderr   io.Writer
}

func addServe(app *kingpin.Application, commands map[string]command, stderr io.Writer) {
	c := app.Command("serve", "Run an instance. Without settings it runs with stand-ins for endpoints and the platform.")
	commands["serve"] = serve{
		settings: c.Flag("settings", "The file with the settings.").String(),
		listen:   c.Flag("listen", "The IP address and port to serve on without settings.").Default("127.0.0.1:8080").String(),
		stderr:   stderr,
	}
}

func (c serve) run(ctx context.Context, _ output) error {
	surviveClosedLog()
	s, stopDemo, err := c.load()
	if err != nil {
		return err
	}
	defer stopDemo()
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", s.Listen)
	if err != nil {
		return fmt.Errorf("can't listen on %s (%w): free the address or change listen", s.Listen, err)
	}
	i, err := daemon.New(s, logs.New(c.stderr, s.Level))
	if err != nil {
		return err
	}
	return i.Run(ctx, l)
}

// load returns the settings and a function that stops the demo, if it runs.
func (c serve) load() (setup.Settings, func(), error) {
	if *c.settings == "" {
		d, err := daemon.NewDemo(*c.listen)
		if err != nil {
			return setup.Settings{}, nil, err
		}
		return d.Settings, d.Close, nil
	}
	text, err := os.ReadFile(*c.settings)
	if err != nil {
		return setup.Settings{}, nil, fmt.Errorf("the settings can't be read (%w): name a file with --settings", err)
	}
	s, problems := setup.Parse(string(text))
	if len(problems) > 0 {
		return s, nil, problemList(*c.settings, problems)
	}
	return s, func() {}, nil
}

// problemList returns all problems of a file as one error, with their lines.
func problemList(file string, problems []policy.Problem) error {
	lines := make([]string, 0, len(problems))
	for _, p := range problems {
		where := ""
		if p.Policy != "" {
			where = "policy " + p.Policy + ": "
		}
		lines = append(lines, fmt.Sprintf("%s:%d: %s%s", file, p.Line, where, p.Remedy))
	}
	return fmt.Errorf("%d problems\n%s", len(problems), strings.Join(lines, "\n"))
}

// lint is the command that checks settings and policies without an instance.
type lint struct {
	settings *string
	policies *string
}

func addLint(app *kingpin.Application, commands map[string]command) {
	c := app.Command("lint", "Check settings and policies and tell all problems at once.")
	commands["lint"] = lint{
		settings: c.Flag("settings", "A file with settings.").String(),
		policies: c.Flag("policies", "A file with policies.").String(),
	}
}

func (c lint) run(_ context.Context, out output) error {
	var failed []string
	check := func(file string, parse func(text string) []policy.Problem) error {
		if file == "" {
			return nil
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return fmt.Errorf("%s can't be read (%w): name another file", file, err)
		}
		if problems := parse(string(text)); len(problems) > 0 {
			failed = append(failed, problemList(file, problems).Error())
		}
		return nil
	}
	if *c.settings == "" && *c.policies == "" {
		return fmt.Errorf("nothing to check: name a file with --settings or --policies")
	}
	err := check(*c.settings, func(text string) []policy.Problem {
		_, problems := setup.Parse(text)
		return problems
	})
	if err != nil {
		return err
	}
	err = check(*c.policies, func(text string) []policy.Problem {
		_, problems := policy.Decode(1, "", "", text)
		return problems
	})
	if err != nil {
		return err
	}
	if len(failed) > 0 {
		return fmt.Errorf("%s", strings.Join(failed, "\n"))
	}
	printRow(out.w, "ok")
	return nil
}
