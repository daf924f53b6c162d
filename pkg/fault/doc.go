// Package fault defines the typed errors with which a request is refused.
//
// A fault says what went wrong (Kind), whether the request may have run (Run),
// when a retry makes sense (Retry) and what the caller can do about it. Every
// filter returns faults, and every front end encodes them, so that a refusal
// which says "not run" comes from the filter that knows it.
//
//	return fault.New(fault.Limited, "team loom is over its limit: retry after 2 s").WithRetry(2 * time.Second)
package fault
