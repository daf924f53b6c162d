// Package daemon assembles an instance and runs it.
//
// New builds the control thread, the filter chain and the front ends from the
// settings. Run serves until its context is done and then drains the in-flight
// requests.
//
//	i, err := daemon.New(settings, log)
//	err = i.Run(ctx, listener)
package daemon
