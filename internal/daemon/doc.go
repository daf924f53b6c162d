// Package daemon puts an instance together and runs it.
//
// Run builds the control thread, the filter chain and the front ends from the
// settings, and stops them gracefully when its context ends.
//
//	err := daemon.Run(ctx, settings, log)
package daemon
