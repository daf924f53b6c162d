// Package model models a language-model engine: a number of slots, a prompt
// reader that takes one prompt after another, and a cache of prompt blocks in
// limited memory. The stand-in serves it over HTTP, and the bench drives it
// under a fake clock.
//
//	e := model.New(model.WithRate(10_000, 25*time.Millisecond))
//	run, ok := e.Begin(0, tokens, hashes, gone)
package model
