package state

import (
	"context"
	"time"

	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/poison"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/site"
	"github.com/baobabtally/baobabtally/pkg/store"
	"github.com/baobabtally/baobabtally/pkg/weight"
)

// Event is an input of the control thread.
type Event interface {
	// Event returns the event's name in logs.
	Event() string
}

// Tick marks the end of a tick interval.
type Tick struct{}

// NodesListed is the platform's list of nodes.
type NodesListed struct {
	// Nodes holds all nodes on the list.
	Nodes []member.Node
}

// Reported is the result of polling an endpoint's load.
type Reported struct {
	// Endpoint is the name of the endpoint.
	Endpoint string
	// Report is the state that the endpoint reports about itself.
	Report member.Report
	// Work is the load that the endpoint reports.
	Work load.Work
	// Failed is set if the endpoint did not answer.
	Failed bool
}

// Called is the outcome of a call to an endpoint.
type Called struct {
	// Endpoint is the name of the endpoint.
	Endpoint string
	// Failed is set if the endpoint caused the call to fail.
	Failed bool
}

// Signaled is what an endpoint said in an answer about new work.
type Signaled struct {
	// Endpoint and Start identify the incarnation of the endpoint to which the call was
	// sent.
	Endpoint string
	Start    string
	// Departing is set if the endpoint announced its departure.
	Departing bool
	// QuietUntil is the time until which it wants no calls; zero if it did not say.
	QuietUntil time.Time
	// Answer describes the answer.
	Answer string
	// Done is closed once the state that results from the event is published; nil if
	// no goroutine waits for it.
	Done chan struct{}
}

// Published signals that the state that results from e is published.
func (e Signaled) Published() {
	if e.Done != nil {
		close(e.Done)
	}
}

// CacheObserved is what an answer revealed about an endpoint's prompt cache.
type CacheObserved struct {
	// Endpoint is the name of the endpoint.
	Endpoint string
	// Epoch identifies the incarnation of the endpoint that answered.
	Epoch string
	// Hashes holds the block hashes of the prompt.
	Hashes []uint64
	// Expected is the number of blocks that the prefix index predicted to be cached.
	Expected int
	// Actual is the number of blocks that were cached.
	Actual int
}

// CacheEvent is one entry of an endpoint's stream of cache events.
type CacheEvent struct {
	// Seq is the sequence number of the event.
	Seq int64
	// Removed is set if the blocks were removed from the cache, rather than stored.
	Removed bool
	// Hashes holds the hashes of the blocks.
	Hashes []uint64
}

// CacheEvents is a batch of an endpoint's cache events.
type CacheEvents struct {
	// Endpoint is the name of the endpoint.
	Endpoint string
	// Epoch identifies the incarnation of the endpoint.
	Epoch string
	// Events are ordered by sequence number.
	Events []CacheEvent
	// The sequence number to continue from, if the endpoint reports it, and whether
	// the endpoint dropped events before this batch.
	Next int64
	Lost bool
	// Failed is set if the endpoint did not answer.
	Failed bool
}

// Heartbeat is a heartbeat from another instance.
type Heartbeat struct {
	// Name is the name of the sender.
	Name string
	// Epoch identifies the sender's incarnation.
	Epoch string
	// Version is the version of the configuration that the sender has.
	Version int64
	// Stopping is set if the sender is stopping.
	Stopping bool
	// Summary is the sender's summary of its last interval.
	Summary Summary
	// Drained names the endpoints that the sender knows to be departing or departed.
	Drained []string
	// Sent is when the call was sent that this heartbeat answers; zero for a
	// heartbeat that the peer sent of its own accord.
	Sent time.Time
	// Relay is set by instances that forward by routes.
	Relay Relay
}

// Relay is the part of a heartbeat that only instances which forward by routes send.
type Relay struct {
	// The sender's address and failure domain. The address is empty if the sender
	// does not forward.
	Addr   string
	Domain string
	// The versions of the forwarding configuration and of the registry that the
	// sender has.
	Site            int64
	RegistryVersion int64
	// StoreReachable is set if the sender can reach the platform's store.
	StoreReachable bool
	// SiteConfirmed is when the store had no newer configuration than Site, and
	// RegistryConfirmed when the sender had all changes of the registry.
	SiteConfirmed     Confirmation
	RegistryConfirmed Confirmation
	// Era is the era of the store, in which the versions of its rows count; 0 if it has
	// none or the sender does not know it.
	Era int64
	// The row of the lease for orders, and for how long the sender has known it to
	// be unchanged.
	Lease    store.Row
	LeaseAge time.Duration
	// DesiredVersions holds the latest desired versions of weights.
	DesiredVersions []DesiredVersion
	// DepartureVersions maps each departing or departed endpoint to the registry
	// version that recorded its departure.
	DepartureVersions map[string]int64
	// Weights is set by the instance that sends orders.
	Weights []EngineWeights
	// Entries holds registry entries that the sender read a short while ago.
	Entries []RecentEntry
	// Announcements holds the departures that endpoints announced a short while ago.
	Announcements []Announcement
	// Peers holds the other instances that the sender knows.
	Peers []member.Node
	// Poison is the sender's evidence on parts of prompts that crash engines.
	Poison poison.Evidence
	// Software is the row of the versions of the engines' software; the zero value if the
	// sender has none.
	Software store.Row
}

// Confirmation tells when an instance last knew that it had the newest rows of a table. The
// zero value means that it never did or does not say.
type Confirmation struct {
	// Known is set if Age is valid.
	Known bool
	// Age is how long ago it was. Invariant: it counts from an answer of the store, or from
	// a read that the store held, whoever sent it.
	Age time.Duration
}

// ConfirmedAt returns the confirmation at now for the time at, which may be zero.
func ConfirmedAt(at, now time.Time) Confirmation {
	if at.IsZero() {
		return Confirmation{}
	}
	return Confirmation{
		Known: true,
		Age:   max(now.Sub(at), 0),
	}
}

// HeartbeatFailed reports that an instance did not answer a heartbeat.
type HeartbeatFailed struct {
	// Name is the name of the instance.
	Name string
}

// Announcement is the departure that an endpoint announced in an answer.
type Announcement struct {
	// Endpoint and Start identify the incarnation of the endpoint.
	Endpoint string
	Start    string
	// Age is how long ago the endpoint announced it.
	Age time.Duration
}

// EngineWeights is the state of one model's weights on one engine.
type EngineWeights struct {
	// Engine and Model identify the engine and the model.
	Engine string
	Model  string
	// Version is the loaded version.
	Version int64
	// Ordered is the version that the engine was ordered to load, or 0.
	Ordered int64
}

// SiteFound is a version of the forwarding configuration that was read.
type SiteFound struct {
	// Site is the configuration.
	Site site.Site
	// Source names the store or the peer that the configuration came from.
	Source string
}

// DesiredVersion is the desired version of a model's weights, as operators set it.
type DesiredVersion struct {
	// Model is the name of the model.
	Model string
	// Version is the desired version.
	Version int64
	// Age is for how long the version has been desired. It is only valid if Dated is
	// set, which means that a peer knows the age.
	Age   time.Duration
	Dated bool
	// Row is the version of the store's row that holds it, or 0 if a peer reported it. Era
	// is the store's era in which it was read.
	Row int64
	Era int64
}

// RegistrySnapshot is a read of the registry of endpoints: a complete snapshot or
// the changes since the last read.
type RegistrySnapshot struct {
	// Put holds the entries that are new or changed.
	Put []member.RegistryEntry
	// Removed names the entries that were removed.
	Removed []string
	// Unusable names the entries that changed and name no endpoint now. They may
	// never have named one.
	Unusable []string
	// Version is the registry version. It increases with each change of the
	// registry within an era of the store. Era is the era.
	Version int64
	Era     int64
	// Complete is set if Put holds all entries of the registry.
	Complete bool
	// Source names the store or the peer that the entries came from.
	Source string
	// Invalid holds a problem for each entry of a peer that names no endpoint. Put does
	// not hold it.
	Invalid []store.Problem
}

// PeersFound reports other instances that were discovered.
type PeersFound struct {
	// Peers holds the discovered instances.
	Peers []member.Node
	// Known is set if the peers know this instance: it has restarted, and its row in
	// the store is the same as before, or the peers that it did not know have started
	// after it wrote its row.
	Known bool
	// Joining is set at the start, before this instance has registered, and Settled once
	// its row was there, so that the peers include those that started together with it.
	Joining bool
	Settled bool
}

// StoreStatus is the outcome of a read of the platform's store.
type StoreStatus struct {
	// OK is set if the store answered.
	OK bool
	// Reason says why the store did not answer.
	Reason string
	// Unanswered is for how long the read waited if it ended without any response, and 0
	// for all others.
	Unanswered time.Duration
	// Overdue is set if the response to an earlier call of the read may be lost.
	Overdue bool
}

// EraFound reports the era of the platform's store.
type EraFound struct {
	// Era is the era.
	Era int64
}

// SiteConfirmed reports that the store answered a read of the operators' settings.
// Changes found by that read are delivered before it.
type SiteConfirmed struct{}

// WeightsSeen reports the version of a model's weights with which an engine was
// observed.
type WeightsSeen struct {
	// Engine, Model and Version say what was observed.
	Engine  string
	Model   string
	Version int64
}

// Outcome is the outcome of an order.
type Outcome uint8

const (
	// Unsure means that the order was not answered; the engine may still carry it
	// out later.
	Unsure Outcome = iota
	// Accepted means that the engine is carrying out the order.
	Accepted
	// AlreadyLoaded means that the engine already has the ordered version.
	AlreadyLoaded
	// Refused means that the engine rejected the order.
	Refused
	// Unsent means that the order was not sent.
	Unsent
)

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	return [...]string{"unsure", "accepted", "holds", "refused", "unsent"}[o%5]
}

// Ordered is the result of an order.
type Ordered struct {
	// Order is the order that was sent.
	Order weight.Order
	// Outcome is the outcome of the order.
	Outcome Outcome
	// Detail explains the outcome.
	Detail string
}

// ConfigFound is a configuration that was read from the object store, from a peer or
// from an operator.
type ConfigFound struct {
	// Document is the configuration.
	Document policy.Document
	// Done is closed once the state that results from the event is published; nil if
	// no goroutine waits for it.
	Done chan struct{}
}

// NewConfigFound returns an event for doc on which the caller can wait.
func NewConfigFound(doc policy.Document) ConfigFound {
	return ConfigFound{
		Document: doc,
		Done:     make(chan struct{}),
	}
}

// Published signals that the state that results from f is published.
func (f ConfigFound) Published() {
	if f.Done != nil {
		close(f.Done)
	}
}

// Wait blocks until the state that results from f is published or ctx ends.
func (f ConfigFound) Wait(ctx context.Context) error {
	select {
	case <-f.Done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// ConfigRead is the table's answer to a read of the configuration.
type ConfigRead struct {
	// Sent is when the read was sent.
	Sent time.Time
	// Document is the newest configuration; its version is 0 if there is none.
	Document policy.Document
}

// Collected is this instance's own summary of the last interval.
type Collected struct {
	// Summary is the summary.
	Summary Summary
	// OperatorsHeld and RegistryHeld are set if the store holds a read of that table until
	// something changes.
	OperatorsHeld bool
	RegistryHeld  bool
}

// Leased is the table's answer to a lease operation.
type Leased struct {
	// Op is the operation that was executed.
	Op lease.Op
	// Row is the row that was read.
	Row store.Row
	// Version is the row version that was written.
	Version int64
	// Err is the error of the operation, or nil.
	Err error
	// Clock is the last reading of the table's clock, if the table reports one.
	Clock store.Clock
}

// SoftwareSynced is the result of a [SyncSoftware] action.
type SoftwareSynced struct {
	// Put reports whether the row was written; else it was read.
	Put bool
	// Row is the row as it is now, if Err is nil. Its version is 0 if there is none.
	Row store.Row
	// Err is the error of the operation, or nil.
	Err error
}

// Abandoned reports a stream that continues on another endpoint, so that this
// one is no longer read.
type Abandoned struct {
	// Endpoint is the name of the engine that serves the abandoned stream.
	Endpoint string
	// Attempt is the id of the stream on that engine.
	Attempt string
}

// EngineCrashed reports that an engine ended while a prompt waited for its first
// token there.
type EngineCrashed struct {
	// Node is the engine as it was when the prompt was sent.
	Node member.Node
	// Parts are the prompt's parts that this instance has not seen served.
	Parts []poison.Part
}

// EngineSilent reports that an engine answers nothing while a prompt waits for its first
// token there.
type EngineSilent struct {
	// Node is the engine as it was when the prompt was sent.
	Node member.Node
	// Since is when the engine was last known to answer the prompt's request, or when that
	// was sent.
	Since time.Time
	// Parts are the prompt's parts that this instance has not seen served.
	Parts []poison.Part
}

// PartsServed reports parts of prompts that engines have served.
type PartsServed struct {
	// Parts are the parts.
	Parts []poison.Part
	// LookedUp is set if the parts were served earlier and looked up, rather than
	// served just now.
	LookedUp bool
}

// Stopping marks the beginning of a planned stop.
type Stopping struct{}

// Event implements Event.
func (Tick) Event() string { return "tick" }

// Event implements Event.
func (NodesListed) Event() string { return "listed" }

// Event implements Event.
func (Reported) Event() string { return "reported" }

// Event implements Event.
func (Called) Event() string { return "called" }

// Event implements Event.
func (Signaled) Event() string { return "signaled" }

// Event implements Event.
func (CacheObserved) Event() string { return "learned" }

// Event implements Event.
func (CacheEvents) Event() string { return "cached" }

// Event implements Event.
func (Heartbeat) Event() string { return "pulse" }

// Event implements Event.
func (ConfigFound) Event() string { return "found" }

// Event implements Event.
func (ConfigRead) Event() string { return "read" }

// Event implements Event.
func (Collected) Event() string { return "collected" }

// Event implements Event.
func (Leased) Event() string { return "leased" }

// Event implements Event.
func (SoftwareSynced) Event() string { return "software" }

// Event implements Event.
func (Stopping) Event() string { return "stopping" }

// Event implements Event.
func (EngineCrashed) Event() string { return "crash" }

// Event implements Event.
func (EngineSilent) Event() string { return "silent" }

// Event implements Event.
func (PartsServed) Event() string { return "served" }

// Event implements Event.
func (Abandoned) Event() string { return "abandoned" }

// Event implements Event.
func (SiteFound) Event() string { return "site" }

// Event implements Event.
func (DesiredVersion) Event() string { return "named" }

// Event implements Event.
func (RegistrySnapshot) Event() string { return "roster" }

// Event implements Event.
func (PeersFound) Event() string { return "mates" }

// Event implements Event.
func (StoreStatus) Event() string { return "store" }

// Event implements Event.
func (HeartbeatFailed) Event() string { return "unanswered" }

// Event implements Event.
func (EraFound) Event() string { return "era" }

// Event implements Event.
func (SiteConfirmed) Event() string { return "heard" }

// Event implements Event.
func (WeightsSeen) Event() string { return "weights" }

// Event implements Event.
func (Ordered) Event() string { return "ordered" }
