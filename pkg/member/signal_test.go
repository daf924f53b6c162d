package member_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/pkg/member"
)

// started returns nodes with the given incarnation.
func started(start string, nodes []member.Node) []member.Node {
	for i := range nodes {
		nodes[i].Start = start
	}
	return nodes
}

// announced is the departure that incarnation 7 of a node announced at the start.
func announced(name string) member.Announcement {
	return member.Announcement{
		Endpoint: name,
		Start:    "7",
		Since:    start,
	}
}

// A registry that lags behind must not take an announced departure back, nor one that
// loses an entry and regains it.
func TestAnnouncedDepartureOutlastsTheRegistry(t *testing.T) {
	nodes := started("7", engines("e1", "e2"))
	set := member.Set{}.WithRegistry(nodes).WithDeparture(announced("e1"))
	require.Equal(t, []string{"e2"}, pool(set))
	set = set.WithRegistryEntry(member.RegistryEntry{
		Node: nodes[0],
		Report: member.Report{
			Slots: 3,
		},
	})
	set = set.WithReport("e1", member.Report{}, start).WithSuccess("e1", start)
	require.Equal(t, []string{"e2"}, pool(set))
	set = set.WithRegistry(nodes[1:]).WithRegistry(nodes)
	require.Equal(t, []string{"e2"}, pool(set), "the same incarnation is listed again")
}

// A late answer of the incarnation before must not mark the new one.
func TestNewIncarnationIsFree(t *testing.T) {
	set := member.Set{}.WithRegistry(started("7", engines("e1", "e2"))).WithDeparture(announced("e1"))
	set = set.WithRegistry(started("8", engines("e1", "e2")))
	require.Equal(t, []string{"e1", "e2"}, pool(set))
	set = set.WithDeparture(announced("e2"))
	require.Equal(t, []string{"e1", "e2"}, pool(set))
}

// Unlike a peer's word, a node's own word counts even if no node remains.
func TestAnnouncedDeparturesMayEmptyThePool(t *testing.T) {
	set := member.Set{}.WithRegistry(started("7", engines("e1", "e2")))
	set = set.WithDeparture(announced("e1")).WithDeparture(announced("e2"))
	require.Empty(t, pool(set))
}

func TestAnnouncementsAreForgottenAfterTheNodeIsGone(t *testing.T) {
	set := member.Set{}.WithRegistry(started("7", engines("e1", "e2"))).WithDeparture(announced("e1"))
	require.Len(t, set.Announcements(start.Add(-time.Second)), 1)
	require.Empty(t, set.Announcements(start))
	set, _ = set.WithoutPastSignals(start.Add(time.Hour))
	require.False(t, set.Departure("e1", "7").IsZero(), "the node is still listed")
	set, _ = set.WithRegistry(started("7", engines("e2"))).WithoutPastSignals(start.Add(time.Minute))
	require.False(t, set.Departure("e1", "7").IsZero(), "the registry may have lost the entry")
	set, _ = set.WithoutPastSignals(start.Add(time.Hour))
	require.True(t, set.Departure("e1", "7").IsZero())
}
