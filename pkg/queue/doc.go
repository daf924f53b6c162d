// Package queue orders waiting requests by rank and shares each rank fairly
// among teams.
//
// Within a rank it is start-time fair queueing: each request gets a tag in
// virtual time, a team's tags advance by the cost of its requests over its
// weight, and the lowest tag goes next. What a team was served elsewhere, and
// what a request cost beyond its estimate, is charged to its next tag.
//
// Urgent requests go first, except that normal ones keep a floor of the
// service while both wait. A Queue is immutable: each method returns the next
// queue and shares structure with the last, so that a step costs O(log n).
//
//	q, place := q.With(item)
//	item, q, ok := q.Next(0.2, queue.Any)
package queue
