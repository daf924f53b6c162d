// Package pace finds how much work an engine can be given from how it answers.
//
// The time to the first byte of each answer is compared with what the engine's queue and
// the uncached tokens of the prompt predict. An engine that starts, recovers or is slow
// for a while gets a few requests at a time, more as its answers hold and fewer when
// they don't.
//
// The decisions are pure: they start no goroutine and read no clock.
package pace
