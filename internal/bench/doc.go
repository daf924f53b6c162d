// Package bench measures the decisions under load against their baselines.
//
// Whole instances, put together by core as in the daemon, serve the workloads
// of both deployments under a fake clock before models of engines. Nothing in
// it is timed by the machine's clock, so that a run depends on its seed and
// not on the machine.
//
//	result := bench.Run(bench.Tassel().Steady(0.7), seed, bench.Ours)
package bench
