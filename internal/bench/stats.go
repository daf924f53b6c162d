package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabtally/baobabtally/pkg/policy"
)

// Summary is the users' measures of one run.
type Summary struct {
	// Requests is how many requests were measured.
	Requests int `json:"requests"`
	// Hits is the share of prompt tokens that engines had cached.
	Hits float64 `json:"hits"`
	// Read is the prompt tokens that engines had to read for each answer.
	Read float64 `json:"read"`
	// Urgent and Normal are the ranks' times to first token.
	Urgent Times `json:"urgent"`
	Normal Times `json:"normal"`
	// Goodput is the output tokens a second.
	Goodput float64 `json:"goodput"`
	// False is the refusals that did not say "not run".
	False int `json:"false"`
	// Jain is the fairness over teams of the output that each one got of what
	// it was owed.
	Jain float64 `json:"jain"`
}

// Times are the times of one rank.
type Times struct {
	// Answered and Refused count requests.
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// P50 and P99 are percentiles of the time to first token.
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
	// Tokens is the output tokens a second.
	Tokens float64 `json:"tokens"`
}

// Summarise returns the measures of the outcomes from begin to end.
func Summarise(outcomes []Outcome, begin, end time.Duration) Summary {
	var s Summary
	var prompt, cached, answered int
	firsts := map[policy.Rank][]time.Duration{}
	refused := map[policy.Rank]int{}
	tokens := map[policy.Rank]int{}
	for _, o := range outcomes {
		if o.At < begin || o.At >= end {
			continue
		}
		s.Requests++
		if o.Refused != "" {
			refused[o.Rank]++
			if !o.NotRun {
				s.False++
			}
			continue
		}
		answered++
		prompt += o.Prompt
		cached += o.Cached
		tokens[o.Rank] += o.Output
		firsts[o.Rank] = append(firsts[o.Rank], o.First)
	}
	span := (end - begin).Seconds()
	times := func(r policy.Rank) Times {
		slices.Sort(firsts[r])
		return Times{
			Answered: len(firsts[r]),
			Refused:  refused[r],
			P50:      percentile(firsts[r], 0.50),
			P99:      percentile(firsts[r], 0.99),
			Tokens:   float64(tokens[r]) / span,
		}
	}
	s.Urgent, s.Normal = times(policy.Urgent), times(policy.Normal)
	s.Goodput = s.Urgent.Tokens + s.Normal.Tokens
	s.Hits = float64(cached) / float64(max(prompt, 1))
	s.Read = float64(prompt-cached) / float64(max(answered, 1))
	s.Jain = jain(outcomes, begin, end)
	return s
}

// percentile returns the value below which share p of the sorted values lie.
func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// jain returns the fairness index over teams of what each one got of what it
// was owed: the lesser of its demand and an equal share of the service, where
// shares that are not used go to the others (max-min).
func jain(outcomes []Outcome, begin, end time.Duration) float64 {
	var demand, got [teams]float64
	total := 0.0
	for _, o := range outcomes {
		if o.At < begin || o.At >= end {
			continue
		}
		cost := noteOutput
		if o.Rank == policy.Urgent {
			cost = checkOutput
		}
		demand[o.Team] += float64(cost)
		if o.Refused == "" {
			got[o.Team] += float64(cost)
			total += float64(cost)
		}
	}
	owed := maxMin(demand, total)
	sum, squares, n := 0.0, 0.0, 0.0
	for i := range got {
		if owed[i] == 0 {
			continue
		}
		x := min(got[i]/owed[i], 1)
		sum += x
		squares += x * x
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// maxMin divides total so that no team gets more than it demands and those
// that get less than they demand get equal shares.
func maxMin(demand [teams]float64, total float64) [teams]float64 {
	var owed [teams]float64
	order := make([]int, teams)
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(demand[a], demand[b]) })
	left := total
	for n, i := range order {
		share := left / float64(teams-n)
		owed[i] = min(demand[i], share)
		left -= owed[i]
	}
	return owed
}

func sorted(asks []ask) []ask {
	slices.SortFunc(asks, func(a, b ask) int { return cmp.Compare(a.at, b.at) })
	return asks
}

// Median returns the middle one of values, and their spread.
func Median(values []float64) (float64, float64) {
	s := slices.Clone(values)
	slices.Sort(s)
	return s[len(s)/2], s[len(s)-1] - s[0]
}
