// Package fault defines the typed errors with which requests are rejected.
//
// A fault carries its class (Kind), whether an endpoint may have executed the
// request (Run), when a retry makes sense (Retry) and what the caller can do about
// it (Detail). Every filter returns faults and every front end encodes them, so a
// response that says "not run" originates in the filter that knows it.
//
//	return fault.New(fault.Limited, "team loom is over its limit: retry after 2 s").WithRetry(2 * time.Second)
package fault
