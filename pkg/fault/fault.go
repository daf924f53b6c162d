package fault

import (
	"errors"
	"fmt"
	"time"
)

// Kind is the class of a fault.
type Kind uint8

const (
	// Internal is a fault of the router itself.
	Internal Kind = iota
	// Invalid is a request that can't be understood.
	Invalid
	// Denied is a request without a known key.
	Denied
	// Missing is a request for a model, service or stream that is not known.
	Missing
	// Large is a request over the size limit.
	Large
	// Uncovered is a request that no policy covers.
	Uncovered
	// Mismatch is an idempotency key that was used with another request.
	Mismatch
	// Busy is an idempotency key whose first request has not ended.
	Busy
	// Limited is a team over its limit.
	Limited
	// Overload is a request that can't meet its target any more.
	Overload
	// Stale is an instance that can't know the configuration in force.
	Stale
	// Unavailable is a request that no endpoint can take.
	Unavailable
	// Lost is a request whose outcome is not known.
	Lost
	// Late is a request that was not answered in time.
	Late
	// Conflict is a change whose base is not the version in force.
	Conflict
)

var kindNames = [...]string{
	"internal", "invalid", "denied", "missing", "large", "uncovered", "mismatch",
	"busy", "limited", "overload", "stale", "unavailable", "lost", "late", "conflict",
}

// String returns the kind as it stands in logs and problem documents.
func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "internal"
}

// Run says whether a refused request may have run at an endpoint.
type Run uint8

const (
	// Unknown means that the request may have run.
	Unknown Run = iota
	// NotRun means that no endpoint ran any part of the request.
	NotRun
)

// String returns the run member of a problem document.
func (r Run) String() string {
	if r == NotRun {
		return "not_run"
	}
	return "unknown"
}

// Error is a refusal. The zero value is an internal fault whose outcome is unknown.
type Error struct {
	// Kind is the class of the fault.
	Kind Kind
	// Run is NotRun only if no byte of the request left for an endpoint.
	Run Run
	// Retry is how long the caller should wait before a retry; 0 means no advice.
	Retry time.Duration
	// Detail says what happened and names the remedy.
	Detail string
}

// New returns a fault of a request that did not run.
func New(k Kind, format string, args ...any) Error {
	return Error{
		Kind:   k,
		Run:    NotRun,
		Detail: fmt.Sprintf(format, args...),
	}
}

// Error returns the detail with the kind before it.
func (e Error) Error() string { return e.Kind.String() + ": " + e.Detail }

// WithRetry returns a copy of e that advises a retry after d.
func (e Error) WithRetry(d time.Duration) Error {
	e.Retry = d
	return e
}

// WithRun returns a copy of e with the given outcome.
func (e Error) WithRun(r Run) Error {
	e.Run = r
	return e
}

// From returns the fault within err, or an internal fault of unknown outcome.
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
