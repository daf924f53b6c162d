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
	// settleDelay is the time after an instance has written its row until it reads the
	// table again. Instances that start together do not find each other's rows at first,
	// and until they know each other, each follows the store as if the fleet were small.
	settleDelay = time.Second
)

// peerRow is an instance's row in the table.
type peerRow struct {
	Addr   string `json:"Addr"`
	Domain string `json:"Domain"`
}

// join registers the instance and discovers its peers until ctx ends.
func (i *Relay) join(ctx context.Context) error {
	seeds := state.PeersFound{
		Peers:   i.parts.Seeds,
		Joining: true,
	}
	if err := i.Loop.Tell(ctx, seeds); err != nil {
		return errors.Trace(err)
	}
	step := firstRead
	for ctx.Err() == nil {
		written, err := i.register(ctx, step)
		peers := len(i.Loop.View().Routing.Peers)
		interval := rejoinIntervalOf(peers)
		switch {
		case err != nil:
			i.parts.Log.Debug().Str("event", "join").Err(err).Send()
			step, interval = laterRead, joinRetryDelay
		case written:
			step, interval = settlingRead, settleDelay
		default:
			step = laterRead
		}
		i.waitToJoin(ctx, interval, eraSpreadOf(peers))
	}
	return nil
}

// readStep is which read of the table of instances this is.
type readStep uint8

const (
	// firstRead is the first read since the start.
	firstRead readStep = iota
	// settlingRead follows a write of the own row. Peers that it shows for the first time
	// have started since and find this instance in the table.
	settlingRead
	// laterRead is any other read.
	laterRead
)

// waitToJoin waits for interval, or for a random time within spread once the store may have
// lost the row of the instance.
func (i *Relay) waitToJoin(ctx context.Context, interval, spread time.Duration) {
	limited, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	select {
	case <-i.rejoin:
		// Wait fails only when ctx ends, which the caller checks.
		_ = retry.Wait(ctx, rand.N(max(spread, 0)+1))
	case <-limited.Done():
	}
}

// rejoinIntervalOf returns the time between two discoveries of an instance with the
// given number of peers.
func rejoinIntervalOf(peers int) time.Duration {
	return min(rejoinInterval*time.Duration((peers+registryReaders)/registryReaders), maxRejoinInterval)
}

// register reads the rows of all instances and writes the instance's own row if
// it differs, which it reports.
func (i *Relay) register(ctx context.Context, step readStep) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	b, err := i.parts.Store.Rows(ctx, instancesTable)
	if err != nil {
		return false, errors.Trace(err)
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
		return false, errors.Trace(err)
	}
	registered := string(value) == string(own.Value)
	found.Known = registered && step != laterRead
	found.Settled = registered
	if err := i.Loop.Tell(ctx, found); err != nil || registered {
		return false, errors.Trace(err)
	}
	own.Value = value
	_, err = i.parts.Store.Put(ctx, own)
	return err == nil, errors.Trace(err)
}
