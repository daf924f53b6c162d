package soak

import (
	"net/http"
	"strings"
	"time"
)

// answer checks that an answer is the endpoint's own, whole and in order.
func (c *checker) answer(a Attempt) {
	if a.Stray {
		c.breach("MIXED", "bytes after the answer to %s", brief(a))
	}
	if a.Status == 0 {
		return
	}
	if a.Echo != a.ID && a.Echo != "" {
		c.breach("MIXED", "the answer to %s bears the id %s", brief(a), a.Echo)
	}
	if _, id := c.teller.Owner(a.Seal); a.Seal != "" && id != a.ID {
		c.breach("MIXED", "the answer to %s has the seal %s", brief(a), a.Seal)
	}
	switch {
	case a.Status < 300:
		c.success(a)
	case a.Seal != "" && a.Status != http.StatusInternalServerError && a.Status != http.StatusGatewayTimeout:
		c.breach("MIXED", "no endpoint fails as %s did, which bears a seal", brief(a))
	}
}

// success checks a success against the runs of its request.
func (c *checker) success(a Attempt) {
	end, _ := c.teller.Owner(a.Seal)
	sealed := false
	for _, r := range c.ran[a.ID] {
		sealed = sealed || r.End == end
	}
	if a.Seal == "" || !sealed {
		c.breach("MIXED", "%s succeeded with the seal %q, whose endpoint did not run it", brief(a), a.Seal)
	}
	rule := "MIXED"
	if a.Stream {
		rule = "ORDER"
	}
	whole := c.teller.Whole(a)
	if a.Whole && a.Answer != whole || !strings.HasPrefix(whole, a.Answer) {
		c.breach(rule, "the answer to %s is %q, complete %v", brief(a), a.Answer, a.Whole)
	}
}

// once checks that work which must not run twice did not, and that what was
// refused did not run.
func (c *checker) once(a Attempt) {
	if !a.Once {
		return
	}
	runs := c.ran[a.ID]
	if len(runs) > 1 {
		c.breach("TWICE", "%s ran %d times: %s", brief(a), len(runs), where(runs))
	}
	if Promise(a.Status) && len(runs) > 0 {
		c.breach("REFUSED", "%s was refused and ran: %s", brief(a), where(runs))
	}
}

// asked checks that a run is what a caller asked for.
func (c *checker) asked(r Run) {
	a, ok := c.byID[r.ID]
	switch {
	case !ok:
		c.breach("UNASKED", "%s ran %s %s with id %s, which nobody sent", r.End, r.Method, r.Path, r.ID)
	case r.Method != a.Method || r.Path != a.Path || r.Body != a.Body || r.Prompt != a.Prompt:
		c.breach("UNASKED", "%s ran %s as %s %s %q %q", r.End, brief(a), r.Method, r.Path, r.Body, r.Prompt)
	case len(r.Forged) > 0:
		c.breach("UNASKED", "%s ran %s with %v, which no caller may set", r.End, brief(a), r.Forged)
	}
}

// handled checks that a request was handled as a configuration wants that may be
// in force.
func (c *checker) handled(a Attempt) {
	for _, r := range c.ran[a.ID] {
		ok := c.some(a, r.At, func(f Config) bool { return f.Routes[a.Route] == r.Service && f.Keys[a.Key] == r.Team })
		if !ok {
			c.breach("CONFIG", "%s ran at %s of %s for team %q at %s, which no configuration in force wants", brief(a), r.End, r.Service, r.Team, stamp(r.At))
		}
	}
	ok := true
	switch {
	case a.Status == http.StatusUnauthorized:
		ok = c.some(a, a.Done, func(f Config) bool { return f.Keys[a.Key] == "" })
	case a.Status == http.StatusNotFound:
		ok = c.some(a, a.Done, func(f Config) bool { return f.Routes[a.Route] == "" })
	case a.Status >= 300 && a.Status < 500 && !Promise(a.Status):
		ok = false
	}
	if !ok {
		c.breach("CONFIG", "%s with key %s was refused, which no configuration in force wants", brief(a), a.Key)
	}
}

// some tells whether want holds for a configuration that may be in force for a at
// an instance between its sending and a time.
func (c *checker) some(a Attempt, until time.Time, want func(f Config) bool) bool {
	calm := c.touch(a.Node, a.Sent, a.Sent)
	for i, f := range c.configs {
		if f.Written.After(until) {
			break
		}
		// The next one must be in force already.
		late := i+1 < len(c.configs) && !c.configs[i+1].Acked.IsZero() && a.Begun.After(c.configs[i+1].Acked.Add(c.bounds.Apply))
		if late && calm {
			continue
		}
		if want(f) {
			return true
		}
	}
	return false
}

// weighed checks that a run did not begin on weights that were replaced long ago.
func (c *checker) weighed(r Run) {
	a, ok := c.byID[r.ID]
	if r.Weights == 0 || !ok || !c.touch(a.Node, r.At, r.At) {
		return
	}
	for _, m := range c.marks[Weights] {
		if m.Value <= r.Weights || r.At.Sub(m.At) <= c.bounds.WeightsIn {
			continue
		}
		if c.stretch(m.At, r.At) > c.bounds.WeightsIn {
			c.breach("VERSION", "%s began on weights %d of %s at %s, %v after %d was named", brief(a), r.Weights, r.End, stamp(r.At), r.At.Sub(m.At), m.Value)
		}
		return
	}
}

// lost checks that requests around planned work get answers, and that others on
// kept connections mostly do.
func (c *checker) lost() {
	var kept []string
	for _, a := range c.attempts {
		if a.Whole || a.Left || a.Sent.IsZero() || a.Done.Sub(a.Begun) >= min(a.Limit, c.bounds.Timeout) {
			continue
		}
		runs := c.ran[a.ID]
		if !c.sound(a) {
			continue
		}
		if a.Kept > 0 && len(runs) > 0 && c.touch(a.Node, a.Begun, a.Done) {
			kept = append(kept, a.ID)
		}
		if len(runs) == 0 && a.Done.Sub(a.Sent) <= c.bounds.Slack {
			continue
		}
		if c.planned(a, runs) {
			c.breach("LOST", "%s was cut around planned work, %v after it was sent: %s; it ran %s", brief(a), a.Done.Sub(a.Sent), a.Fail, where(runs))
		}
	}
	if len(kept) > c.bounds.Few {
		c.breach("LOST", "cut on kept connections without a fault: %v", kept)
	}
}

// sound tells whether the endpoints that ran a were calm until its end.
func (c *checker) sound(a Attempt) bool {
	for _, r := range c.ran[a.ID] {
		if !c.calm(r.End, a.Begun, a.Done) {
			return false
		}
	}
	return true
}

// planned tells whether a ended around a planned stop or changed settings, with
// no other harm to its instance.
func (c *checker) planned(a Attempt, runs []Run) bool {
	if !c.calm(a.Node, a.Begun, a.Done, Stop.String()) || !c.calm(Core, a.Begun, a.Done) {
		return false
	}
	for _, m := range c.marks[Stop] {
		if m.Name != a.Node || a.Done.Before(m.At) || a.Done.After(m.At.Add(c.bounds.Grace+time.Second)) {
			continue
		}
		// Endpoints may still be at work in the last sixth of the grace.
		working := len(runs) > 0 && !a.Sent.After(m.At.Add(3*time.Second)) && a.Done.After(m.At.Add(c.bounds.Grace*5/6))
		if !working {
			return true
		}
	}
	for _, m := range c.marks[Reload] {
		if m.Name == a.Node && !a.Done.Before(m.At) && !a.Sent.After(m.At.Add(c.bounds.Apply)) {
			return true
		}
	}
	return false
}

// spent checks what is sent in vain: after callers left, and to too many
// endpoints.
func (c *checker) spent() {
	var left, many []string
	for _, a := range c.attempts {
		ends := map[string]bool{}
		for _, r := range c.ran[a.ID] {
			if c.calm(r.End, r.At, r.At) {
				ends[r.End] = true
			}
			if a.Left && r.At.Sub(a.Done) > c.bounds.Abandon && c.touch(a.Node, a.Done, r.At) && c.calm(r.End, r.At, r.At) {
				left = append(left, a.ID)
			}
		}
		if len(ends) > c.bounds.Attempts {
			many = append(many, a.ID)
		}
	}
	if len(left) > c.bounds.Few {
		c.breach("GONE", "sent on after their callers had left: %v", left)
	}
	if len(many) > c.bounds.Few {
		c.breach("BUDGET", "sent to more than %d endpoints: %v", c.bounds.Attempts, many)
	}
}

// held checks that answers come in time, and that endpoints are told how much of
// it is left.
func (c *checker) held() {
	over, late := 0, 0
	for _, a := range c.attempts {
		took := a.Done.Sub(a.Begun)
		if a.Limit < c.bounds.Timeout+c.bounds.Over || took <= c.bounds.Timeout || !c.touch(a.Node, a.Begun, a.Done) {
			continue
		}
		over++
		if took > c.bounds.Timeout+c.bounds.Over {
			late++
		}
	}
	// The rule counts from eight on, and more than a quarter of what is over.
	if late >= 8 && 4*late > over {
		c.breach("CONFIG", "%d of %d requests that outlast the route's limit have no answer %v after it", late, over, c.bounds.Over)
	}
	var long []string
	for _, r := range c.runs {
		if a, ok := c.byID[r.ID]; ok && c.touch(a.Node, r.At, r.At) && (r.Left <= 0 || r.Left > a.Limit+c.bounds.Extra) {
			long = append(long, r.ID)
		}
	}
	if len(long) > c.bounds.Loose && 5*len(long) > len(c.runs) {
		c.breach("BUDGET", "%d endpoints are told more time than is left: %v", len(long), long[:c.bounds.Loose])
	}
}

// drained checks that endpoints which leave get no new requests.
func (c *checker) drained() {
	for i, m := range c.marks[EndLeave] {
		if m.Value != 0 || !c.calm(Core, m.At, m.At) {
			continue
		}
		for _, r := range c.runs {
			a, ok := c.byID[r.ID]
			if !ok || r.End != m.Name || r.At.Sub(m.At) <= c.bounds.Drain || c.returned(i, r.At) {
				continue
			}
			if c.touch(a.Node, r.At, r.At) && c.calm(r.End, r.At, r.At, EndLeave.String()) {
				c.breach("DRAIN", "%s reached %s %v after its leaving was confirmed", brief(a), r.End, r.At.Sub(m.At))
			}
		}
	}
}

// returned tells whether the endpoint of mark i was back before at.
func (c *checker) returned(i int, at time.Time) bool {
	for _, m := range c.marks[EndLeave][i+1:] {
		if m.Name == c.marks[EndLeave][i].Name && m.Value == 1 && m.At.Before(at) {
			return true
		}
	}
	return false
}

// ordered checks that orders to an endpoint come from one holder at a time.
func (c *checker) ordered() {
	last := map[string]Order{}
	highest := map[string]Order{}
	for _, o := range c.orders {
		if c.thawed(o) {
			continue
		}
		before, known := last[o.End]
		top := highest[o.End]
		last[o.End] = o
		if o.Fence > top.Fence {
			highest[o.End] = o
		}
		if !known {
			continue
		}
		switch {
		case o.Fence < top.Fence:
			c.breach("ONE", "%s got fence %d of %s at %s after %d of %s", o.End, o.Fence, o.Holder, stamp(o.At), top.Fence, top.Holder)
		case o.Holder != top.Holder && o.Fence == top.Fence:
			c.breach("ONE", "%s got fence %d of both %s and %s", o.End, o.Fence, top.Holder, o.Holder)
		case o.Holder != before.Holder && o.At.Sub(before.At) < c.bounds.Quiet:
			c.breach("ONE", "%s got orders of %s and, %v later at %s, of %s", o.End, before.Holder, o.At.Sub(before.At), stamp(o.At), o.Holder)
		}
	}
}

// thawed tells whether o came just after its sender or a link was freed.
func (c *checker) thawed(o Order) bool {
	for _, s := range c.spans {
		if s.Subject != o.Holder && s.Subject != o.End || s.What != Pause.String() && s.What != Link.String() {
			continue
		}
		if since := o.At.Sub(s.To); !s.To.IsZero() && since >= 0 && since < c.bounds.Thaw {
			return true
		}
	}
	return false
}

// brief names an attempt.
func brief(a Attempt) string {
	return strings.Join([]string{a.ID, a.Method, a.Path, "at", a.Node, "sent", stamp(a.Sent), "status", http.StatusText(a.Status)}, " ")
}

// where lists runs.
func where(runs []Run) string {
	var out []string
	for _, r := range runs {
		out = append(out, r.End+" "+stamp(r.At))
	}
	return strings.Join(out, ", ")
}

// stamp returns a time of day.
func stamp(t time.Time) string { return t.UTC().Format("15:04:05.000") }
