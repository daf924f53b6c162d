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

// doer does the actions of the control thread.
type doer struct {
	parts Parts
	gauge *load.Gauge
	tally *filter.Tally
	log   zerolog.Logger
}

// Do does a and returns its event.
func (d doer) Do(ctx context.Context, a state.Action) state.Event {
	switch a := a.(type) {
	case state.AskList:
		return d.askList(ctx)
	case state.AskLoad:
		return d.askLoad(ctx, a)
	case state.AskCache:
		return d.askCache(ctx, a)
	case state.Collect:
		return d.collect()
	case state.SendPulse:
		return d.sendPulse(ctx, a)
	case state.ReadConfig:
		return d.readConfig(ctx)
	case state.ReadObject:
		return d.readObject(ctx)
	case state.Fetch:
		return d.fetch(ctx, a)
	case state.AskLease:
		return d.askLease(ctx, a)
	case state.Cancel:
		// A stream that is not cancelled ends by itself some time later.
		_ = d.parts.Ends.Cancel(ctx, a.Endpoint.Node, a.Attempt)
	case state.Announce:
		logs.Alarm(d.log, a.Alarm)
	case state.Note:
		logs.Note(d.log, a.Event, a.Pairs)
	}
	return nil
}

func (d doer) askList(ctx context.Context) state.Event {
	nodes, err := d.parts.List.Nodes(ctx)
	if err != nil {
		d.failed("list", err)
		return nil
	}
	return state.Listed{
		Nodes: nodes,
	}
}

func (d doer) askLoad(ctx context.Context, a state.AskLoad) state.Event {
	report, work, err := d.parts.Ends.Load(ctx, a.Endpoint.Node)
	return state.Reported{
		Endpoint: a.Endpoint.Node.Name,
		Report:   report,
		Work:     work,
		Failed:   err != nil,
	}
}

func (d doer) askCache(ctx context.Context, a state.AskCache) state.Event {
	e, err := d.parts.Ends.Events(ctx, a.Endpoint.Node, a.After)
	if err != nil || len(e.Events) == 0 {
		return nil
	}
	return e
}

func (d doer) collect() state.Event {
	tally, usage := d.tally.Take(d.parts.Now())
	return state.Collected{
		Summary: state.Summary{
			Work:  d.gauge.All(),
			Usage: usage,
			Tally: tally,
		},
	}
}

func (d doer) sendPulse(ctx context.Context, a state.SendPulse) state.Event {
	sent := d.parts.Now()
	p, err := d.parts.Peers.Beat(ctx, a.To, a.Pulse)
	if err != nil {
		return nil
	}
	p.Sent = sent
	return p
}

func (d doer) readConfig(ctx context.Context) state.Event {
	sent := d.parts.Now()
	row, err := d.parts.Table.Get(ctx, admin.Key)
	if errors.Is(err, store.ErrMissing) {
		return state.Read{
			Sent: sent,
		}
	}
	if err != nil {
		d.failed("config", err)
		return nil
	}
	m, err := peer.UnmarshalDocument(row.Value)
	if err != nil {
		d.failed("config", err)
		return nil
	}
	return state.Read{
		Sent:     sent,
		Document: peer.DecodeDocument(m),
	}
}

func (d doer) readObject(ctx context.Context) state.Event {
	keys, err := d.parts.Object.Last(ctx, admin.Prefix, "1")
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
	return state.Found{
		Document: peer.DecodeDocument(m),
	}
}

func (d doer) fetch(ctx context.Context, a state.Fetch) state.Event {
	doc, err := d.parts.Peers.Fetch(ctx, a.From)
	if err != nil {
		return nil
	}
	return state.Found{
		Document: doc,
	}
}

func (d doer) askLease(ctx context.Context, a state.AskLease) state.Event {
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

// failed logs a platform call that failed. The controllers go on without it.
func (d doer) failed(what string, err error) {
	d.log.Debug().Str("event", "platform").Str("reason", what).Err(err).Send()
}
