package fault

import (
	"errors"
	"fmt"
	"time"
)

// Kind is the class of a fault.
type Kind uint8

const (
	// Internal means that the router itself failed.
	Internal Kind = iota
	// Invalid means that the request is malformed.
	Invalid
	// Denied means that the request has no valid API key.
	Denied
	// Missing means that the requested model, service or stream does not exist.
	Missing
	// Large means that the request exceeds the size limit.
	Large
	// Uncovered means that no policy covers the request.
	Uncovered
	// Mismatch means that the idempotency key was used with a different request.
	Mismatch
	// Busy means that the first request with the idempotency key is still in flight.
	Busy
	// Limited means that the team exceeds its rate limit.
	Limited
	// Overload means that the request can no longer meet its latency target.
	Overload
	// Stale means that the instance can't be sure to have the current configuration.
	Stale
	// Unavailable means that no endpoint can serve the request.
	Unavailable
	// Lost means that the outcome of the request is unknown.
	Lost
	// Late means that no response came before the deadline.
	Late
	// Conflict means that a change is based on a version that is not the current one.
	Conflict
)

var kindNames = [...]string{
	"internal", "invalid", "denied", "missing", "large", "uncovered", "mismatch",
	"busy", "limited", "overload", "stale", "unavailable", "lost", "late", "conflict",
}

// String returns the name of the kind in logs and problem documents.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "internal"
}

// Run says whether an endpoint may have executed a rejected request.
type Run uint8

const (
	// Unknown means that an endpoint may have executed the request.
	Unknown Run = iota
	// NotRun means that no endpoint executed any part of the request.
	NotRun
)

// String returns the value of the run member of a problem document.
func (r Run) String() string {
	if r == NotRun {
		return "not_run"
	}
	return "unknown"
}

// Error is the reason why a request is rejected. The zero value is an internal
// fault with unknown outcome.
type Error struct {
	// Kind is the class of the fault.
	Kind Kind
	// Run is NotRun only if no byte of the request was sent to an endpoint.
	Run Run
	// Retry is how long the caller should wait before it retries; 0 if unspecified.
	Retry time.Duration
	// Detail says what happened and what the caller can do about it.
	Detail string
}

// New returns a fault for a request that no endpoint executed.
func New(k Kind, format string, args ...any) Error {
	return Error{
		Kind:   k,
		Run:    NotRun,
		Detail: fmt.Sprintf(format, args...),
	}
}

// Error returns the kind and the detail.
func (e Error) Error() string { return e.Kind.String() + ": " + e.Detail }

// WithRetry returns a copy of e that asks the caller to retry after d.
func (e Error) WithRetry(d time.Duration) Error {
	e.Retry = d
	return e
}

// WithRun returns a copy of e with the given Run value.
func (e Error) WithRun(r Run) Error {
	e.Run = r
	return e
}

// From returns the Error that err wraps, or an internal fault with unknown outcome.
func From(err error) Error {
	var e Error
	if errors.As(err, &e) {
		return e
	}
	return Error{
		Kind:   Internal,
		Detail: err.Error() + ": report this with the request's id",
	}
}
