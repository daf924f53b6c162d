package setup_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/setup"
)

const validSettings = `name = "i1"
domain = "a"
listen = "127.0.0.1:8080"
table = "http://127.0.0.1:1"
object = "http://127.0.0.1:2"
list = "http://127.0.0.1:3"
gap = "1s"
[secret]
env = "X"
[[caller]]
hash = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
team = "loom"
`

func TestValidSettingsHaveNoProblems(t *testing.T) {
	s, problems := setup.Parse(validSettings)
	require.Empty(t, problems)
	require.Equal(t, "i1", s.Name)
	require.Len(t, s.Callers, 1)
}

func TestAllProblemsAreReported(t *testing.T) {
	_, problems := setup.Parse("name = \"i1\"\nlisten = \"localhost\"\n")
	require.Greater(t, len(problems), 4)
	for _, p := range problems {
		require.NotEmpty(t, p.Remedy)
	}
}

func TestUnknownKeySuggestsNearest(t *testing.T) {
	_, problems := setup.Parse("nam = \"i1\"\nsecrte = 1\n")
	require.Len(t, problems, 2)
	require.Contains(t, problems[0].Remedy, `"name"`)
	require.Equal(t, 2, problems[1].Line)
}

func TestShortOrMissingSecretIsRejected(t *testing.T) {
	t.Setenv("BAOBABTALLY_TEST_SHORT", "short")
	_, err := setup.Source{
		Env: "BAOBABTALLY_TEST_SHORT",
	}.Read()
	require.ErrorContains(t, err, "at least 16")
	_, err = setup.Source{
		File: "/does/not/exist",
	}.Read()
	require.Error(t, err)
}

func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Fuzz(func(t *testing.T, text string) {
		s, problems := setup.Parse(text)
		if len(problems) == 0 {
			require.NotEmpty(t, s.Name)
		}
	})
}
