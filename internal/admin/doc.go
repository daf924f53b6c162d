// Package admin implements the API for operators.
//
// A change is committed by compare-and-set on one row of the table, archived in
// the object store, and rolled out to all instances. It is accepted only once
// it is effective on every instance that takes work. A change whose outcome
// can't be determined is reported as unknown, never as accepted.
//
//	srv := admin.New(loop, admin.WithTable(t), admin.WithObjectStore(o))
package admin
