package relay

import (
	"context"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/internal/logs"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/load"
)

// doer does the actions of the control thread.
type doer struct {
	parts Parts
	loop  *ctrl.Loop
	gauge *load.Gauge
	tally *filter.Tally
}

// Do does a and returns its event.
func (d *doer) Do(ctx context.Context, a state.Action) state.Event {
	switch a := a.(type) {
	case state.Collect:
		return d.collect()
	case state.SendPulse:
		return d.sendPulse(ctx, a)
	case state.FetchSite:
		return d.fetchSite(ctx, a)
	case state.FetchRoster:
		return d.fetchRoster(ctx, a)
	case state.AskLease:
		return d.askLease(ctx, a)
	case state.AskLoad:
		return d.askLoad(ctx, a)
	case state.AskCache:
		return d.askCache(ctx, a)
	case state.SendOrder:
		return d.sendOrder(ctx, a)
	case state.Announce:
		logs.Alarm(d.parts.Log, a.Alarm)
	case state.Note:
		d.parts.Meter.Decision(a.Event)
		logs.Note(d.parts.Log, a.Event, a.Pairs)
	}
	return nil
}

func (d *doer) collect() state.Event {
	tally, usage := d.tally.Take(d.parts.Now())
	return state.Collected{
		Summary: state.Summary{
			Work:  d.gauge.All(),
			Usage: usage,
			Tally: tally,
		},
	}
}

func (d *doer) sendPulse(ctx context.Context, a state.SendPulse) state.Event {
	sent := d.parts.Now()
	p, err := d.parts.Peers.Beat(ctx, a.To, a.Pulse)
	if err != nil {
		d.failed("pulse", a.To.Name, err)
		return nil
	}
	p.Sent = sent
	return p
}

func (d *doer) fetchSite(ctx context.Context, a state.FetchSite) state.Event {
	s, err := d.parts.Peers.Site(ctx, a.From)
	if err != nil {
		d.failed("site", a.From.Name, err)
		return nil
	}
	return state.SiteFound{
		Site:   s,
		Source: a.From.Name,
	}
}

func (d *doer) fetchRoster(ctx context.Context, a state.FetchRoster) state.Event {
	r, err := d.parts.Peers.Roster(ctx, a.From)
	if err != nil {
		d.failed("roster", a.From.Name, err)
		return nil
	}
	return r
}

func (d *doer) askLease(ctx context.Context, a state.AskLease) state.Event {
	e := state.Leased{
		Op: a.Op,
	}
	if a.Op.Put {
		e.Version, e.Err = d.parts.Store.Put(ctx, a.Op.Row)
	} else {
		e.Row, e.Err = d.parts.Store.Get(ctx, a.Op.Row.Key)
	}
	if e.Err != nil {
		d.failed("lease", a.Op.Row.Key, e.Err)
	}
	e.Clock = d.parts.Store.Clock()
	return e
}

func (d *doer) askLoad(ctx context.Context, a state.AskLoad) state.Event {
	report, work, err := d.parts.Ends.Load(ctx, a.Endpoint.Node)
	if err != nil {
		d.failed("report", a.Endpoint.Node.Name, err)
	}
	return state.Reported{
		Endpoint: a.Endpoint.Node.Name,
		Report:   report,
		Work:     work,
		Failed:   err != nil,
	}
}

func (d *doer) askCache(ctx context.Context, a state.AskCache) state.Event {
	e, err := d.parts.Ends.Events(ctx, a.Endpoint.Node, a.After)
	if err != nil {
		d.failed("cache", a.Endpoint.Node.Name, err)
		return state.Cached{
			Endpoint: a.Endpoint.Node.Name,
			Failed:   true,
		}
	}
	return e
}

// sendOrder asks the engine how many orders it took, so that an order which is
// carried out late finds that another one came before it.
func (d *doer) sendOrder(ctx context.Context, a state.SendOrder) state.Event {
	ctx, cancel := context.WithTimeout(ctx, ctrl.OrderLimit)
	defer cancel()
	e := state.Ordered{
		Order:   a.Order,
		Outcome: state.Unsent,
	}
	report, _, err := d.parts.Ends.Load(ctx, a.Endpoint.Node)
	if err != nil {
		e.Detail = err.Error()
		return e
	}
	if report.Busy {
		e.Outcome = state.Refused
		e.Detail = "the engine carries out another order"
		return e
	}
	e.Outcome, err = d.parts.Ends.Order(ctx, a.Endpoint.Node, a.Order, a.Fence, report.Orders, func() bool {
		now := d.parts.Now()
		l := d.loop.View().Lease
		return l.Fence() == a.Fence && l.Valid(now, now.Add(ctrl.OrderLimit/2))
	})
	if err != nil {
		e.Detail = err.Error()
	}
	return e
}

// failed logs a call that failed. The controllers go on without its answer.
func (d *doer) failed(what, name string, err error) {
	d.parts.Log.Debug().Str("event", "unanswered").Str("reason", what).Str("name", name).Err(err).Send()
}
