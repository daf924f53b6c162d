package state

import (
	"time"

	"github.com/baobabtally/baobabtally/pkg/origin"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// SoftwareRow is the key of the row that holds the listed versions of the engines'
// software.
const SoftwareRow = "software/streams"

// Software is what an instance knows of the versions of the engines' software.
type Software struct {
	// Listed holds the versions that may have begun streams. It is empty until Known is
	// set for the first time.
	Listed origin.Listed
	// Known is set once Listed was read in the store's era, by this instance or a peer,
	// and Row is the row that holds it; its version is 0 if there is none.
	Known bool
	Row   store.Row
	// Found is set once Known was set for the first time.
	Found bool
	// DueSince is when the row was first to be written, or when that was last tried; zero if
	// it is not to be.
	DueSince time.Time
	// RetryAt is the earliest time to read the row again after a failure.
	RetryAt time.Time
	// Absent maps listed versions to the time since which no endpoint has them. Invariant:
	// the map is never written in place.
	Absent map[ServiceSoftware]time.Time
	// CountedAt is when Absent was last brought up to date.
	CountedAt time.Time
}

// ServiceSoftware is a version of the software of a service's endpoints.
type ServiceSoftware struct {
	Service string
	Version string
}

// WithRow returns a copy of w in which row lists listed.
func (w Software) WithRow(listed origin.Listed, row store.Row) Software {
	w.Listed = listed
	w.Known, w.Found = true, true
	w.Row = row
	w.DueSince = time.Time{}
	return w
}

// WithoutRow returns a copy of w whose row is to be read again.
func (w Software) WithoutRow() Software {
	w.Known = false
	return w
}

// WithRetryAt returns a copy of w whose row is not read before at.
func (w Software) WithRetryAt(at time.Time) Software {
	w.RetryAt = at
	return w
}

// WithDue returns a copy of w whose row is to be written since at; zero if not.
func (w Software) WithDue(at time.Time) Software {
	w.DueSince = at
	return w
}
