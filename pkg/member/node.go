package member

import (
	"time"

	"github.com/baobabtally/baobabtally/pkg/label"
)

// Role is what a node does.
type Role uint8

const (
	// Instance is an entry instance of the router.
	Instance Role = iota
	// Engine is a language-model engine.
	Engine
	// Service is an engine of a plain service.
	Service
	roles
)

// String returns the role as it stands in the platform's list.
func (r Role) String() string { return [...]string{"instance", "engine", "service"}[r%3] }

// ParseRole reads a role of the platform's list.
func ParseRole(s string) (Role, bool) {
	for _, r := range [...]Role{Instance, Engine, Service} {
		if r.String() == s {
			return r, true
		}
	}
	return Instance, false
}

// Node is an instance or an endpoint as the platform's list shows it.
type Node struct {
	// Name is unique over all nodes.
	Name string `json:"Name"`
	// Role is what the node does.
	Role Role `json:"Role"`
	// Addr is the node's IP address and port.
	Addr string `json:"Addr"`
	// Domain is the node's failure domain.
	Domain string `json:"Domain"`
	// Labels are what operators attached to the node.
	Labels label.Set `json:"Labels"`
	// Models are the models or the services that an endpoint serves.
	Models []string `json:"Models"`
	// Fences tells whether an endpoint refuses orders with an old fencing number.
	Fences bool `json:"Fences"`
	// Leaving is what the list says.
	Leaving bool `json:"Leaving"`
	// Start tells incarnations of a node with one name apart; empty where the
	// list does not say.
	Start string `json:"Start"`
}

// Report is what a node says of itself.
type Report struct {
	// Epoch identifies the incarnation of the node and the version of its weights.
	Epoch string `json:"Epoch"`
	// Version is the version of an engine's weights.
	Version string `json:"Version"`
	// Leaving tells that the node takes no new work.
	Leaving bool `json:"Leaving"`
	// Slots is how many calls the node runs at once.
	Slots int `json:"Slots"`
	// Prefill is the rate, in tokens a second, at which an engine reads prompts.
	Prefill float64 `json:"Prefill"`
	// Step is the time between two tokens of an engine at its usual load.
	Step time.Duration `json:"Step"`
	// Busy tells that an engine carries out an order.
	Busy bool `json:"Busy"`
	// Orders is how many orders an engine took since its start.
	Orders int64 `json:"Orders"`
}

// Listing is a node with what the platform's list says in its name.
type Listing struct {
	// Node is the node.
	Node Node `json:"Node"`
	// Report is what the node told the list of itself.
	Report Report `json:"Report"`
	// Weights are the versions of an engine's models. Invariant: never written.
	Weights map[string]int64 `json:"Weights"`
}

// Endpoint is a node that serves requests, with what it says of itself.
type Endpoint struct {
	// Node is the list's view.
	Node Node
	// Report is the endpoint's own view; the zero value before the first one.
	Report Report
	// Hash places the endpoint in rendezvous hashing.
	Hash uint64
	// Suspect is when calls may be sent again after failures.
	Suspect time.Time
	// blamed tells that others say the endpoint is leaving.
	blamed bool
}

// Weight returns the endpoint's weight for key in rendezvous hashing; the
// greatest is favoured.
func (e Endpoint) Weight(key uint64) uint64 { return mix(key ^ e.Hash) }

// mix spreads the bits of x over the whole word (the finaliser of SplitMix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
