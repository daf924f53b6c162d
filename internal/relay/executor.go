package relay

import (
	"context"
	"errors"
	"time"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/internal/logs"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/internal/watch"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/poison"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// executor carries out the actions of the controllers.
type executor struct {
	parts Parts
	loop  *ctrl.Loop
	gauge *load.Gauge
	tally *filter.Tally
	// served remembers the parts of prompts that endpoints have served.
	served *poison.Served
	// origins knows which software began the streams.
	origins *origins
	// rejoin holds a value while the instance has to look for its row in the store.
	rejoin chan struct{}
	// operators and registry are the tables of the store that the instance follows. They
	// are set before the loop runs.
	operators *watch.Table
	registry  *watch.Table
}

// Execute carries out a and returns the resulting event, or nil if there is none.
func (x *executor) Execute(ctx context.Context, a state.Action) state.Event {
	switch a := a.(type) {
	case state.Collect:
		return x.collectSummary()
	case state.SendHeartbeat:
		return x.sendHeartbeat(ctx, a)
	case state.FetchSite:
		return x.fetchSite(ctx, a)
	case state.FetchRegistry:
		return x.fetchRegistry(ctx, a)
	case state.RunLeaseOp:
		return x.runLeaseOp(ctx, a)
	case state.SyncSoftware:
		return x.syncSoftware(ctx, a)
	case state.PollLoad:
		if !x.quiet(a.Endpoint.Node) {
			return x.pollLoad(ctx, a)
		}
	case state.PollCacheEvents:
		if !x.quiet(a.Endpoint.Node) {
			return x.pollCacheEvents(ctx, a)
		}
	case state.CheckServed:
		return x.checkServed(a)
	case state.SendOrder:
		return x.sendOrder(ctx, a)
	default:
		x.executeLocally(a)
	}
	return nil
}

// executeLocally carries out an action that calls nobody.
func (x *executor) executeLocally(a state.Action) {
	switch a := a.(type) {
	case state.RenewReads:
		x.operators.Renew()
		x.registry.Renew()
	case state.EndPauses:
		if a.Operators {
			x.operators.EndPause()
		}
		if a.Registry {
			x.registry.EndPause()
		}
	case state.Rejoin:
		select {
		case x.rejoin <- struct{}{}:
		default:
		}
	case state.Announce:
		logs.Alarm(x.parts.Log, a.Alarm)
	case state.Note:
		x.parts.Meter.Decision(a.Event)
		logs.Note(x.parts.Log, a.Event, a.Pairs)
	}
}

func (x *executor) collectSummary() state.Event {
	tally, usage := x.tally.Take(x.parts.Now())
	return state.Collected{
		Summary: state.Summary{
			Work:  x.gauge.All(),
			Usage: usage,
			Tally: tally,
		},
		OperatorsHeld: x.operators.Held(),
		RegistryHeld:  x.registry.Held(),
	}
}

func (x *executor) checkServed(a state.CheckServed) state.Event {
	served := x.served.Of(a.Parts)
	if len(served) == 0 {
		return nil
	}
	return state.PartsServed{
		Parts:    served,
		LookedUp: true,
	}
}

func (x *executor) sendHeartbeat(ctx context.Context, a state.SendHeartbeat) state.Event {
	sent := x.parts.Now()
	p, err := x.parts.Peers.SendHeartbeat(ctx, a.To, a.Heartbeat)
	if err != nil {
		x.logFailedCall("pulse", a.To.Name, err)
		return state.HeartbeatFailed{
			Name: a.To.Name,
		}
	}
	p.Sent = sent
	return p
}

func (x *executor) fetchSite(ctx context.Context, a state.FetchSite) state.Event {
	begun := x.parts.Now()
	s, err := x.parts.Peers.Site(ctx, a.From)
	x.parts.Log.Info().Str("event", "fetch").Str("name", "site").Str("source", a.From.Name).Int64("version", s.Version()).
		Stringer("took", x.parts.Now().Sub(begun).Round(time.Millisecond)).Err(err).Send()
	if err != nil {
		return nil
	}
	return state.SiteFound{
		Site:   s,
		Source: a.From.Name,
	}
}

func (x *executor) fetchRegistry(ctx context.Context, a state.FetchRegistry) state.Event {
	r, err := x.parts.Peers.RegistrySnapshot(ctx, a.From)
	if err != nil {
		x.logFailedCall("roster", a.From.Name, err)
		return nil
	}
	// Snapshots of peers are rare: they are read while the store is lost.
	for i, p := range r.Invalid {
		x.parts.Meter.Unreadable("registry")
		if i >= maxProblemLines {
			continue
		}
		x.parts.Log.Warn().Str("event", "unread").Str("table", "registry").Str("source", r.Source).Str("key", p.Key).Str("error", reasonOf(p)).Send()
	}
	return r
}

func (x *executor) runLeaseOp(ctx context.Context, a state.RunLeaseOp) state.Event {
	e := state.Leased{
		Op: a.Op,
	}
	if a.Op.Put {
		e.Version, e.Err = x.parts.Store.Put(ctx, a.Op.Row)
	} else {
		e.Row, e.Err = x.parts.Store.Get(ctx, a.Op.Row.Key)
	}
	if e.Err != nil {
		x.logFailedCall("lease", a.Op.Row.Key, e.Err)
	}
	e.Clock = x.parts.Store.Clock()
	return e
}

// syncSoftware reads or writes the row of the versions of the engines' software.
func (x *executor) syncSoftware(ctx context.Context, a state.SyncSoftware) state.Event {
	e := state.SoftwareSynced{
		Put: a.Put,
		Row: a.Row,
	}
	if a.Put {
		e.Row.Version, e.Err = x.parts.Store.Put(ctx, a.Row)
	} else {
		e.Row, e.Err = x.parts.Store.Get(ctx, state.SoftwareRow)
	}
	if errors.Is(e.Err, store.ErrMissing) {
		e.Row, e.Err = store.Row{}, nil
	}
	if e.Err != nil {
		x.logFailedCall("software", state.SoftwareRow, e.Err)
	}
	return e
}

func (x *executor) pollLoad(ctx context.Context, a state.PollLoad) state.Event {
	report, work, err := x.parts.Endpoints.Load(ctx, a.Endpoint.Node)
	if err != nil {
		x.logFailedCall("report", a.Endpoint.Node.Name, err)
	}
	return state.Reported{
		Endpoint: a.Endpoint.Node.Name,
		Report:   report,
		Work:     work,
		Failed:   err != nil,
	}
}

func (x *executor) pollCacheEvents(ctx context.Context, a state.PollCacheEvents) state.Event {
	e, err := x.parts.Endpoints.Events(ctx, a.Endpoint.Node, a.After)
	if err != nil {
		x.logFailedCall("cache", a.Endpoint.Node.Name, err)
		return state.CacheEvents{
			Endpoint: a.Endpoint.Node.Name,
			Failed:   true,
		}
	}
	return e
}

// sendOrder first reads how many orders the engine has taken and sends this
// number along, so that the engine rejects an order that arrives late, after
// another one.
func (x *executor) sendOrder(ctx context.Context, a state.SendOrder) state.Event {
	ctx, cancel := context.WithTimeout(ctx, ctrl.OrderTimeout)
	defer cancel()
	e := state.Ordered{
		Order:   a.Order,
		Outcome: state.Unsent,
	}
	if x.quiet(a.Endpoint.Node) {
		e.Detail = "the engine wants no calls"
		return e
	}
	report, _, err := x.parts.Endpoints.Load(ctx, a.Endpoint.Node)
	if err != nil {
		e.Detail = err.Error()
		return e
	}
	if report.Busy {
		e.Outcome = state.Refused
		e.Detail = "the engine carries out another order"
		return e
	}
	e.Outcome, err = x.parts.Endpoints.Order(ctx, a.Endpoint.Node, a.Order, a.FencingToken, report.Orders, func() bool {
		now := x.parts.Now()
		l := x.loop.View().Lease
		return !x.quiet(a.Endpoint.Node) && l.FencingToken() == a.FencingToken && l.MayOrder(now, now.Add(ctrl.OrderTimeout/2))
	})
	if err != nil {
		e.Detail = err.Error()
	}
	return e
}

// logFailedCall logs a failed call. The controllers continue without its
// result.
func (x *executor) logFailedCall(what, name string, err error) {
	x.parts.Log.Debug().Str("event", "unanswered").Str("reason", what).Str("name", name).Err(err).Send()
}
