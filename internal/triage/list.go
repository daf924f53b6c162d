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

// Entry is a test that may fail.
type Entry struct {
	// Test is the test's name; a subtest follows its parent after a slash.
	Test string
	// Package is the end of the import path. It may be empty where only one
	// package has the test.
	Package string
	// Command runs the test, with its seed.
	Command string
	// Seen is what was seen.
	Seen string
	// Issue is the open issue.
	Issue string
}

// covers tells whether a failure of name is one of the listed test.
func (e Entry) covers(name string) bool {
	return name == e.Test || strings.HasPrefix(name, e.Test+"/")
}

// root is the test function that runs the listed test.
func (e Entry) root() string {
	root, _, _ := strings.Cut(e.Test, "/")
	return root
}

// List is the tests that may fail. The zero value is empty.
type List struct {
	// Entries are the whole entries.
	Entries []Entry
	// Faults are what is wrong with the others.
	Faults []string
}

// blank is what separates entries.
var blank = regexp.MustCompile(`\n[ \t\r]*\n\s*`)

// Parse reads a list: entries of lines "key: value", separated by blank lines.
// A first paragraph without a key is the heading. An indented line goes on with
// the line before.
func Parse(text string) List {
	var l List
	for i, paragraph := range blank.Split(strings.TrimSpace(text), -1) {
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

// known is an entry with the package that has its test.
type known struct {
	Entry
	path string
}

// find gives each entry its package and says which can't have one.
func (l List) find(s Suite) ([]known, []string) {
	var all []known
	faults := slices.Clone(l.Faults)
	for _, e := range l.Entries {
		paths := s.having(e.root(), e.Package)
		switch len(paths) {
		case 0:
			faults = append(faults, "list: "+e.Test+" is not there any more: remove its entry or mend its name")
		case 1:
			k := known{
				Entry: e,
				path:  paths[0],
			}
			if slices.ContainsFunc(all, func(o known) bool { return o.path == k.path && o.Test == k.Test }) {
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
