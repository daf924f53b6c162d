// Package route chooses the endpoint for a request.
//
// The endpoint with the lowest cost is chosen. The cost is the wait behind the work
// that the endpoint has, the distance, and the prefill of the uncached part of the
// prompt, which is weighted several times because it delays other requests and evicts
// their cached blocks. What endpoints have cached comes from an index. In addition,
// rendezvous hashing of the shared part of the prompt makes all instances prefer the
// same few endpoints, without messages and without state, so that a restarted instance
// routes as well as before.
//
//	choice, ok := route.Choose(query, pool, view)
package route
