// Package load estimates the load of each endpoint.
//
// The load that endpoints report is delayed. Each instance therefore counts its
// own calls exactly (Gauge), adds the digests of its peers and corrects the sum by
// the reports (Table). A Table is immutable and belongs to the control state; a
// Gauge is shared by the goroutines that handle traffic and uses atomic counters.
//
//	call := gauge.Start("e1", tokens)
//	defer call.End()
//	work := table.Work("e1", gauge.Work("e1"), prefillRate, now)
package load
