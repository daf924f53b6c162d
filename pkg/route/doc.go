// Package route chooses the endpoint for a request.
//
// The choice is the endpoint with the least cost: the wait behind the work it
// has, the distance, and the part of the prompt that it would have to read,
// which counts several times since it holds up others and puts out their
// blocks. Cache knowledge comes from an index; besides, rendezvous hashing of
// the prompt's shared part favours the same few endpoints from every instance,
// with no messages and no state, so that a restarted instance routes as well as
// before.
//
//	choice, ok := route.Choose(query, pool, view)
package route
