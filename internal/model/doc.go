// Package model simulates a language-model engine: a fixed number of slots, a
// prefill stage that processes one prompt at a time, and a bounded cache of
// prompt blocks. Package stand serves it over HTTP, and package bench drives it
// under a fake clock.
//
//	e := model.New(model.WithRate(10_000, 25*time.Millisecond))
//	prefilled, ok := e.Prefill(0, tokens, hashes, cancelled)
//	defer e.Release()
package model
