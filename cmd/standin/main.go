// Command standin runs a stand-in for an endpoint or for a platform service.
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
	app := kingpin.New("standin", "Run a stand-in for an endpoint or for a platform service.")
	listen := app.Flag("listen", "The IP address and port to listen on.").Required().String()
	epoch := app.Flag("epoch", "The epoch that an engine reports.").Default("1").String()
	prefill := app.Flag("prefill", "The prefill rate of an engine in tokens per second.").Default("20000").Float64()
	step := app.Flag("step", "The time per output token of an engine.").Default("5ms").Duration()
	fences := app.Flag("fences", "Make an engine reject orders with an old fencing token.").Bool()
	kinds := map[string]func() http.Handler{
		"engine": func() http.Handler {
			opts := []stand.EngineOption{stand.WithRate(*prefill, *step)}
			if *fences {
				opts = append(opts, stand.WithFencing())
			}
			return stand.NewEngine(*epoch, opts...)
		},
		"service": func() http.Handler { return stand.NewService() },
		"table":   func() http.Handler { return stand.NewTable() },
		"object":  func() http.Handler { return stand.NewObjectStore() },
		"list":    func() http.Handler { return stand.NewRegistry() },
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

// serve serves h until the process receives an interrupt or SIGTERM.
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
