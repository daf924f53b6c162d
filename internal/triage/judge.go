package triage

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"gotest.tools/gotestsum/testjson"
)

// Run is a run of the test command.
type Run struct {
	// List is the tests that may fail.
	List List
	// Suite is the tests that the sources declare.
	Suite Suite
	// Parts are the parts of the command, in order.
	Parts []Part
	// Faults are what kept parts from being read.
	Faults []string
}

// Verdict is what a run comes to.
type Verdict struct {
	// Listed tells what each listed test did.
	Listed []string
	// Faults are why the run is red.
	Faults []string
	// Ran, Failed, Skipped and Missed count test functions, without subtests:
	// those that ended, those of them that failed as listed, those that skipped
	// themselves, and those that did not run or did not end.
	Ran, Failed, Skipped, Missed int
}

// Red tells whether anything failed that is not listed.
func (v Verdict) Red() bool { return len(v.Faults) > 0 }

// String gives the closing lines.
func (v Verdict) String() string {
	var b strings.Builder
	for _, line := range v.Listed {
		_, _ = fmt.Fprintln(&b, line)
	}
	for _, fault := range v.Faults {
		_, _ = fmt.Fprintln(&b, "red: "+fault)
	}
	_, _ = fmt.Fprintf(&b, "%d tests ran, %d of them failed as listed, %d were skipped, %d did not run\n", v.Ran, v.Failed, v.Skipped, v.Missed)
	return b.String()
}

// Repeat is a package to run again without its listed tests.
type Repeat struct {
	// Part is the part that ran it.
	Part string
	// Package is its import path.
	Package string
	// Skip is the pattern for -skip.
	Skip string
}

// Repeats gives the packages in which a listed test failed.
func Repeats(r Run) []Repeat {
	all, _ := r.List.find(r.Suite)
	var repeats []Repeat
	for _, p := range r.Parts {
		for _, path := range p.packages() {
			here := in(all, path)
			if !slices.ContainsFunc(p.Tests.Package(path).Failed, func(c testjson.TestCase) bool { return covered(here, c.Test.Name()) }) {
				continue
			}
			repeats = append(repeats, Repeat{
				Part:    p.Name,
				Package: path,
				Skip:    pattern(here),
			})
		}
	}
	return repeats
}

// Judge judges a run.
func Judge(r Run) Verdict {
	all, faults := r.List.find(r.Suite)
	v := Verdict{
		Faults: slices.Concat(faults, r.Faults),
	}
	for _, p := range r.Parts {
		v.Faults = append(v.Faults, r.part(p, all)...)
	}
	for _, rep := range Repeats(r) {
		again := func(p Part) bool { return p.Again && slices.Contains(p.packages(), rep.Package) }
		if !slices.ContainsFunc(r.Parts, again) {
			v.Faults = append(v.Faults, r.Suite.name(rep.Package, "")+" was not run again without its listed tests")
		}
	}
	return r.count(v, all)
}

// explainable is the exit code of go test for tests that failed; a listed test
// explains no other.
const explainable = 1

// part gives what is wrong with one part.
func (r Run) part(p Part, all []known) []string {
	if p.Tests == nil {
		if p.Code != 0 {
			return []string{fmt.Sprintf("%s ended with code %d", p.Name, p.Code)}
		}
		return nil
	}
	var faults []string
	excused := false
	for _, path := range p.packages() {
		found, passed := r.pkg(p, path, in(all, path))
		faults = append(faults, found...)
		excused = excused || passed
	}
	explained := excused && p.Code == explainable
	if len(faults) == 0 && p.Code != 0 && !explained {
		faults = append(faults, fmt.Sprintf("%s ended with code %d, which no test explains", p.Name, p.Code))
	}
	return faults
}

// pkg gives what is wrong with one package, and whether listed tests failed.
func (r Run) pkg(p Part, path string, here []known) (faults []string, excused bool) {
	suffix := ""
	if p.Again {
		suffix = ", run again without the listed tests"
		here = nil
	}
	pkg := p.Tests.Package(path)
	for _, c := range pkg.Failed {
		name := c.Test.Name()
		switch {
		case covered(here, name):
			excused = true
		case parent(pkg.Failed, here, name):
		case c.Elapsed < 0:
			faults = append(faults, r.Suite.name(path, name)+" did not end"+suffix)
		default:
			faults = append(faults, r.Suite.name(path, name)+" failed"+suffix)
		}
	}
	if pkg.Result() == testjson.ActionFail && !excused && len(faults) == 0 {
		faults = append(faults, r.Suite.name(path, "")+" failed outside its tests: build, TestMain, race or leak"+suffix)
	}
	return faults, excused
}

// count adds what the tests did, and what did not run.
func (r Run) count(v Verdict, all []known) Verdict {
	done := r.done(all)
	for _, path := range r.Suite.paths() {
		var missed []string
		for _, name := range r.Suite.tests[path] {
			switch action := done[path][name]; action {
			case testjson.ActionPass, testjson.ActionFail:
				v.Ran++
				if action == testjson.ActionFail && slices.ContainsFunc(in(all, path), func(k known) bool { return k.root() == name }) {
					v.Failed++
				}
			case testjson.ActionSkip:
				v.Skipped++
			case testjson.ActionRun:
				v.Missed++
			default:
				missed = append(missed, name)
			}
		}
		v.Missed += len(missed)
		if len(missed) > 0 {
			v.Faults = append(v.Faults, r.Suite.name(path, "")+" did not run "+strings.Join(missed, ", "))
		}
	}
	for _, k := range all {
		line, fault := r.entry(k, done[k.path])
		v.Listed = append(v.Listed, line)
		if fault != "" {
			v.Faults = append(v.Faults, fault)
		}
	}
	return v
}

// entry tells what a listed test did, and the fault if it is not there.
func (r Run) entry(k known, done map[string]testjson.Action) (line, fault string) {
	name := r.Suite.name(k.path, k.Test) + ", issue " + k.Issue
	switch done[k.Test] {
	case testjson.ActionFail:
		return fmt.Sprintf("failed as listed: %s: %s (%s)", name, k.Seen, k.Command), ""
	case testjson.ActionPass:
		return "passed though listed: " + name + ": remove its entry once its fault is mended", ""
	case testjson.ActionSkip:
		return "skipped though listed: " + name, ""
	default:
	}
	if done[k.root()] == testjson.ActionPass {
		fault = "list: " + k.Test + " is not there any more: remove its entry or mend its name"
	}
	return "did not run though listed: " + name, fault
}

// done maps packages and tests to how they ended in the first runs; one that
// was cut short and is not listed is still at run.
func (r Run) done(all []known) map[string]map[string]testjson.Action {
	done := map[string]map[string]testjson.Action{}
	for _, p := range r.Parts {
		if p.Again {
			continue
		}
		for _, path := range p.packages() {
			pkg := p.Tests.Package(path)
			ends := map[string]testjson.Action{}
			for _, c := range pkg.Passed {
				ends[c.Test.Name()] = testjson.ActionPass
			}
			for _, c := range pkg.Skipped {
				ends[c.Test.Name()] = testjson.ActionSkip
			}
			for _, c := range pkg.Failed {
				ends[c.Test.Name()] = testjson.ActionFail
				if c.Elapsed < 0 && !covered(in(all, path), c.Test.Name()) {
					ends[c.Test.Name()] = testjson.ActionRun
				}
			}
			done[path] = ends
		}
	}
	return done
}

// packages are those that the part tells of.
func (p Part) packages() []string {
	if p.Tests == nil {
		return nil
	}
	// Events of a build carry no package.
	return slices.DeleteFunc(p.Tests.Packages(), func(path string) bool { return path == "" })
}

// in gives the listed tests of a package.
func in(all []known, path string) []known {
	return slices.DeleteFunc(slices.Clone(all), func(k known) bool { return k.path != path })
}

// covered tells whether a failure of name is listed.
func covered(here []known, name string) bool {
	return slices.ContainsFunc(here, func(k known) bool { return k.covers(name) })
}

// parent tells whether name failed with a listed subtest. Whether it would
// fail by itself too shows when the package runs again.
func parent(failed []testjson.TestCase, here []known, name string) bool {
	return slices.ContainsFunc(failed, func(c testjson.TestCase) bool {
		return strings.HasPrefix(c.Test.Name(), name+"/") && covered(here, c.Test.Name())
	})
}

// pattern matches just the listed tests, for -skip.
func pattern(here []known) string {
	var patterns []string
	for _, k := range here {
		var levels []string
		for _, level := range strings.Split(k.Test, "/") {
			levels = append(levels, "^"+regexp.QuoteMeta(level)+"$")
		}
		patterns = append(patterns, strings.Join(levels, "/"))
	}
	return strings.Join(patterns, "|")
}
