package oper

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/baobabtally/baobabtally/internal/bench"
	"github.com/baobabtally/baobabtally/internal/drive"
)

// load is the command that sends a deployment's workload to instances, or to
// engines for comparison.
type load struct {
	targets    *[]string
	keyEnv     *string
	model      *string
	deployment *string
	rate       *float64
	length     *time.Duration
	seed       *uint64
}

func addLoad(app *kingpin.Application, commands map[string]command) {
	c := app.Command("load", "Send the users' workload with open-loop arrivals and print times to first token.")
	commands["load"] = load{
		targets:    c.Flag("at", "An instance, or an engine to compare with.").Default("127.0.0.1:8080").Strings(),
		keyEnv:     c.Flag("key-env", "The environment variable with the API key.").Default("BAOBABTALLY_KEY").String(),
		model:      c.Flag("model", "The model.").Default("small").String(),
		deployment: c.Flag("deployment", "Whose workload: tassel or midlands.").Default("tassel").Enum("tassel", "midlands"),
		rate:       c.Flag("rate", "Requests a second.").Default("20").Float64(),
		length:     c.Flag("for", "How long.").Default("10s").Duration(),
		seed:       c.Flag("seed", "The seed of the workload.").Default("1").Uint64(),
	}
}

func (c load) run(ctx context.Context, out output) error {
	if *c.rate <= 0 || *c.length <= 0 {
		return fmt.Errorf("nothing to send: give a rate and a time above 0")
	}
	d := bench.Tassel()
	if *c.deployment == "midlands" {
		d = bench.Midlands()
	}
	res := drive.Run(ctx, drive.Plan{
		Targets:  *c.targets,
		Key:      os.Getenv(*c.keyEnv),
		Model:    *c.model,
		Requests: d.Requests(*c.rate, *c.length, *c.seed),
	})
	if out.json {
		return json.NewEncoder(out.w).Encode(map[string]any{
			"ranks":  res.RankResults(),
			"failed": res.Failed(),
		})
	}
	printRow(out.w, "rank", "answered", "p50 ms", "p99 ms", "max ms")
	for _, l := range res.RankResults() {
		printRow(out.w, l.Rank, l.Answered, fmt.Sprintf("%.1f", l.P50), fmt.Sprintf("%.1f", l.P99), fmt.Sprintf("%.1f", l.Max))
	}
	for status, n := range res.Failed() {
		printRow(out.w, "failed", status, n)
	}
	return nil
}
