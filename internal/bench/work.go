package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/baobabtally/baobabtally/internal/model"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

// Deployment describes the size and hardware of a fleet.
type Deployment struct {
	// Name is the name in reports.
	Name string
	// Domains, Engines and Instances are the numbers of failure domains, engines
	// and instances.
	Domains   int
	Engines   int
	Instances int
	// Distance is the network latency between two failure domains.
	Distance time.Duration
	// PrefillRate is an engine's prefill rate in tokens per second, and StepTime
	// the time per output token.
	PrefillRate float64
	StepTime    time.Duration
	// CacheBlocks is the capacity of an engine's prompt cache in blocks.
	CacheBlocks int
	// SharedPrefixes is the number of shared prompt prefixes per team.
	SharedPrefixes int
}

// Tassel returns the Tassel Creek deployment at its current size.
func Tassel() Deployment {
	return Deployment{
		Name:           "tassel",
		Domains:        4,
		Engines:        12,
		Instances:      7,
		Distance:       1500 * time.Microsecond,
		PrefillRate:    10_000,
		StepTime:       20 * time.Millisecond,
		CacheBlocks:    1600,
		SharedPrefixes: 30,
	}
}

// Midlands returns the Midlands deployment at its current size.
func Midlands() Deployment {
	return Deployment{
		Name:           "midlands",
		Domains:        3,
		Engines:        18,
		Instances:      8,
		Distance:       500 * time.Microsecond,
		PrefillRate:    10_000,
		StepTime:       20 * time.Millisecond,
		CacheBlocks:    1600,
		SharedPrefixes: 45,
	}
}

const (
	// teams is the number of teams. The first largeTeams of them send
	// largeTeamShare of the requests.
	teams          = 8
	largeTeams     = 2
	largeTeamShare = 0.5
	// A prompt consists of teamTokens that are shared by all requests of a team,
	// sharedTokens that are shared by those with the same prefix, and
	// uniqueTokens of its own.
	teamTokens   = 512
	sharedTokens = 2048
	uniqueTokens = 256
	// zipfExponent is the skew of the popularity of shared prefixes.
	zipfExponent = 1.1
	// checkShare is the share of requests that are checks, which are urgent. The
	// others are notes, which are normal.
	checkShare = 0.6
	// checkOutput and noteOutput are the output lengths in tokens.
	checkOutput = 8
	noteOutput  = 120
)

// Scenario is a deployment with a load and disturbances.
type Scenario struct {
	Deployment
	// Title is the name of the load in reports.
	Title string
	// Load is the arrival rate as a share of capacity.
	Load float64
	// Flood is the arrival rate of Rank from FloodAt to FloodEnd, as a multiple of
	// the rate that fills the fleet. 0 means no flood.
	Flood    float64
	Rank     policy.Rank
	FloodAt  time.Duration
	FloodEnd time.Duration
	// Greedy is the demand of the first team relative to that of any other team.
	// 0 means the usual distribution over large and small teams.
	Greedy float64
	// ConcentrateTeams sends the requests of each team to two instances.
	ConcentrateTeams bool
	// ShiftPopularity reverses the popularity of the shared prefixes halfway
	// through the measured time.
	ShiftPopularity bool
	// RestartAll restarts all instances halfway through the measured time.
	RestartAll bool
	// Crash restarts one engine after a third and another after two thirds of the
	// measured time.
	Crash bool
	// WarmUp and Length are the durations before and of the measurement.
	WarmUp time.Duration
	Length time.Duration
}

// Steady returns a scenario of constant load without disturbances.
func (d Deployment) Steady(load float64) Scenario {
	return Scenario{
		Deployment: d,
		Title:      fmt.Sprintf("steady %.0f%%", 100*load),
		Load:       load,
		WarmUp:     15 * time.Second,
		Length:     30 * time.Second,
	}
}

// WithFlood returns a copy of s with a flood of requests of one rank.
func (s Scenario) WithFlood(rank policy.Rank, times float64) Scenario {
	s.Title = fmt.Sprintf("%s flood %.0fx", rank, times)
	s.Flood = times
	s.Rank = rank
	s.FloodAt = 20 * time.Second
	s.FloodEnd = 45 * time.Second
	s.Length = 60 * time.Second
	return s
}

// WithGreedy returns a copy of s in which the first team's demand is a multiple of
// that of any other.
func (s Scenario) WithGreedy(times float64) Scenario {
	s.Title = fmt.Sprintf("greedy %.0fx", times)
	s.Greedy = times
	s.ConcentrateTeams = true
	return s
}

// WithTitle returns a copy of s with another title.
func (s Scenario) WithTitle(title string) Scenario {
	s.Title = title
	return s
}

// Capacity returns the rate of requests per second that fills the engines' slots.
func (d Deployment) Capacity() float64 {
	check := d.slotSeconds(checkOutput)
	note := d.slotSeconds(noteOutput)
	mean := checkShare*check + (1-checkShare)*note
	return float64(d.Engines*model.Slots) / mean
}

// slotSeconds returns how long a request holds a slot if most of its prompt is
// cached.
func (d Deployment) slotSeconds(output int) float64 {
	return float64(output+1)*d.StepTime.Seconds() + 2*float64(uniqueTokens)/d.PrefillRate
}

// arrival is one request of a scenario.
type arrival struct {
	at           time.Duration
	team         int
	sharedPrefix int
	serial       int
	rank         policy.Rank
	output       int
	instance     int
}

// arrivals returns the requests of a scenario, by rank and then by time. They
// arrive as a Poisson process.
func (s Scenario) arrivals(rnd *rand.Rand) []arrival {
	var out []arrival
	end := s.WarmUp + s.Length
	for _, rank := range []policy.Rank{policy.Urgent, policy.Normal} {
		share := checkShare
		if rank == policy.Normal {
			share = 1 - checkShare
		}
		base := s.Load * s.Capacity() * share
		for at := time.Duration(0); ; {
			rate := base
			if s.Flood > 0 && rank == s.Rank && at >= s.WarmUp+s.FloodAt && at < s.WarmUp+s.FloodEnd {
				rate = s.Flood * s.rankCapacity(rank)
			}
			at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
			if at >= end {
				break
			}
			out = append(out, s.newArrival(rnd, at, rank, len(out)))
		}
	}
	return out
}

// rankCapacity returns the rate of requests per second at which one rank alone
// fills the engines' slots.
func (s Scenario) rankCapacity(rank policy.Rank) float64 {
	output := noteOutput
	if rank == policy.Urgent {
		output = checkOutput
	}
	return float64(s.Engines*model.Slots) / s.slotSeconds(output)
}

// newArrival returns a request with a random team, shared prefix and instance.
func (s Scenario) newArrival(rnd *rand.Rand, at time.Duration, rank policy.Rank, serial int) arrival {
	a := arrival{
		at:           at,
		team:         s.pickTeam(rnd),
		sharedPrefix: zipf(rnd, s.SharedPrefixes),
		serial:       serial,
		rank:         rank,
		output:       noteOutput,
	}
	if rank == policy.Urgent {
		a.output = checkOutput
	}
	if s.ShiftPopularity && at > s.WarmUp+s.Length/2 {
		a.sharedPrefix = s.SharedPrefixes - 1 - a.sharedPrefix
	}
	a.instance = rnd.IntN(s.Instances)
	if s.ConcentrateTeams {
		a.instance = (a.team + rnd.IntN(2)) % s.Instances
	}
	return a
}

// pickTeam returns a random team, weighted by demand.
func (s Scenario) pickTeam(rnd *rand.Rand) int {
	switch {
	case s.Greedy > 0:
		if rnd.Float64() < s.Greedy/(s.Greedy+teams-1) {
			return 0
		}
		return 1 + rnd.IntN(teams-1)
	case rnd.Float64() < largeTeamShare:
		return rnd.IntN(largeTeams)
	}
	return largeTeams + rnd.IntN(teams-largeTeams)
}

// zipf returns a number below n with Zipf-distributed probability.
func zipf(rnd *rand.Rand, n int) int {
	sum := 0.0
	for i := range n {
		sum += math.Pow(float64(i+1), -zipfExponent)
	}
	at := rnd.Float64() * sum
	for i := range n {
		at -= math.Pow(float64(i+1), -zipfExponent)
		if at <= 0 {
			return i
		}
	}
	return n - 1
}

// Request is one request of a workload, as the load generator sends it.
type Request struct {
	// At is when to send it, relative to the start.
	At     time.Duration
	Rank   policy.Rank
	Prompt string
	// Output is the requested output length in tokens.
	Output int
}

// Requests returns the requests of a steady load of rate requests per second,
// ordered by time.
func (d Deployment) Requests(rate float64, length time.Duration, seed uint64) []Request {
	s := d.Steady(rate / d.Capacity())
	s.WarmUp, s.Length = 0, length
	prompts := newPromptBuilder()
	var out []Request
	for _, a := range sortByArrival(s.arrivals(rand.New(rand.NewPCG(seed, 7)))) {
		out = append(out, Request{
			At:     a.at,
			Rank:   a.rank,
			Prompt: string(prompts.build(a)),
			Output: a.output,
		})
	}
	return out
}

// promptBuilder builds prompts and caches their shared parts.
type promptBuilder struct {
	shared map[[2]int]string
}

func newPromptBuilder() promptBuilder {
	return promptBuilder{
		shared: map[[2]int]string{},
	}
}

// build returns the prompt of a request.
func (p promptBuilder) build(a arrival) []byte {
	key := [2]int{a.team, a.sharedPrefix}
	shared, ok := p.shared[key]
	if !ok {
		shared = repeatToTokens(fmt.Sprintf("team %d ", a.team), teamTokens) +
			repeatToTokens(fmt.Sprintf("team %d sheet %d ", a.team, a.sharedPrefix), sharedTokens)
		p.shared[key] = shared
	}
	return []byte(shared + repeatToTokens(fmt.Sprintf("own %d ", a.serial), uniqueTokens))
}

// repeatToTokens repeats word to the length of the given number of tokens, at
// four bytes per token.
func repeatToTokens(word string, tokens int) string {
	return strings.Repeat(word, 4*tokens/len(word)+1)[:4*tokens]
}
