package triage_test

import (
	"context"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runTimeout bounds one run of the script, which takes some seconds once the standard
// library is compiled.
const runTimeout = time.Minute

// compileTimeout bounds the run that compiles the standard library with the race
// detector and the flags of the runs, which takes minutes on a machine that has not
// done so before.
const compileTimeout = 8 * time.Minute

// waitDelay bounds the wait for child processes of the script after it exits.
const waitDelay = time.Second

// base holds the files of a module without tests that passes all checks. Its
// rapid package replaces the real one and declares the same flags.
var base = map[string]string{
	"go.mod":          "module example.org/m\n\ngo 1.26\n\nrequire pgregory.net/rapid v0.0.0\n\nreplace pgregory.net/rapid => ./rapid\n",
	"rapid/go.mod":    "module pgregory.net/rapid\n",
	"rapid/rapid.go":  "package rapid\n\nimport \"flag\"\n\nvar _, _ = flag.Int(\"rapid.seed\", 0, \"\"), flag.Int(\"rapid.checks\", 0, \"\")\n",
	"cmd/c/main.go":   "package main\n\nfunc main() {}\n",
	"scripts/path.sh": "echo ok path\nexit ${PATH_CODE:-0}\n",
	"golangci":        "#!/bin/sh\n[ \"$1\" != \"$FINDING\" ]\n",
}

// run runs the CI script on base with files added, with the triage binary at
// path, and returns its exit code and output.
func run(t *testing.T, path string, files map[string]string, env ...string) (int, string) {
	t.Helper()
	return runWithin(t, runTimeout, path, files, env...)
}

// runWithin is run with the given bound.
func runWithin(t *testing.T, timeout time.Duration, path string, files map[string]string, env ...string) (int, string) {
	t.Helper()
	dir := t.TempDir()
	write := func(name, text string) {
		name = filepath.Join(dir, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(name), 0o755))
		// Another case that forks while the file is open for writing would pass the
		// descriptor on to its child, and the file could not be executed: "text file busy".
		syscall.ForkLock.RLock()
		err := os.WriteFile(name, []byte(text), 0o755)
		syscall.ForkLock.RUnlock()
		require.NoError(t, err)
	}
	for _, name := range []string{"Makefile", ".ci/run", "scripts/test.sh"} {
		text, err := os.ReadFile(filepath.Join("../..", name))
		require.NoError(t, err)
		write(name, string(text))
	}
	for name, text := range base {
		write(name, text)
	}
	for name, text := range files {
		write(name, text)
	}
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(dir, ".ci/run"))
	cmd.WaitDelay = waitDelay
	// These settings save time: a binary with the race detector sleeps for a
	// second before it exits, and its symbols take long to link.
	cmd.Env = append(os.Environ(), "TRIAGE="+path, "MAKEFLAGS=GOLANGCI=./golangci", "GORACE=atexit_sleep_ms=0", "GOFLAGS="+os.Getenv("GOFLAGS")+" -ldflags=-s")
	cmd.Env = append(cmd.Env, "PATH="+filepath.Join(dir, "first")+":"+os.Getenv("PATH"))
	cmd.Env = append(cmd.Env, env...)
	out, err := cmd.CombinedOutput()
	if err != nil {
		var exit *exec.ExitError
		require.ErrorAs(t, err, &exit, string(out))
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// verdictCase is one run of the script and its expected output.
type verdictCase struct {
	name  string
	list  string
	files map[string]string
	env   []string
	// red holds exactly the reasons that are printed after "red: ".
	red []string
	// lines holds other lines that must be printed; the last one is the verdict.
	lines []string
}

const (
	greenLine = "verdict: green (path ok, tests ok)"
	redLine   = "verdict: red (path ok, tests failed)"
	outside   = " failed outside its tests: build, TestMain, race or leak"
	repeated  = ", run again without the listed tests"
)

// listedCases are listed failures, which are ignored; each has its own package.
func listedCases() []verdictCase {
	return []verdictCase{
		{
			name: "listed tests fail, and the part after them runs",
			list: "A heading.\n\n" + entry("TestBad", "package: bad\n") + entry("TestDrawn") + entry("TestTable/one") + entry("TestRace") + entry("TestPanic") + entry("TestFixed"),
			files: map[string]string{
				"bad/a_test.go":   source(good + bad),
				"skip/a_test.go":  source("func TestBad(t *testing.T) { t.Skip() }"),
				"table/a_test.go": source("func TestTable(t *testing.T) { t.Run(\"one\", func(t *testing.T) { t.Fail() }) }"),
				"race/a_test.go":  source("func TestRace(t *testing.T) { race() }\n" + race),
				"panic/a_test.go": source(good + "func TestPanic(t *testing.T) { panic(1) }"),
				"fixed/a_test.go": source("func TestFixed(t *testing.T) {}"),
				"drawn/a_test.go": source("func TestDrawn(t *testing.T) { t.Run(\"sub\", func(t *testing.T) { t.Fail() }) } // rapid"),
			},
			lines: []string{
				"failed as listed: bad.TestBad, issue 7: it failed (go test ./a)",
				"failed as listed: drawn.TestDrawn, issue 7: it failed (go test ./a)",
				"failed as listed: table.TestTable/one, issue 7: it failed (go test ./a)",
				"failed as listed: race.TestRace, issue 7: it failed (go test ./a)",
				"failed as listed: panic.TestPanic, issue 7: it failed (go test ./a)",
				"passed though listed: fixed.TestFixed, issue 7: remove its entry once its fault is fixed",
				"8 tests ran, 5 of them failed as listed, 1 were skipped, 0 did not run",
				greenLine,
			},
		},
	}
}

// testCases are unlisted failures of tests; each has its own package.
func testCases() []verdictCase {
	return []verdictCase{
		{
			name: "other tests, siblings and parents fail",
			list: entry("TestBad", "package: other\n") + entry("TestSibling/one") + entry("TestParent/one"),
			files: map[string]string{
				"other/a_test.go":   source(bad + "func TestTable(t *testing.T) { t.Run(\"one\", func(t *testing.T) { t.Fail() }) }"),
				"same/a_test.go":    source(bad),
				"sibling/a_test.go": source("func TestSibling(t *testing.T) {\n\tfor _, n := range []string{\"one\", \"two\"} {\n\t\tt.Run(n, func(t *testing.T) { t.Fail() })\n\t}\n}"),
				"parent/a_test.go":  source("func TestParent(t *testing.T) { t.Run(\"one\", func(t *testing.T) { t.Fail() }); t.Fail() }"),
			},
			red: []string{
				"other.TestTable failed",
				"other.TestTable/one failed",
				"other.TestTable failed" + repeated,
				"other.TestTable/one failed" + repeated,
				"same.TestBad failed",
				"sibling.TestSibling/two failed",
				"sibling.TestSibling/two failed" + repeated,
				"sibling.TestSibling failed" + repeated,
				"parent.TestParent failed" + repeated,
			},
			lines: []string{
				"failed as listed: other.TestBad, issue 7: it failed (go test ./a)",
				"5 tests ran, 3 of them failed as listed, 0 were skipped, 0 did not run",
				redLine,
			},
		},
		{
			name: "a panic or a timeout keeps other tests from running",
			list: entry("TestPanic") + entry("TestSlow") + entry("TestBad"),
			files: map[string]string{
				"panic/a_test.go": source("func TestPanic(t *testing.T) { panic(1) }\n" + good),
				"slow/a_test.go":  source(timeout + "func TestSlow(t *testing.T) { time.Sleep(time.Minute) }\n" + good),
				"late/a_test.go":  source(timeout + bad + "func TestLate(t *testing.T) { time.Sleep(time.Minute) }\n" + good),
				"early/a_test.go": source("func TestMain(m *testing.M) {}\n" + good),
			},
			red: []string{
				"panic did not run TestGood",
				"slow did not run TestGood",
				"late.TestLate did not end",
				"late.TestLate did not end" + repeated,
				"late did not run TestGood",
				"early did not run TestGood",
			},
			lines: []string{
				"failed as listed: panic.TestPanic, issue 7: it failed (go test ./a)",
				"failed as listed: slow.TestSlow, issue 7: it failed (go test ./a)",
				"failed as listed: late.TestBad, issue 7: it failed (go test ./a)",
				"3 tests ran, 3 of them failed as listed, 0 were skipped, 5 did not run",
				redLine,
			},
		},
	}
}

// outsideCases are failures outside tests: builds, races and leaks.
func outsideCases() []verdictCase {
	return []verdictCase{
		{
			name: "a package does not build",
			list: entry("TestBad"),
			files: map[string]string{
				"a/a_test.go": source(bad),
				"b/b_test.go": source(good + "var _ = missing"),
			},
			red: []string{
				"b did not run TestGood",
				"b" + outside,
				"vet ended with code 1",
			},
			lines: []string{
				"failed as listed: a.TestBad, issue 7: it failed (go test ./a)",
				"1 tests ran, 1 of them failed as listed, 0 were skipped, 1 did not run",
				redLine,
			},
		},
		{
			name: "races and leaks, alone and masked by listed failures",
			list: entry("TestBad", "package: race\n") + entry("TestHide") + entry("TestMask"),
			files: map[string]string{
				"race/a_test.go": source(bad + "func TestRace(t *testing.T) { race() }\n" + race),
				"exit/a_test.go": source("func TestMain(m *testing.M) { m.Run(); race() }\n" + good + race),
				"hide/a_test.go": source("func TestMain(m *testing.M) { code := m.Run(); race(); os.Exit(code) }\nfunc TestHide(t *testing.T) { t.Fail() }\n" + race),
				"leak/a_test.go": source(leak + good),
				"mask/a_test.go": source(leak + good + "func TestMask(t *testing.T) { t.Fail() }"),
			},
			red: []string{
				"race.TestRace failed",
				"race.TestRace failed" + repeated,
				"exit" + outside,
				"hide" + outside + repeated,
				"leak" + outside,
				"mask" + outside + repeated,
			},
			lines: []string{
				"7 tests ran, 3 of them failed as listed, 0 were skipped, 0 did not run",
				redLine,
			},
		},
	}
}

// partCases are failures of parts that run no tests.
func partCases() []verdictCase {
	return []verdictCase{
		{
			name:  "vet",
			files: map[string]string{"a/a.go": "package a\n\nimport \"sync\"\n\nfunc F(m sync.Mutex) {}\n"},
			red:   []string{"vet ended with code 1"},
			lines: []string{redLine},
		},
		{
			name:  "the linter",
			env:   []string{"FINDING=run"},
			red:   []string{"lint ended with code 1"},
			lines: []string{redLine},
		},
		{
			name:  "the formatter",
			env:   []string{"FINDING=fmt"},
			red:   []string{"format ended with code 1"},
			lines: []string{redLine},
		},
		{
			name:  "the path fails and a listed test too",
			list:  entry("TestBad"),
			files: map[string]string{"a/a_test.go": source(bad)},
			env:   []string{"PATH_CODE=1"},
			lines: []string{
				"failed as listed: a.TestBad, issue 7: it failed (go test ./a)",
				"verdict: red (path failed, tests ok)",
			},
		},
		{
			name:  "the path fails and the tests are red too",
			env:   []string{"PATH_CODE=1", "FINDING=run"},
			red:   []string{"lint ended with code 1"},
			lines: []string{"verdict: red (path failed, tests failed)"},
		},
		{
			name: "a test command that prints a listed failure and stops",
			list: entry("TestBad"),
			files: map[string]string{
				"first/make": "#!/bin/sh\n[ \"$1\" = path ] && exit 0\necho '--- FAIL: TestBad (0.00s)'\necho 'FAIL example.org/m/b [build failed]'\necho 'panic: test timed out'\nexit 2\n",
			},
			lines: []string{redLine},
		},
	}
}

// listCases are lists with invalid entries.
func listCases() []verdictCase {
	return []verdictCase{
		{
			name: "entries whose test does not exist, is ambiguous or listed twice, or that are malformed",
			list: entry("TestGone") + entry("TestTable/gone") + entry("TestGood") + entry("TestTwice", "package: b\n") + entry("TestTwice", "package: b\n") + entry("TestOdd", "note: odd\n") +
				"command: go test ./a\nseen: it failed\nissue: 7\n\n" +
				"test: TestOne\nseen: it failed\nissue: 7\n\n" +
				"test: TestTwo\ncommand: go test ./a\nissue: 7\n\n" +
				"test: TestThree\ncommand: go test ./a\nseen: it failed\n",
			files: map[string]string{
				"a/a_test.go": source(good + "func TestTable(t *testing.T) {}"),
				"b/b_test.go": source(good + "func TestTwice(t *testing.T) {}"),
			},
			red: []string{
				"list: TestGone does not exist: remove its entry or correct its name",
				"list: TestGood is in example.org/m/a and example.org/m/b: add a package to its entry",
				"list: TestTable/gone does not exist: remove its entry or correct its name",
				"list: TestTwice is listed twice: keep one entry",
				`list: entry "test: TestOdd" has 1 of "note": write test, command, seen, issue and at most a package, each once`,
				`list: entry "command: go test ./a" has no test: add it`,
				`list: entry "test: TestOne" has no command: add it`,
				`list: entry "test: TestThree" has no issue: add it`,
				`list: entry "test: TestTwo" has no seen: add it`,
			},
			lines: []string{
				"4 tests ran, 0 of them failed as listed, 0 were skipped, 0 did not run",
				redLine,
			},
		},
	}
}

func TestScriptVerdict(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "triage")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, "../../cmd/triage").CombinedOutput()
	require.NoError(t, err, string(out))
	code, text := runWithin(t, compileTimeout, path, map[string]string{
		"KNOWN-RED.txt": "",
		"a/a_test.go":   source(good),
	})
	require.Zero(t, code, text)
	for _, c := range slices.Concat(listedCases(), testCases(), outsideCases(), partCases(), listCases()) {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			files := map[string]string{
				"KNOWN-RED.txt": c.list,
			}
			maps.Copy(files, c.files)
			code, out := run(t, path, files, c.env...)
			lines := strings.Split(strings.TrimSpace(out), "\n")
			var red []string
			for _, line := range lines {
				if reason, ok := strings.CutPrefix(line, "red: "); ok {
					red = append(red, reason)
				}
			}
			require.ElementsMatch(t, c.red, red, out)
			for _, line := range c.lines {
				require.Contains(t, lines, line, out)
			}
			require.Equal(t, c.lines[len(c.lines)-1], lines[len(lines)-1], out)
			require.Equal(t, 1, strings.Count(out, "verdict: "), out)
			require.Equal(t, out[strings.LastIndex(out, "verdict: "):] == greenLine+"\n", code == 0, out)
		})
	}
}
