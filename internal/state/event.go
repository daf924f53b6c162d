package state

import (
	"context"
	"time"

	"github.com/baobabtally/baobabtally/pkg/lease"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/store"
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
