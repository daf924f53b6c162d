package triage

import (
	"encoding/json"
	"go/ast"
	"go/doc"
	"go/parser"
	"go/token"
	"io"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/juju/errors"
)

// Suite is the tests that the sources declare, also those of a package that
// does not build. The zero value is empty.
type Suite struct {
	// module is the path of the module, which names leave out.
	module string
	// tests maps an import path to its tests, in the order of the sources.
	// Invariant: never written after the Suite is made.
	tests map[string][]string
}

// listed is what go list -json tells of a package.
type listed struct {
	Dir        string `json:"Dir"`
	ImportPath string `json:"ImportPath"`
	Module     struct {
		Path string `json:"Path"`
	} `json:"Module"`
	TestGoFiles  []string `json:"TestGoFiles"`
	XTestGoFiles []string `json:"XTestGoFiles"`
}

// ReadSuite reads the output of go list -json and the test files that it names.
func ReadSuite(r io.Reader) (Suite, error) {
	s := Suite{
		tests: map[string][]string{},
	}
	d := json.NewDecoder(r)
	for {
		var p listed
		err := d.Decode(&p)
		if errors.Is(err, io.EOF) {
			return s, nil
		}
		if err != nil {
			return s, errors.Annotate(err, "the packages can't be read: check the output of go list")
		}
		s.module = p.Module.Path
		for _, name := range slices.Concat(p.TestGoFiles, p.XTestGoFiles) {
			f, err := parser.ParseFile(token.NewFileSet(), filepath.Join(p.Dir, name), nil, parser.ParseComments)
			if f == nil {
				return s, errors.Annotatef(err, "the tests of %s can't be read: mend the file", p.ImportPath)
			}
			// A file with a syntax error gives what stands before it; its
			// package fails to build and is red by that.
			s.tests[p.ImportPath] = append(s.tests[p.ImportPath], declared(f)...)
		}
	}
}

// declared gives the tests, fuzz tests and examples that go test runs.
func declared(f *ast.File) []string {
	var names []string
	for _, d := range f.Decls {
		fn, ok := d.(*ast.FuncDecl)
		if !ok || fn.Recv != nil {
			continue
		}
		if named(fn.Name.Name, "Test") && takes(fn, "T") || named(fn.Name.Name, "Fuzz") && takes(fn, "F") {
			names = append(names, fn.Name.Name)
		}
	}
	for _, e := range doc.Examples(f) {
		if e.Output != "" || e.EmptyOutput {
			names = append(names, "Example"+e.Name)
		}
	}
	return names
}

// named tells whether go test takes name for one of its functions.
func named(name, prefix string) bool {
	rest, ok := strings.CutPrefix(name, prefix)
	first, _ := utf8.DecodeRuneInString(rest)
	return ok && (rest == "" || !unicode.IsLower(first))
}

// takes tells whether fn has one parameter, which points to the named type.
func takes(fn *ast.FuncDecl, name string) bool {
	params := fn.Type.Params.List
	if len(params) != 1 || len(params[0].Names) > 1 {
		return false
	}
	star, ok := params[0].Type.(*ast.StarExpr)
	if !ok {
		return false
	}
	switch t := star.X.(type) {
	case *ast.SelectorExpr:
		return t.Sel.Name == name
	case *ast.Ident:
		return t.Name == name
	default:
		return false
	}
}

// paths are the packages that have tests, in order.
func (s Suite) paths() []string {
	return slices.Sorted(maps.Keys(s.tests))
}

// having gives the packages that end in end and have the test.
func (s Suite) having(test, end string) []string {
	var paths []string
	for _, path := range s.paths() {
		fits := end == "" || path == end || strings.HasSuffix(path, "/"+end)
		if fits && slices.Contains(s.tests[path], test) {
			paths = append(paths, path)
		}
	}
	return paths
}

// name is how a test or package is printed.
func (s Suite) name(path, test string) string {
	short := strings.TrimPrefix(strings.TrimPrefix(path, s.module), "/")
	switch {
	case test == "":
		return short
	case short == "":
		return test
	default:
		return short + "." + test
	}
}
