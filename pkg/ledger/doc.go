// Package ledger decides whether an instance may hold more bytes for its callers:
// bodies, header fields, connections and answers that wait for slow readers.
//
// A Ledger is an immutable value. Small entries may fill it; large ones leave a reserve,
// so that ordinary requests are served beside a crowd of large ones, and one owner can't
// take all that is left. The load that it answers: many clients that send large bodies
// at once and stop just short of their end.
//
//	l := ledger.New(ledger.Budget(softLimit))
//	if l.Fits(size, owned) {
//		l = l.WithHeld(size)
//	}
package ledger
