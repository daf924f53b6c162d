package relay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/retry"
	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	// instancesTable is the table with which instances discover each other.
	instancesTable = "instances"
	// joinRetryDelay is the time before a failed registration is tried again,
	// and joinTimeout limits one registration.
	joinRetryDelay = 700 * time.Millisecond
	joinTimeout    = 1500 * time.Millisecond
	// rejoinInterval is how often the instances of a small fleet read the table
	// again, so that two parts of a fleet that started separately find each other.
	// Larger fleets divide the reads, up to maxRejoinInterval: it is enough that one
	// instance of one part finds the other part, since it sends heartbeats to all that
	// it finds.
	rejoinInterval    = 10 * time.Second
	maxRejoinInterval = 2 * time.Minute
)

// peerRow is an instance's row in the table.
type peerRow struct {
	Addr   string `json:"Addr"`
	Domain string `json:"Domain"`
}

// join registers the instance and discovers its peers until ctx ends.
func (i *Relay) join(ctx context.Context) error {
	seeds := state.PeersFound{
		Peers: i.parts.Seeds,
	}
	if err := i.Loop.Tell(ctx, seeds); err != nil {
		return errors.Trace(err)
	}
	for first := true; ctx.Err() == nil; first = false {
		peers := len(i.Loop.View().Routing.Peers)
		interval := rejoinIntervalOf(peers)
		if err := i.register(ctx, first); err != nil {
			i.parts.Log.Debug().Str("event", "join").Err(err).Send()
			interval = joinRetryDelay
		}
		i.waitToJoin(ctx, interval, eraSpreadOf(peers))
	}
	return nil
}

// waitToJoin waits for interval, or for a random time within spread once the store may have
// lost the row of the instance.
func (i *Relay) waitToJoin(ctx context.Context, interval, spread time.Duration) {
	limited, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	select {
	case <-i.rejoin:
		// Wait fails only when ctx ends, which the caller checks.
		_ = retry.Wait(ctx, rand.N(spread+1))
	case <-limited.Done():
	}
}

// rejoinIntervalOf returns the time between two discoveries of an instance with the
// given number of peers.
func rejoinIntervalOf(peers int) time.Duration {
	return min(rejoinInterval*time.Duration((peers+registryReaders)/registryReaders), maxRejoinInterval)
}

// register reads the rows of all instances and writes the instance's own row if
// it differs. First is whether this instance has not registered since its start.
func (i *Relay) register(ctx context.Context, first bool) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	b, err := i.parts.Store.Rows(ctx, instancesTable)
	if err != nil {
		return errors.Trace(err)
	}
	self := i.parts.Self
	own := store.Row{
		Key: instancesTable + "/" + self.Name,
		Era: b.Era,
	}
	found := state.PeersFound{}
	for _, r := range b.Rows {
		if r.Key == self.Name {
			own.Version, own.Value = r.Version, r.Value
			continue
		}
		var m peerRow
		if err := json.Unmarshal(r.Value, &m); err != nil {
			i.parts.Log.Warn().Str("event", "unread").Str("table", instancesTable).Str("name", r.Key).Err(err).Send()
			continue
		}
		found.Peers = append(found.Peers, member.Node{
			Name:   r.Key,
			Role:   member.Instance,
			Addr:   m.Addr,
			Domain: m.Domain,
		})
	}
	value, err := json.Marshal(peerRow{
		Addr:   self.Addr,
		Domain: self.Domain,
	})
	if err != nil {
		return errors.Trace(err)
	}
	registered := string(value) == string(own.Value)
	found.Known = first && registered
	if err := i.Loop.Tell(ctx, found); err != nil || registered {
		return errors.Trace(err)
	}
	own.Value = value
	_, err = i.parts.Store.Put(ctx, own)
	return errors.Trace(err)
}
