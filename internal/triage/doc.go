// Package triage decides whether a test run is green, given the list of tests
// that are known to fail.
//
// Each part of the test command writes its exit code to a file and, where it
// runs tests, the output of go test -json to another. A failure is ignored only
// if it belongs to a listed test. A listed failure can mask other failures of
// its package, such as a goroutine leak, which is checked only after all tests
// have passed. Each package with a listed failure is therefore rerun without its
// listed tests, and the rerun must pass.
//
// The package reads files and starts no process; scripts/test.sh runs the parts.
//
//	v := triage.Evaluate(triage.Run{
//		List:  list,
//		Suite: suite,
//		Parts: parts,
//	})
//	fmt.Print(v)
package triage
