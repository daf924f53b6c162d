// Package load estimates how much work each endpoint has.
//
// Endpoints report their load with a lag, so each instance counts its own
// calls exactly (Gauge), adds the digests of its peers and corrects the sum by
// the reports (Table). A Table is immutable and belongs to control state; a
// Gauge is shared by the traffic threads and uses atomic counters.
//
//	done := gauge.Start("e1", tokens)
//	defer done()
//	work := table.Work("e1").Plus(gauge.Work("e1"))
package load
