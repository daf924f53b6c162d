// Package filter contains the filters that every request passes, in this order:
//
//	identify  authenticates the caller
//	ready     refuses requests while this instance is not ready
//	match     finds the policy that covers the request
//	late      refuses requests that a stopping instance can't complete
//	account   records the outcome of all later filters
//	limit     enforces the rate limit of the team
//	claim     runs non-idempotent calls with a key at most once
//	gate      queues requests by rank and fair share, or refuses them early
//	dispatch  selects an endpoint, forwards the request and recovers its stream
//
// Filters read the control state as immutable views and report events to the
// control thread through a bounded queue.
package filter
