package slope

import (
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/baobabtally/baobabtally/internal/ctrl"
	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/plat"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/alarm"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/queue"
	"github.com/baobabtally/baobabtally/pkg/route"
)

var (
	endpointSizes = []int{18, 200, 1000, 2000}
	blockSizes    = []int{10_000, 50_000, 200_000, 500_000}
	promptSizes   = []int{8, 32, 128, 512}
	teamSizes     = []int{8, 64, 256, 730}
	policySizes   = []int{1, 16, 128, 730}
	queueSizes    = []int{10, 100, 1000, 10_000}
	nodeSizes     = []int{8, 30, 340, 2340}
)

// Measure measures every cost that needs no sockets.
func Measure() []Measurement {
	return []Measurement{
		measure("routing decision, 32 blocks", "ns", "endpoints", endpointSizes, decisionTime),
		measure("routing decision, 18 endpoints", "ns", "blocks of the prompt", promptSizes, func(n int) float64 {
			return decisionTimeFor(18, n)
		}),
		measure("step: unchanged report", "ns", "endpoints", endpointSizes, unchangedReport),
		measure("step: changed report", "ns", "endpoints", endpointSizes, changedReport),
		measure("step: tick", "ns", "endpoints", endpointSizes, tickStep),
		measure("step: tick", "ns", "promises", policySizes, objectivesTickStep),
		measure("step: heartbeat", "ns", "endpoints with work", endpointSizes, heartbeatStep),
		measure("index: store one block", "ns", "indexed blocks", blockSizes, storeBlock),
		measure("index: memory", "bytes", "indexed blocks", blockSizes, indexMemory),
		measure("state: memory", "bytes", "endpoints", endpointSizes, stateMemory),
		measure("queue: enqueue and dequeue", "ns", "queued items", queueSizes, queueStep),
		measure("policy: match", "ns", "policies", policySizes, policyMatch),
		measure("heartbeat message", "bytes", "endpoints with work", endpointSizes, func(n int) float64 {
			return heartbeatBytes(n, 0)
		}),
		measure("heartbeat message", "bytes", "teams with usage", teamSizes, func(n int) float64 {
			return heartbeatBytes(0, n)
		}),
		measure("configuration message", "bytes", "policies", policySizes, documentBytes),
		measure("node registry response", "bytes", "nodes", nodeSizes, registryResponseBytes),
	}
}

var start = time.Unix(1_000_000_000, 0)

func nodes(n int) []member.Node {
	var out []member.Node
	for i := range n {
		out = append(out, member.Node{
			Name:   fmt.Sprintf("engine-%04d", i),
			Addr:   fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250),
			Role:   member.Engine,
			Domain: fmt.Sprint("domain-", i%10),
			Models: []string{fmt.Sprint("model-", i%32)},
		})
	}
	return out
}

func report() member.Report {
	return member.Report{
		Epoch:   "1/v1",
		Version: "v1",
		Slots:   16,
		Prefill: 20_000,
	}
}

// fleet returns the state of an instance in front of n engines of one model.
func fleet(n int) state.State {
	s := state.New(state.Self{
		Name: "i1",
	})
	list := nodes(n)
	for i := range list {
		list[i].Models = []string{"small"}
	}
	s = s.WithMembers(s.Members.WithRegistry(list))
	for _, node := range list {
		s = s.WithMembers(s.Members.WithReport(node.Name, report(), start))
		s = s.WithIndex(s.Index.WithEpoch(node.Name, "1/v1"))
	}
	return s
}

func hashes(from, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = uint64(from+i+1) * 0x9e3779b97f4a7c15
	}
	return out
}

func decisionTime(n int) float64 { return decisionTimeFor(n, 32) }

func decisionTimeFor(endpoints, blocks int) float64 {
	s := fleet(endpoints)
	hs := hashes(0, blocks)
	pool := s.Members.Pool("small")
	ix := s.Index
	for _, e := range pool[:4] {
		ix = ix.WithStored(e.Node.Name, "1/v1", hs, start)
	}
	q := route.Query{
		Hashes: hs,
		Tokens: blocks * prefix.BlockTokens,
		Now:    start,
		Seed:   1,
	}
	v := route.View{
		Nodes: s.Members,
		Cache: ix,
		Loads: s.Loads,
		Own:   &load.Gauge{},
	}
	return nanosPerCall(func() { route.Choose(q, pool, v) })
}

func controllerStep(s state.State, e state.Event) float64 {
	cs := ctrl.Controllers()
	return nanosPerCall(func() { ctrl.Step(cs, s, e, start) })
}

func unchangedReport(n int) float64 {
	return controllerStep(fleet(n), state.Reported{
		Endpoint: "engine-0001",
		Report:   report(),
	})
}

func changedReport(n int) float64 {
	r := report()
	r.Departing = true
	return controllerStep(fleet(n), state.Reported{
		Endpoint: "engine-0001",
		Report:   r,
	})
}

func tickStep(n int) float64 { return controllerStep(fleet(n), state.Tick{}) }

func objectivesTickStep(n int) float64 {
	s := fleet(18)
	doc := document(n)
	s = s.WithConfig(s.Config.WithDocument(doc))
	for _, p := range doc.Policies() {
		s = s.WithAlarms(s.Alarms.With(p.Name, alarm.Tally{
			Good: 10,
		}, 0.95, start))
	}
	return controllerStep(s, state.Tick{})
}

func summary(endpoints, teams int) state.Summary {
	s := state.Summary{
		Seq:   1,
		Work:  map[string]load.Work{},
		Usage: map[string]float64{},
		Tally: map[string]alarm.Tally{},
	}
	for i := range endpoints {
		s.Work[fmt.Sprintf("engine-%04d", i)] = load.Work{
			Calls:         4,
			PrefillTokens: 3000,
		}
	}
	for i := range teams {
		s.Usage[fmt.Sprintf("team-%04d", i)] = 1234.5
	}
	return s
}

func heartbeat(endpoints, teams int) state.Heartbeat {
	return state.Heartbeat{
		Name:    "instance-0001",
		Epoch:   "3e1d7a52-58be-4b39-9a55-0d9b1d0f4c11",
		Version: 123_456,
		Summary: summary(endpoints, teams),
	}
}

func heartbeatStep(n int) float64 { return controllerStep(fleet(18), heartbeat(n, 8)) }

func heartbeatBytes(endpoints, teams int) float64 {
	return float64(proto.Size(peer.EncodeHeartbeat(heartbeat(endpoints, teams))))
}

func storeBlock(n int) float64 {
	ix := filledIndex(n)
	at := 0
	return nanosPerCall(func() {
		at++
		ix = ix.WithStored("e1", "1", hashes(at%n, 1), start)
	})
}

func filledIndex(n int) prefix.Index {
	var ix prefix.Index
	ix = ix.WithEpoch("e1", "1")
	return ix.WithStored("e1", "1", hashes(0, n), start)
}

func indexMemory(n int) float64 {
	return heapGrowth(func() any { return filledIndex(n) })
}

func stateMemory(n int) float64 {
	return heapGrowth(func() any { return fleet(n) })
}

// heapGrowth returns the heap size of the value that build returns.
func heapGrowth(build func() any) float64 {
	before := heap()
	value := build()
	after := heap()
	runtime.KeepAlive(value)
	return float64(after) - float64(before)
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func queueStep(n int) float64 {
	var q queue.Queue
	id := uint64(0)
	add := func() {
		id++
		q, _ = q.With(queue.Item{
			ID:     id,
			Team:   fmt.Sprint(id % 730),
			Cost:   100,
			Weight: 1,
		})
	}
	for range n {
		add()
	}
	return nanosPerCall(func() {
		add()
		_, q, _ = q.Next(0.2, queue.Any)
	})
}

func document(n int) policy.Document {
	text := ""
	for i := range n {
		text += fmt.Sprintf("[[policy]]\nname = \"policy-%d\"\ncover = \"team=team-%d, kind=check\"\nrank = \"urgent\"\ntarget = \"900ms\"\nwithin = 95\n\n", i, i)
	}
	doc, _ := policy.Decode(1, "change", "author", text)
	return doc
}

func policyMatch(n int) float64 {
	doc := document(n)
	labels := fleet(1).Members.Nodes(member.Engine)[0].Node.Labels.With("team", "other")
	return nanosPerCall(func() { doc.Match(labels) })
}

func documentBytes(n int) float64 {
	return float64(proto.Size(peer.EncodeDocument(document(n))))
}

func registryResponseBytes(n int) float64 {
	var entries []plat.Entry
	for _, node := range nodes(n) {
		entries = append(entries, plat.Entry{
			Name:   node.Name,
			Role:   node.Role.String(),
			Addr:   node.Addr,
			Domain: node.Domain,
			Models: node.Models,
		})
	}
	data, err := json.Marshal(entries)
	if err != nil {
		return 0
	}
	return float64(len(data))
}
