package oper

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/twitchtv/twirp"

	"github.com/baobabtally/baobabtally/internal/rpcapi"
)

// query is a command that makes one call to an instance and prints the response.
type query struct {
	target target
	call   func(ctx context.Context, c rpcapi.Admin, out output) error
}

func (q query) run(ctx context.Context, out output) error {
	c, err := q.target.client()
	if err != nil {
		return err
	}
	return explainError(q.call(ctx, c, out), *q.target.server)
}

// explainError adds the remedy to an error of the transport or of authentication.
func explainError(err error, server string) error {
	var t twirp.Error
	if errors.As(err, &t) && t.Code() == twirp.Internal {
		return fmt.Errorf("%s can't be asked (%w): check --server", server, err)
	}
	if errors.As(err, &t) && t.Code() == twirp.Unauthenticated {
		return fmt.Errorf("%s refuses the secret (%w): check --secret-file or --secret-env", server, err)
	}
	return err
}

// addQueries adds the commands that make one call to an instance.
func addQueries(app *kingpin.Application, commands map[string]command, t target) {
	add := func(name, help string, call func(ctx context.Context, c rpcapi.Admin, out output) error) {
		app.Command(name, help)
		commands[name] = query{
			target: t,
			call:   call,
		}
	}
	add("get", "Print the policies in force.", get)
	add("status", "Print what an instance knows of the nodes.", status)
	add("alarms", "Print the promises and their alarms.", alarms)
	app.Command("history", "List the last versions of the policies.")
	commands["history"] = history{
		target: t,
	}
	addExplain(app, commands, t)
	d := app.Command("drain", "Have an endpoint take no new work.")
	name := d.Arg("endpoint", "The endpoint's name.").Required().String()
	commands["drain"] = query{
		target: t,
		call: func(ctx context.Context, c rpcapi.Admin, out output) error {
			_, err := c.Drain(ctx, &rpcapi.Target{
				Name: *name,
			})
			if err == nil {
				printRow(out.w, "draining", *name)
			}
			return err
		},
	}
}

func addExplain(app *kingpin.Application, commands map[string]command, t target) {
	c := app.Command("explain", "Tell how a request would be treated, and why.")
	team := c.Flag("team", "The caller's team.").Required().String()
	model := c.Flag("model", "The model or service.").Required().String()
	labels := c.Flag("label", "A further label, as key=value.").StringMap()
	prompt := c.Flag("prompt", "A file with the prompt.").String()
	commands["explain"] = query{
		target: t,
		call: func(ctx context.Context, c rpcapi.Admin, out output) error {
			q := &rpcapi.Question{
				Team:   *team,
				Model:  *model,
				Labels: *labels,
			}
			if *prompt != "" {
				text, err := os.ReadFile(*prompt)
				if err != nil {
					return fmt.Errorf("%s can't be read (%w): name another file", *prompt, err)
				}
				q.Prompt = string(text)
			}
			return explain(ctx, c, q, out)
		},
	}
}

func get(ctx context.Context, c rpcapi.Admin, out output) error {
	res, err := c.Get(ctx, &rpcapi.Nothing{})
	if err != nil {
		return err
	}
	return out.print(res, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "# version %d\n%s", res.GetVersion(), res.GetText())
	})
}

func explain(ctx context.Context, c rpcapi.Admin, q *rpcapi.Question, out output) error {
	res, err := c.Explain(ctx, q)
	if err != nil {
		return err
	}
	err = out.print(res, func(w io.Writer) {
		printRow(w, "policy", res.GetPolicy())
		printRow(w, "rank", res.GetRank())
		printRow(w, "endpoint", res.GetEndpoint())
		printRow(w, "reason", res.GetReason())
		printRow(w, "cached", res.GetCached(), "tokens")
		printRow(w, "missed", res.GetMissed(), "tokens")
		printRow(w, "wait", time.Duration(res.GetWait()))
		printRow(w, "expected", time.Duration(res.GetExpected()))
		printRow(w, "considered", res.GetConsidered(), "endpoints")
	})
	if err == nil && res.GetRemedy() != "" {
		return fmt.Errorf("%s", res.GetRemedy())
	}
	return err
}

func status(ctx context.Context, c rpcapi.Admin, out output) error {
	res, err := c.Status(ctx, &rpcapi.Nothing{})
	if err != nil {
		return err
	}
	return out.print(res, func(w io.Writer) {
		printRow(w, "instance", res.GetName(), "version", res.GetVersion(), "ready", res.GetReady(), res.GetReason())
		printRow(w, "NAME", "ROLE", "ADDR", "DOMAIN", "LEAVING", "SUSPECT", "CALLS")
		for _, n := range res.GetNodes() {
			printRow(w, n.GetName(), n.GetRole(), n.GetAddr(), n.GetDomain(), n.GetLeaving(), n.GetSuspect(), n.GetWork().GetCalls())
		}
		for _, f := range res.GetFaults() {
			printRow(w, "fault", f)
		}
	})
}

func alarms(ctx context.Context, c rpcapi.Admin, out output) error {
	res, err := c.Alarms(ctx, &rpcapi.Nothing{})
	if err != nil {
		return err
	}
	return out.print(res, func(w io.Writer) {
		printRow(w, "PROMISE", "RAISED", "MISSED", "ALLOWED", "FORECAST")
		for _, a := range res.GetAlarms() {
			raised := "-"
			if a.GetRaised() > 0 {
				raised = time.UnixMilli(a.GetRaised()).UTC().Format(time.RFC3339)
			}
			printRow(w, a.GetPromise(), raised,
				fmt.Sprintf("%.3f", a.GetMissed()), fmt.Sprintf("%.3f", a.GetAllowed()), fmt.Sprintf("%.3f", a.GetForecast()))
		}
	})
}
