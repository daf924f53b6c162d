package call

import (
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// Attempt is one try of a request at one endpoint.
type Attempt struct {
	// ID is unique to the attempt. The endpoint's answer must carry it.
	ID string
	// Endpoint is where the attempt goes.
	Endpoint member.Endpoint
	// Request is what is asked.
	Request chain.Request
	// Salt keeps the endpoint's cache entries of teams and versions apart.
	Salt string
	// Priority is the endpoint's priority; lower goes first.
	Priority int
	// Delivered is generated text that the caller has, to be continued.
	Delivered string
	// Chunks is how many chunks Delivered came in.
	Chunks int
	// Resume is where a stream that the endpoint knows goes on.
	Resume chain.Resume
	// After is the id of the last event after which a relayed stream goes on.
	After string
	// Weights is the version of weights that the endpoint must have; 0 for any.
	Weights int64
	// Source is the address from which the endpoint may copy cached parts of the
	// prompt, and Target the one to which it copies what it reads.
	Source string
	Target string
	// Limit is how many connections to the endpoint may be open; 0 for any.
	Limit int
}

// Usage is what an endpoint counted.
type Usage struct {
	// Known tells whether the endpoint sent its counts.
	Known bool
	// Prompt is the tokens of the prompt.
	Prompt int
	// Cached is how many of them were cached.
	Cached int
	// Output is the tokens that were generated.
	Output int
}

// Reply is an endpoint's answer under way. It is used by one goroutine.
type Reply interface {
	// Head returns the start of the answer.
	Head() chain.Head
	// Next returns the next chunk with its offset in this reply's stream.
	Next() (chain.Chunk, int, error)
	// Usage returns what the endpoint counted, as far as it is known.
	Usage() Usage
	// Close ends the reply. A reply that has not ended is cancelled.
	Close()
}

// Cause is why an attempt failed.
type Cause uint8

const (
	// Broken is a connection that failed or an answer that was cut.
	Broken Cause = iota
	// Silent is an answer that stopped without an end.
	Silent
	// Crossed is an answer that belongs to another attempt.
	Crossed
	// Refused is an endpoint that took no new work, such as one that leaves.
	Refused
	// Rejected is a call that the endpoint finds wrong; another would, too.
	Rejected
	// Gone is a stream that the endpoint does not know.
	Gone
	// Full is an endpoint that has no room for the call.
	Full
	// Moved is an address at which another endpoint, or one with other weights,
	// answers.
	Moved
	// Stale is an attempt that had not begun when its endpoint's weights became
	// too old to begin on.
	Stale
)

// String returns the cause as it stands in logs.
func (c Cause) String() string {
	return [...]string{"broken", "silent", "crossed", "refused", "rejected", "gone", "full", "moved", "stale"}[c%9]
}

// Failure is the error of an attempt.
type Failure struct {
	// Cause is why.
	Cause Cause
	// Sent tells whether any byte of the call may have left.
	Sent bool
	// Detail says what was found.
	Detail string
	// Weights is the version of weights that the endpoint told; 0 for none.
	Weights int64
}

// Error returns the cause and the detail.
func (f Failure) Error() string { return f.Cause.String() + ": " + f.Detail }
