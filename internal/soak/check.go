package soak

import (
	"fmt"
	"sort"
	"time"
)

// Bounds are the limits that Check enforces.
type Bounds struct {
	// SettleTime is how long an instance must have been free of faults before the
	// bounds apply to it (the settle time).
	SettleTime time.Duration
	// Apply is how long after its acknowledgement a configuration may take to
	// become effective.
	Apply time.Duration
	// Drain is how long after its departure was acknowledged requests may reach
	// an endpoint.
	Drain time.Duration
	// QuietIn is how long after it asked for quiet requests may reach an endpoint, and
	// QuietRequests how many may later.
	QuietIn       time.Duration
	QuietRequests int
	// WeightsIn is how long after newer weights were set as desired requests may
	// begin on older ones.
	WeightsIn time.Duration
	// HolderGap is the least time between orders of two lease holders.
	HolderGap time.Duration
	// ResumeGrace is how long after the end of a pause or a link fault late orders are
	// tolerated.
	ResumeGrace time.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// Slack is how long after its last byte a request that no endpoint ran may be
	// cut off without a violation: the instance may not have read it.
	Slack time.Duration
	// Abandon is how long after its caller closed the connection a request may
	// reach an endpoint.
	Abandon time.Duration
	// Timeout is the configured timeout of the routes whose configurations have no
	// other.
	Timeout time.Duration
	// ConfigSlack is how long after the bound for a configuration cut requests still
	// count as cut beside it, and CutRatio by how much their share must exceed that at
	// other times. Requests that have used UsedShare of their time don't count.
	ConfigSlack time.Duration
	CutRatio    float64
	UsedShare   float64
	// TimeoutSlack is how long after the timeout a response may arrive.
	TimeoutSlack time.Duration
	// Attempts is how many endpoints one request may be sent to.
	Attempts int
	// DeadlineSlack is by how much the remaining time that endpoints are told may exceed
	// the caller's timeout.
	DeadlineSlack time.Duration
	// MaxLongDeadlines is how many runs may be told more than that.
	MaxLongDeadlines int
	// MaxExceptions is how many cases are tolerated by rules that count their cases.
	MaxExceptions int
}

// Oracle knows the correct responses of endpoints.
type Oracle interface {
	// ExpectedBody returns the complete response body of a.
	ExpectedBody(a Attempt) string
	// Owner returns the endpoint and the attempt ID that a seal identifies.
	Owner(seal string) (endpoint, id string)
}

// Violation is a guarantee that did not hold.
type Violation struct {
	Rule   string
	Detail string
}

// String returns the rule and the detail in a line.
func (v Violation) String() string { return v.Rule + ": " + v.Detail }

// checker is the state of one check. Check holds the recorder's lock meanwhile.
type checker struct {
	*Recorder
	bounds      Bounds
	oracle      Oracle
	attemptByID map[string]Attempt
	runsByID    map[string][]Run
	// endsByRun maps endpoint and attempt ID to the last end of such a run.
	endsByRun  map[[2]string]time.Time
	violations []Violation
}

// Check returns the violations. No attempts may be in flight.
func Check(recorder *Recorder, bounds Bounds, oracle Oracle) []Violation {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	c := checker{
		Recorder:    recorder,
		bounds:      bounds,
		oracle:      oracle,
		attemptByID: map[string]Attempt{},
		runsByID:    map[string][]Run{},
		endsByRun:   map[[2]string]time.Time{},
		violations:  append([]Violation(nil), recorder.reported...),
	}
	sort.Slice(recorder.runs, func(i, j int) bool { return recorder.runs[i].At.Before(recorder.runs[j].At) })
	sort.SliceStable(recorder.orders, func(i, j int) bool { return recorder.orders[i].At.Before(recorder.orders[j].At) })
	for _, a := range recorder.attempts {
		c.attemptByID[a.ID] = a
	}
	for _, r := range recorder.runs {
		c.runsByID[r.ID] = append(c.runsByID[r.ID], r)
	}
	for _, e := range recorder.ends {
		if key := [2]string{e.Endpoint, e.ID}; e.At.After(c.endsByRun[key]) {
			c.endsByRun[key] = e.At
		}
	}
	for _, a := range recorder.attempts {
		c.checkResponse(a)
		c.checkOnce(a)
		c.checkConfig(a)
	}
	for _, r := range recorder.runs {
		c.checkRequested(r)
		c.checkWeights(r)
	}
	c.checkLost()
	c.checkLostBesideConfigs()
	c.checkWasted()
	c.checkTimeouts()
	c.checkDrain()
	c.checkAnnounced()
	c.checkQuiet()
	c.checkOrders()
	return c.violations
}

func (c *checker) report(rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{
		Rule:   rule,
		Detail: fmt.Sprintf(format, args...),
	})
}

// faultFree reports whether no fault affected subject from the settle time before
// from until to. Faults of the kind planned[0] are ignored.
func (c *checker) faultFree(subject string, from, to time.Time, planned ...string) bool {
	from = from.Add(-c.bounds.SettleTime)
	for _, s := range c.faults {
		if s.Subject != subject || s.From.After(to) || !s.To.IsZero() && s.To.Before(from) {
			continue
		}
		if len(planned) > 0 && s.What == planned[0] {
			continue
		}
		return false
	}
	return true
}

// boundsApply reports whether the bounds apply to an instance between from and to:
// neither the instance nor the store had a fault.
func (c *checker) boundsApply(instance string, from, to time.Time) bool {
	return c.faultFree(instance, from, to) && c.faultFree(Core, from, to)
}

// longestStable returns the longest period between from and to without a link
// fault and with a stable store. The store counts as stable once it has been free
// of faults towards all instances for the settle time.
func (c *checker) longestStable(from, to time.Time) time.Duration {
	var faults []FaultSpan
	for _, s := range c.faults {
		store := s.Subject == Core || s.What == StoreUnavailableToOne.String() || s.What == StoreLoseResponses.String()
		if !store && s.What != Link.String() {
			continue
		}
		if s.To.IsZero() {
			s.To = to
		}
		if store {
			s.To = s.To.Add(c.bounds.SettleTime)
		}
		faults = append(faults, s)
	}
	sort.Slice(faults, func(i, j int) bool { return faults[i].From.Before(faults[j].From) })
	longest := time.Duration(0)
	for _, s := range faults {
		end := s.From
		if end.After(to) {
			end = to
		}
		longest = max(longest, end.Sub(from))
		if s.To.After(from) {
			from = s.To
		}
	}
	return max(longest, to.Sub(from))
}
