// Package stand holds stand-ins for what lies around the router: an engine, a
// plain service, and the platform's table, object store and list.
//
// Each is an http.Handler that keeps its state in memory, keeps a record of
// what it did for tests to compare, and can be told to fail in the ways that
// the real ones do: POST /stand/fault with {"kind": ..., "count": ...}.
//
//	srv := httptest.NewServer(stand.NewTable())
package stand
