package peer

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// maxAge is the longest age that is taken from a peer: longer than any process runs, and
// short enough that sums with other durations do not overflow.
const maxAge = 365 * 24 * time.Hour

// encodeRelay returns r, the part of a heartbeat for instances that forward by
// routes, as a message.
func encodeRelay(r state.Relay) *rpcapi.Relay {
	m := &rpcapi.Relay{
		Addr:    r.Addr,
		Domain:  r.Domain,
		Site:    r.Site,
		Listing: r.RegistryVersion,
		Follows: r.StoreReachable,
		Era:     r.Era,
		Fresh:   encodeConfirmation(r.SiteConfirmed),
		Listed:  encodeConfirmation(r.RegistryConfirmed),
		Lease: &rpcapi.Lease{
			Version: r.Lease.Version,
			Value:   r.Lease.Value,
			Age:     r.LeaseAge.Milliseconds(),
		},
	}
	for _, w := range r.Weights {
		m.Weights = append(m.Weights, &rpcapi.Weights{
			Engine:  w.Engine,
			Model:   w.Model,
			Version: w.Version,
			Ordered: w.Ordered,
		})
	}
	m.Entries = encodeEntries(r.Entries)
	for _, name := range slices.Sorted(maps.Keys(r.DepartureVersions)) {
		m.Leavers = append(m.Leavers, &rpcapi.Leaver{
			Name:    name,
			Listing: r.DepartureVersions[name],
		})
	}
	for _, a := range r.Announcements {
		m.Announced = append(m.Announced, &rpcapi.Announced{
			Name:  a.Endpoint,
			Start: a.Start,
			Age:   a.Age.Milliseconds(),
		})
	}
	for _, n := range r.DesiredVersions {
		m.Names = append(m.Names, &rpcapi.Name{
			Model:   n.Model,
			Version: n.Version,
			Age:     n.Age.Milliseconds(),
			Dated:   n.Dated,
		})
	}
	for _, n := range r.Peers {
		m.Mates = append(m.Mates, &rpcapi.Mate{
			Name:   n.Name,
			Addr:   n.Addr,
			Domain: n.Domain,
		})
	}
	m.Poison = encodePoison(r.Poison)
	if r.Software.Version > 0 {
		m.Software = &rpcapi.Row{
			Version: r.Software.Version,
			Value:   r.Software.Value,
		}
	}
	return m
}

// encodeConfirmation returns the age of c in milliseconds, rounded up, or nil if it is not
// known.
func encodeConfirmation(c state.Confirmation) *int64 {
	if !c.Known {
		return nil
	}
	age := (c.Age + time.Millisecond - 1).Milliseconds()
	return &age
}

// decodeConfirmation returns the confirmation with the given age in milliseconds, or none
// for nil and for ages below zero, which no instance sends.
func decodeConfirmation(age *int64) state.Confirmation {
	if age == nil || *age < 0 {
		return state.Confirmation{}
	}
	return state.Confirmation{
		Known: true,
		Age:   ageOf(*age),
	}
}

// decodeRelay returns the part of a heartbeat that m encodes.
func decodeRelay(m *rpcapi.Relay) state.Relay {
	r := state.Relay{
		Addr:              m.GetAddr(),
		Domain:            m.GetDomain(),
		Site:              m.GetSite(),
		RegistryVersion:   m.GetListing(),
		StoreReachable:    m.GetFollows(),
		Era:               min(max(m.GetEra(), 0), store.MaxEra),
		SiteConfirmed:     decodeConfirmation(m.Fresh),
		RegistryConfirmed: decodeConfirmation(m.Listed),
		Lease: store.Row{
			Version: m.GetLease().GetVersion(),
			Value:   m.GetLease().GetValue(),
		},
		LeaseAge: ageOf(m.GetLease().GetAge()),
	}
	for _, w := range m.GetWeights() {
		r.Weights = append(r.Weights, state.EngineWeights{
			Engine:  w.GetEngine(),
			Model:   w.GetModel(),
			Version: w.GetVersion(),
			Ordered: w.GetOrdered(),
		})
	}
	r.Entries = decodeEntries(m.GetEntries())
	for _, l := range m.GetLeavers() {
		if r.DepartureVersions == nil {
			r.DepartureVersions = map[string]int64{}
		}
		r.DepartureVersions[l.GetName()] = l.GetListing()
	}
	for _, a := range m.GetAnnounced() {
		r.Announcements = append(r.Announcements, state.Announcement{
			Endpoint: a.GetName(),
			Start:    a.GetStart(),
			Age:      time.Duration(a.GetAge()) * time.Millisecond,
		})
	}
	for _, n := range m.GetNames() {
		if n.GetModel() == "" || n.GetVersion() <= 0 {
			continue
		}
		r.DesiredVersions = append(r.DesiredVersions, state.DesiredVersion{
			Model:   n.GetModel(),
			Version: n.GetVersion(),
			Age:     ageOf(n.GetAge()),
			Dated:   n.GetDated(),
		})
	}
	r.Peers = decodePeers(m.GetMates())
	r.Poison = decodePoison(m.GetPoison())
	if row := m.GetSoftware(); row.GetVersion() > 0 {
		r.Software = store.Row{
			Key:     state.SoftwareRow,
			Value:   row.GetValue(),
			Version: row.GetVersion(),
		}
	}
	return r
}

// decodePeers returns the instances that mates encodes, without those that can't be called.
func decodePeers(mates []*rpcapi.Mate) []member.Node {
	var peers []member.Node
	for _, n := range mates {
		if n.GetName() == "" || n.GetAddr() == "" {
			continue
		}
		peers = append(peers, member.Node{
			Name:   n.GetName(),
			Role:   member.Instance,
			Addr:   n.GetAddr(),
			Domain: n.GetDomain(),
		})
	}
	return peers
}

// encodeEntries returns registry entries as messages.
func encodeEntries(entries []state.RecentEntry) []*rpcapi.Entry {
	var out []*rpcapi.Entry
	for _, recent := range entries {
		// What was read from the store can be encoded.
		if data, err := json.Marshal(recent.Entry); err == nil {
			out = append(out, &rpcapi.Entry{
				Listing: recent.Version,
				Data:    data,
			})
		}
	}
	return out
}

// decodeEntries returns the registry entries of messages. A peer of another release may
// send one that this release refuses; it is left out, since the store has it as well.
func decodeEntries(messages []*rpcapi.Entry) []state.RecentEntry {
	var out []state.RecentEntry
	for _, m := range messages {
		var entry member.RegistryEntry
		if json.Unmarshal(m.GetData(), &entry) != nil || entry.Validate() != nil {
			continue
		}
		out = append(out, state.RecentEntry{
			Entry:   entry,
			Version: m.GetListing(),
		})
	}
	return out
}

// ageOf returns an age in milliseconds as a duration within its range.
func ageOf(ms int64) time.Duration {
	return time.Duration(min(max(ms, 0), maxAge.Milliseconds())) * time.Millisecond
}

// registrySnapshot is the endpoints that an instance knows, as peers exchange them.
type registrySnapshot struct {
	Version int64                  `json:"Version"`
	Era     int64                  `json:"Era,omitempty"`
	Entries []member.RegistryEntry `json:"Entries"`
}

// encodeSnapshot encodes the engines and services of s, with the loaded version of
// weights of each engine.
func encodeSnapshot(s *state.State) ([]byte, error) {
	snapshot := registrySnapshot{
		Version: s.Routing.RegistryVersion,
		Era:     s.Routing.RegistryEra,
	}
	for _, r := range [...]member.Role{member.Engine, member.Service} {
		for _, e := range s.Members.Nodes(r) {
			snapshot.Entries = append(snapshot.Entries, member.RegistryEntry{
				Node:    e.Node,
				Report:  e.Report,
				Weights: s.Routing.Weights.LoadedBy(e.Node.Name),
			})
		}
	}
	data, err := json.Marshal(snapshot)
	return data, errors.Trace(err)
}

// decodeSnapshot returns the complete snapshot that data encodes, received from the
// peer named from.
func decodeSnapshot(data []byte, from string) (state.RegistrySnapshot, error) {
	var snapshot struct {
		Version int64             `json:"Version"`
		Era     int64             `json:"Era"`
		Entries []json.RawMessage `json:"Entries"`
	}
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return state.RegistrySnapshot{}, errors.Annotate(err, "the peer's registry snapshot is malformed: run the same version on all instances")
	}
	out := state.RegistrySnapshot{
		Version:  snapshot.Version,
		Era:      min(max(snapshot.Era, 0), store.MaxEra),
		Complete: true,
		Source:   from,
	}
	// Entries are decoded one by one, since a peer of another release may hold one that
	// this release refuses.
	for _, raw := range snapshot.Entries {
		var entry member.RegistryEntry
		err := json.Unmarshal(raw, &entry)
		if err == nil {
			err = entry.Validate()
		}
		if err != nil {
			out.Invalid = append(out.Invalid, store.Problem{
				Key: entry.Node.Name,
				Err: err,
			})
			continue
		}
		out.Put = append(out.Put, entry)
	}
	return out, nil
}
