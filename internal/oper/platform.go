package oper

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/baobabtally/baobabtally/internal/logs"
	"github.com/baobabtally/baobabtally/platform"
)

const (
	// reloadRetryInterval is how long after a failed reload the settings are read
	// again, and reloadRetries how often.
	reloadRetryInterval = 300 * time.Millisecond
	reloadRetries       = 5
)

// platformInstance is the command that runs an instance on the users' platform.
type platformInstance struct {
	settings *string
	level    *string
	metrics  *int
	stdout   io.Writer
	// hup receives SIGHUP from the start of the process to its end.
	hup <-chan os.Signal
}

func addPlatform(app *kingpin.Application, commands map[string]command, stdout io.Writer, hup <-chan os.Signal) {
	c := app.Command("platform", "Run an instance on the users' platform, which writes its settings.")
	commands["platform"] = platformInstance{
		settings: c.Flag("settings", "The file with the platform's settings.").Envar("BAOBABTALLY_CONFIG").Required().String(),
		level:    c.Flag("level", "The least level that is logged.").Default("info").Enum("debug", "info", "warn", "error"),
		metrics:  c.Flag("metrics-port", "A port of the machine's address for /metrics, besides the control address; 0 for none.").Default("0").Int(),
		stdout:   stdout,
		hup:      hup,
	}
}

func (c platformInstance) run(ctx context.Context, _ output) error {
	surviveClosedLog()
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
	go c.reload(i)
	return i.Run(ctx)
}

// reload reloads the settings of i on each signal, until i stops.
func (c platformInstance) reload(i *platform.Instance) {
	for {
		select {
		case <-c.hup:
			c.reloadComplete(i)
		case <-i.Done():
			return
		}
	}
}

// reloadComplete reloads the settings of i, again for a while if the file is missing
// or invalid, since it may still be written. The instance logs each failure and keeps
// its previous settings.
func (c platformInstance) reloadComplete(i *platform.Instance) {
	for n := 0; i.Reload(*c.settings) != nil && n < reloadRetries; n++ {
		select {
		case <-time.After(reloadRetryInterval):
		case <-i.Done():
			return
		}
	}
}
