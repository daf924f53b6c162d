// Package watch follows a table of the platform's store.
//
// A Table reads all rows once and then what changed. It starts anew where the
// store no longer keeps the changes, and drops answers that are older than what
// it saw. It hands on each batch and never goes back.
//
//	t := watch.New(source, "op", sink, watch.WithWait(20*time.Second))
//	t.Run(ctx)
package watch
