// Package stand implements in-memory stand-ins for the systems around the
// router: a language-model engine, a plain service, and the platform's table,
// object store and node registry.
//
// Each stand-in is an http.Handler that records what it executed, so that tests
// can compare it with what callers received. Faults that the real systems show
// are injected with POST /stand/fault and a body of {"kind": ..., "count": ...}.
//
//	srv := httptest.NewServer(stand.NewTable())
package stand
