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

// Part is what one part of the test command left.
type Part struct {
	// Name names the part's files.
	Name string
	// Again tells that the part runs one package again without its listed tests.
	Again bool
	// Code is the exit code.
	Code int
	// Tests is what its tests did, or nil for a part that runs none.
	Tests *testjson.Execution
}

// Load reads the part that is named name from dir.
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

// text makes a writer one of strings.
type text struct{ io.Writer }

// WriteString writes s.
func (t text) WriteString(s string) (int, error) { return io.WriteString(t.Writer, s) }

// show prints events as they come.
type show struct {
	format testjson.EventFormatter
	out    io.Writer
}

// Event prints one event.
func (s show) Event(e testjson.TestEvent, x *testjson.Execution) error {
	if e.Action == testjson.ActionBuild {
		_, err := io.WriteString(s.out, e.Output)
		return err
	}
	if e.PackageEvent() && e.Action == testjson.ActionFail && e.Package != "" {
		// What TestMain and the runtime print belongs to no test.
		if err := x.Package(e.Package).WriteOutputTo(text{s.out}, 0); err != nil {
			return err
		}
	}
	return s.format.Format(e, x)
}

// Err prints a line that is no event.
func (s show) Err(text string) error {
	_, err := io.WriteString(s.out, text+"\n")
	return err
}

// Show prints the events of go test -json from r to w: a line for each package
// and the output of each test that fails.
func Show(w io.Writer, r io.Reader) error {
	_, err := testjson.ScanTestOutput(testjson.ScanConfig{
		Stdout: r,
		Handler: show{
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

// Read reads a run: the list, the packages and the named parts. What can't be
// read is among the run's faults.
func Read(list, dir string, parts, again []string) Run {
	var r Run
	note := func(err error) {
		if err != nil {
			r.Faults = append(r.Faults, err.Error())
		}
	}
	text, err := os.ReadFile(list)
	if !errors.Is(err, fs.ErrNotExist) {
		note(err)
	}
	r.List = Parse(string(text))
	f, err := os.Open(filepath.Join(dir, "packages"))
	note(err)
	if err == nil {
		defer func() { _ = f.Close() }()
		r.Suite, err = ReadSuite(f)
		note(err)
	}
	for i, name := range append(parts, again...) {
		p, err := Load(dir, name)
		note(err)
		p.Again = i >= len(parts)
		r.Parts = append(r.Parts, p)
	}
	return r
}
