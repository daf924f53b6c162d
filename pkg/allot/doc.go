// Package allot divides the allotments of teams among the instances of a fleet.
//
// An allotment is a token bucket over the whole fleet: a rate and a burst. One
// instance, the grantor, holds the bucket and grants credit that expires. The other
// instances spend what they were granted, and a little more that they owe then. An
// instance that does not reach the grantor spends an equal part of the rate instead. The
// grantor leaves that part out from the moment at which the instance may begin.
//
// Bounds.Plan derives from a Limit what each side may hold. A Grantor answers an Ask, a
// Wallet sends it and admits requests, and Touch tells whether the grantor may count
// the instance:
//
//	receipt, ok := w.Take(team, limit, cost, now)
//	...
//	g, answer := g.WithAsk(w.Ask("n1", true, now), limits, now)
//	w.Answered("n1", answer, now)
//
// Nothing here starts a goroutine, reads a clock or sends a message. Times are those of a
// clock that counts suspended time.
package allot
