package soak

import (
	"fmt"
	"sort"
	"time"
)

// Bounds are the targets that checks count with.
type Bounds struct {
	// Contact is how long an instance must be calm before bounds count for it.
	Contact time.Duration
	// Apply is how long a configuration may take to be in force.
	Apply time.Duration
	// Drain is how long requests may reach an endpoint after its leaving.
	Drain time.Duration
	// WeightsIn is how long requests may begin on replaced weights.
	WeightsIn time.Duration
	// Quiet is the least time between orders of two holders, and Thaw how long
	// after the end of a pause or cut late orders are forgiven.
	Quiet time.Duration
	Thaw  time.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// Slack is how soon after its last byte a request may be cut off that no
	// instance has read.
	Slack time.Duration
	// Abandon is how long after its caller left a request may reach an endpoint.
	Abandon time.Duration
	// Timeout is the routes' own limit, and Over how long after it an answer may
	// come.
	Timeout time.Duration
	Over    time.Duration
	// Attempts is how many endpoints one request may be sent to.
	Attempts int
	// Extra is by how much the time that endpoints are told may exceed what the
	// caller waits, and Loose how many exceptions are forgiven.
	Extra time.Duration
	Loose int
	// Few is how many cases of the rules that count them are forgiven.
	Few int
}

// Teller knows what endpoints answer.
type Teller interface {
	// Whole returns the whole answer to a.
	Whole(a Attempt) string
	// Owner returns the endpoint and the request that a seal names.
	Owner(seal string) (end, id string)
}

// Breach is a promise that did not hold.
type Breach struct {
	Rule   string
	Detail string
}

// String returns a line.
func (b Breach) String() string { return b.Rule + ": " + b.Detail }

// checker is the state of one check. The book is not written meanwhile.
type checker struct {
	*Book
	bounds Bounds
	teller Teller
	byID   map[string]Attempt
	ran    map[string][]Run
	out    []Breach
}

// Check returns the promises that do not hold. Attempts that are under way are
// to end before.
func Check(book *Book, bounds Bounds, teller Teller) []Breach {
	book.mu.Lock()
	defer book.mu.Unlock()
	c := checker{
		Book:   book,
		bounds: bounds,
		teller: teller,
		byID:   map[string]Attempt{},
		ran:    map[string][]Run{},
		out:    append([]Breach(nil), book.found...),
	}
	sort.Slice(book.runs, func(i, j int) bool { return book.runs[i].At.Before(book.runs[j].At) })
	sort.SliceStable(book.orders, func(i, j int) bool { return book.orders[i].At.Before(book.orders[j].At) })
	for _, a := range book.attempts {
		c.byID[a.ID] = a
	}
	for _, r := range book.runs {
		c.ran[r.ID] = append(c.ran[r.ID], r)
	}
	for _, a := range book.attempts {
		c.answer(a)
		c.once(a)
		c.handled(a)
	}
	for _, r := range book.runs {
		c.asked(r)
		c.weighed(r)
	}
	c.lost()
	c.spent()
	c.held()
	c.drained()
	c.ordered()
	return c.out
}

func (c *checker) breach(rule, format string, args ...any) {
	c.out = append(c.out, Breach{
		Rule:   rule,
		Detail: fmt.Sprintf(format, args...),
	})
}

// calm tells whether no harm came to a subject from Contact before from until to.
func (c *checker) calm(subject string, from, to time.Time, planned ...string) bool {
	from = from.Add(-c.bounds.Contact)
	for _, s := range c.spans {
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

// touch tells whether bounds count for an instance all the while.
func (c *checker) touch(node string, from, to time.Time) bool {
	return c.calm(node, from, to) && c.calm(Core, from, to)
}

// stretch returns the longest time between from and to in which no link was harmed
// and the store was stable, which it isn't before it was calm for Contact, towards
// all instances.
func (c *checker) stretch(from, to time.Time) time.Duration {
	var harms []Span
	for _, s := range c.spans {
		store := s.Subject == Core || s.What == StorePart.String() || s.What == StoreLose.String()
		if !store && s.What != Link.String() {
			continue
		}
		if s.To.IsZero() {
			s.To = to
		}
		if store {
			s.To = s.To.Add(c.bounds.Contact)
		}
		harms = append(harms, s)
	}
	sort.Slice(harms, func(i, j int) bool { return harms[i].From.Before(harms[j].From) })
	longest := time.Duration(0)
	for _, s := range harms {
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
