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

// ask asks an instance one question.
type ask struct {
	target target
	do     func(ctx context.Context, c rpcapi.Admin, out output) error
}

func (a ask) run(ctx context.Context, out output) error {
	c, err := a.target.client()
	if err != nil {
		return err
	}
	return asked(a.do(ctx, c, out), *a.target.server)
}

// asked names the remedy where an instance could not be asked.
func asked(err error, server string) error {
	var t twirp.Error
	if errors.As(err, &t) && t.Code() == twirp.Internal {
		return fmt.Errorf("%s can't be asked (%w): check --server", server, err)
	}
	if errors.As(err, &t) && t.Code() == twirp.Unauthenticated {
		return fmt.Errorf("%s refuses the secret (%w): check --secret-file or --secret-env", server, err)
	}
	return err
}

func addAsk(app *kingpin.Application, commands map[string]command, t target) {
	add := func(name, help string, do func(ctx context.Context, c rpcapi.Admin, out output) error) {
		app.Command(name, help)
		commands[name] = ask{
			target: t,
			do:     do,
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
	commands["drain"] = ask{
		target: t,
		do: func(ctx context.Context, c rpcapi.Admin, out output) error {
			_, err := c.Drain(ctx, &rpcapi.Target{
				Name: *name,
			})
			if err == nil {
				row(out.w, "draining", *name)
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
	commands["explain"] = ask{
		target: t,
		do: func(ctx context.Context, c rpcapi.Admin, out output) error {
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
		row(w, "policy", res.GetPolicy())
		row(w, "rank", res.GetRank())
		row(w, "endpoint", res.GetEndpoint())
		row(w, "reason", res.GetReason())
		row(w, "cached", res.GetCached(), "tokens")
		row(w, "missed", res.GetMissed(), "tokens")
		row(w, "wait", time.Duration(res.GetWait()))
		row(w, "expected", time.Duration(res.GetExpected()))
		row(w, "considered", res.GetConsidered(), "endpoints")
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
		row(w, "instance", res.GetName(), "version", res.GetVersion(), "ready", res.GetReady(), res.GetReason())
		row(w, "NAME", "ROLE", "ADDR", "DOMAIN", "LEAVING", "SUSPECT", "CALLS")
		for _, n := range res.GetNodes() {
			row(w, n.GetName(), n.GetRole(), n.GetAddr(), n.GetDomain(), n.GetLeaving(), n.GetSuspect(), n.GetWork().GetCalls())
		}
		for _, f := range res.GetFaults() {
			row(w, "fault", f)
		}
	})
}

func alarms(ctx context.Context, c rpcapi.Admin, out output) error {
	res, err := c.Alarms(ctx, &rpcapi.Nothing{})
	if err != nil {
		return err
	}
	return out.print(res, func(w io.Writer) {
		row(w, "PROMISE", "RAISED", "MISSED", "ALLOWED", "FORECAST")
		for _, a := range res.GetAlarms() {
			raised := "-"
			if a.GetRaised() > 0 {
				raised = time.UnixMilli(a.GetRaised()).UTC().Format(time.RFC3339)
			}
			row(w, a.GetPromise(), raised,
				fmt.Sprintf("%.3f", a.GetMissed()), fmt.Sprintf("%.3f", a.GetAllowed()), fmt.Sprintf("%.3f", a.GetForecast()))
		}
	})
}
