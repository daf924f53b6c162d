// Package member tracks the known instances and endpoints and which of them accept
// new work.
//
// The platform's registry lags behind, so that more direct sources take precedence:
// first the node's own report, then the reports of peers, then the registry. A node
// that reports its own departure gets no new work. If only a peer or the registry
// reports it, the node is left out as long as at least half of its pool remains, so
// that wrong reports can't empty a pool.
//
// In its answers a node may announce its departure, or ask for quiet until a time. Both
// hold for one incarnation of the node, and no other source takes them back.
//
//	set = set.WithRegistry(nodes)
//	set = set.WithReport("e1", report, now)
//	for _, e := range set.Pool("small") { ... }
package member
