package proof

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// runScenario runs f in a new simulation and checks that no rule was violated.
func runScenario(t *testing.T, f func(sim *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(mutations{})
		sim.recordInvariants(t)
		time.Sleep(2 * time.Second)
		f(sim)
		sim.settle()
		require.Empty(t, sim.violations)
	})
}

// TestResumedStreamSurvivesEngineCrash guards against duplicate output: after a
// stream was resumed through another instance and its engine crashed, the next
// engine generated again what the caller had received before it resumed.
func TestResumedStreamSurvivesEngineCrash(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		sim.chat(0, 1, "loom")
		time.Sleep(5 * chunkInterval)
		sim.kill(0)
		time.Sleep(3 * chunkInterval)
		for _, n := range sim.endpoints {
			n.set((*fakeEndpoint).restart)
		}
	})
}

// TestEngineDepartingWhileFrozenGetsNoWork guards against work for a departing
// engine: one that was told to depart while it was frozen got work after the
// freeze, before its first report.
func TestEngineDepartingWhileFrozenGetsNoWork(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		e := sim.endpoints["e0"]
		e.set(endpointOps["freeze"])
		e.set(endpointOps["leave"])
		time.Sleep(10 * time.Second)
		e.set(endpointOps["thaw"])
		for n := range 40 {
			sim.chat(n, n, "loom")
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestConsecutiveChangesAreAllAccepted checks that of 1000 changes in a row none
// is lost or reverted.
func TestConsecutiveChangesAreAllAccepted(t *testing.T) {
	runScenario(t, func(sim *simulation) {
		for n := range 1000 {
			sim.apply(n, n, changeID(n))
			time.Sleep(3 * time.Second)
		}
		require.Equal(t, 1000, sim.counted("apply accepted"))
	})
}
