// Package claim ensures that a call with an idempotency key runs at most once.
//
// Before a call is sent, a row for its team and key is inserted into the table if
// absent. The row carries a nonce that is unique to the attempt. If the response to
// the insert is lost, the row is read back and its nonce shows whether the insert
// took effect. If that can't be determined, the call is rejected as not run, which is
// correct because no call is sent before its claim is confirmed. The outcome is
// stored in the row, so that a repeated call gets the answer of the first one.
//
//	ticket, err := claimer.Begin(ctx, team, key, digest)
//	...
//	claimer.Finish(ctx, ticket, outcome)
package claim
