// Package soak plays faults against running processes and judges what callers
// and endpoints saw.
//
// A Plan is drawn from a seed: series of steps that overlap. Play hands each step
// to a World, which owns the processes, at its time. Callers keep connections
// open and use them until they are closed. Proxies stand between the processes.
// All that was seen goes into a Book, and Check tells which promises do not hold.
//
// The package knows no protocol and starts no process: a Wire builds requests and
// reads answers, a World does steps.
//
//	book := soak.NewBook()
//	plan := soak.Draw(seed, soak.Size{Nodes: 3, Ends: 6}, 30*time.Second)
//	soak.Play(ctx, plan, world)
//	for _, b := range soak.Check(book, bounds) { ... }
package soak
