// Package store defines what the coordination parts expect of the platform's
// table service: rows with versions, written only where the version matches.
//
// A write that failed with ErrUnavailable had no effect. One that failed with
// ErrLost may have had its effect; it is settled by reading the row back.
package store
