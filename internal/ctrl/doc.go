// Package ctrl runs the control thread.
//
// Controllers are pure steps: a state, an event and the time give the next
// state and actions. A Loop owns the state, has the controllers step one
// after another, publishes each new state through one atomic pointer and has
// the actions done by a Doer, whose answers come back as events.
//
//	loop := ctrl.New(s, doer, ctrl.WithClock(time.Now))
//	go loop.Run(ctx)
//	view := loop.View()
package ctrl
