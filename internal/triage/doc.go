// Package triage judges a run of the tests by the list of tests that may fail.
//
// Each part of the test command leaves its exit code and, where it ran tests,
// the events of go test -json. A failure is passed over only where a listed
// test explains it. A listed failure hides what its package would say
// otherwise, such as a leak that is looked for only after a pass, so each such
// package runs again without its listed tests, and that run must pass.
//
// The package reads files and starts no process; scripts/test.sh runs the parts.
//
//	v := triage.Judge(triage.Run{
//		List:  list,
//		Suite: suite,
//		Parts: parts,
//	})
//	fmt.Print(v)
package triage
