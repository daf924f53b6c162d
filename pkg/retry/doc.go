// Package retry bounds how often calls are sent again.
//
// A Budget lets retries be a share of fresh calls, so that a fleet in trouble
// is not buried under them. The pauses between retries grow and are fully
// random, so that a herd of callers spreads out.
//
//	budget.Fresh()
//	if budget.Take() { retry.Pause(ctx, attempt) }
package retry
