package soak

import (
	"net/http"
	"strings"
	"time"
)

// checkResponse checks that a response belongs to its attempt, comes from an
// endpoint that ran it, and is complete and in order.
func (c *checker) checkResponse(a Attempt) {
	if a.ExtraBytes {
		c.report("MIXED", "bytes after the response to %s", describe(a))
	}
	if a.Status == 0 {
		return
	}
	if a.Echo != a.ID && a.Echo != "" {
		c.report("MIXED", "the response to %s has the id %s", describe(a), a.Echo)
	}
	if _, id := c.oracle.Owner(a.Seal); a.Seal != "" && id != a.ID {
		c.report("MIXED", "the response to %s has the seal %s", describe(a), a.Seal)
	}
	switch {
	case a.Status < 300:
		c.checkSuccess(a)
	case a.Seal != "" && a.Status != http.StatusInternalServerError && a.Status != http.StatusGatewayTimeout:
		c.report("MIXED", "%s has an endpoint's seal and a status that endpoints don't return", describe(a))
	}
}

// checkSuccess checks a successful response against the runs of its request.
func (c *checker) checkSuccess(a Attempt) {
	endpoint, _ := c.oracle.Owner(a.Seal)
	sealed := false
	for _, r := range c.runsByID[a.ID] {
		sealed = sealed || r.Endpoint == endpoint
	}
	if a.Seal == "" || !sealed {
		c.report("MIXED", "%s succeeded with the seal %q, whose endpoint did not run it", describe(a), a.Seal)
	}
	rule := "MIXED"
	if a.Stream {
		rule = "ORDER"
	}
	expected := c.oracle.ExpectedBody(a)
	if a.Complete && a.ResponseBody != expected || !strings.HasPrefix(expected, a.ResponseBody) {
		c.report(rule, "the response to %s is %q, complete %v", describe(a), a.ResponseBody, a.Complete)
	}
}

// checkOnce checks that a request that is not idempotent ran at most once, and not
// at all if it was refused.
func (c *checker) checkOnce(a Attempt) {
	if !a.Once {
		return
	}
	runs := c.runsByID[a.ID]
	if len(runs) > 1 {
		c.report("TWICE", "%s ran %d times: %s", describe(a), len(runs), listRuns(runs))
	}
	if NotRun(a.Status) && len(runs) > 0 {
		c.report("REFUSED", "%s was refused and ran: %s", describe(a), listRuns(runs))
	}
}

// checkRequested checks that a run matches the request that a caller sent.
func (c *checker) checkRequested(r Run) {
	a, ok := c.attemptByID[r.ID]
	switch {
	case !ok:
		c.report("UNASKED", "%s ran %s %s with id %s, which no caller sent", r.Endpoint, r.Method, r.Path, r.ID)
	case r.Method != a.Method || r.Path != a.Path || r.Body != a.Body || r.Prompt != a.Prompt:
		c.report("UNASKED", "%s ran %s as %s %s %q %q", r.Endpoint, describe(a), r.Method, r.Path, r.Body, r.Prompt)
	case len(r.Forged) > 0:
		c.report("UNASKED", "%s ran %s with %v, which no caller may set", r.Endpoint, describe(a), r.Forged)
	}
}

// checkConfig checks that the service, the team and a refusal of a request follow
// from a configuration that may be effective.
func (c *checker) checkConfig(a Attempt) {
	for _, r := range c.runsByID[a.ID] {
		ok := c.anyConfig(a, r.At, func(f Config) bool { return f.Routes[a.Route] == r.Service && f.Keys[a.Key] == r.Team })
		if !ok {
			c.report("CONFIG", "%s ran at %s of %s for team %q at %s, which no effective configuration allows", describe(a), r.Endpoint, r.Service, r.Team, timeOfDay(r.At))
		}
	}
	ok := true
	switch {
	case a.Status == http.StatusUnauthorized:
		ok = c.anyConfig(a, a.Done, func(f Config) bool { return f.Keys[a.Key] == "" })
	case a.Status == http.StatusNotFound:
		ok = c.anyConfig(a, a.Done, func(f Config) bool { return f.Routes[a.Route] == "" })
	case a.Status >= 300 && a.Status < 500 && !NotRun(a.Status):
		ok = false
	}
	if !ok {
		c.report("CONFIG", "%s with key %s was refused, which no effective configuration allows", describe(a), a.Key)
	}
}

// anyConfig reports whether matches holds for a configuration that may be effective
// for a at its instance between its first byte and until.
func (c *checker) anyConfig(a Attempt, until time.Time, matches func(f Config) bool) bool {
	bounded := c.boundsApply(a.Instance, a.Sent, a.Sent)
	for i, f := range c.configs {
		if f.Written.After(until) {
			break
		}
		// f is outdated if the bound for the next configuration has expired.
		outdated := i+1 < len(c.configs) && !c.configs[i+1].Acknowledged.IsZero() && a.Begun.After(c.configs[i+1].Acknowledged.Add(c.bounds.Apply))
		if outdated && bounded {
			continue
		}
		if matches(f) {
			return true
		}
	}
	return false
}

// checkWeights checks that a run did not begin on weights that were replaced
// longer ago than the bound.
func (c *checker) checkWeights(r Run) {
	a, ok := c.attemptByID[r.ID]
	if r.Weights == 0 || !ok || !c.boundsApply(a.Instance, r.At, r.At) {
		return
	}
	for _, m := range c.events[Weights] {
		if m.Value <= r.Weights || r.At.Sub(m.At) <= c.bounds.WeightsIn {
			continue
		}
		if c.longestStable(m.At, r.At) > c.bounds.WeightsIn {
			c.report("VERSION", "%s began on weights %d of %s at %s, %v after %d was set as desired", describe(a), r.Weights, r.Endpoint, timeOfDay(r.At), r.At.Sub(m.At), m.Value)
		}
		return
	}
}

// checkLost checks that all requests around planned stops and reloads get
// responses, and that nearly all others on reused connections do.
func (c *checker) checkLost() {
	var reused []string
	for _, a := range c.attempts {
		if !c.cutEarly(a) {
			continue
		}
		runs := c.runsByID[a.ID]
		if a.PriorRequests > 0 && len(runs) > 0 && c.boundsApply(a.Instance, a.Begun, a.Done) {
			reused = append(reused, a.ID)
		}
		if c.read(a) && c.duringPlannedWork(a, runs) {
			c.report("LOST", "%s was cut around a planned stop or reload, %v after it was sent: %s; it ran %s", describe(a), a.Done.Sub(a.Sent), a.ConnError, listRuns(runs))
		}
	}
	if len(reused) > c.bounds.MaxExceptions {
		c.report("LOST", "cut on reused connections without a fault: %v", reused)
	}
}

// cutEarly reports whether a got no complete response although its time was not over
// and its endpoints had no faults.
func (c *checker) cutEarly(a Attempt) bool {
	if a.Complete || a.CallerClosed || a.Sent.IsZero() {
		return false
	}
	least, _ := c.timeouts(a)
	return a.Done.Sub(a.Begun) < min(a.Limit, least) && c.endpointsFaultFree(a)
}

// read reports whether its instance certainly has read a: an endpoint ran it, or it
// was cut too late to be unread.
func (c *checker) read(a Attempt) bool {
	return len(c.runsByID[a.ID]) > 0 || a.Done.Sub(a.Sent) > c.bounds.Slack
}

// cutCount counts the requests of an instance and those that were cut.
type cutCount struct {
	all int
	cut []string
}

// share returns the share of requests that were cut.
func (n cutCount) share() float64 { return float64(len(n.cut)) / float64(max(n.all, 1)) }

// checkLostBesideConfigs checks that an instance without a fault cuts no more requests
// beside configuration changes than at other times.
func (c *checker) checkLostBesideConfigs() {
	beside, others := map[string]cutCount{}, map[string]cutCount{}
	for _, a := range c.attempts {
		if a.Sent.IsZero() || !c.boundsApply(a.Instance, a.Begun, a.Done) {
			continue
		}
		counts := others
		if c.besideConfig(a) {
			counts = beside
		}
		n := counts[a.Instance]
		n.all++
		least, _ := c.timeouts(a)
		used := float64(a.Done.Sub(a.Begun)) >= c.bounds.UsedShare*float64(min(a.Limit, least))
		if !used && c.cutEarly(a) && c.read(a) {
			n.cut = append(n.cut, a.ID)
		}
		counts[a.Instance] = n
	}
	for instance, n := range beside {
		if other := others[instance]; n.share() > c.bounds.CutRatio*other.share() {
			c.report("LOST", "%s cut %d of %d requests beside configuration changes and %d of %d at other times: %v", instance, len(n.cut), n.all, len(other.cut), other.all, n.cut)
		}
	}
}

// besideConfig reports whether a was in flight while a configuration was sent or could
// become effective.
func (c *checker) besideConfig(a Attempt) bool {
	for _, f := range c.configs {
		if f.Written.After(a.Done) {
			break
		}
		if f.Acknowledged.IsZero() || a.Done.Before(f.Acknowledged.Add(c.bounds.Apply+c.bounds.ConfigSlack)) {
			return true
		}
	}
	return false
}

// timeouts returns the least and the greatest timeout that may apply to a.
func (c *checker) timeouts(a Attempt) (time.Duration, time.Duration) {
	least, greatest := time.Duration(0), time.Duration(0)
	c.anyConfig(a, a.Done, func(f Config) bool {
		t, ok := f.Timeouts[a.Route]
		if !ok {
			t = c.bounds.Timeout
		}
		if least == 0 || t < least {
			least = t
		}
		greatest = max(greatest, t)
		return false
	})
	if least == 0 {
		return c.bounds.Timeout, c.bounds.Timeout
	}
	return least, greatest
}

// endpointsFaultFree reports whether the endpoints that ran a had no faults until
// it ended.
func (c *checker) endpointsFaultFree(a Attempt) bool {
	for _, r := range c.runsByID[a.ID] {
		if !c.faultFree(r.Endpoint, a.Begun, a.Done) {
			return false
		}
	}
	return true
}

// duringPlannedWork reports whether a ended around a planned stop or a reload,
// without any other fault of its instance or the store.
func (c *checker) duringPlannedWork(a Attempt, runs []Run) bool {
	if !c.faultFree(a.Instance, a.Begun, a.Done, Stop.String()) || !c.faultFree(Core, a.Begun, a.Done) {
		return false
	}
	stopped := false
	for _, m := range c.events[Stop] {
		if m.Name != a.Instance || a.Done.Before(m.At) || a.Done.After(m.At.Add(c.bounds.Grace+time.Second)) {
			continue
		}
		// A run may be cut in the last sixth of the grace period, while its
		// endpoint is still executing it.
		lastSixth := m.At.Add(c.bounds.Grace * 5 / 6)
		if c.executingAt(runs, lastSixth) && !a.Sent.After(m.At.Add(3*time.Second)) && a.Done.After(lastSixth) {
			return false
		}
		stopped = true
	}
	for _, m := range c.events[Reload] {
		if m.Name == a.Instance && !a.Done.Before(m.At) && !a.Sent.After(m.At.Add(c.bounds.Apply)) {
			return true
		}
	}
	return stopped
}

// executingAt reports whether an endpoint may still have been executing one of runs at
// a time.
func (c *checker) executingAt(runs []Run, at time.Time) bool {
	for _, r := range runs {
		if end, ended := c.endsByRun[[2]string{r.Endpoint, r.ID}]; !ended || end.After(at) {
			return true
		}
	}
	return false
}

// checkWasted checks for wasted attempts: requests that are sent on after their
// callers have closed the connection, or to too many endpoints.
func (c *checker) checkWasted() {
	var aborted, many []string
	for _, a := range c.attempts {
		endpoints := map[string]bool{}
		for _, r := range c.runsByID[a.ID] {
			if c.faultFree(r.Endpoint, r.At, r.At) {
				endpoints[r.Endpoint] = true
			}
			if a.CallerClosed && r.At.Sub(a.Done) > c.bounds.Abandon && c.boundsApply(a.Instance, a.Done, r.At) && c.faultFree(r.Endpoint, r.At, r.At) {
				aborted = append(aborted, a.ID)
			}
		}
		if len(endpoints) > c.bounds.Attempts {
			many = append(many, a.ID)
		}
	}
	if len(aborted) > c.bounds.MaxExceptions {
		c.report("GONE", "sent on after their callers had closed the connection: %v", aborted)
	}
	if len(many) > c.bounds.MaxExceptions {
		c.report("BUDGET", "sent to more than %d endpoints: %v", c.bounds.Attempts, many)
	}
}

// checkTimeouts checks that responses arrive in time, and that endpoints are told
// the remaining time.
func (c *checker) checkTimeouts() {
	over, late := 0, 0
	for _, a := range c.attempts {
		took := a.Done.Sub(a.Begun)
		_, timeout := c.timeouts(a)
		if a.Limit < timeout+c.bounds.TimeoutSlack || took <= timeout || !c.boundsApply(a.Instance, a.Begun, a.Done) {
			continue
		}
		over++
		if took > timeout+c.bounds.TimeoutSlack {
			late++
		}
	}
	// A violation needs at least eight late responses that are more than a
	// quarter of the requests that exceed the timeout.
	if late >= 8 && 4*late > over {
		c.report("CONFIG", "%d of %d requests that exceed the route's timeout have no response %v after it", late, over, c.bounds.TimeoutSlack)
	}
	var long []string
	for _, r := range c.runs {
		if a, ok := c.attemptByID[r.ID]; ok && c.boundsApply(a.Instance, r.At, r.At) && (r.RemainingTime <= 0 || r.RemainingTime > a.Limit+c.bounds.DeadlineSlack) {
			long = append(long, r.ID)
		}
	}
	if len(long) > c.bounds.MaxLongDeadlines && 5*len(long) > len(c.runs) {
		c.report("BUDGET", "%d endpoints are told more than the remaining time: %v", len(long), long[:c.bounds.MaxLongDeadlines])
	}
}

// checkDrain checks that departing endpoints get no new requests.
func (c *checker) checkDrain() {
	for i, m := range c.events[EndpointDepart] {
		if m.Value != 0 || !c.faultFree(Core, m.At, m.At) {
			continue
		}
		for _, r := range c.runs {
			a, ok := c.attemptByID[r.ID]
			if !ok || r.Endpoint != m.Name || r.At.Sub(m.At) <= c.bounds.Drain || c.returned(i, r.At) {
				continue
			}
			if c.boundsApply(a.Instance, r.At, r.At) && c.faultFree(r.Endpoint, r.At, r.At, EndpointDepart.String()) {
				c.report("DRAIN", "%s reached %s %v after its departure was acknowledged", describe(a), r.Endpoint, r.At.Sub(m.At))
			}
		}
	}
}

// returned reports whether the endpoint of the departure i returned before at.
func (c *checker) returned(i int, at time.Time) bool {
	for _, m := range c.events[EndpointDepart][i+1:] {
		if m.Name == c.events[EndpointDepart][i].Name && m.Value == 1 && m.At.Before(at) {
			return true
		}
	}
	return false
}

// checkOrders checks that an endpoint gets orders from one lease holder at a time.
func (c *checker) checkOrders() {
	last := map[string]Order{}
	highest := map[string]Order{}
	for _, o := range c.orders {
		if c.delayed(o) {
			continue
		}
		before, known := last[o.Endpoint]
		top := highest[o.Endpoint]
		last[o.Endpoint] = o
		if o.FencingToken > top.FencingToken {
			highest[o.Endpoint] = o
		}
		if !known {
			continue
		}
		switch {
		case o.FencingToken < top.FencingToken:
			c.report("ONE", "%s got fencing token %d of %s at %s after %d of %s", o.Endpoint, o.FencingToken, o.Holder, timeOfDay(o.At), top.FencingToken, top.Holder)
		case o.Holder != top.Holder && o.FencingToken == top.FencingToken:
			c.report("ONE", "%s got fencing token %d of both %s and %s", o.Endpoint, o.FencingToken, top.Holder, o.Holder)
		case o.Holder != before.Holder && o.At.Sub(before.At) < c.bounds.HolderGap:
			c.report("ONE", "%s got orders of %s and, %v later at %s, of %s", o.Endpoint, before.Holder, o.At.Sub(before.At), timeOfDay(o.At), o.Holder)
		}
	}
}

// delayed reports whether o arrived just after the end of a pause or a link fault
// of its sender or endpoint, and so may have been delayed by it.
func (c *checker) delayed(o Order) bool {
	for _, s := range c.faults {
		if s.Subject != o.Holder && s.Subject != o.Endpoint || s.What != Pause.String() && s.What != Link.String() {
			continue
		}
		if since := o.At.Sub(s.To); !s.To.IsZero() && since >= 0 && since < c.bounds.ResumeGrace {
			return true
		}
	}
	return false
}

// describe returns an attempt's identity, instance, time and status.
func describe(a Attempt) string {
	return strings.Join([]string{a.ID, a.Method, a.Path, "at", a.Instance, "sent", timeOfDay(a.Sent), "status", http.StatusText(a.Status)}, " ")
}

// listRuns returns the endpoints and times of runs.
func listRuns(runs []Run) string {
	var out []string
	for _, r := range runs {
		out = append(out, r.Endpoint+" "+timeOfDay(r.At))
	}
	return strings.Join(out, ", ")
}

// timeOfDay formats t in UTC with milliseconds.
func timeOfDay(t time.Time) string { return t.UTC().Format("15:04:05.000") }
