package member

import (
	"time"

	"github.com/baobabtally/baobabtally/pkg/label"
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
