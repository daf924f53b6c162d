// Package grace ends the requests of an instance that stops.
//
// A request may end before its response because its caller has left or because its
// instance stops. The context of the request carries the first reason and a Signal the
// second, so that a request that continues without its caller still ends in time for a
// response.
//
//	signal := grace.New()
//	ctx, release := signal.Detach(r.Context())
//	defer release()
package grace
