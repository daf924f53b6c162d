// Package allot divides the allotments of teams among the instances of a fleet.
//
// An allotment is a token bucket over the whole fleet: a rate and a burst. One
// instance, the grantor, holds the bucket and grants credit that expires. The other
// instances spend what they were granted. An instance that does not reach the grantor
// spends an equal part instead, for which the grantor accounts from the moment at which
// it may begin.
//
// The decisions are pure: they start no goroutine and read no clock.
package allot
