package relay

import (
	"context"
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/retry"
	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	// instances is the table in which instances find each other.
	instances = "instances"
	// joinPause is the time between two attempts to join, and joinLimit how long
	// one may take.
	joinPause = 700 * time.Millisecond
	joinLimit = 1500 * time.Millisecond
	// rejoin is how often instances are looked up again, so that two parts of a
	// fleet which started apart meet.
	rejoin = 10 * time.Second
)

// mate is an instance's row.
type mate struct {
	Addr   string `json:"Addr"`
	Domain string `json:"Domain"`
}

// join makes the instance known to the others and the others to it.
func (i *Relay) join(ctx context.Context) error {
	seeds := state.MatesFound{
		Mates: i.parts.Seeds,
	}
	if err := i.Loop.Tell(ctx, seeds); err != nil {
		return errors.Trace(err)
	}
	for ctx.Err() == nil {
		pause := rejoin
		if err := i.enter(ctx); err != nil {
			i.parts.Log.Debug().Str("event", "join").Err(err).Send()
			pause = joinPause
		}
		// The end of ctx ends the loop.
		_ = retry.Wait(ctx, pause)
	}
	return nil
}

// enter reads the rows of all instances and writes this one's where it differs.
func (i *Relay) enter(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinLimit)
	defer cancel()
	b, err := i.parts.Store.Rows(ctx, instances)
	if err != nil {
		return errors.Trace(err)
	}
	self := i.parts.Self
	own := store.Row{
		Key: instances + "/" + self.Name,
	}
	met := state.MatesFound{}
	for _, r := range b.Rows {
		if r.Key == self.Name {
			own.Version, own.Value = r.Version, r.Value
			continue
		}
		var m mate
		if err := json.Unmarshal(r.Value, &m); err != nil {
			i.parts.Log.Warn().Str("event", "unread").Str("table", instances).Str("name", r.Key).Err(err).Send()
			continue
		}
		met.Mates = append(met.Mates, member.Node{
			Name:   r.Key,
			Role:   member.Instance,
			Addr:   m.Addr,
			Domain: m.Domain,
		})
	}
	if err := i.Loop.Tell(ctx, met); err != nil {
		return errors.Trace(err)
	}
	value, err := json.Marshal(mate{
		Addr:   self.Addr,
		Domain: self.Domain,
	})
	if err != nil || string(value) == string(own.Value) {
		return errors.Trace(err)
	}
	own.Value = value
	_, err = i.parts.Store.Put(ctx, own)
	return errors.Trace(err)
}
