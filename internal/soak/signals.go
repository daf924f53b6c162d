package soak

import "time"

// disrupted reports whether a fault of one of the kinds affected subject between from
// and to. Without kinds, all count.
func (c *checker) disrupted(subject string, from, to time.Time, kinds ...Kind) bool {
	for _, s := range c.faults {
		if s.Subject != subject || s.From.After(to) || !s.To.IsZero() && s.To.Before(from) {
			continue
		}
		if len(kinds) == 0 {
			return true
		}
		for _, k := range kinds {
			if s.What == k.String() {
				return true
			}
		}
	}
	return false
}

// checkAnnounced checks that an instance that has passed on a response in which an
// endpoint announced its departure sends that incarnation nothing that a caller sent
// later than the bound. A restart or a pause of the instance since then is tolerated.
func (c *checker) checkAnnounced() {
	for _, s := range c.announced {
		passed := map[string]time.Time{}
		for _, r := range c.runs {
			a, ok := c.attemptByID[r.ID]
			if !ok || r.Endpoint != s.Subject || !within(r.At, s) {
				continue
			}
			first, known := passed[a.Instance]
			if known && a.Begun.Sub(first) > c.bounds.Drain && !c.disrupted(a.Instance, first, r.At, Stop, Kill, Pause) {
				c.report("DRAIN", "%s reached %s, sent %v after %s had passed on the announcement of its departure", describe(a), r.Endpoint, a.Begun.Sub(first), a.Instance)
			}
			endpoint, _ := c.oracle.Owner(a.Seal)
			if endpoint == s.Subject && a.Complete && (!known || a.Done.Before(first)) {
				passed[a.Instance] = a.Done
			}
		}
	}
}

// checkQuiet checks that an endpoint that asked an instance for quiet gets few requests
// of it until that time has passed. A fault of the instance, or another fault of the
// endpoint, is tolerated.
func (c *checker) checkQuiet() {
	arrivals := map[[2]string][]time.Time{}
	add := func(endpoint, id string, at time.Time) {
		if a, ok := c.attemptByID[id]; ok {
			key := [2]string{endpoint, a.Instance}
			arrivals[key] = append(arrivals[key], at)
		}
	}
	for _, r := range c.runs {
		add(r.Endpoint, r.ID, r.At)
	}
	for _, r := range c.rejections {
		add(r.Endpoint, r.ID, r.At)
	}
	for _, r := range c.rejections {
		a, ok := c.attemptByID[r.ID]
		if !ok {
			continue
		}
		end := r.At.Add(r.Quiet)
		late := 0
		for _, at := range arrivals[[2]string{r.Endpoint, a.Instance}] {
			if at.Sub(r.At) > c.bounds.QuietIn && at.Before(end) {
				late++
			}
		}
		if late > c.bounds.QuietRequests && !c.disrupted(a.Instance, r.At, end) && !c.disrupted(r.Endpoint, r.At, end, Link, EndpointCrash, EndpointDepart) {
			c.report("BUDGET", "%d requests of %s reached %s within %v after it asked for quiet at %s", late, a.Instance, r.Endpoint, r.Quiet, timeOfDay(r.At))
		}
	}
}

// within reports whether at lies in the period of s.
func within(at time.Time, s FaultSpan) bool {
	return at.After(s.From) && (s.To.IsZero() || at.Before(s.To))
}
