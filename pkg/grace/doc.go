// Package grace ends the requests of an instance that stops.
//
// A request may end before its response because its caller has left or because its
// instance stops. The context of the request carries the first reason and a Signal the
// second, so that a request that continues without its caller still ends in time for a
// response.
//
// While an instance stops, it accepts only requests that it can complete: Lengths
// estimates how long a request runs, and a Period tells what is left.
//
//	signal := grace.New()
//	signal.Begin(grace.Period{End: now.Add(8 * time.Second)})
//	if !signal.Period().Admits(estimate, now) { refuse }
//	time.AfterFunc(8*time.Second, signal.End)
package grace
