// Package alarm raises an alarm only when a promise is at risk.
//
// A promise is the share of requests that must meet a target over a window.
// The book counts outcomes in buckets and forecasts: when the recent rate of
// misses, carried on for the horizon, would use up what the promise allows,
// the alarm is raised. It is cleared only after the promise was safe for a
// while, so that one cause raises one alarm. A crash, a refused flood or an
// outage is no alarm by itself.
//
//	book = book.With("dye", alarm.Tally{Good: 90, Bad: 10}, 0.95, now)
//	book, changes := book.Judge(now)
package alarm
