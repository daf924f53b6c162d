// Package claim has each call with an idempotency key run at most once.
//
// Before a call is sent, a row for its team and key is inserted if absent,
// with a nonce of this attempt. A lost answer is settled by reading the nonce
// back; what can't be settled is refused as not run, which is true because
// nothing is sent without a settled claim. The outcome is kept in the row, so
// that a repeated call gets the first one's answer.
//
//	ticket, err := book.Begin(ctx, team, key, digest)
//	...
//	book.Finish(ctx, ticket, outcome)
package claim
