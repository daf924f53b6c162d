package relay

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/internal/watch"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// controlSink sends the rows read from the store to the control thread.
type controlSink struct {
	loop    *ctrl.Loop
	decoder decoder
	log     zerolog.Logger
	// problems logs the rows that can't be used. The others are still used.
	problems *problemLog
}

// send sends e to the control thread. It fails only when the instance stops.
func (s controlSink) send(ctx context.Context, e state.Event) {
	if err := s.loop.Tell(ctx, e); err != nil {
		s.log.Debug().Str("event", "stop").Str("reason", e.Event()).Err(err).Send()
	}
}

// operatorSink receives the rows that operators write.
type operatorSink struct {
	controlSink
}

// HandleBatch sends the operators' settings to the control thread.
func (s operatorSink) HandleBatch(ctx context.Context, b store.Batch) {
	events, problems := s.decoder.Operator(b)
	s.problems.update(b, problems)
	if b.Era != s.loop.View().Routing.StoreEra {
		s.send(ctx, state.EraFound{
			Era: b.Era,
		})
	}
	for _, e := range events {
		s.send(ctx, e)
	}
}

// HandleResult reports the result of a read. A failed one shows that the store is
// unreachable, long before the next read of the registry in a large fleet; that it is
// reachable again is determined by the registry's reads.
func (s operatorSink) HandleResult(ctx context.Context, r watch.Result) {
	if r.Err != nil {
		s.send(ctx, statusOf(r))
		return
	}
	s.send(ctx, state.SiteConfirmed{})
}

// registrySink receives the registry entries of endpoints.
type registrySink struct {
	controlSink
}

// HandleBatch sends the registry entries to the control thread.
func (s registrySink) HandleBatch(ctx context.Context, b store.Batch) {
	r, problems := s.decoder.Registry(b)
	s.problems.update(b, problems)
	r.Source = "store"
	s.send(ctx, r)
}

// HandleResult reports whether the store is reachable.
func (s registrySink) HandleResult(ctx context.Context, r watch.Result) { s.send(ctx, statusOf(r)) }

// statusOf returns what a read shows of the store.
func statusOf(r watch.Result) state.StoreStatus {
	e := state.StoreStatus{
		OK:         r.Err == nil,
		Unanswered: r.Unanswered,
		Overdue:    r.Overdue,
	}
	if r.Err != nil {
		e.Reason = r.Err.Error()
	}
	return e
}
