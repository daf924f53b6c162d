// Package state defines the control state, and the events and actions of the
// control thread.
//
// A State is immutable. The control thread turns each event into a new State and
// a list of actions, and publishes the new State atomically.
//
//	next, actions := step(s, state.Tick{}, now)
package state
