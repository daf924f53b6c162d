// Package drive sends the users' workload to real processes.
//
// Requests leave at their planned times whether or not earlier ones were
// answered, and each time is counted from when the request was planned, so
// that a slow answer does not hide those that it held up.
//
//	res := drive.Run(ctx, drive.Plan{Targets: []string{"127.0.0.1:8080"}, Asks: asks})
package drive
