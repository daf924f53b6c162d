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

// executor executes the actions of the control thread.
type executor struct {
	parts Parts
	gauge *load.Gauge
	tally *filter.Tally
	log   zerolog.Logger
}

// Execute executes a and returns the resulting event, or nil if there is none.
func (d executor) Execute(ctx context.Context, a state.Action) state.Event {
	switch a := a.(type) {
	case state.ListNodes:
		return d.listNodes(ctx)
	case state.AskLoad:
		return d.pollLoad(ctx, a)
	case state.AskCache:
		return d.pollCacheEvents(ctx, a)
	case state.Collect:
		return d.collectSummary()
	case state.SendHeartbeat:
		return d.sendHeartbeat(ctx, a)
	case state.ReadConfig:
		return d.readConfig(ctx)
	case state.ReadObject:
		return d.readConfigBackup(ctx)
	case state.FetchConfig:
		return d.fetchConfig(ctx, a)
	case state.AskLease:
		return d.runLeaseOp(ctx, a)
	case state.CancelStream:
		// The error is ignored: a stream that is not cancelled ends by itself later.
		_ = d.parts.Endpoints.Cancel(ctx, a.Endpoint.Node, a.Attempt)
	case state.Announce:
		logs.Alarm(d.log, a.Alarm)
	case state.Note:
		logs.Note(d.log, a.Event, a.Pairs)
	}
	return nil
}

func (d executor) listNodes(ctx context.Context) state.Event {
	nodes, err := d.parts.List.Nodes(ctx)
	if err != nil {
		d.logFailure("list", err)
		return nil
	}
	return state.NodesListed{
		Nodes: nodes,
	}
}

func (d executor) pollLoad(ctx context.Context, a state.AskLoad) state.Event {
	report, work, err := d.parts.Endpoints.Load(ctx, a.Endpoint.Node)
	return state.Reported{
		Endpoint: a.Endpoint.Node.Name,
		Report:   report,
		Work:     work,
		Failed:   err != nil,
	}
}

func (d executor) pollCacheEvents(ctx context.Context, a state.AskCache) state.Event {
	e, err := d.parts.Endpoints.Events(ctx, a.Endpoint.Node, a.After)
	if err != nil || len(e.Events) == 0 {
		return nil
	}
	return e
}

func (d executor) collectSummary() state.Event {
	tally, usage := d.tally.Take(d.parts.Now())
	return state.Collected{
		Summary: state.Summary{
			Work:  d.gauge.All(),
			Usage: usage,
			Tally: tally,
		},
	}
}

func (d executor) sendHeartbeat(ctx context.Context, a state.SendHeartbeat) state.Event {
	sent := d.parts.Now()
	p, err := d.parts.Peers.SendHeartbeat(ctx, a.To, a.Heartbeat)
	if err != nil {
		return nil
	}
	p.Sent = sent
	return p
}

func (d executor) readConfig(ctx context.Context) state.Event {
	sent := d.parts.Now()
	row, err := d.parts.Table.Get(ctx, admin.ConfigKey)
	if errors.Is(err, store.ErrMissing) {
		return state.ConfigRead{
			Sent: sent,
		}
	}
	if err != nil {
		d.logFailure("config", err)
		return nil
	}
	m, err := peer.UnmarshalDocument(row.Value)
	if err != nil {
		d.logFailure("config", err)
		return nil
	}
	return state.ConfigRead{
		Sent:     sent,
		Document: peer.DecodeDocument(m),
	}
}

func (d executor) readConfigBackup(ctx context.Context) state.Event {
	keys, err := d.parts.Object.Last(ctx, admin.ConfigPrefix, "1")
	if err != nil || len(keys) == 0 {
		return nil
	}
	data, err := d.parts.Object.Get(ctx, keys[0])
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

func (d executor) fetchConfig(ctx context.Context, a state.FetchConfig) state.Event {
	doc, err := d.parts.Peers.Fetch(ctx, a.From)
	if err != nil {
		return nil
	}
	return state.ConfigFound{
		Document: doc,
	}
}

func (d executor) runLeaseOp(ctx context.Context, a state.AskLease) state.Event {
	e := state.Leased{
		Op: a.Op,
	}
	if a.Op.Put {
		e.Version, e.Err = d.parts.Table.Put(ctx, a.Op.Row)
	} else {
		e.Row, e.Err = d.parts.Table.Get(ctx, a.Op.Row.Key)
	}
	return e
}

// logFailure logs a failed call to the platform. The controllers continue without
// its result.
func (d executor) logFailure(what string, err error) {
	d.log.Debug().Str("event", "platform").Str("reason", what).Err(err).Send()
}
