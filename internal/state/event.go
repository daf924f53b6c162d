package state

import (
	"context"
	"time"

	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/site"
	"github.com/baobabtally/baobabtally/pkg/store"
	"github.com/baobabtally/baobabtally/pkg/weight"
)

// Event is something that happened, as the control thread learns of it.
type Event interface {
	// Event returns the event's name in logs.
	Event() string
}

// Tick is the passing of an interval.
type Tick struct{}

// Listed is an answer of the platform's list.
type Listed struct {
	// Nodes is the list.
	Nodes []member.Node
}

// Reported is an endpoint's answer to a load poll, or its failure.
type Reported struct {
	// Endpoint is the endpoint's name.
	Endpoint string
	// Report is what it says of itself.
	Report member.Report
	// Work is its load.
	Work load.Work
	// Failed tells that there was no answer.
	Failed bool
}

// Called is the outcome of a call to an endpoint.
type Called struct {
	// Endpoint is the endpoint's name.
	Endpoint string
	// Failed tells that the endpoint was at fault.
	Failed bool
}

// Learned is what an answer told of an endpoint's cache.
type Learned struct {
	// Endpoint is the endpoint's name.
	Endpoint string
	// Epoch is the endpoint's epoch that gave the answer.
	Epoch string
	// Hashes are the block hashes of the prompt.
	Hashes []uint64
	// Expected is how many blocks were believed to be cached.
	Expected int
	// Actual is how many were.
	Actual int
}

// CacheEvent is one entry of an endpoint's event stream.
type CacheEvent struct {
	// Seq is its number.
	Seq int64
	// Removed tells that blocks were removed, not stored.
	Removed bool
	// Hashes are the blocks.
	Hashes []uint64
}

// Cached is a batch of an endpoint's cache events.
type Cached struct {
	// Endpoint is the endpoint's name.
	Endpoint string
	// Epoch is the endpoint's epoch.
	Epoch string
	// Events are in the order of their numbers.
	Events []CacheEvent
	// Next is where to go on, where the endpoint says so, and Lost tells that it
	// dropped events before.
	Next int64
	Lost bool
	// Failed tells that the endpoint did not answer.
	Failed bool
}

// Pulse is what another instance told.
type Pulse struct {
	// Name is the instance.
	Name string
	// Epoch is its incarnation.
	Epoch string
	// Version is the configuration that it holds.
	Version int64
	// Leaving tells that it is stopping.
	Leaving bool
	// Summary is what it did.
	Summary Summary
	// Drained are the endpoints that told it they are leaving.
	Drained []string
	// Sent is when the call was sent that this pulse answers; zero for a
	// pulse that came unasked.
	Sent time.Time
	// Relay is told by instances that forward by routes.
	Relay Relay
}

// Relay is what instances that forward by routes tell each other besides.
type Relay struct {
	// Addr and Domain are the sender's; Addr is empty where it does not forward.
	Addr   string
	Domain string
	// Site and Listing are the versions that the sender holds.
	Site    int64
	Listing int64
	// Follows tells that the sender hears the platform's store.
	Follows bool
	// Lease is the row of the lease for orders, and LeaseAge for how long the sender
	// knows it to be unchanged.
	Lease    store.Row
	LeaseAge time.Duration
	// Names is the last versions of weights that were named.
	Names []Named
	// Leavers is the registry's version that says of each drained endpoint that it
	// is leaving or gone.
	Leavers map[string]int64
	// Weights is told by the instance that gives orders.
	Weights []EngineWeights
	// Mates are the other instances that the sender knows.
	Mates []member.Node
}

// EngineWeights is what is known of one engine's weights.
type EngineWeights struct {
	// Engine and Model name the weights.
	Engine string
	Model  string
	// Version is the one that the engine holds.
	Version int64
	// Ordered is the one that it was ordered to take, or 0.
	Ordered int64
}

// SiteFound is a version of the forwarding configuration that was read.
type SiteFound struct {
	// Site is the configuration.
	Site site.Site
	// Source is the store or the peer that it came from.
	Source string
}

// Named is a version of a model's weights that operators want.
type Named struct {
	// Model is the model.
	Model string
	// Version is the version.
	Version int64
	// Age is for how long it has been named, where Dated tells that a peer knows.
	Age   time.Duration
	Dated bool
}

// Roster is what was read of the registry of endpoints.
type Roster struct {
	// Put are the entries that are new or changed.
	Put []member.Listing
	// Gone are the names whose entries are gone.
	Gone []string
	// Version grows with each change of the registry.
	Version int64
	// Whole tells that Put are all entries.
	Whole bool
	// Source is the store or the peer that it came from.
	Source string
}

// MatesFound is other instances that this one learned of.
type MatesFound struct {
	// Mates are the instances.
	Mates []member.Node
}

// StoreHeard is the outcome of a read of the platform's store.
type StoreHeard struct {
	// OK tells that the store answered.
	OK bool
	// Reason says why it did not.
	Reason string
}

// SiteHeard is an answer of the store to a read of what operators write. The
// changes in it came before.
type SiteHeard struct{}

// WeightsSeen is the version of a model that an engine was seen with.
type WeightsSeen struct {
	// Engine, Model and Version tell what was seen.
	Engine  string
	Model   string
	Version int64
}

// Outcome is what came of an order.
type Outcome uint8

const (
	// Unsure is an order that was not answered; it may be carried out later.
	Unsure Outcome = iota
	// Accepted is an order that is being carried out.
	Accepted
	// Holds is an order whose end was reached before.
	Holds
	// Refused is an order that is not carried out.
	Refused
	// Unsent is an order that did not leave.
	Unsent
)

// String returns the outcome as it stands in logs.
func (o Outcome) String() string {
	return [...]string{"unsure", "accepted", "holds", "refused", "unsent"}[o%5]
}

// Ordered is what came of an order.
type Ordered struct {
	// Order is the order.
	Order weight.Order
	// Outcome is what came of it.
	Outcome Outcome
	// Detail says why.
	Detail string
}

// Found is a configuration that was found.
type Found struct {
	// Document is the configuration.
	Document policy.Document
	// Done is closed once the state after the event is published; nil where
	// nobody waits.
	Done chan struct{}
}

// NewFound returns the event of doc for which the caller can wait.
func NewFound(doc policy.Document) Found {
	return Found{
		Document: doc,
		Done:     make(chan struct{}),
	}
}

// Published tells those who wait that the state after f is published.
func (f Found) Published() {
	if f.Done != nil {
		close(f.Done)
	}
}

// Wait returns when the state after f is published.
func (f Found) Wait(ctx context.Context) error {
	select {
	case <-f.Done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read is the table's answer to a read of the configuration's version.
type Read struct {
	// Sent is when the read was sent.
	Sent time.Time
	// Document is the newest configuration; version 0 where there is none.
	Document policy.Document
}

// Collected is this instance's own summary of the last interval.
type Collected struct {
	// Summary is the summary.
	Summary Summary
}

// Leased is the table's answer to a lease operation.
type Leased struct {
	// Op is the operation.
	Op lease.Op
	// Row is the row that was read.
	Row store.Row
	// Version is the version that was written.
	Version int64
	// Err is the failure, or nil.
	Err error
	// Clock is the last reading of the table's clock, where it tells one.
	Clock store.Clock
}

// Abandoned is a stream that goes on elsewhere and that nobody reads any more.
type Abandoned struct {
	// Endpoint is the engine's name.
	Endpoint string
	// Attempt is the id of the stream there.
	Attempt string
}

// Stopping is the begin of a planned stop.
type Stopping struct{}

// Event returns the event's name.
func (Tick) Event() string { return "tick" }

// Event returns the event's name.
func (Listed) Event() string { return "listed" }

// Event returns the event's name.
func (Reported) Event() string { return "reported" }

// Event returns the event's name.
func (Called) Event() string { return "called" }

// Event returns the event's name.
func (Learned) Event() string { return "learned" }

// Event returns the event's name.
func (Cached) Event() string { return "cached" }

// Event returns the event's name.
func (Pulse) Event() string { return "pulse" }

// Event returns the event's name.
func (Found) Event() string { return "found" }

// Event returns the event's name.
func (Read) Event() string { return "read" }

// Event returns the event's name.
func (Collected) Event() string { return "collected" }

// Event returns the event's name.
func (Leased) Event() string { return "leased" }

// Event returns the event's name.
func (Stopping) Event() string { return "stopping" }

// Event returns the event's name.
func (Abandoned) Event() string { return "abandoned" }

// Event returns the event's name.
func (SiteFound) Event() string { return "site" }

// Event returns the event's name.
func (Named) Event() string { return "named" }

// Event returns the event's name.
func (Roster) Event() string { return "roster" }

// Event returns the event's name.
func (MatesFound) Event() string { return "mates" }

// Event returns the event's name.
func (StoreHeard) Event() string { return "store" }

// Event returns the event's name.
func (SiteHeard) Event() string { return "heard" }

// Event returns the event's name.
func (WeightsSeen) Event() string { return "weights" }

// Event returns the event's name.
func (Ordered) Event() string { return "ordered" }
