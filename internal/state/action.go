package state

import (
	"github.com/baobabtally/baobabtally/pkg/alarm"
	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/weight"
)

// Action is something that the control thread wants done elsewhere.
type Action interface {
	// Key names the action. While one of a key is under way, no other starts.
	Key() string
}

// AskList reads the platform's list. Its event is Listed.
type AskList struct{}

// AskLoad reads an endpoint's load. Its event is Reported.
type AskLoad struct {
	// Endpoint is the endpoint.
	Endpoint member.Endpoint
}

// AskCache reads an endpoint's cache events. Its event is Cached.
type AskCache struct {
	// Endpoint is the endpoint.
	Endpoint member.Endpoint
	// After is the number of the last event that is known.
	After int64
}

// Collect makes the summary of the last interval. Its event is Collected.
type Collect struct{}

// SendPulse sends a pulse to another instance. Its event is Pulse.
type SendPulse struct {
	// To is the instance.
	To member.Node
	// Pulse is what is sent.
	Pulse Pulse
}

// ReadConfig reads the configuration from the table. Its event is Read.
type ReadConfig struct {
	// Held is the version that is held, which need not be read again.
	Held int64
}

// ReadObject reads the last configuration from the object store. Its event is Found.
type ReadObject struct{}

// Fetch asks another instance for its configuration. Its event is Found.
type Fetch struct {
	// From is the instance.
	From member.Node
}

// AskLease does a lease operation. Its event is Leased.
type AskLease struct {
	// Op is the operation.
	Op lease.Op
}

// Cancel has an engine end a stream that nobody reads. It has no event.
type Cancel struct {
	// Endpoint is the engine.
	Endpoint member.Endpoint
	// Attempt is the id of the stream.
	Attempt string
}

// FetchSite asks another instance for its forwarding configuration. Its event
// is SiteFound.
type FetchSite struct {
	// From is the instance.
	From member.Node
}

// FetchRoster asks another instance for the endpoints that it knows. Its event
// is Roster.
type FetchRoster struct {
	// From is the instance.
	From member.Node
}

// SendOrder has an engine take new weights. Its event is Ordered.
type SendOrder struct {
	// Endpoint is the engine.
	Endpoint member.Endpoint
	// Order is the order.
	Order weight.Order
	// Fence is the fencing number of the lease.
	Fence int64
}

// Announce tells operators of an alarm that was raised or cleared. It has no event.
type Announce struct {
	// Alarm is the alarm.
	Alarm alarm.Alarm
}

// Note writes a log line. It has no event.
type Note struct {
	// Event is the line's event.
	Event string
	// Pairs are further keys and values in turn.
	Pairs []string
}

// Key names the action.
func (AskList) Key() string { return "list" }

// Key names the action.
func (a AskLoad) Key() string { return "load/" + a.Endpoint.Node.Name }

// Key names the action.
func (a AskCache) Key() string { return "cache/" + a.Endpoint.Node.Name }

// Key names the action.
func (Collect) Key() string { return "collect" }

// Key names the action.
func (a SendPulse) Key() string { return "pulse/" + a.To.Name }

// Key names the action.
func (ReadConfig) Key() string { return "config" }

// Key names the action.
func (ReadObject) Key() string { return "object" }

// Key names the action.
func (a Fetch) Key() string { return "fetch/" + a.From.Name }

// Key names the action.
func (a FetchSite) Key() string { return "site/" + a.From.Name }

// Key names the action.
func (a FetchRoster) Key() string { return "roster/" + a.From.Name }

// Key names the action.
func (a SendOrder) Key() string { return "order/" + a.Endpoint.Node.Name }

// Key names the action.
func (a AskLease) Key() string { return "lease/" + a.Op.Row.Key }

// Key names the action.
func (a Announce) Key() string { return "announce/" + a.Alarm.Promise }

// Key names the action.
func (a Cancel) Key() string { return "cancel/" + a.Attempt }

// Key names the action.
func (Note) Key() string { return "" }
