package proof

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// op is one operation of a simulation: a request, a change or a fault.
type op struct {
	name string
	at   int
	n    int
}

// String returns the operation as printed in a trace.
func (o op) String() string { return fmt.Sprintf("%s(%d,%d)", o.name, o.at, o.n) }

var opNames = []string{
	"chat", "chat", "chat", "chat", "charge", "charge", "charge", "free",
	"kill", "start", "start", "herd",
	"crash", "freeze", "thaw", "down", "up", "leave", "back", "weights",
	"cut", "mute", "double", "skip", "gap", "lost",
	"tabledown", "tableup", "tableup", "tablelost", "tablelate", "objectdown", "objectup",
	"notable", "nopeers", "join", "join",
	"apply", "apply", "race",
	"wait", "wait", "pause",
}

func genOperation() *rapid.Generator[op] {
	return rapid.Custom(func(t *rapid.T) op {
		return op{
			name: rapid.SampledFrom(opNames).Draw(t, "op"),
			at:   rapid.IntRange(0, 5).Draw(t, "at"),
			n:    rapid.IntRange(0, 50).Draw(t, "n"),
		}
	})
}

// endpointOps holds the operations on an engine.
var endpointOps = map[string]func(n *fakeEndpoint){
	"crash":  (*fakeEndpoint).restart,
	"freeze": func(n *fakeEndpoint) { n.frozen = true },
	"thaw":   func(n *fakeEndpoint) { n.frozen = false; n.reachableSince = time.Now() },
	"down":   func(n *fakeEndpoint) { n.down = true; n.restart() },
	"up":     func(n *fakeEndpoint) { n.down = false; n.reachableSince = time.Now() },
	"back":   func(n *fakeEndpoint) { n.departingSince = time.Time{}; n.restart() },
	"weights": func(n *fakeEndpoint) {
		n.version++
		n.restart()
	},
	"leave": func(n *fakeEndpoint) {
		if n.departingSince.IsZero() {
			n.departingSince = time.Now()
		}
	},
}

// execute executes o. The serial number makes keys and IDs unique.
func (sim *simulation) execute(o op, serial int) {
	sim.count("op " + o.name)
	engine := sim.endpoints[fmt.Sprintf("e%d", o.at%engines)]
	if f := endpointOps[o.name]; f != nil {
		engine.set(f)
		return
	}
	switch o.name {
	case "cut", "mute", "double", "skip", "gap":
		engine.set(func(n *fakeEndpoint) { n.faults[o.name] += 1 + o.n%3 })
	case "lost":
		service := sim.endpoints[fmt.Sprintf("b%d", o.at%services)]
		service.set(func(n *fakeEndpoint) { n.faults["lost"] += 1 + o.n%3 })
	case "wait":
		time.Sleep(time.Duration(o.n) * 20 * time.Millisecond)
	case "pause":
		time.Sleep(time.Duration(o.n) * 100 * time.Millisecond)
	default:
		sim.executeOnInstance(o, serial)
		sim.executeOnPlatform(o)
	}
}

// executeOnInstance executes an operation on an instance.
func (sim *simulation) executeOnInstance(o op, serial int) {
	i := o.at % instances
	switch o.name {
	case "chat":
		sim.chat(i, o.n, []string{"loom", "braid"}[o.n%2])
	case "charge":
		sim.charge(i, fmt.Sprintf("key%d", serial), 4)
		if o.n%2 == 0 {
			sim.charge(i+1, fmt.Sprintf("key%d", serial), 4)
		}
	case "free":
		sim.charge(i, "", 1)
	case "kill":
		sim.kill(i)
	case "start":
		sim.start(i)
	case "herd":
		for j := range sim.slots {
			sim.kill(j)
			sim.start(j)
		}
	case "apply":
		sim.apply(i, o.n, changeID(serial))
	case "race":
		sim.apply(i, o.n, changeID(serial))
		sim.apply(i+1, o.n+1, fmt.Sprintf("rival%d", serial))
	}
}

// executeOnPlatform executes an operation on the platform or on the connections
// of an instance.
func (sim *simulation) executeOnPlatform(o op) {
	s := sim.slots[o.at%instances]
	switch o.name {
	case "tabledown":
		sim.table.set(func(t *fakeTable) { t.down = true })
	case "tableup":
		sim.table.set(func(t *fakeTable) { t.down = false })
	case "tablelost":
		sim.table.set(func(t *fakeTable) { t.lostResponses += 1 + o.n%2 })
	case "tablelate":
		sim.table.set(func(t *fakeTable) { t.lateWrites += 1 + o.n%2 })
	case "objectdown":
		sim.object.set(true)
	case "objectup":
		sim.object.set(false)
	case "notable":
		s.noTable.Store(true)
	case "nopeers":
		s.noPeers.Store(true)
	case "join":
		s.noTable.Store(false)
		s.noPeers.Store(false)
	}
}

// simulate executes ops in a new simulation and returns the violations and the
// counts of events.
func simulate(t *testing.T, ops []op, b mutations) ([]string, map[string]int) {
	t.Helper()
	var sim *simulation
	synctest.Test(t, func(t *testing.T) {
		sim = newSimulation(b)
		sim.recordInvariants(t)
		time.Sleep(2 * time.Second)
		for i, o := range ops {
			sim.execute(o, i)
			time.Sleep(50 * time.Millisecond)
		}
		sim.settle()
	})
	return sim.violations, sim.counts
}

// meanSliceLength is the usual length of a slice that rapid draws.
const meanSliceLength = 6

// drawOps draws about as many operations as STEPS says. It draws them as several
// short slices, so that rapid can shrink a failing trace to a few operations.
func drawOps(rt *rapid.T) []op {
	steps := 60
	if n, err := strconv.Atoi(os.Getenv("STEPS")); err == nil {
		steps = n
	}
	var ops []op
	for range max(1, steps/meanSliceLength) {
		ops = append(ops, rapid.SliceOf(genOperation()).Draw(rt, "ops")...)
	}
	return ops
}

func TestPromisesHoldUnderFailures(t *testing.T) {
	total := map[string]int{}
	ops := 0
	begin := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		list := drawOps(rt)
		violations, counts := simulate(t, list, mutations{})
		ops += len(list)
		for k, n := range counts {
			total[k] += n
		}
		if len(violations) > 0 {
			rt.Logf("%d violations, the first: %s", len(violations), violations[0])
			// The message contains only the rule: it must not change while rapid
			// shrinks the trace.
			rule, _, _ := strings.Cut(violations[0], ":")
			rt.Fatalf("the rule %q was violated", rule)
		}
	})
	t.Logf("%d operations, %.0f a second", ops, float64(ops)/time.Since(begin).Seconds())
	for _, k := range slices.Sorted(maps.Keys(total)) {
		t.Logf("%6d %s", total[k], k)
	}
}
