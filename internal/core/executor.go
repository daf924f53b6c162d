package core

import (
	"context"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/admin"
	"github.com/baobabtally/baobabtally/internal/filter"
	"github.com/baobabtally/baobabtally/internal/logs"
	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// executor executes the actions of the controllers.
type executor struct {
	parts Parts
	gauge *load.Gauge
	tally *filter.Tally
	log   zerolog.Logger
}

// Execute executes a and returns the resulting event, or nil if there is none.
func (x executor) Execute(ctx context.Context, a state.Action) state.Event {
	switch a := a.(type) {
	case state.ListNodes:
		return x.listNodes(ctx)
	case state.PollLoad:
		return x.pollLoad(ctx, a)
	case state.PollCacheEvents:
		return x.pollCacheEvents(ctx, a)
	case state.Collect:
		return x.collectSummary()
	case state.SendHeartbeat:
		return x.sendHeartbeat(ctx, a)
	case state.ReadConfig:
		return x.readConfig(ctx)
	case state.ReadConfigBackup:
		return x.readConfigBackup(ctx)
	case state.FetchConfig:
		return x.fetchConfig(ctx, a)
	case state.RunLeaseOp:
		return x.runLeaseOp(ctx, a)
	case state.CancelStream:
		// The error is ignored: a stream that is not cancelled ends by itself later.
		_ = x.parts.Endpoints.Cancel(ctx, a.Endpoint.Node, a.Attempt)
	case state.Announce:
		logs.Alarm(x.log, a.Alarm)
	case state.Note:
		logs.Note(x.log, a.Event, a.Pairs)
	}
	return nil
}

func (x executor) listNodes(ctx context.Context) state.Event {
	nodes, err := x.parts.List.Nodes(ctx)
	if err != nil {
		x.logFailedCall("list", err)
		return nil
	}
	return state.NodesListed{
		Nodes: nodes,
	}
}

func (x executor) pollLoad(ctx context.Context, a state.PollLoad) state.Event {
	report, work, err := x.parts.Endpoints.Load(ctx, a.Endpoint.Node)
	return state.Reported{
		Endpoint: a.Endpoint.Node.Name,
		Report:   report,
		Work:     work,
		Failed:   err != nil,
	}
}

func (x executor) pollCacheEvents(ctx context.Context, a state.PollCacheEvents) state.Event {
	e, err := x.parts.Endpoints.Events(ctx, a.Endpoint.Node, a.After)
	if err != nil || len(e.Events) == 0 {
		return nil
	}
	return e
}

func (x executor) collectSummary() state.Event {
	tally, usage := x.tally.Take(x.parts.Now())
	return state.Collected{
		Summary: state.Summary{
			Work:  x.gauge.All(),
			Usage: usage,
			Tally: tally,
		},
	}
}

func (x executor) sendHeartbeat(ctx context.Context, a state.SendHeartbeat) state.Event {
	sent := x.parts.Now()
	p, err := x.parts.Peers.SendHeartbeat(ctx, a.To, a.Heartbeat)
	if err != nil {
		return nil
	}
	p.Sent = sent
	return p
}

func (x executor) readConfig(ctx context.Context) state.Event {
	sent := x.parts.Now()
	row, err := x.parts.Table.Get(ctx, admin.ConfigKey)
	if errors.Is(err, store.ErrMissing) {
		return state.ConfigRead{
			Sent: sent,
		}
	}
	if err != nil {
		x.logFailedCall("config", err)
		return nil
	}
	m, err := peer.UnmarshalDocument(row.Value)
	if err != nil {
		x.logFailedCall("config", err)
		return nil
	}
	return state.ConfigRead{
		Sent:     sent,
		Document: peer.DecodeDocument(m),
	}
}

func (x executor) readConfigBackup(ctx context.Context) state.Event {
	keys, err := x.parts.Object.Last(ctx, admin.ConfigPrefix, "1")
	if err != nil || len(keys) == 0 {
		return nil
	}
	data, err := x.parts.Object.Get(ctx, keys[0])
	if err != nil {
		return nil
	}
	m, err := peer.UnmarshalDocument(data)
	if err != nil {
		return nil
	}
	return state.ConfigFound{
		Document: peer.DecodeDocument(m),
	}
}

func (x executor) fetchConfig(ctx context.Context, a state.FetchConfig) state.Event {
	doc, err := x.parts.Peers.Fetch(ctx, a.From)
	if err != nil {
		return nil
	}
	return state.ConfigFound{
		Document: doc,
	}
}

func (x executor) runLeaseOp(ctx context.Context, a state.RunLeaseOp) state.Event {
	e := state.Leased{
		Op: a.Op,
	}
	if a.Op.Put {
		e.Version, e.Err = x.parts.Table.Put(ctx, a.Op.Row)
	} else {
		e.Row, e.Err = x.parts.Table.Get(ctx, a.Op.Row.Key)
	}
	return e
}

// logFailedCall logs a failed call to the platform. The controllers continue without
// its result.
func (x executor) logFailedCall(what string, err error) {
	x.log.Debug().Str("event", "platform").Str("reason", what).Err(err).Send()
}
