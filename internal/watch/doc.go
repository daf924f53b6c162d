// Package watch follows a table of the platform's store.
//
// A Table reads all rows once and then the changes. If the store no longer
// keeps the changes since the last read, or if they can't be decoded, it reads
// all rows again. It ignores responses that are older than what it has already
// read, so that its sink never sees a row go back to an earlier version within an era
// of the store. In a new era it reads all rows again: the store has come back from an
// older copy, and the sink may see older rows.
//
//	t := watch.New(source, "op", sink, watch.WithLongPoll(20*time.Second))
//	t.Run(ctx)
package watch
