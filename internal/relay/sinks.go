package relay

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// intake hands what is read of the store to the control thread.
type intake struct {
	loop    *ctrl.Loop
	decoder decoder
	log     zerolog.Logger
}

// tell hands e on. It fails only when the instance ends.
func (i intake) tell(ctx context.Context, e state.Event) {
	if err := i.loop.Tell(ctx, e); err != nil {
		i.log.Debug().Str("event", "stop").Str("reason", e.Event()).Err(err).Send()
	}
}

// unread logs rows that could not be read. The others are taken.
func (i intake) unread(table string, problems []error) {
	for _, p := range problems {
		i.log.Warn().Str("event", "unread").Str("table", table).Err(p).Send()
	}
}

// operatorSink takes what operators write.
type operatorSink struct {
	intake
}

// Take takes rows.
func (s operatorSink) Take(ctx context.Context, b store.Batch) {
	events, problems := s.decoder.Operator(b)
	s.unread("operators", problems)
	for _, e := range events {
		s.tell(ctx, e)
	}
}

// Read logs a failed read. Whether the store is lost is told by the registry,
// which is read more often.
func (s operatorSink) Read(ctx context.Context, err error) {
	if err != nil {
		s.log.Debug().Str("event", "store").Str("table", "operators").Err(err).Send()
		return
	}
	s.tell(ctx, state.SiteHeard{})
}

// registrySink takes the entries of endpoints.
type registrySink struct {
	intake
}

// Take takes entries.
func (s registrySink) Take(ctx context.Context, b store.Batch) {
	r, problems := s.decoder.Registry(b)
	s.unread("registry", problems)
	r.Source = "store"
	s.tell(ctx, r)
}

// Read tells whether the store answers.
func (s registrySink) Read(ctx context.Context, err error) {
	e := state.StoreHeard{
		OK: err == nil,
	}
	if err != nil {
		e.Reason = err.Error()
	}
	s.tell(ctx, e)
}
