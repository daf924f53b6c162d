// Package drive is an open-loop load generator for running instances.
//
// Requests are sent at their scheduled times whether or not earlier ones have
// completed, and latency is measured from the scheduled time. A slow response
// therefore can't hide the delay of the requests behind it (coordinated
// omission).
//
//	res := drive.Run(ctx, drive.Plan{Targets: []string{"127.0.0.1:8080"}, Requests: requests})
package drive
