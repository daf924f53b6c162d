package relay

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/internal/watch"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// countingStore is a store without changes that records when it is read.
type countingStore struct {
	mu    sync.Mutex
	reads []time.Time
}

func (s *countingStore) record() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads = append(s.reads, time.Now())
}

// Rows implements the source of a watch.Table.
func (s *countingStore) Rows(context.Context, string) (store.Batch, error) {
	s.record()
	return store.Batch{
		Version: 1,
	}, nil
}

// Changes implements the source of a watch.Table.
func (s *countingStore) Changes(ctx context.Context, _ string, after int64, wait time.Duration) (store.Batch, error) {
	s.record()
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return store.Batch{
		Version: after,
	}, ctx.Err()
}

// discard is a watch.Sink.
type discard struct{}

func (discard) HandleBatch(context.Context, store.Batch) {}

func (discard) HandleResult(context.Context, watch.Result) {}

// rankedName is the name of instance i of n. Its failure domain is the first part.
func rankedName(i, n int) string { return fmt.Sprintf("d%d-n%d", 3*i/n, i) }

// rankedState is the state of instance i of n in calm.
func rankedState(i, n int) *state.State {
	var peers []member.Node
	for k := range n {
		if k != i {
			peers = append(peers, member.Node{
				Name: rankedName(k, n),
			})
		}
	}
	s := state.State{}
	s.Routing.StoreReachable = true
	s.Routing.Peers = peers
	s.Routing.Ranks = s.Routing.Ranks.WithPeers(rankedName(i, n), peers, 1).WithEndpoint(state.RegistryTable)
	return &s
}

// readsOfFleet returns when the instances of a fleet that starts together read the registry
// within d. Those of lost are gone after a third of that time.
func readsOfFleet(t *testing.T, n int, d time.Duration, lost func(i int) bool) []time.Time {
	t.Helper()
	s := &countingStore{}
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		clock := func() store.Clock {
			return store.Clock{
				Reading: time.Hour,
				SentAt:  begun,
			}
		}
		var running sync.WaitGroup
		for i := range n {
			calm := rankedState(i, n)
			view := func() *state.State {
				next := *calm
				next.Routing.PeerHeardAt = time.Now()
				return &next
			}
			life := d
			if lost(i) {
				life = d / 3
			}
			ctx, cancel := context.WithTimeout(t.Context(), life)
			defer cancel()
			running.Go(func() {
				_ = watch.New(s, "servers", discard{}, registryReads(view, clock, time.Now)).Run(ctx)
			})
		}
		running.Wait()
	})
	slices.SortFunc(s.reads, time.Time.Compare)
	return s.reads
}

// widestGap returns the longest time between two reads of reads that begin later than skip
// after the first one.
func widestGap(reads []time.Time, skip time.Duration) time.Duration {
	widest := time.Duration(0)
	for i := 1; i < len(reads); i++ {
		if reads[i-1].Sub(reads[0]) >= skip {
			widest = max(widest, reads[i].Sub(reads[i-1]))
		}
	}
	return widest
}

// Guards against departures that nobody reads for seconds, because instances that started
// together read the registry together: at any time some instance must wait for changes.
func TestRegistryIsReadAtAllTimesByAFleetThatStartedTogether(t *testing.T) {
	for _, n := range []int{8, 23, 66, 92, 139, 340} {
		reads := readsOfFleet(t, n, 3*time.Minute, func(int) bool { return false })
		gap := widestGap(reads, maxRegistryInterval)
		t.Logf("%d instances: %d reads, at most %v apart", n, len(reads), gap)
		require.LessOrEqual(t, gap, registryLongPoll, "%d instances", n)
	}
}

// The reads of a failure domain that is lost must not leave a gap as long as the bound for
// departing endpoints.
func TestRegistryIsReadInTimeAfterTheLossOfADomain(t *testing.T) {
	const drain = 3 * time.Second
	for _, n := range []int{66, 92, 139, 340} {
		reads := readsOfFleet(t, n, 3*time.Minute, func(i int) bool { return 3*i/n == 1 })
		gap := widestGap(reads, maxRegistryInterval)
		t.Logf("%d instances: at most %v apart", n, gap)
		require.Less(t, gap, drain, "%d instances", n)
	}
}
