// Command standin runs a stand-in for an endpoint or for the platform.
package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/baobabtally/baobabtally/internal/stand"
)

func main() {
	app := kingpin.New("standin", "A stand-in for an endpoint or for the platform.")
	listen := app.Flag("listen", "The IP address and port.").Required().String()
	epoch := app.Flag("epoch", "The incarnation of an engine.").Default("1").String()
	prefill := app.Flag("prefill", "The prompt tokens a second of an engine.").Default("20000").Float64()
	step := app.Flag("step", "The time between two tokens of an engine.").Default("5ms").Duration()
	fences := app.Flag("fences", "Whether an engine refuses old fencing numbers.").Bool()
	kinds := map[string]func() http.Handler{
		"engine": func() http.Handler {
			opts := []stand.EngineOption{stand.WithRate(*prefill, *step)}
			if *fences {
				opts = append(opts, stand.WithFences())
			}
			return stand.NewEngine(*epoch, opts...)
		},
		"service": func() http.Handler { return stand.NewService() },
		"table":   func() http.Handler { return stand.NewTable() },
		"object":  func() http.Handler { return stand.NewObject() },
		"list":    func() http.Handler { return stand.NewList() },
	}
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		app.Command(name, "Run a stand-in for the "+name+".")
	}
	name := kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := serve(*listen, kinds[name]()); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "standin: "+err.Error())
		os.Exit(1)
	}
}

// serve runs h until the process is told to stop.
func serve(listen string, h http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", listen)
	if err != nil {
		return fmt.Errorf("can't listen (%w): free the address or change --listen", err)
	}
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: 5 * time.Second,
	}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
