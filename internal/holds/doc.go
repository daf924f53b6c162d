// Package holds keeps the ledger of the bytes that a process holds for its callers.
//
// Traffic threads share a Keeper: a mutex around an immutable ledger.Ledger and the sums
// of the owners of large entries. It starts no goroutine and never waits.
//
//	keeper := holds.New(holds.Limit())
//	if wait, ok := keeper.Hold(team, size); !ok {
//		return fault.New(fault.Overload, "...").WithRetry(wait)
//	}
//	defer keeper.Free(team, size)
package holds
