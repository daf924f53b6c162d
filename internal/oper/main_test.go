package oper_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/oper"
)

// run returns the exit status and what was printed.
func run(args ...string) (int, string, string) {
	var out, err bytes.Buffer
	status := oper.Main(args, &out, &err)
	return status, out.String(), err.String()
}

func file(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "file.toml")
	require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

func TestLintTellsAllProblemsWithLines(t *testing.T) {
	good := file(t, "[[policy]]\nname = \"a\"\n")
	status, out, _ := run("lint", "--policies", good)
	require.Zero(t, status)
	require.Equal(t, "ok\n", out)
	bad := file(t, "[[policy]]\nname = \"a\"\nrank = \"high\"\nfloor = 3\n")
	status, _, errors := run("lint", "--policies", bad)
	require.Equal(t, 1, status)
	require.Contains(t, errors, "file.toml:3: policy a: write rank")
	require.Contains(t, errors, "file.toml:4: policy a: write a floor")
}

func TestBadInputNamesTheRemedyAndFails(t *testing.T) {
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
		status, _, errors := run(c.args...)
		require.Equal(t, c.status, status, name)
		require.Contains(t, errors, c.remedy, name)
	}
}
