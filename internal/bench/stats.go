package bench

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabtally/baobabtally/pkg/policy"
)

// Summary holds the measures of one run.
type Summary struct {
	// Requests is the number of measured requests.
	Requests int `json:"requests"`
	// HitRate is the share of prompt tokens that were cached.
	HitRate float64 `json:"hits"`
	// PrefillTokens is the mean number of uncached prompt tokens per response.
	PrefillTokens float64 `json:"read"`
	// Urgent and Normal are the measures by rank.
	Urgent RankSummary `json:"urgent"`
	Normal RankSummary `json:"normal"`
	// Goodput is the rate of output tokens per second.
	Goodput float64 `json:"goodput"`
	// FalseRefusals counts refusals that do not state that the request did not
	// run.
	FalseRefusals int `json:"false"`
	// JainIndex is Jain's fairness index over the teams' shares of output,
	// relative to their max-min fair shares.
	JainIndex float64 `json:"jain"`
}

// RankSummary holds the measures of one rank.
type RankSummary struct {
	// Answered and Refused count requests.
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	// P50 and P99 are percentiles of the time to first token.
	P50 time.Duration `json:"p50"`
	P99 time.Duration `json:"p99"`
	// OutputRate is the rate of output tokens per second.
	OutputRate float64 `json:"tokens"`
}

// Summarise returns the measures of the requests that arrived from begin until
// end.
func Summarise(outcomes []Outcome, begin, end time.Duration) Summary {
	var s Summary
	var prompt, cached, answered int
	firstTokens := map[policy.Rank][]time.Duration{}
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
				s.FalseRefusals++
			}
			continue
		}
		answered++
		prompt += o.PromptTokens
		cached += o.CachedTokens
		tokens[o.Rank] += o.OutputTokens
		firstTokens[o.Rank] = append(firstTokens[o.Rank], o.TimeToFirstToken)
	}
	span := (end - begin).Seconds()
	times := func(r policy.Rank) RankSummary {
		slices.Sort(firstTokens[r])
		return RankSummary{
			Answered:   len(firstTokens[r]),
			Refused:    refused[r],
			P50:        percentile(firstTokens[r], 0.50),
			P99:        percentile(firstTokens[r], 0.99),
			OutputRate: float64(tokens[r]) / span,
		}
	}
	s.Urgent, s.Normal = times(policy.Urgent), times(policy.Normal)
	s.Goodput = s.Urgent.OutputRate + s.Normal.OutputRate
	s.HitRate = float64(cached) / float64(max(prompt, 1))
	s.PrefillTokens = float64(prompt-cached) / float64(max(answered, 1))
	s.JainIndex = jainIndex(outcomes, begin, end)
	return s
}

// percentile returns the p quantile of sorted values.
func percentile(sorted []time.Duration, p float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))]
}

// jainIndex returns Jain's fairness index over teams. Each team's value is the
// output that it received relative to its max-min fair share: the lesser of its
// demand and an equal part of the total, where unused parts go to the other
// teams.
func jainIndex(outcomes []Outcome, begin, end time.Duration) float64 {
	var demand, received [teams]float64
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
			received[o.Team] += float64(cost)
			total += float64(cost)
		}
	}
	shares := maxMinShares(demand, total)
	sum, squares, n := 0.0, 0.0, 0.0
	for i := range received {
		if shares[i] == 0 {
			continue
		}
		x := min(received[i]/shares[i], 1)
		sum += x
		squares += x * x
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// maxMinShares divides total among the teams by max-min fairness: no team gets
// more than its demand, and teams that get less than their demand get equal
// shares.
func maxMinShares(demand [teams]float64, total float64) [teams]float64 {
	var shares [teams]float64
	order := make([]int, teams)
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(demand[a], demand[b]) })
	remaining := total
	for n, i := range order {
		equal := remaining / float64(teams-n)
		shares[i] = min(demand[i], equal)
		remaining -= shares[i]
	}
	return shares
}

// sortByArrival sorts arrivals by time in place and returns them.
func sortByArrival(arrivals []arrival) []arrival {
	slices.SortFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	return arrivals
}

// Median returns the median of values and their range (maximum minus minimum).
func Median(values []float64) (float64, float64) {
	s := slices.Clone(values)
	slices.Sort(s)
	return s[len(s)/2], s[len(s)-1] - s[0]
}
