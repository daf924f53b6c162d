package triage_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/triage"
)

// failureEvents holds the events of a package whose only test fails.
const failureEvents = `{"Action":"run","Package":"m/a","Test":"TestBad"}
{"Action":"fail","Package":"m/a","Test":"TestBad"}
{"Action":"fail","Package":"m/a"}
`

// writeRun writes the result files of a run of a module with one test, with files
// added or replaced, and returns their folder.
func writeRun(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	all := map[string]string{
		"list":      entry("TestBad"),
		"a_test.go": source(bad),
		"packages":  fmt.Sprintf(`{"Dir":%q,"ImportPath":"m/a","Module":{"Path":"m"},"TestGoFiles":["a_test.go"]}`, dir),
	}
	for name, text := range files {
		all[name] = text
	}
	for name, text := range all {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	return dir
}

func TestIncompleteRunIsRed(t *testing.T) {
	t.Parallel()
	again := `{"Action":"pass","Package":"m/a"}` + "\n"
	for _, c := range []struct {
		name  string
		files map[string]string
		red   string
	}{
		{
			name: "complete",
			files: map[string]string{
				"plain.code": "1",
				"plain.json": failureEvents,
				"again.code": "0",
				"again.json": again,
			},
		},
		{
			name: "killed",
			files: map[string]string{
				"plain.code": "137",
				"plain.json": failureEvents,
				"again.code": "0",
				"again.json": again,
			},
			red: "plain ended with code 137, which no test explains",
		},
		{
			name: "exit code without a failed test",
			files: map[string]string{
				"plain.code": "1",
				"plain.json": `{"Action":"run","Package":"m/a","Test":"TestBad"}` + "\n" + `{"Action":"pass","Package":"m/a","Test":"TestBad"}` + "\n" + again,
				"again.code": "0",
				"again.json": again,
			},
			red: "plain ended with code 1, which no test explains",
		},
		{
			name: "rerun is missing",
			files: map[string]string{
				"plain.code": "1",
				"plain.json": failureEvents,
				"again.code": "0",
				"again.json": "",
			},
			red: "a was not run again without its listed tests",
		},
		{
			name: "part without an exit code",
			files: map[string]string{
				"plain.code": "1",
				"plain.json": failureEvents,
			},
			red: "part again did not end",
		},
		{
			name: "lines that are not events",
			files: map[string]string{
				"plain.code": "1",
				"plain.json": failureEvents + "PASS\n",
				"again.code": "0",
				"again.json": again,
			},
			red: "the events of part plain can't be read",
		},
		{
			name: "no packages",
			files: map[string]string{
				"packages":   "",
				"plain.code": "0",
				"plain.json": "",
				"again.code": "0",
				"again.json": "",
			},
			red: "list: TestBad does not exist",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			dir := writeRun(t, c.files)
			v := triage.Evaluate(triage.Read(filepath.Join(dir, "list"), dir, []string{"plain"}, []string{"again"}))
			require.Equal(t, c.red != "", v.Red(), v.String())
			require.Contains(t, v.String(), c.red)
		})
	}
}

func TestParseReportsInvalidEntries(t *testing.T) {
	t.Parallel()
	l := triage.Parse("What this is.\n\ntest: TestA/b c\npackage: pkg/a\ncommand: go test ./pkg/a, seed 3\nseen: \"late\": 3 > 2,\n  twice\nissue: 4\n \n\ntest TestB\n\ntest: TestC\ntest: TestD\n")
	require.Equal(t, []triage.Entry{
		{
			Test:    "TestA/b c",
			Package: "pkg/a",
			Command: "go test ./pkg/a, seed 3",
			Seen:    "\"late\": 3 > 2, twice",
			Issue:   "4",
		},
	}, l.Entries)
	require.Len(t, l.Faults, 2)
	require.Contains(t, l.Faults[0], `entry "test TestB" can't be read: write each line as key: value`)
	require.Contains(t, l.Faults[1], `entry "test: TestC" has 2 of "test"`)
	require.Empty(t, triage.Parse("").Faults)
}

func TestRepeatsSkipOnlyListedTests(t *testing.T) {
	t.Parallel()
	dir := writeRun(t, map[string]string{
		"list":       entry("TestBad") + entry("TestTable/a+b"),
		"a_test.go":  source(bad + "func TestTable(t *testing.T) {}\n"),
		"plain.code": "1",
		"plain.json": failureEvents,
	})
	require.Equal(t, []triage.Rerun{
		{
			Part:    "plain",
			Package: "m/a",
			Skip:    `^TestBad$|^TestTable$/^a\+b$`,
		},
	}, triage.Reruns(triage.Read(filepath.Join(dir, "list"), dir, []string{"plain"}, nil)))
}
