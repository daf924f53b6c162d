// Package boot tells the time since the machine started.
//
// Unlike the monotonic clock of the runtime, it counts the time for which a
// machine was suspended, and unlike the time of day it never jumps.
package boot
