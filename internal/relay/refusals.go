package relay

import (
	"context"
	"strings"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
)

// mostPath is how much of a request's path a log line has, in bytes. Prefixes of
// routes are shorter.
const mostPath = 200

// logged is a filter whose refusals are logged and counted.
type logged struct {
	inner chain.Filter
	view  viewer
	log   zerolog.Logger
	meter meter
}

// Filter passes r to the filter in it.
func (f logged) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	p := handoff{
		next: next,
	}
	result, err := f.inner.Filter(ctx, r, w, &p)
	if err != nil && !p.taken {
		f.refused(r, fault.From(err))
	}
	return result, err
}

// refused logs a refusal with the configuration in force. Queries may hold secrets
// and are left out.
func (f logged) refused(r chain.Request, e fault.Error) {
	routing := f.view.View().Routing
	path, _, _ := strings.Cut(r.Path, "?")
	f.meter.Refused(e.Kind.String())
	f.log.Warn().Str("event", "refuse").Str("request", r.ID).Str("reason", e.Kind.String()).Str("detail", e.Detail).
		Str("route", r.Route.Name).Str("path", path[:min(len(path), mostPath)]).
		Int64("site", routing.Site.Version()).Int64("listing", routing.Listing).Send()
}

// handoff notes whether a request was passed on.
type handoff struct {
	next  chain.Handler
	taken bool
}

// Handle passes r on.
func (p *handoff) Handle(ctx context.Context, r chain.Request, w chain.Writer) (chain.Result, error) {
	p.taken = true
	return p.next.Handle(ctx, r, w)
}
