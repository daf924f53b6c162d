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
	waitSizes     = []int{10, 100, 1000, 10_000}
	nodeSizes     = []int{8, 30, 340, 2340}
)

// Rows measures everything that needs no sockets.
func Rows() []Row {
	return []Row{
		row("routing decision, 32 blocks", "ns", "endpoints", endpointSizes, decision),
		row("routing decision, 18 endpoints", "ns", "blocks of the prompt", promptSizes, func(n int) float64 {
			return decide(18, n)
		}),
		row("step: report without news", "ns", "endpoints", endpointSizes, quietReport),
		row("step: report with news", "ns", "endpoints", endpointSizes, loudReport),
		row("step: tick", "ns", "endpoints", endpointSizes, tick),
		row("step: tick", "ns", "promises", policySizes, promiseTick),
		row("step: pulse", "ns", "endpoints with work", endpointSizes, pulseStep),
		row("index: store one block", "ns", "blocks held", blockSizes, storeBlock),
		row("index: memory", "bytes", "blocks held", blockSizes, indexMemory),
		row("state: memory", "bytes", "endpoints", endpointSizes, stateMemory),
		row("queue: one in, one out", "ns", "items waiting", waitSizes, queueStep),
		row("policy: match", "ns", "policies", policySizes, match),
		row("pulse message", "bytes", "endpoints with work", endpointSizes, func(n int) float64 {
			return pulseBytes(n, 0)
		}),
		row("pulse message", "bytes", "teams with usage", teamSizes, func(n int) float64 {
			return pulseBytes(0, n)
		}),
		row("configuration message", "bytes", "policies", policySizes, documentBytes),
		row("platform's list", "bytes", "nodes", nodeSizes, listBytes),
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

// fleet returns the state of an instance before n engines of one model.
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

func decision(n int) float64 { return decide(n, 32) }

func decide(endpoints, blocks int) float64 {
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
	return timed(func() { route.Choose(q, pool, v) })
}

func stepTime(s state.State, e state.Event) float64 {
	cs := ctrl.Controllers()
	return timed(func() { ctrl.Step(cs, s, e, start) })
}

func quietReport(n int) float64 {
	return stepTime(fleet(n), state.Reported{
		Endpoint: "engine-0001",
		Report:   report(),
	})
}

func loudReport(n int) float64 {
	r := report()
	r.Departing = true
	return stepTime(fleet(n), state.Reported{
		Endpoint: "engine-0001",
		Report:   r,
	})
}

func tick(n int) float64 { return stepTime(fleet(n), state.Tick{}) }

func promiseTick(n int) float64 {
	s := fleet(18)
	doc := document(n)
	s = s.WithConfig(s.Config.WithDocument(doc))
	for _, p := range doc.Policies() {
		s = s.WithAlarms(s.Alarms.With(p.Name, alarm.Tally{
			Good: 10,
		}, 0.95, start))
	}
	return stepTime(s, state.Tick{})
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

func pulse(endpoints, teams int) state.Heartbeat {
	return state.Heartbeat{
		Name:    "instance-0001",
		Epoch:   "3e1d7a52-58be-4b39-9a55-0d9b1d0f4c11",
		Version: 123_456,
		Summary: summary(endpoints, teams),
	}
}

func pulseStep(n int) float64 { return stepTime(fleet(18), pulse(n, 8)) }

func pulseBytes(endpoints, teams int) float64 {
	return float64(proto.Size(peer.EncodePulse(pulse(endpoints, teams))))
}

func storeBlock(n int) float64 {
	ix := filled(n)
	at := 0
	return timed(func() {
		at++
		ix = ix.WithStored("e1", "1", hashes(at%n, 1), start)
	})
}

func filled(n int) prefix.Index {
	var ix prefix.Index
	ix = ix.WithEpoch("e1", "1")
	return ix.WithStored("e1", "1", hashes(0, n), start)
}

func indexMemory(n int) float64 {
	return memory(func() any { return filled(n) })
}

func stateMemory(n int) float64 {
	return memory(func() any { return fleet(n) })
}

// memory returns the bytes that what make returns holds.
func memory(build func() any) float64 {
	before := heap()
	kept := build()
	after := heap()
	runtime.KeepAlive(kept)
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
	return timed(func() {
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

func match(n int) float64 {
	doc := document(n)
	labels := fleet(1).Members.Nodes(member.Engine)[0].Node.Labels.With("team", "other")
	return timed(func() { doc.Match(labels) })
}

func documentBytes(n int) float64 {
	return float64(proto.Size(peer.EncodeDocument(document(n))))
}

func listBytes(n int) float64 {
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
