// Package state defines the control state and the typed messages around it.
//
// A State is immutable. Events go into the control thread, actions come out
// of it, and each state that a step makes is published whole.
//
//	next, actions := step(s, state.Tick{}, now)
package state
