package ctrl_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/alarm"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// instanceWithTarget returns an instance with a route that has a latency target.
func instanceWithTarget(t *testing.T) *testInstance {
	t.Helper()
	c := servingInstance(t, "e1")
	c.step(state.SiteFound{
		Site: site.New(6, site.WithRoutes(site.Route{
			Name:          "check",
			TargetLatency: 500 * time.Millisecond,
		})),
	})
	return c
}

// recordOutcomes records the given outcomes in each second of half an alarm window,
// and returns the alarms that were announced.
func (c *testInstance) recordOutcomes(good, bad int64) []alarm.Alarm {
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
		c.advance(time.Second)
		for _, a := range c.actions {
			if announced, ok := a.(state.Announce); ok {
				out = append(out, announced.Alarm)
			}
		}
	}
	return out
}

func TestAlarmIsRaisedIfRouteMissesItsTarget(t *testing.T) {
	require.Empty(t, instanceWithTarget(t).recordOutcomes(99, 1))
	alarms := instanceWithTarget(t).recordOutcomes(80, 20)
	require.NotEmpty(t, alarms)
	require.Equal(t, "check", alarms[0].Objective)
	require.True(t, alarms[0].Active())
}
