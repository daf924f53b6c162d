// Package retry bounds how often calls are sent again.
//
// A Budget limits retries to a share of first attempts, so that retries do not
// overload endpoints that already fail. The backoff between retries grows
// exponentially with full jitter, so that callers do not retry in step.
//
//	budget.RecordCall()
//	if budget.Take() { retry.WaitBackoff(ctx, attempt) }
package retry
