// Package bench compares routing and admission under load with baselines.
//
// Complete instances, assembled by core as in the daemon, serve the workloads
// of both deployments in front of simulated engines and under a fake clock. No
// result depends on the machine's clock, so that a run is determined by its
// seed and not by the speed of the machine.
//
//	outcomes, err := bench.Run(bench.Tassel().Steady(0.7), seed, bench.Baobabtally)
package bench
