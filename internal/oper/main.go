package oper

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/setup"
)

// Version is the version of the program.
const Version = "0.1.0"

// command is one subcommand.
type command interface {
	run(ctx context.Context, o output) error
}

// Main runs the command line and returns the exit status: 0 on success, 1 if the
// command failed, 2 if args are invalid.
func Main(args []string, stdout, stderr io.Writer) int {
	// SIGHUP ends a process that does not handle it, so an instance must do so from
	// its start until it has exited.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	app := kingpin.New("baobabtally", "A router for language-model traffic with long shared prompts.")
	app.Version(Version)
	app.UsageWriter(stderr)
	app.ErrorWriter(stderr)
	commands := map[string]command{}
	format := app.Flag("output", "How to print: text or json.").Default("text").Enum("text", "json")
	t := addTargetFlags(app)
	addServe(app, commands, stderr)
	addPlatform(app, commands, stdout, hup)
	addLint(app, commands)
	addTrace(app, commands)
	addLoad(app, commands)
	addChange(app, commands, t)
	addQueries(app, commands, t)
	name, err := app.Parse(args)
	if err != nil {
		_, _ = fmt.Fprintf(stderr, "%v: run baobabtally --help\n", err)
		return 2
	}
	out := output{
		w:    stdout,
		json: *format == "json",
	}
	c := commands[name]
	if _, ok := c.(platformInstance); !ok {
		// Only an instance on the platform reloads its settings.
		hangup, stop := signal.NotifyContext(ctx, syscall.SIGHUP)
		defer stop()
		signal.Stop(hup)
		ctx = hangup
	}
	if err := c.run(ctx, out); err != nil {
		_, _ = fmt.Fprintln(stderr, "baobabtally: "+err.Error())
		return 1
	}
	return 0
}

// surviveClosedLog makes writes to a log whose reader has ended fail, rather than end
// the process.
func surviveClosedLog() { signal.Ignore(syscall.SIGPIPE) }

// target holds the flags that name an instance and the secret for it.
type target struct {
	server *string
	file   *string
	env    *string
}

// addTargetFlags adds the flags of all commands that call an instance.
func addTargetFlags(app *kingpin.Application) target {
	return target{
		server: app.Flag("server", "The IP address and port of an instance.").Default("127.0.0.1:8080").String(),
		file:   app.Flag("secret-file", "The file with the operators' secret.").String(),
		env:    app.Flag("secret-env", "The environment variable with the operators' secret.").Default("BAOBABTALLY_SECRET").String(),
	}
}

// client returns a client for the instance.
func (t target) client() (rpcapi.Admin, error) {
	src := setup.Source{
		File: *t.file,
		Env:  *t.env,
	}
	secret, err := src.Read()
	if err != nil {
		return nil, err
	}
	return rpcapi.NewAdminProtobufClient("http://"+*t.server, peer.NewHTTPClient(secret)), nil
}
