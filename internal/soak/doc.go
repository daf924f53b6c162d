// Package soak injects faults into running processes and checks what callers and
// endpoints observed.
//
// A plan is generated from a seed and consists of overlapping series of steps.
// Play hands each step at its time to an Executor, which owns the processes.
// Callers send requests on persistent connections. Proxies between the processes
// delay, hold or reset connections. A recorder collects all observations, and
// Check returns the guarantees that were violated.
//
// The package is independent of the protocol and starts no process: a Protocol
// builds requests and reads responses, and an Executor carries out the steps.
//
//	recorder := soak.NewRecorder()
//	plan := soak.NewPlan(seed, soak.Size{Instances: 3, Endpoints: 6}, 30*time.Second)
//	soak.Play(ctx, plan, executor)
//	for _, v := range soak.Check(recorder, bounds, oracle) { ... }
package soak
