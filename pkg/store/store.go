package store

import (
	"time"

	"github.com/juju/errors"
)

const (
	// ErrConflict means that the row's version was another one.
	ErrConflict = errors.ConstError("the row has another version: read it and decide again")
	// ErrMissing means that there is no such row.
	ErrMissing = errors.ConstError("there is no such row")
	// ErrUnavailable means that the table did not take the call.
	ErrUnavailable = errors.ConstError("the table does not answer and took nothing: retry later")
	// ErrCompacted means that the changes asked for are no longer kept.
	ErrCompacted = errors.ConstError("the history is gone: read the whole table")
	// ErrLost means that the answer was lost and the write may have happened.
	ErrLost = errors.ConstError("the table's answer was lost: read the row back to settle it")
)

// Row is a row of the table.
type Row struct {
	// Key is unique in the table.
	Key string
	// Value is opaque to the table.
	Value []byte
	// Version grows with each write. It is above 0 for a row that exists.
	Version int64
}

// Batch is what was read of a table.
type Batch struct {
	// Rows are the rows, or those that changed.
	Rows []Row
	// Removed are the keys of rows that are gone.
	Removed []string
	// Version is that of the newest change that the batch reflects.
	Version int64
	// Whole tells that Rows are all rows.
	Whole bool
}

// Clock is a reading of a store's own clock, which is steady.
type Clock struct {
	// Reading is what it showed; 0 where the store tells none.
	Reading time.Duration
	// Asked is when the call was sent that it came with.
	Asked time.Time
}

// Since returns how long before the reading the store's clock showed stamp at least.
func (c Clock) Since(stamp time.Duration) (time.Duration, bool) {
	if c.Reading == 0 || stamp == 0 || stamp > c.Reading {
		return 0, false
	}
	return c.Reading - stamp, true
}
