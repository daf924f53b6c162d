package oper

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/baobabtally/baobabtally/internal/logs"
	"github.com/baobabtally/baobabtally/platform"
)

// platformInstance is the command that runs an instance on the users' platform.
type platformInstance struct {
	settings *string
	level    *string
	metrics  *int
	stdout   io.Writer
}

func addPlatform(app *kingpin.Application, commands map[string]command, stdout io.Writer) {
	c := app.Command("platform", "Run an instance on the users' platform, which writes its settings.")
	commands["platform"] = platformInstance{
		settings: c.Flag("settings", "The file with the platform's settings.").Envar("BAOBABTALLY_CONFIG").Required().String(),
		level:    c.Flag("level", "The least level that is logged.").Default("info").Enum("debug", "info", "warn", "error"),
		metrics:  c.Flag("metrics-port", "A port of the machine's address for /metrics, besides the control address; 0 for none.").Default("0").Int(),
		stdout:   stdout,
	}
}

func (c platformInstance) run(ctx context.Context, _ output) error {
	s, err := platform.ReadSettings(*c.settings)
	if err != nil {
		return err
	}
	out := logs.Lossy(c.stdout)
	defer func() { _ = out.Close() }()
	i, err := platform.New(s, logs.RateLimited(logs.New(out, *c.level)), platform.WithMetrics(*c.metrics))
	if err != nil {
		return err
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	go c.reload(i, hup)
	return i.Run(ctx)
}

// reload reloads the settings of i on each signal, until i stops.
func (c platformInstance) reload(i *platform.Instance, hup <-chan os.Signal) {
	for {
		select {
		case <-hup:
			// The instance logs a failure and keeps its previous settings.
			_ = i.Reload(*c.settings)
		case <-i.Done():
			return
		}
	}
}
