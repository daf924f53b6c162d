package member

import (
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/pkg/label"
)

const (
	// maxNameBytes is the maximum length of the names in an entry, which is the
	// platform's limit for the key of a row.
	maxNameBytes = 200
	// maxSlots is the maximum number of slots in an entry. It is orders of magnitude
	// above what one accelerator can run.
	maxSlots = 1 << 20
)

// Role is the kind of a node.
type Role uint8

const (
	// Instance is an instance of the router.
	Instance Role = iota
	// Engine is a language-model engine.
	Engine
	// Service is an endpoint of a service that runs no model.
	Service
	roles
)

// String returns the role's name in the platform's registry.
func (r Role) String() string { return [...]string{"instance", "engine", "service"}[r%3] }

// ParseRole returns the role with the given name in the platform's registry.
func ParseRole(s string) (Role, bool) {
	for _, r := range [...]Role{Instance, Engine, Service} {
		if r.String() == s {
			return r, true
		}
	}
	return Instance, false
}

// Node is an instance or an endpoint as the platform's registry describes it.
type Node struct {
	// Name is unique among all nodes.
	Name string `json:"Name"`
	// Role is the node's kind.
	Role Role `json:"Role"`
	// Addr is the node's IP address and port.
	Addr string `json:"Addr"`
	// Domain is the node's failure domain.
	Domain string `json:"Domain"`
	// Labels are the labels that operators attached to the node.
	Labels label.Set `json:"Labels"`
	// Models are the models or the services that an endpoint serves.
	Models []string `json:"Models"`
	// Fences reports whether an endpoint rejects orders with an old fencing token.
	Fences bool `json:"Fences"`
	// Software is the version of the node's software; empty if the registry does not
	// provide it.
	Software string `json:"Software,omitempty"`
	// Departing reports whether the registry marks the node as departing.
	Departing bool `json:"Leaving"`
	// Start distinguishes incarnations of a node under the same name; empty if the
	// registry does not provide it.
	Start string `json:"Start"`
}

// Report is what a node reports about itself.
type Report struct {
	// Epoch identifies the incarnation of the node and the version of its weights.
	Epoch string `json:"Epoch"`
	// Version is the version of an engine's weights.
	Version string `json:"Version"`
	// Departing reports whether the node is departing and accepts no new work.
	Departing bool `json:"Leaving"`
	// Slots is how many calls the node runs concurrently.
	Slots int `json:"Slots"`
	// Prefill is the rate, in tokens per second, at which an engine processes prompts.
	Prefill float64 `json:"Prefill"`
	// Step is the time between two output tokens of an engine under typical load.
	Step time.Duration `json:"Step"`
	// Busy reports whether an engine is executing an order.
	Busy bool `json:"Busy"`
	// Orders is the number of orders that an engine accepted since its start.
	Orders int64 `json:"Orders"`
}

// RegistryEntry is a node of the platform's registry with the report that the registry holds
// of it.
type RegistryEntry struct {
	// Node is the registry's description of the node.
	Node Node `json:"Node"`
	// Report is what the node last reported to the registry.
	Report Report `json:"Report"`
	// Weights holds the loaded version of each model of an engine. Invariant: never
	// modified in place.
	Weights map[string]int64 `json:"Weights"`
}

// Validate returns an error unless r describes an endpoint that can be called. Sources of
// entries validate each of them, so that one that another writer or another release made
// is left out and the others are kept.
func (r RegistryEntry) Validate() error {
	n := r.Node
	switch {
	case !validName(n.Name):
		return errors.New("its id is not printable ASCII of at most 200 bytes: register the endpoint under another id")
	case n.Role != Engine && n.Role != Service:
		return errors.Errorf("its role %d is not that of an endpoint: run the same version on all instances", n.Role)
	case !validAddr(n.Addr):
		return errors.New("its address is not that of one host: write an IP address and port such as 10.0.0.1:8080")
	case r.Report.Slots < 0 || r.Report.Slots > maxSlots:
		return errors.Errorf("its slots are not between 1 and %d: correct the program that wrote it", maxSlots)
	case len(n.Software) > maxNameBytes:
		return errors.New("the version of its software is too long: correct the program that wrote it")
	case len(n.Domain) > maxNameBytes:
		return errors.New("its failure domain is too long: correct the program that wrote it")
	case len(n.Models) == 0 || slices.ContainsFunc(n.Models, invalidModel):
		return errors.New("the name of its service is missing or too long: correct the program that wrote it")
	}
	for model, version := range r.Weights {
		if invalidModel(model) || version < 0 {
			return errors.New("a model has no name, one that is too long, or a negative version of weights: correct the program that wrote it")
		}
	}
	return nil
}

// invalidModel reports whether name can't be that of a model or a service.
func invalidModel(name string) bool { return name == "" || len(name) > maxNameBytes }

// validName reports whether name can be sent in a header and written to a log as it is.
func validName(name string) bool {
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return false
		}
	}
	return name != "" && len(name) <= maxNameBytes
}

// validAddr reports whether addr is the IP address and port of one host. The platform
// has no host names.
func validAddr(addr string) bool {
	ap, err := netip.ParseAddrPort(addr)
	return err == nil && ap.Port() != 0 && ap.Addr().Zone() == "" && !ap.Addr().IsUnspecified() && !ap.Addr().IsMulticast()
}

// Endpoint is a node with its own report and its health.
type Endpoint struct {
	// Node is the registry's description of the node.
	Node Node
	// Report is the node's last report; the zero value before the first one.
	Report Report
	// Hash is the hash of the node's name, for rendezvous hashing.
	Hash uint64
	// SuspectUntil is the time until which no calls are sent to the node after failures;
	// zero if it is not suspected.
	SuspectUntil time.Time
	// QuietUntil is the time until which the node wants no calls of this instance, as it
	// said in an answer; zero if it never did.
	QuietUntil time.Time
	// Announced reports whether this incarnation of the node said in an answer that it
	// is departing.
	Announced bool
	// reportedDeparting reports whether a peer or the registry says that the node is
	// departing.
	reportedDeparting bool
}

// Departing reports whether the node itself says that it accepts no new work.
func (e Endpoint) Departing() bool { return e.Report.Departing || e.Announced }

// Weight returns the endpoint's weight for key in rendezvous hashing. The endpoint with
// the greatest weight is preferred.
func (e Endpoint) Weight(key uint64) uint64 { return mix(key ^ e.Hash) }

// mix spreads the bits of x over the whole word; it is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
