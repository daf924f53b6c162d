// Package filter holds the filters that every request passes, in this order:
//
//	identify  who calls
//	ready     may this instance take new work
//	match     which policy covers the request
//	account   counts the outcome, whatever follows
//	limit     is the team within its limit
//	claim     non-idempotent calls with a key: at most once
//	gate      wait for a turn by rank and fair share, or refuse early
//	dispatch  choose an endpoint, send, keep the stream whole
//
// Filters read one immutable view of the control state for each request and
// tell the control thread what they saw through bounded posts.
package filter
