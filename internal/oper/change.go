package oper

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"

	"github.com/baobabtally/baobabtally/internal/rpcapi"
)

// change is the command that sends policies to an instance, to plan or to apply
// them.
type change struct {
	target target
	file   *string
	base   *int64
	id     *string
	author *string
	apply  bool
}

func addChange(app *kingpin.Application, commands map[string]command, t target) {
	p := app.Command("plan", "Tell what a change of the policies would alter.")
	commands["plan"] = change{
		target: t,
		file:   p.Arg("file", "The file with all policies.").Required().String(),
	}
	a := app.Command("apply", "Put policies in force and wait until they are everywhere.")
	commands["apply"] = change{
		target: t,
		file:   a.Arg("file", "The file with all policies.").Required().String(),
		base:   a.Flag("base", "The version that the change was made from.").Required().Int64(),
		id:     a.Flag("change", "The id of the change; give the same one to retry.").String(),
		author: a.Flag("author", "Who makes the change.").Default(os.Getenv("USER")).String(),
		apply:  true,
	}
}

func (c change) run(ctx context.Context, out output) error {
	text, err := os.ReadFile(*c.file)
	if err != nil {
		return fmt.Errorf("%s can't be read (%w): name another file", *c.file, err)
	}
	client, err := c.target.client()
	if err != nil {
		return err
	}
	if !c.apply {
		res, err := client.Plan(ctx, &rpcapi.Change{
			Text: string(text),
		})
		return printResult(out, res, err)
	}
	m := &rpcapi.Change{
		Change: *c.id,
		Author: *c.author,
		Text:   string(text),
		Base:   *c.base,
	}
	if m.Change == "" {
		m.Change = uuid.NewString()
	}
	res, err := client.Apply(ctx, m)
	if err != nil {
		return fmt.Errorf("the outcome is unknown (%w): apply again with --change %s, which never makes it twice", err, m.GetChange())
	}
	return printResult(out, res, nil)
}

// printResult prints the outcome of a change. It returns an error if the change was
// neither accepted nor planned.
func printResult(out output, res *rpcapi.Applied, err error) error {
	if err != nil {
		return err
	}
	err = out.print(res, func(w io.Writer) {
		printRow(w, res.GetState(), "version", res.GetVersion())
		for _, a := range res.GetAlters() {
			printRow(w, "alters", a)
		}
		for _, p := range res.GetProblems() {
			printRow(w, "problem", fmt.Sprintf("line %d: policy %q: %s", p.GetLine(), p.GetPolicy(), p.GetRemedy()))
		}
		for _, m := range res.GetMissing() {
			printRow(w, "missing", m)
		}
	})
	if err != nil {
		return err
	}
	switch res.GetState() {
	case "accepted", "planned":
		return nil
	}
	return fmt.Errorf("%s: %s", res.GetState(), res.GetRemedy())
}

// history is the command that lists the last versions of the policies.
type history struct {
	target target
}

func (c history) run(ctx context.Context, out output) error {
	client, err := c.target.client()
	if err != nil {
		return err
	}
	res, err := client.History(ctx, &rpcapi.Nothing{})
	if err != nil {
		return err
	}
	return out.print(res, func(w io.Writer) {
		printRow(w, "VERSION", "TIME", "AUTHOR", "CHANGE")
		for _, d := range res.GetDocuments() {
			printRow(w, d.GetVersion(), time.Unix(d.GetTime(), 0).UTC().Format(time.RFC3339), d.GetAuthor(), d.GetChange())
		}
	})
}
