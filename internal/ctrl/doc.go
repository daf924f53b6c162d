// Package ctrl implements the control thread.
//
// Controllers are pure functions: from a state, an event and the time they
// compute the next state and a list of actions. A Loop owns the state. For each
// event it runs the controllers in turn, publishes the new state through an
// atomic pointer and passes the actions to an executor, whose results come back
// as events. A controller or an action that panics costs its own result for that
// event, and is logged.
//
//	loop := ctrl.New(s, executor, ctrl.WithClock(time.Now))
//	go loop.Run(ctx)
//	view := loop.View()
package ctrl
