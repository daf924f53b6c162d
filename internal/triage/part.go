package triage

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"gotest.tools/gotestsum/testjson"
)

// Part holds the results of one part of the test command.
type Part struct {
	// Name is the base name of the part's files.
	Name string
	// Rerun marks a rerun of one package without its listed tests.
	Rerun bool
	// Code is the exit code.
	Code int
	// Tests holds the test results; nil if the part runs no tests.
	Tests *testjson.Execution
}

// Load reads the results of the named part from dir: the exit code from
// NAME.code and the test events from NAME.json, which may be missing.
func Load(dir, name string) (Part, error) {
	p := Part{
		Name: name,
	}
	text, err := os.ReadFile(filepath.Join(dir, name+".code"))
	if err != nil {
		return p, errors.Annotatef(err, "part %s did not end: run the tests again", name)
	}
	p.Code, err = strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return p, errors.Annotatef(err, "part %s has no exit code: run the tests again", name)
	}
	f, err := os.Open(filepath.Join(dir, name+".json"))
	if errors.Is(err, fs.ErrNotExist) {
		return p, nil
	}
	if err != nil {
		return p, errors.Trace(err)
	}
	defer func() { _ = f.Close() }()
	p.Tests, err = testjson.ScanTestOutput(testjson.ScanConfig{
		Stdout: f,
	})
	return p, errors.Annotatef(err, "the events of part %s can't be read", name)
}

// stringWriter adds WriteString to a writer.
type stringWriter struct{ io.Writer }

// WriteString writes s.
func (w stringWriter) WriteString(s string) (int, error) { return io.WriteString(w.Writer, s) }

// eventPrinter prints test events as they arrive.
type eventPrinter struct {
	format testjson.EventFormatter
	out    io.Writer
}

// Event prints one event.
func (p eventPrinter) Event(e testjson.TestEvent, x *testjson.Execution) error {
	if e.Action == testjson.ActionBuild {
		_, err := io.WriteString(p.out, e.Output)
		return err
	}
	if e.PackageEvent() && e.Action == testjson.ActionFail && e.Package != "" {
		// The output of TestMain and the runtime belongs to the package and to
		// no test, so the formatter does not print it.
		if err := x.Package(e.Package).WriteOutputTo(stringWriter{p.out}, 0); err != nil {
			return err
		}
	}
	return p.format.Format(e, x)
}

// Err prints a line that is not an event.
func (p eventPrinter) Err(text string) error {
	_, err := io.WriteString(p.out, text+"\n")
	return err
}

// Show reads the output of go test -json from r and prints to w a line for each
// package and the output of each failed test.
func Show(w io.Writer, r io.Reader) error {
	_, err := testjson.ScanTestOutput(testjson.ScanConfig{
		Stdout: r,
		Handler: eventPrinter{
			format: testjson.NewEventFormatter(w, "pkgname-and-test-fails", testjson.FormatOptions{
				HideEmptyPackages: true,
				Icons:             "text",
			}),
			out: w,
		},
		IgnoreNonJSONOutputLines: true,
	})
	return errors.Trace(err)
}

// Read reads a run: the list, the output of go list and the named parts. Errors
// become faults of the run.
func Read(list, dir string, parts, reruns []string) Run {
	var r Run
	addFault := func(err error) {
		if err != nil {
			r.Faults = append(r.Faults, err.Error())
		}
	}
	text, err := os.ReadFile(list)
	if !errors.Is(err, fs.ErrNotExist) {
		addFault(err)
	}
	r.List = Parse(string(text))
	f, err := os.Open(filepath.Join(dir, "packages"))
	addFault(err)
	if err == nil {
		defer func() { _ = f.Close() }()
		r.Suite, err = ReadSuite(f)
		addFault(err)
	}
	for i, name := range append(parts, reruns...) {
		p, err := Load(dir, name)
		addFault(err)
		p.Rerun = i >= len(parts)
		r.Parts = append(r.Parts, p)
	}
	return r
}
