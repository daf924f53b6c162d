// Package alarm raises an alarm when a service level objective is at risk.
//
// An objective is the share of requests that must meet a target over a sliding
// window. A Tracker counts outcomes in buckets and extrapolates: an alarm is raised
// when the recent miss rate, continued for the forecast horizon, would exceed the
// share of misses that the objective allows. It is cleared only after the
// objective was not at risk for some time, so that one cause raises one alarm. An
// endpoint crash, rejected excess load or an outage raises no alarm by itself.
//
//	tracker = tracker.With("dye", alarm.Tally{Good: 90, Bad: 10}, 0.95, now)
//	tracker, changes := tracker.Evaluate(now)
package alarm
