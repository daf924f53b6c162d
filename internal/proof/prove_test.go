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

// op is one thing that happens to the world.
type op struct {
	name string
	at   int
	n    int
}

// String returns the operation as it stands in a trace.
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

func genOp() *rapid.Generator[op] {
	return rapid.Custom(func(t *rapid.T) op {
		return op{
			name: rapid.SampledFrom(opNames).Draw(t, "op"),
			at:   rapid.IntRange(0, 5).Draw(t, "at"),
			n:    rapid.IntRange(0, 50).Draw(t, "n"),
		}
	})
}

// nodeOps are what happens to an engine.
var nodeOps = map[string]func(n *fakeNode){
	"crash":  (*fakeNode).empty,
	"freeze": func(n *fakeNode) { n.frozen = true },
	"thaw":   func(n *fakeNode) { n.frozen = false; n.audible = time.Now() },
	"down":   func(n *fakeNode) { n.down = true; n.empty() },
	"up":     func(n *fakeNode) { n.down = false; n.audible = time.Now() },
	"back":   func(n *fakeNode) { n.leaving = time.Time{}; n.empty() },
	"weights": func(n *fakeNode) {
		n.version++
		n.empty()
	},
	"leave": func(n *fakeNode) {
		if n.leaving.IsZero() {
			n.leaving = time.Now()
		}
	},
}

// do has o happen. The serial number makes keys and ids unique.
func (w *world) do(o op, serial int) {
	w.count("op " + o.name)
	engine := w.nodes[fmt.Sprintf("e%d", o.at%engines)]
	if f := nodeOps[o.name]; f != nil {
		engine.set(f)
		return
	}
	switch o.name {
	case "cut", "mute", "double", "skip", "gap":
		engine.set(func(n *fakeNode) { n.faults[o.name] += 1 + o.n%3 })
	case "lost":
		service := w.nodes[fmt.Sprintf("b%d", o.at%services)]
		service.set(func(n *fakeNode) { n.faults["lost"] += 1 + o.n%3 })
	case "wait":
		time.Sleep(time.Duration(o.n) * 20 * time.Millisecond)
	case "pause":
		time.Sleep(time.Duration(o.n) * 100 * time.Millisecond)
	default:
		w.instance(o, serial)
		w.platform(o)
	}
}

// instance has o happen at an instance.
func (w *world) instance(o op, serial int) {
	i := o.at % instances
	switch o.name {
	case "chat":
		w.chat(i, o.n, []string{"loom", "braid"}[o.n%2])
	case "charge":
		w.charge(i, fmt.Sprintf("key%d", serial), 4)
		if o.n%2 == 0 {
			w.charge(i+1, fmt.Sprintf("key%d", serial), 4)
		}
	case "free":
		w.charge(i, "", 1)
	case "kill":
		w.kill(i)
	case "start":
		w.start(i)
	case "herd":
		for j := range w.slots {
			w.kill(j)
			w.start(j)
		}
	case "apply":
		w.apply(i, o.n, changeID(serial))
	case "race":
		w.apply(i, o.n, changeID(serial))
		w.apply(i+1, o.n+1, fmt.Sprintf("rival%d", serial))
	}
}

// platform has o happen to the platform or the ways to it.
func (w *world) platform(o op) {
	s := w.slots[o.at%instances]
	switch o.name {
	case "tabledown":
		w.table.set(func(t *fakeTable) { t.down = true })
	case "tableup":
		w.table.set(func(t *fakeTable) { t.down = false })
	case "tablelost":
		w.table.set(func(t *fakeTable) { t.lost += 1 + o.n%2 })
	case "tablelate":
		w.table.set(func(t *fakeTable) { t.late += 1 + o.n%2 })
	case "objectdown":
		w.object.set(true)
	case "objectup":
		w.object.set(false)
	case "notable":
		s.noTable.Store(true)
	case "nopeers":
		s.noPeers.Store(true)
	case "join":
		s.noTable.Store(false)
		s.noPeers.Store(false)
	}
}

// run plays ops in a world of its own and returns what did not hold.
func run(t *testing.T, ops []op, b breaks) ([]string, map[string]int) {
	t.Helper()
	var w *world
	synctest.Test(t, func(t *testing.T) {
		w = newWorld(b)
		w.hooked(t)
		time.Sleep(2 * time.Second)
		for i, o := range ops {
			w.do(o, i)
			time.Sleep(50 * time.Millisecond)
		}
		w.settle()
	})
	return w.breaches, w.counts
}

// batch is the usual length of a slice that rapid draws.
const batch = 6

// drawOps draws about as many operations as STEPS says, so that a breach still
// shrinks to a few.
func drawOps(rt *rapid.T) []op {
	steps := 60
	if n, err := strconv.Atoi(os.Getenv("STEPS")); err == nil {
		steps = n
	}
	var ops []op
	for range max(1, steps/batch) {
		ops = append(ops, rapid.SliceOf(genOp()).Draw(rt, "ops")...)
	}
	return ops
}

func TestPromisesHoldUnderFailures(t *testing.T) {
	total := map[string]int{}
	ops := 0
	begin := time.Now()
	rapid.Check(t, func(rt *rapid.T) {
		list := drawOps(rt)
		breaches, counts := run(t, list, breaks{})
		ops += len(list)
		for k, n := range counts {
			total[k] += n
		}
		if len(breaches) > 0 {
			rt.Logf("%d breaches, the first: %s", len(breaches), breaches[0])
			// The message must not change while rapid looks for a shorter trace.
			rule, _, _ := strings.Cut(breaches[0], ":")
			rt.Fatalf("the promise %q did not hold", rule)
		}
	})
	t.Logf("%d operations, %.0f a second", ops, float64(ops)/time.Since(begin).Seconds())
	for _, k := range slices.Sorted(maps.Keys(total)) {
		t.Logf("%6d %s", total[k], k)
	}
}
