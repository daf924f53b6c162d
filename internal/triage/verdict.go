package triage

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"gotest.tools/gotestsum/testjson"
)

// Run holds the results of one run of the test command.
type Run struct {
	// List holds the tests that are known to fail.
	List List
	// Suite holds the tests that the sources declare.
	Suite Suite
	// Parts holds the results of the command's parts, in order.
	Parts []Part
	// Faults describes results that could not be read.
	Faults []string
}

// Verdict is the evaluation of a run.
type Verdict struct {
	// Listed has a line for each listed test that says how it ended.
	Listed []string
	// Faults holds the reasons why the run is red.
	Faults []string
	// Ran, Failed, Skipped and NotRun count test functions, without subtests:
	// those that ended, those of them that failed as listed, those that skipped
	// themselves, and those that did not run or did not end.
	Ran, Failed, Skipped, NotRun int
}

// Red reports whether anything failed that is not listed.
func (v Verdict) Red() bool { return len(v.Faults) > 0 }

// String returns the summary at the end of the output of a run.
func (v Verdict) String() string {
	var b strings.Builder
	for _, line := range v.Listed {
		_, _ = fmt.Fprintln(&b, line)
	}
	for _, fault := range v.Faults {
		_, _ = fmt.Fprintln(&b, "red: "+fault)
	}
	_, _ = fmt.Fprintf(&b, "%d tests ran, %d of them failed as listed, %d were skipped, %d did not run\n", v.Ran, v.Failed, v.Skipped, v.NotRun)
	return b.String()
}

// Rerun names a package to rerun without its listed tests.
type Rerun struct {
	// Part is the name of the part that ran the package.
	Part string
	// Package is the import path.
	Package string
	// Skip is the argument of go test -skip.
	Skip string
}

// Reruns returns a rerun for each package in which a listed test failed.
func Reruns(r Run) []Rerun {
	all, _ := r.List.resolve(r.Suite)
	var reruns []Rerun
	for _, p := range r.Parts {
		for _, path := range p.packages() {
			entries := entriesOf(all, path)
			if !slices.ContainsFunc(p.Tests.Package(path).Failed, func(c testjson.TestCase) bool { return isListed(entries, c.Test.Name()) }) {
				continue
			}
			reruns = append(reruns, Rerun{
				Part:    p.Name,
				Package: path,
				Skip:    skipPattern(entries),
			})
		}
	}
	return reruns
}

// Evaluate checks every failure of a run against the list and counts its tests.
func Evaluate(r Run) Verdict {
	all, faults := r.List.resolve(r.Suite)
	v := Verdict{
		Faults: slices.Concat(faults, r.Faults),
	}
	for _, p := range r.Parts {
		v.Faults = append(v.Faults, r.checkPart(p, all)...)
	}
	for _, rerun := range Reruns(r) {
		isRerun := func(p Part) bool { return p.Rerun && slices.Contains(p.packages(), rerun.Package) }
		if !slices.ContainsFunc(r.Parts, isRerun) {
			v.Faults = append(v.Faults, r.Suite.displayName(rerun.Package, "")+" was not run again without its listed tests")
		}
	}
	return r.addCounts(v, all)
}

// testFailureCode is the exit code of go test when tests failed. A listed
// failure excuses no other code, such as that of a killed process.
const testFailureCode = 1

// checkPart returns the faults of one part.
func (r Run) checkPart(p Part, all []resolvedEntry) []string {
	if p.Tests == nil {
		if p.Code != 0 {
			return []string{fmt.Sprintf("%s ended with code %d", p.Name, p.Code)}
		}
		return nil
	}
	var faults []string
	excused := false
	for _, path := range p.packages() {
		found, passed := r.checkPackage(p, path, entriesOf(all, path))
		faults = append(faults, found...)
		excused = excused || passed
	}
	explained := excused && p.Code == testFailureCode
	if len(faults) == 0 && p.Code != 0 && !explained {
		faults = append(faults, fmt.Sprintf("%s ended with code %d, which no test explains", p.Name, p.Code))
	}
	return faults
}

// checkPackage returns the faults of one package. It sets excused if a listed
// test failed.
func (r Run) checkPackage(p Part, path string, entries []resolvedEntry) (faults []string, excused bool) {
	suffix := ""
	if p.Rerun {
		suffix = ", run again without the listed tests"
		entries = nil
	}
	pkg := p.Tests.Package(path)
	for _, c := range pkg.Failed {
		name := c.Test.Name()
		switch {
		case isListed(entries, name):
			excused = true
		case hasListedSubtest(pkg.Failed, entries, name):
		case c.Elapsed < 0:
			faults = append(faults, r.Suite.displayName(path, name)+" did not end"+suffix)
		default:
			faults = append(faults, r.Suite.displayName(path, name)+" failed"+suffix)
		}
	}
	if pkg.Result() == testjson.ActionFail && !excused && len(faults) == 0 {
		faults = append(faults, r.Suite.displayName(path, "")+" failed outside its tests: build, TestMain, race or leak"+suffix)
	}
	return faults, excused
}

// addCounts counts how tests ended and adds a fault for each package whose tests
// did not all run.
func (r Run) addCounts(v Verdict, all []resolvedEntry) Verdict {
	done := r.outcomes(all)
	for _, path := range r.Suite.paths() {
		var notRun []string
		for _, name := range r.Suite.tests[path] {
			switch action := done[path][name]; action {
			case testjson.ActionPass, testjson.ActionFail:
				v.Ran++
				if action == testjson.ActionFail && slices.ContainsFunc(entriesOf(all, path), func(k resolvedEntry) bool { return k.root() == name }) {
					v.Failed++
				}
			case testjson.ActionSkip:
				v.Skipped++
			case testjson.ActionRun:
				v.NotRun++
			default:
				notRun = append(notRun, name)
			}
		}
		v.NotRun += len(notRun)
		if len(notRun) > 0 {
			v.Faults = append(v.Faults, r.Suite.displayName(path, "")+" did not run "+strings.Join(notRun, ", "))
		}
	}
	for _, k := range all {
		line, fault := r.describeEntry(k, done[k.path])
		v.Listed = append(v.Listed, line)
		if fault != "" {
			v.Faults = append(v.Faults, fault)
		}
	}
	return v
}

// describeEntry returns a line that says how a listed test ended, and a fault if
// the test does not exist.
func (r Run) describeEntry(k resolvedEntry, done map[string]testjson.Action) (line, fault string) {
	name := r.Suite.displayName(k.path, k.Test) + ", issue " + k.Issue
	switch done[k.Test] {
	case testjson.ActionFail:
		return fmt.Sprintf("failed as listed: %s: %s (%s)", name, k.Seen, k.Command), ""
	case testjson.ActionPass:
		return "passed though listed: " + name + ": remove its entry once its fault is fixed", ""
	case testjson.ActionSkip:
		return "skipped though listed: " + name, ""
	default:
	}
	if done[k.root()] == testjson.ActionPass {
		fault = "list: " + k.Test + " does not exist: remove its entry or correct its name"
	}
	return "did not run though listed: " + name, fault
}

// outcomes returns how each test ended, by package and name, without reruns. A
// test that was interrupted and is not listed has testjson.ActionRun.
func (r Run) outcomes(all []resolvedEntry) map[string]map[string]testjson.Action {
	done := map[string]map[string]testjson.Action{}
	for _, p := range r.Parts {
		if p.Rerun {
			continue
		}
		for _, path := range p.packages() {
			pkg := p.Tests.Package(path)
			actions := map[string]testjson.Action{}
			for _, c := range pkg.Passed {
				actions[c.Test.Name()] = testjson.ActionPass
			}
			for _, c := range pkg.Skipped {
				actions[c.Test.Name()] = testjson.ActionSkip
			}
			for _, c := range pkg.Failed {
				actions[c.Test.Name()] = testjson.ActionFail
				if c.Elapsed < 0 && !isListed(entriesOf(all, path), c.Test.Name()) {
					actions[c.Test.Name()] = testjson.ActionRun
				}
			}
			done[path] = actions
		}
	}
	return done
}

// packages returns the import paths of the packages that the part tested.
func (p Part) packages() []string {
	if p.Tests == nil {
		return nil
	}
	// Build events have an empty package.
	return slices.DeleteFunc(p.Tests.Packages(), func(path string) bool { return path == "" })
}

// entriesOf returns the entries of a package.
func entriesOf(all []resolvedEntry, path string) []resolvedEntry {
	return slices.DeleteFunc(slices.Clone(all), func(k resolvedEntry) bool { return k.path != path })
}

// isListed reports whether a failure of the test name is listed.
func isListed(entries []resolvedEntry, name string) bool {
	return slices.ContainsFunc(entries, func(k resolvedEntry) bool { return k.covers(name) })
}

// hasListedSubtest reports whether a listed subtest of name failed, which makes
// name fail too. The rerun shows whether name also fails by itself.
func hasListedSubtest(failed []testjson.TestCase, entries []resolvedEntry, name string) bool {
	return slices.ContainsFunc(failed, func(c testjson.TestCase) bool {
		return strings.HasPrefix(c.Test.Name(), name+"/") && isListed(entries, c.Test.Name())
	})
}

// skipPattern returns a pattern for go test -skip that matches exactly the listed
// tests.
func skipPattern(entries []resolvedEntry) string {
	var patterns []string
	for _, k := range entries {
		var levels []string
		for _, level := range strings.Split(k.Test, "/") {
			levels = append(levels, "^"+regexp.QuoteMeta(level)+"$")
		}
		patterns = append(patterns, strings.Join(levels, "/"))
	}
	return strings.Join(patterns, "|")
}
