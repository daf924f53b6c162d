// Package route chooses the endpoint for a request.
//
// The choice is the endpoint with the least expected time to first token:
// the wait behind the work it has, the time to read the part of the prompt
// that it has not cached, and the distance. Cache knowledge comes from an
// index; where there is none, rendezvous hashing of the prompt's first block
// sends equal prefixes to the same few endpoints from every instance, with no
// messages and no state, so that a restarted instance routes as well as before.
//
//	choice, ok := route.Choose(query, pool, view)
package route
