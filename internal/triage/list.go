package triage

import (
	"bufio"
	"io"
	"net/textproto"
	"regexp"
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Entry describes a test that is known to fail.
type Entry struct {
	// Test is the name of a test, or of a subtest as parent/subtest.
	Test string
	// Package is the end of the import path. It may be empty if only one
	// package declares the test.
	Package string
	// Command is the command line that runs the test, with its seed.
	Command string
	// Seen describes the failure.
	Seen string
	// Issue is the open issue.
	Issue string
}

// covers reports whether name is the listed test or one of its subtests.
func (e Entry) covers(name string) bool {
	return name == e.Test || strings.HasPrefix(name, e.Test+"/")
}

// root returns the name of the test function, without subtests.
func (e Entry) root() string {
	root, _, _ := strings.Cut(e.Test, "/")
	return root
}

// List holds the tests that are known to fail. The zero value is empty.
type List struct {
	// Entries holds the valid entries.
	Entries []Entry
	// Faults describes the invalid ones.
	Faults []string
}

// blankLines matches the blank lines between entries.
var blankLines = regexp.MustCompile(`\n[ \t\r]*\n\s*`)

// Parse parses a list: entries of "key: value" lines, separated by blank lines.
// A first paragraph without a colon is the heading. An indented line continues
// the line before.
func Parse(text string) List {
	var l List
	for i, paragraph := range blankLines.Split(strings.TrimSpace(text), -1) {
		if paragraph == "" || i == 0 && !strings.Contains(paragraph, ":") {
			continue
		}
		e, err := parseEntry(paragraph)
		if err != nil {
			l.Faults = append(l.Faults, err.Error())
			continue
		}
		l.Entries = append(l.Entries, e)
	}
	return l
}

func parseEntry(paragraph string) (Entry, error) {
	first, _, _ := strings.Cut(paragraph, "\n")
	r := textproto.NewReader(bufio.NewReader(strings.NewReader(paragraph + "\n\n")))
	header, err := r.ReadMIMEHeader()
	if err != nil && !errors.Is(err, io.EOF) {
		return Entry{}, errors.Annotatef(err, "list: entry %q can't be read: write each line as key: value", first)
	}
	e := Entry{}
	fields := map[string]*string{
		"Test":    &e.Test,
		"Package": &e.Package,
		"Command": &e.Command,
		"Seen":    &e.Seen,
		"Issue":   &e.Issue,
	}
	for key, values := range header {
		field, ok := fields[key]
		if !ok || len(values) != 1 {
			return Entry{}, errors.Errorf("list: entry %q has %d of %q: write test, command, seen, issue and at most a package, each once", first, len(values), strings.ToLower(key))
		}
		*field = values[0]
	}
	for _, key := range []string{"Test", "Command", "Seen", "Issue"} {
		if *fields[key] == "" {
			return Entry{}, errors.Errorf("list: entry %q has no %s: add it", first, strings.ToLower(key))
		}
	}
	return e, nil
}

// resolvedEntry is an entry with the import path of the package that declares its
// test.
type resolvedEntry struct {
	Entry
	path string
}

// resolve finds the package of each entry. It returns a fault for each entry
// whose package is missing or ambiguous and for each duplicate.
func (l List) resolve(s Suite) ([]resolvedEntry, []string) {
	var all []resolvedEntry
	faults := slices.Clone(l.Faults)
	for _, e := range l.Entries {
		paths := s.packagesDeclaring(e.root(), e.Package)
		switch len(paths) {
		case 0:
			faults = append(faults, "list: "+e.Test+" does not exist: remove its entry or correct its name")
		case 1:
			k := resolvedEntry{
				Entry: e,
				path:  paths[0],
			}
			if slices.ContainsFunc(all, func(o resolvedEntry) bool { return o.path == k.path && o.Test == k.Test }) {
				faults = append(faults, "list: "+e.Test+" is listed twice: keep one entry")
				continue
			}
			all = append(all, k)
		default:
			faults = append(faults, "list: "+e.Test+" is in "+strings.Join(paths, " and ")+": add a package to its entry")
		}
	}
	return all, faults
}
