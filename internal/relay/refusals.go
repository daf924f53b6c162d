package relay

import (
	"context"
	"strings"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
)

// maxLoggedPath is how much of a request's path is logged, in bytes. The
// prefixes of routes are shorter.
const maxLoggedPath = 200

// refusalLogger wraps a filter and logs and counts the requests that it
// refuses.
type refusalLogger struct {
	inner chain.Filter
	view  stateViewer
	log   zerolog.Logger
	meter meter
}

// Filter calls the inner filter. An error counts as a refusal if the request
// was not passed on.
func (f refusalLogger) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	recorder := passRecorder{
		next: next,
	}
	result, err := f.inner.Filter(ctx, r, w, &recorder)
	if err != nil && !recorder.passed {
		f.logRefusal(r, fault.From(err))
	}
	return result, err
}

// logRefusal logs a refusal with the effective configuration version. The query
// is omitted, since it may contain secrets.
func (f refusalLogger) logRefusal(r chain.Request, e fault.Error) {
	routing := f.view.View().Routing
	path, _, _ := strings.Cut(r.Path, "?")
	f.meter.Refused(e.Kind.String())
	f.log.Warn().Str("event", "refuse").Str("request", r.ID).Str("reason", e.Kind.String()).Str("detail", e.Detail).
		Str("route", r.Route.Name).Str("path", path[:min(len(path), maxLoggedPath)]).
		Int64("site", routing.Site.Version()).Int64("listing", routing.RegistryVersion).Send()
}

// passRecorder records whether a request was passed on.
type passRecorder struct {
	next   chain.Handler
	passed bool
}

// Handle passes r on.
func (h *passRecorder) Handle(ctx context.Context, r chain.Request, w chain.Writer) (chain.Result, error) {
	h.passed = true
	return h.next.Handle(ctx, r, w)
}
