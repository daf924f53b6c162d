package policy_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/label"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

const validText = `[[policy]]
name = "dye"
cover = "kind=check"
rank = "urgent"
target = "900ms"
within = 95

[[policy]]
name = "usual"
cover = ""
floor = 0.2
`

func ExampleDocument_Match() {
	doc, problems := policy.Decode(1, "first", "mill", validText)
	p, _ := doc.Match(label.Of("kind", "check"))
	fmt.Println(len(problems), p.Name, p.Rank, p.Target)
	// Output: 0 dye urgent 900ms
}

func TestInvalidPolicyKeepsItsLastValidVersion(t *testing.T) {
	doc, problems := policy.Decode(1, "a", "", validText)
	require.Empty(t, problems)
	bad := strings.Replace(validText, `"900ms"`, `"soon"`, 1)
	bad = strings.Replace(bad, "floor = 0.2", "floor = 0.4", 1)
	next, problems := doc.WithText(2, "b", "", bad)
	require.Len(t, problems, 1)
	require.Equal(t, "dye", problems[0].Policy)
	require.Equal(t, 5, problems[0].Line)
	dye, ok := next.Find("dye")
	require.True(t, ok, "the last valid policy stays in effect")
	require.Equal(t, 900*time.Millisecond, dye.Target)
	require.InDelta(t, 0.4, next.Floor(policy.Normal), 1e-9)
	require.Contains(t, next.Rejected(), "dye")
}

func TestDecodeOfTextReturnsTheSamePolicies(t *testing.T) {
	doc, _ := policy.Decode(1, "a", "", validText)
	again, problems := policy.Decode(1, "a", "", doc.Text())
	require.Empty(t, problems)
	require.Equal(t, doc.Policies(), again.Policies())
	require.Empty(t, doc.Compare(again))
}

func TestProblemsHaveLineAndRemedy(t *testing.T) {
	cases := map[string]struct {
		text   string
		line   int
		remedy string
	}{
		"unknown key":  {"[[policy]]\nname = \"a\"\ntargte = \"1s\"\n", 3, `did you mean "target"`},
		"bad selector": {"[[policy]]\nname = \"a\"\n\ncover = \"a in\"\n", 4, "(a,b)"},
		"no name":      {"[[policy]]\ncover = \"a\"\n", 1, "name"},
		"bad rank":     {"[[policy]]\nname = \"a\"\nrank = \"high\"\n", 3, "urgent"},
		"bad floor":    {"[[policy]]\nname = \"a\"\nfloor = 2\n", 3, "0.9"},
		"no TOML":      {"[[policy]]\nname = \"a\nfloor = 2\n", 2, "TOML"},
		"twice":        {"[[policy]]\nname = \"a\"\n[[policy]]\nname = \"a\"\n", 3, "taken"},
		"no header":    {"name = \"a\"\n", 1, "[[policy]]"},
	}
	for name, c := range cases {
		_, problems := policy.Decode(1, "", "", c.text)
		require.Len(t, problems, 1, name)
		require.Equal(t, c.line, problems[0].Line, name)
		require.Contains(t, problems[0].Remedy, c.remedy, name)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(validText)
	f.Add("[[policy]]\nname = 3\n[[policy]]\n")
	f.Fuzz(func(t *testing.T, text string) {
		doc, _ := policy.Decode(1, "", "", text)
		again, problems := policy.Decode(1, "", "", doc.Text())
		require.Empty(t, problems, "the text of effective policies is valid")
		require.Len(t, again.Policies(), len(doc.Policies()))
	})
}
