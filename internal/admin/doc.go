// Package admin answers operators.
//
// A change is made by compare-and-set on one row of the table, kept in the
// object store, and spread to all instances; it is accepted only once it is
// in force on every instance that takes work. What can't be settled is
// answered as unknown, never as accepted.
//
//	srv := admin.New(loop, admin.WithTable(t), admin.WithObject(o))
package admin
