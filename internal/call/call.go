package call

import (
	"time"

	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/member"
)

// Attempt is one attempt to serve a request at one endpoint.
type Attempt struct {
	// ID identifies the attempt. The endpoint's response must carry it.
	ID string
	// Endpoint is the endpoint that the attempt is sent to.
	Endpoint member.Endpoint
	// Request is the request to serve.
	Request chain.Request
	// CacheSalt is the cache salt, which separates the endpoint's cache entries by
	// team and version of weights.
	CacheSalt string
	// Priority is the scheduling priority at the endpoint; lower values are served
	// first.
	Priority int
	// Delivered is the generated text that the caller already received and that
	// the endpoint has to continue.
	Delivered string
	// DeliveredChunks is the number of chunks in which Delivered was received.
	DeliveredChunks int
	// Resume is the position from which to resume a stream that the endpoint
	// already has.
	Resume chain.Resume
	// LastEventID is the id of the last event received of a relayed stream; the stream
	// resumes after it.
	LastEventID string
	// Begun is whether the caller has received a part of a relayed stream, so that only
	// events can follow.
	Begun bool
	// ConsecutiveIDs is whether the ids of the events up to LastEventID are consecutive
	// numbers, so that the next one must be the number after it.
	ConsecutiveIDs bool
	// WeightsVersion is the version of weights that the endpoint must have loaded; 0 for
	// any.
	WeightsVersion int64
	// KVSource is the address from which the endpoint may copy cached parts of the
	// prompt.
	KVSource string
	// KVTarget is the address to which the endpoint copies the parts of the prompt
	// that it processes.
	KVTarget string
	// MaxConnections is the maximum number of open connections to the endpoint; 0 for
	// unlimited.
	MaxConnections int
	// Allowed is called right before the request is sent, which is not sent if it
	// returns false; nil allows it.
	Allowed func() bool
}

// Signal is what an endpoint says in an answer about new work.
type Signal struct {
	// Departing reports whether the endpoint announces its departure.
	Departing bool
	// Quiet is for how long the endpoint wants no calls of this instance; 0 if it asks
	// for no quiet.
	Quiet time.Duration
	// Answer describes the answer, for logs.
	Answer string
}

// Usage holds the token counts that an endpoint reports for an attempt.
type Usage struct {
	// Known reports whether the endpoint sent its counts.
	Known bool
	// Prompt is the number of prompt tokens.
	Prompt int
	// Cached is the number of prompt tokens served from the cache.
	Cached int
	// Output is the number of generated tokens.
	Output int
}

// Reply is an endpoint's response in flight. It is not safe for concurrent use.
type Reply interface {
	// Head returns the head of the response, which precedes its chunks.
	Head() chain.Head
	// Next returns the next chunk and its offset in the stream of this attempt.
	Next() (chain.Chunk, int, error)
	// Usage returns the token counts received so far.
	Usage() Usage
	// Close releases the reply. A reply that has not ended is cancelled.
	Close()
}

// Cause classifies why an attempt failed.
type Cause uint8

const (
	// Broken is a connection that failed or a response that was truncated.
	Broken Cause = iota
	// TimedOut is a response that timed out before its end.
	TimedOut
	// WrongAttempt is a response that belongs to another attempt.
	WrongAttempt
	// Refused is an endpoint that accepts no new work, for example because it is
	// departing.
	Refused
	// Rejected is a request that the endpoint finds invalid. Another endpoint
	// would reject it, too.
	Rejected
	// UnknownStream is a stream that is unknown to the endpoint.
	UnknownStream
	// NoCapacity is an endpoint without capacity for the request.
	NoCapacity
	// Misdirected is an address at which a different endpoint, or one with different
	// weights, responds.
	Misdirected
	// StaleWeights is an attempt that had not started when the weights of its endpoint
	// became too old to start on.
	StaleWeights
	// Withheld is an attempt that was not sent, since its endpoint wants no calls any
	// more.
	Withheld
)

// String returns the name of the cause that logs use.
func (c Cause) String() string {
	return [...]string{"broken", "silent", "crossed", "refused", "rejected", "gone", "full", "moved", "stale", "withheld"}[c%10]
}

// Failure is the error of an attempt.
type Failure struct {
	// Cause is the reason for the failure.
	Cause Cause
	// MaybeSent reports whether any byte of the request may have been sent.
	MaybeSent bool
	// Detail describes the failure.
	Detail string
	// WeightsVersion is the version of weights that the endpoint reported; 0 for none.
	WeightsVersion int64
}

// Error returns the cause and the detail.
func (f Failure) Error() string { return f.Cause.String() + ": " + f.Detail }
