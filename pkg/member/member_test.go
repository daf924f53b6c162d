package member_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/member"
)

var start = time.Unix(1_000_000, 0)

func engines(names ...string) []member.Node {
	var out []member.Node
	for _, n := range names {
		out = append(out, member.Node{
			Name:   n,
			Addr:   n,
			Role:   member.Engine,
			Models: []string{"small"},
		})
	}
	return out
}

func pool(s member.Set) []string {
	out := []string{}
	for _, e := range s.Pool("small") {
		out = append(out, e.Node.Name)
	}
	return out
}

func ExampleSet() {
	var set member.Set
	set = set.WithRegistry(engines("e1", "e2"))
	set = set.WithReport("e1", member.Report{
		Departing: true,
	}, start)
	for _, e := range set.Pool("small") {
		fmt.Println(e.Node.Name)
	}
	// Output: e2
}

func TestOwnReportTakesPrecedenceOverTheRegistry(t *testing.T) {
	set := member.Set{}.WithRegistry(engines("e1", "e2", "e3"))
	set = set.WithReport("e1", member.Report{
		Departing: true,
	}, start)
	require.Equal(t, []string{"e2", "e3"}, pool(set))
	set = set.WithRegistry(engines("e1", "e2", "e3"))
	require.Equal(t, []string{"e2", "e3"}, pool(set), "the registry lags behind")
}

func TestWrongReportsDoNotEmptyThePool(t *testing.T) {
	set := member.Set{}.WithRegistry(engines("e1", "e2", "e3", "e4"))
	for i, n := range []string{"e1", "e2", "e3", "e4"} {
		set = set.WithReportedDeparture(n, start.Add(time.Duration(i)))
		require.NotEmpty(t, pool(set))
	}
	require.Len(t, pool(set), 4, "reports about the whole pool are ignored")
	nodes := engines("e1", "e2", "e3", "e4")
	for i := range nodes {
		nodes[i].Departing = true
	}
	set = set.WithRegistry(nodes)
	require.Len(t, pool(set), 4)
}

func TestNodeReportedAsDepartingIsLeftOutUntilItAnswers(t *testing.T) {
	set := member.Set{}.WithRegistry(engines("e1", "e2", "e3")).WithReportedDeparture("e1", start)
	require.Equal(t, []string{"e2", "e3"}, pool(set))
	set = set.WithReport("e1", member.Report{}, start.Add(time.Second))
	require.Equal(t, []string{"e1", "e2", "e3"}, pool(set))
}

func TestSuspicionIncreasesAndEnds(t *testing.T) {
	set := member.Set{}.WithRegistry(engines("e1"))
	set = set.WithFailure("e1", start)
	e, _ := set.Find("e1")
	require.True(t, e.SuspectUntil.IsZero(), "a single failure does not make a node suspected")
	last := time.Duration(0)
	for range 10 {
		set = set.WithFailure("e1", start)
		e, _ = set.Find("e1")
		require.GreaterOrEqual(t, e.SuspectUntil.Sub(start), last)
		last = e.SuspectUntil.Sub(start)
	}
	require.LessOrEqual(t, last, 8*time.Second)
	set = set.WithSuccess("e1", start)
	e, _ = set.Find("e1")
	require.True(t, e.SuspectUntil.IsZero())
}

func TestReplacedNodeStartsWithoutHistory(t *testing.T) {
	set := member.Set{}.WithRegistry(engines("e1", "e2"))
	set = set.WithReport("e1", member.Report{
		Epoch:     "1",
		Departing: true,
	}, start)
	moved := engines("e1", "e2")
	moved[0].Addr = "elsewhere"
	set = set.WithRegistry(moved)
	require.Equal(t, []string{"e1", "e2"}, pool(set))
	e, _ := set.Find("e1")
	require.Empty(t, e.Report.Epoch)
}

func TestVersionIsTheMostCommonOne(t *testing.T) {
	set := member.Set{}.WithRegistry(engines("e1", "e2", "e3"))
	for i, v := range []string{"v1", "v2", "v2"} {
		set = set.WithReport(fmt.Sprint("e", i+1), member.Report{
			Version: v,
		}, start)
	}
	require.Equal(t, "v2", set.Version("small"))
}

// An entry that can't name an endpoint must not reach a set: an unknown role, for
// example, is outside of its tables.
func TestEntryMustNameAnEndpoint(t *testing.T) {
	valid := member.RegistryEntry{
		Node: member.Node{
			Name:   "i-7f3a91c2",
			Role:   member.Engine,
			Addr:   "10.0.0.9:8080",
			Models: []string{"llm"},
		},
		Weights: map[string]int64{
			"m": 1,
		},
	}
	require.NoError(t, valid.Validate())
	long := strings.Repeat("x", 201)
	for name, change := range map[string]func(r *member.RegistryEntry){
		"no name":         func(r *member.RegistryEntry) { r.Node.Name = "" },
		"long name":       func(r *member.RegistryEntry) { r.Node.Name = long },
		"line break":      func(r *member.RegistryEntry) { r.Node.Name = "a\nb" },
		"not ASCII":       func(r *member.RegistryEntry) { r.Node.Name = "é" },
		"instance":        func(r *member.RegistryEntry) { r.Node.Role = member.Instance },
		"unknown role":    func(r *member.RegistryEntry) { r.Node.Role = 77 },
		"host name":       func(r *member.RegistryEntry) { r.Node.Addr = "localhost:8080" },
		"port":            func(r *member.RegistryEntry) { r.Node.Addr = "10.0.0.9:65536" },
		"no port":         func(r *member.RegistryEntry) { r.Node.Addr = "10.0.0.9" },
		"port 0":          func(r *member.RegistryEntry) { r.Node.Addr = "10.0.0.9:0" },
		"any address":     func(r *member.RegistryEntry) { r.Node.Addr = "0.0.0.0:8080" },
		"negative slots":  func(r *member.RegistryEntry) { r.Report.Slots = -1 },
		"many slots":      func(r *member.RegistryEntry) { r.Report.Slots = math.MaxInt },
		"long domain":     func(r *member.RegistryEntry) { r.Node.Domain = long },
		"no service":      func(r *member.RegistryEntry) { r.Node.Models = nil },
		"empty service":   func(r *member.RegistryEntry) { r.Node.Models = []string{""} },
		"negative weight": func(r *member.RegistryEntry) { r.Weights = map[string]int64{"m": -1} },
		"unnamed model":   func(r *member.RegistryEntry) { r.Weights = map[string]int64{"": 1} },
	} {
		r := valid
		change(&r)
		require.Error(t, r.Validate(), name)
	}
}
