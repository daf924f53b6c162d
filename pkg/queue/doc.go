// Package queue orders waiting requests by rank and shares the service of each rank
// fairly among teams.
//
// Within a rank, start-time fair queueing is used: each request gets a tag in virtual
// time, the tags of a team advance by the cost of its requests divided by its weight,
// and the request with the lowest tag is served next. What peers served a team, and
// what a request cost beyond its estimate, is added to the team's next tag.
//
// Urgent requests are served first, except that normal requests get a minimum share
// of the service (the floor) while both ranks wait. A Queue is immutable: each method
// returns a new queue that shares structure with the previous one, so that an
// operation costs O(log n).
//
//	q, place := q.With(item)
//	item, q, ok := q.Next(0.2, queue.Any)
package queue
