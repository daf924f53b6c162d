package state

import (
	"github.com/baobabtally/baobabtally/pkg/alarm"
	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/poison"
	"github.com/baobabtally/baobabtally/pkg/store"
	"github.com/baobabtally/baobabtally/pkg/weight"
)

// Action is an operation with side effects that the control thread requests from its
// executor.
type Action interface {
	// Key identifies the action. While an action is in flight, no other action with
	// the same key is started. An empty key never excludes another action.
	Key() string
}

// ListNodes reads the platform's list of nodes. It results in a [NodesListed] event.
type ListNodes struct{}

// PollLoad polls the load of an endpoint. It results in a [Reported] event.
type PollLoad struct {
	// Endpoint is the endpoint to poll.
	Endpoint member.Endpoint
}

// PollCacheEvents polls the cache events of an endpoint. It results in a [CacheEvents] event.
type PollCacheEvents struct {
	// Endpoint is the endpoint to poll.
	Endpoint member.Endpoint
	// After is the sequence number of the last known event.
	After int64
}

// Collect creates the summary of the last interval. It results in a [Collected] event.
type Collect struct{}

// SendHeartbeat sends a heartbeat to another instance. It results in a [Heartbeat]
// event that holds the answer.
type SendHeartbeat struct {
	// To is the receiving instance.
	To member.Node
	// Heartbeat is the heartbeat to send.
	Heartbeat Heartbeat
}

// ReadConfig reads the configuration from the table. It results in a [ConfigRead]
// event.
type ReadConfig struct {
	// KnownVersion is the version that this instance already has; it need not be
	// read again.
	KnownVersion int64
}

// ReadConfigBackup reads the latest configuration from the object store. It results in a
// [ConfigFound] event.
type ReadConfigBackup struct{}

// FetchConfig requests the configuration from another instance. It results in a
// [ConfigFound] event.
type FetchConfig struct {
	// From is the instance to ask.
	From member.Node
}

// RunLeaseOp executes a lease operation. It results in a [Leased] event.
type RunLeaseOp struct {
	// Op is the lease operation.
	Op lease.Op
}

// SyncSoftware reads or writes the row of the versions of the engines' software. It results
// in a [SoftwareSynced] event.
type SyncSoftware struct {
	// Put reports whether Row is written; else the row is read.
	Put bool
	// Row is the row to write, with the version that it must have in the store.
	Row store.Row
}

// CheckServed looks up which of the given parts this instance has seen served. It
// results in a [PartsServed] event.
type CheckServed struct {
	// Parts are the parts to look up.
	Parts []poison.Part
}

// CancelStream tells an engine to end a stream that is no longer read. It
// results in no event.
type CancelStream struct {
	// Endpoint is the engine that serves the stream.
	Endpoint member.Endpoint
	// Attempt is the id of the stream.
	Attempt string
}

// FetchSite requests the forwarding configuration from another instance. It results
// in a [SiteFound] event.
type FetchSite struct {
	// From is the instance to ask.
	From member.Node
}

// FetchRegistry requests a registry snapshot from another instance. It results in a
// [RegistrySnapshot] event.
type FetchRegistry struct {
	// From is the instance to ask.
	From member.Node
}

// RenewReads has the tables of the platform's store read at once. Reads that were sent
// before are abandoned, since their responses may be lost.
type RenewReads struct{}

// EndPauses has tables of the platform's store read at once that pause between two reads.
// Reads in flight go on.
type EndPauses struct {
	// Operators and Registry select the tables.
	Operators bool
	Registry  bool
}

// Rejoin has the instance look for its row in the table of instances soon. It results in a
// [PeersFound] event.
type Rejoin struct{}

// SendOrder orders an engine to load new weights. It results in an [Ordered] event.
type SendOrder struct {
	// Endpoint is the engine.
	Endpoint member.Endpoint
	// Order names the model and the version to load.
	Order weight.Order
	// FencingToken is the fencing token of the lease.
	FencingToken int64
}

// Announce notifies operators of an alarm that was raised or cleared. It results in
// no event.
type Announce struct {
	// Alarm is the alarm that changed.
	Alarm alarm.Alarm
}

// Note writes a log line. It results in no event.
type Note struct {
	// Event is the value of the line's event key.
	Event string
	// Pairs holds further keys and values, alternating.
	Pairs []string
}

// Key implements Action.
func (ListNodes) Key() string { return "list" }

// Key implements Action.
func (a PollLoad) Key() string { return "load/" + a.Endpoint.Node.Name }

// Key implements Action.
func (a PollCacheEvents) Key() string { return "cache/" + a.Endpoint.Node.Name }

// Key implements Action.
func (Collect) Key() string { return "collect" }

// Key implements Action.
func (a SendHeartbeat) Key() string { return "pulse/" + a.To.Name }

// Key implements Action.
func (ReadConfig) Key() string { return "config" }

// Key implements Action.
func (ReadConfigBackup) Key() string { return "object" }

// Key implements Action.
func (a FetchConfig) Key() string { return "fetch/" + a.From.Name }

// Key implements Action.
func (a FetchSite) Key() string { return "site/" + a.From.Name }

// Key implements Action.
func (a FetchRegistry) Key() string { return "roster/" + a.From.Name }

// Key implements Action.
func (RenewReads) Key() string { return "renew" }

// Key implements Action.
func (EndPauses) Key() string { return "pauses" }

// Key implements Action.
func (Rejoin) Key() string { return "rejoin" }

// Key implements Action.
func (a SendOrder) Key() string { return "order/" + a.Endpoint.Node.Name }

// Key implements Action.
func (a RunLeaseOp) Key() string { return "lease/" + a.Op.Row.Key }

// Key implements Action.
func (SyncSoftware) Key() string { return "software" }

// Key implements Action.
func (a Announce) Key() string { return "announce/" + a.Alarm.Objective }

// Key implements Action. It is empty, since each check has other parts.
func (CheckServed) Key() string { return "" }

// Key implements Action.
func (a CancelStream) Key() string { return "cancel/" + a.Attempt }

// Key implements Action. It is empty, so that any number of lines can be written at
// once.
func (Note) Key() string { return "" }
