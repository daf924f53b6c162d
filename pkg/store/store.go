package store

import (
	"time"

	"github.com/juju/errors"
)

const (
	// ErrConflict is returned for a write whose row has another version than expected.
	ErrConflict = errors.ConstError("the row has another version: read it and decide again")
	// ErrMissing is returned for a key without a row.
	ErrMissing = errors.ConstError("there is no such row")
	// ErrUnavailable is returned when the table did not execute the call.
	ErrUnavailable = errors.ConstError("the table does not answer and took nothing: retry later")
	// ErrCompacted is returned when the requested changes are no longer retained.
	ErrCompacted = errors.ConstError("the history is gone: read the whole table")
	// ErrLost is returned when the response was lost, so that the write may or may
	// not have taken effect.
	ErrLost = errors.ConstError("the table's answer was lost: read the row back to settle it")
	// ErrMalformed is returned when the table answered with what can't be decoded. It
	// may do so again when the same changes are read again.
	ErrMalformed = errors.ConstError("the table's answer can't be decoded: check its address and version")
)

// MaxEra is the greatest era that counts. A greater one can't be right, and products of
// eras do not overflow.
const MaxEra = 1 << 40

// Row is a versioned key-value pair of the table.
type Row struct {
	// Key is unique in the table.
	Key string
	// Value is opaque to the table.
	Value []byte
	// Version increases with each write within an era. It is greater than 0 for a row
	// that exists.
	Version int64
	// Era is the store's era in which Version was read; 0 if the store has none.
	Era int64
	// Err says why the row can't be read; nil if it can. Value is then not valid, and
	// Key and Version may be zero.
	Err error
}

// Problem is a row that can't be used.
type Problem struct {
	// Key and Version identify the version of the row. They are zero if they can't be
	// read.
	Key     string
	Version int64
	// Err says why the row can't be used.
	Err error
}

// Problem returns the problem that r can't be used for the reason err.
func (r Row) Problem(err error) Problem {
	return Problem{
		Key:     r.Key,
		Version: r.Version,
		Err:     err,
	}
}

// Batch is the result of reading a table in full or its changes since a version.
type Batch struct {
	// Rows holds all rows, or only the changed ones.
	Rows []Row
	// Removed holds the keys of deleted rows.
	Removed []string
	// Version is the version of the newest change included in the batch.
	Version int64
	// Complete reports whether Rows holds all rows.
	Complete bool
	// Era is the store's era. It rises whenever the store has come back from an older
	// copy, after which versions are given out again. It is 0 for a store that never
	// does.
	Era int64
}

// Clock is a reading of the store's own monotonic clock.
type Clock struct {
	// Reading is the clock's value; 0 if the store does not provide one.
	Reading time.Duration
	// SentAt is the local time at which the call that returned the reading was sent.
	SentAt time.Time
	// Era is the store's era as far as it is known, which need not be that of the last
	// reading: Reading is 0 then. It is 0 for a store that has none.
	Era int64
}

// Since returns a lower bound of the time between stamp, an earlier value of the
// store's clock, and the reading. It returns false if either value is unknown.
func (c Clock) Since(stamp time.Duration) (time.Duration, bool) {
	if c.Reading <= 0 || stamp <= 0 || stamp > c.Reading {
		return 0, false
	}
	return c.Reading - stamp, true
}

// Stamp orders versions of a store that may come back from an older copy. Within an era
// versions increase; in the next one they are given out again.
type Stamp struct {
	Era     int64
	Version int64
}

// Before reports whether s is older than o.
func (s Stamp) Before(o Stamp) bool {
	if s.Era != o.Era {
		return s.Era < o.Era
	}
	return s.Version < o.Version
}
