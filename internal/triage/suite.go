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

// Suite holds the tests that the sources declare, including those of packages
// that do not build. The zero value is empty.
type Suite struct {
	// module is the module path, which is omitted from printed names.
	module string
	// tests maps an import path to its tests, in source order.
	// Invariant: never written after ReadSuite returns.
	tests map[string][]string
}

// goPackage is the part of the output of go list -json that is used here.
type goPackage struct {
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
		var p goPackage
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
				return s, errors.Annotatef(err, "the tests of %s can't be parsed: correct the file", p.ImportPath)
			}
			// A file with a syntax error yields the declarations before the
			// error. Its package fails to build, which makes the run red.
			s.tests[p.ImportPath] = append(s.tests[p.ImportPath], declaredTests(f)...)
		}
	}
}

// declaredTests returns the tests, fuzz tests and examples that go test runs.
func declaredTests(f *ast.File) []string {
	var names []string
	for _, d := range f.Decls {
		fn, ok := d.(*ast.FuncDecl)
		if !ok || fn.Recv != nil {
			continue
		}
		if isTestName(fn.Name.Name, "Test") && takesPointerTo(fn, "T") || isTestName(fn.Name.Name, "Fuzz") && takesPointerTo(fn, "F") {
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

// isTestName reports whether go test recognises name as a test with the given
// prefix.
func isTestName(name, prefix string) bool {
	rest, ok := strings.CutPrefix(name, prefix)
	first, _ := utf8.DecodeRuneInString(rest)
	return ok && (rest == "" || !unicode.IsLower(first))
}

// takesPointerTo reports whether fn has exactly one parameter, a pointer to the
// named type.
func takesPointerTo(fn *ast.FuncDecl, name string) bool {
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

// paths returns the import paths of the packages that have tests, sorted.
func (s Suite) paths() []string {
	return slices.Sorted(maps.Keys(s.tests))
}

// packagesDeclaring returns the packages that declare the test and whose import
// path ends in the path elements of end; an empty end matches every package.
func (s Suite) packagesDeclaring(test, end string) []string {
	var paths []string
	for _, path := range s.paths() {
		matches := end == "" || path == end || strings.HasSuffix(path, "/"+end)
		if matches && slices.Contains(s.tests[path], test) {
			paths = append(paths, path)
		}
	}
	return paths
}

// displayName returns the printed name of a test, or of a package if test is
// empty.
func (s Suite) displayName(path, test string) string {
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
