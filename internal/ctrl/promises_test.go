package ctrl_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/alarm"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// promising is an instance whose route owes its requests an answer in time.
func promising(t *testing.T) *control {
	t.Helper()
	c := serving(t, "e1")
	c.step(state.SiteFound{
		Site: site.New(6, site.WithRoutes(site.Route{
			Name:   "check",
			Target: 500 * time.Millisecond,
		})),
	})
	return c
}

// outcomes steps through half of a promise's window, in which each second has
// the given outcomes, and returns the alarms that were announced.
func (c *control) outcomes(good, bad int64) []alarm.Alarm {
	var out []alarm.Alarm
	for range int(alarm.Window / time.Second / 2) {
		c.step(state.Collected{
			Summary: state.Summary{
				Tally: map[string]alarm.Tally{
					"check": {
						Good: good,
						Bad:  bad,
					},
				},
			},
		})
		c.wait(time.Second)
		for _, a := range c.actions {
			if announced, ok := a.(state.Announce); ok {
				out = append(out, announced.Alarm)
			}
		}
	}
	return out
}

func TestAlarmMeansThatARoutesPromiseIsAtRisk(t *testing.T) {
	require.Empty(t, promising(t).outcomes(99, 1))
	alarms := promising(t).outcomes(80, 20)
	require.NotEmpty(t, alarms)
	require.Equal(t, "check", alarms[0].Promise)
	require.True(t, alarms[0].Active())
}
