// Package member holds which instances and endpoints there are and which of
// them take new work.
//
// The platform's list lags, so what is nearer to a node goes before it: what
// the node says of itself, then what peers say, then the list. A node that
// says that it is leaving gets no new work. When only others say so, they are
// believed as long as half of a pool remains, so that a wrong report does not
// empty the fleet.
//
//	set = set.WithList(nodes, now)
//	set = set.WithReport("e1", report, now)
//	for _, e := range set.Pool("small") { ... }
package member
