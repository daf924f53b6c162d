package grace

import "github.com/baobabtally/baobabtally/pkg/fault"

// Fault returns the fault of a request that the end of the grace period ended; maybeRun
// is whether an endpoint may have executed it.
func Fault(maybeRun bool) fault.Error {
	if maybeRun {
		return fault.New(fault.Lost, "the instance stopped before the answer ended: look the result up before you send it again").WithRun(fault.Unknown)
	}
	return fault.New(fault.Unavailable, "the instance stopped before the request reached an endpoint: send it to another instance").WithRetry(RetryAfter)
}
