package oper_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/oper"
)

// run runs the command line and returns its exit status, stdout and stderr.
func run(args ...string) (int, string, string) {
	var out, err bytes.Buffer
	status := oper.Main(args, &out, &err)
	return status, out.String(), err.String()
}

// writeFile writes text to a file in a temporary folder and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file.toml")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

func TestLintReportsAllProblemsWithLines(t *testing.T) {
	good := writeFile(t, "[[policy]]\nname = \"a\"\n")
	status, out, _ := run("lint", "--policies", good)
	require.Zero(t, status)
	require.Equal(t, "ok\n", out)
	bad := writeFile(t, "[[policy]]\nname = \"a\"\nrank = \"high\"\nfloor = 3\n")
	status, _, stderr := run("lint", "--policies", bad)
	require.Equal(t, 1, status)
	require.Contains(t, stderr, "file.toml:3: policy a: write rank")
	require.Contains(t, stderr, "file.toml:4: policy a: write a floor")
}

func TestInvalidInputFailsWithRemedy(t *testing.T) {
	t.Setenv("BAOBABTALLY_SECRET", "")
	cases := map[string]struct {
		args   []string
		status int
		remedy string
	}{
		"unknown command":  {[]string{"fly"}, 2, "--help"},
		"nothing to check": {[]string{"lint"}, 1, "--settings"},
		"no file":          {[]string{"lint", "--settings", "/none"}, 1, "name another"},
		"no settings":      {[]string{"serve", "--settings", "/none"}, 1, "--settings"},
		"no secret":        {[]string{"status"}, 1, "at least 16"},
		"no base":          {[]string{"apply", "x.toml"}, 2, "base"},
		"bad address":      {[]string{"serve", "--listen", "300.0.0.1:1"}, 1, "listen"},
	}
	for name, c := range cases {
		status, _, stderr := run(c.args...)
		require.Equal(t, c.status, status, name)
		require.Contains(t, stderr, c.remedy, name)
	}
}
