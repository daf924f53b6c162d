package allot

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/benbjohnson/immutable"
)

const (
	// recountInterval is the time between two counts of the instances in touch.
	recountInterval = 50 * time.Millisecond
	// pauseThreshold is the time between two asks above which a grantor counts as having
	// been paused, so that it does not know who is in touch. The grantor itself asks
	// several times as often.
	pauseThreshold = 1 * time.Second
	// reserveLevel is the share of a full bucket above which credit is granted in
	// advance.
	reserveLevel = 0.5
	// maxWait is the longest time after which a refused request is told to come back.
	maxWait = 8 * time.Second
)

// Ask is what an instance asks the grantor for.
type Ask struct {
	// From is the instance that asks, and Instances the number of instances that it knows.
	From      string `json:"From"`
	Instances int    `json:"Instances"`
	// Renew is set if the instance may be counted as in touch, in the given session, for
	// the time Hold.
	Renew   bool          `json:"Renew"`
	Session string        `json:"Session"`
	Hold    time.Duration `json:"Hold"`
	// Teams holds the demand by team.
	Teams map[string]Demand `json:"Teams"`
}

// Demand is what an instance needs for one team, in units.
type Demand struct {
	// Debt is what was admitted without credit. Any part of it may be granted.
	Debt float64 `json:"Debt"`
	// Needs holds the costs of the requests that wait. Each is granted whole or not at all.
	Needs []float64 `json:"Needs"`
	// Want is what is expected to be needed soon.
	Want float64 `json:"Want"`
	// Refused is the cost of the requests that were refused since the last ask.
	Refused float64 `json:"Refused"`
}

// Answer is the answer to an Ask.
type Answer struct {
	// Session identifies what the grantor remembers.
	Session string `json:"Session"`
	// Instances is the number of instances among which the rates are divided.
	Instances int `json:"Instances"`
	// Teams holds the grants by team.
	Teams map[string]Grant `json:"Teams"`
}

// Grant is credit for one team.
type Grant struct {
	// Amount is the credit in units.
	Amount float64 `json:"Amount"`
	// Life is how long the credit is valid, from when the ask was sent.
	Life time.Duration `json:"Life"`
	// Line is what may be admitted without credit until LineLife has passed since the ask
	// was sent. It takes the place of earlier ones.
	Line     float64       `json:"Line"`
	LineLife time.Duration `json:"LineLife"`
	// Short is set if some need was not granted.
	Short bool `json:"Short"`
	// Wait is the time after which a request that is refused now would have credit.
	Wait time.Duration `json:"Wait"`
}

// contact is an instance that was in touch.
type contact struct {
	until     time.Time
	instances int
}

// Grantor holds the buckets of all teams. It starts with nobody in touch and no credit.
// The zero value is not usable; see NewGrantor. It is immutable.
type Grantor struct {
	id     string
	bounds Bounds
	// resets counts the pauses after which everything was forgotten.
	resets int
	// began is when the first ask came, and asked when the last one did.
	began time.Time
	asked time.Time
	// accrual is the time for which the whole rate would have accrued so far: each instance in
	// touch contributes its part. In seconds.
	accrual float64
	// counted is when the instances in touch were counted last, share their share in all
	// instances, and instances the number of all.
	counted   time.Time
	share     float64
	instances int
	contacts  *immutable.Map[string, contact]
	// lost counts the contacts that were lost, also by a restart.
	lost  int
	pools *immutable.Map[string, pool]
}

// NewGrantor returns a grantor whose sessions are identified by id, which no other
// incarnation uses.
func NewGrantor(id string, b Bounds) Grantor {
	return Grantor{
		id:       id,
		bounds:   b,
		contacts: immutable.NewMap[string, contact](nil),
		pools:    immutable.NewMap[string, pool](nil),
	}
}

// Session identifies what g remembers.
func (g Grantor) Session() string { return g.id + "/" + strconv.Itoa(g.resets) }

// Share returns the share of the instances that are in touch.
func (g Grantor) Share() float64 { return g.share }

// Level returns the credit of a team, in units, as of its last ask.
func (g Grantor) Level(team string) float64 {
	p, _ := g.pools.Get(team)
	return max(p.level, p.steady)
}

// WithAsk returns the grantor after a, and the answer. Known is the number of instances
// that the grantor itself knows, and limitOf returns the allotment of a team.
func (g Grantor) WithAsk(a Ask, known int, limitOf func(team string) Limit, now time.Time) (Grantor, Answer) {
	g = g.at(now)
	if _, counted := g.contacts.Get(a.From); counted && a.Session == "" {
		g.lost++
	}
	if a.Renew && a.Session == g.Session() {
		g.contacts = g.contacts.Set(a.From, contact{
			until:     now.Add(min(a.Hold, Hold)),
			instances: a.Instances,
		})
	}
	g = g.withCount(known, now)
	answer := Answer{
		Session:   g.Session(),
		Instances: g.instances,
		Teams:     make(map[string]Grant, len(a.Teams)),
	}
	for _, team := range slices.Sorted(maps.Keys(a.Teams)) {
		limit := limitOf(team)
		if !limit.Limited() {
			continue
		}
		g, answer.Teams[team] = g.withDemand(team, a.Teams[team], g.bounds.Plan(limit, g.instances), now)
	}
	return g, answer
}

// at returns the grantor at now. After a pause it remembers nothing.
func (g Grantor) at(now time.Time) Grantor {
	pause := now.Sub(g.asked)
	if !g.asked.IsZero() && pause > pauseThreshold {
		next := NewGrantor(g.id, g.bounds)
		next.resets = g.resets + 1
		next.began, next.asked = now, now
		return next
	}
	if g.began.IsZero() {
		g.began = now
	}
	if !g.asked.IsZero() && pause > 0 {
		g.accrual += g.share * pause.Seconds()
	}
	g.asked = now
	return g
}

// withCount returns the grantor with the instances in touch counted, unless that was done
// a moment ago.
func (g Grantor) withCount(known int, now time.Time) Grantor {
	if !g.counted.IsZero() && now.Sub(g.counted) < recountInterval {
		return g
	}
	g.counted = now
	inTouch, all := 0, max(known, 1)
	contacts := g.contacts
	for it := g.contacts.Iterator(); !it.Done(); {
		name, c, _ := it.Next()
		if !now.Before(c.until) {
			contacts = contacts.Delete(name)
			g.lost++
			continue
		}
		inTouch++
		all = max(all, c.instances)
	}
	g.contacts = contacts
	g.instances = all
	g.share = min(float64(inTouch)/float64(all), 1)
	return g
}

// withDemand returns the grantor after the demand of one instance for a team, and what is
// granted.
func (g Grantor) withDemand(team string, d Demand, p Plan, now time.Time) (Grantor, Grant) {
	// The bucket of a team that was not asked for yet has accrued since the session began.
	b, _ := g.pools.Get(team)
	b = b.accrue(p, g.began, now, g.accrual, g.share)
	b = b.withPeriod(now.Sub(g.began), g.lost)
	wide := p.Window > 0 && now.Sub(g.began) >= p.Window+p.Life
	grant := Grant{
		Life: p.Life,
	}
	give := func(amount float64) {
		b = b.withGrant(amount)
		grant.Amount += amount
	}
	// What was drawn on a line is granted in any case.
	drawn := max(d.Debt-p.Overdraft, 0)
	give(drawn)
	give(min(max(d.Debt-drawn, 0), max(b.credit(p, g.instances, wide), 0)))
	refused := max(d.Refused, 0)
	for _, need := range d.Needs {
		credit := b.credit(p, g.instances, wide)
		switch {
		case need <= 0:
		case credit > 0 && credit+p.Deficit >= need:
			give(need)
		default:
			grant.Short = true
			b.short = now
			refused += need
		}
	}
	if spare := b.level - reserveLevel*p.Cap*g.share; spare > 0 {
		give(min(max(d.Want, 0), spare))
	}
	rate := p.Rate
	if wide {
		grant.LineLife = lineLife
		b, grant.Line = b.withLine(p, g.instances, g.share, now)
		rate = max(rate, p.Steady)
	}
	b.due = dueAfter(b.due, -b.credit(p, g.instances, wide), refused, rate*g.share, now)
	grant.Wait = max(b.due.Sub(now), 0)
	g.pools = g.pools.Set(team, b)
	return g, grant
}

// dueAfter returns when the last of the requests that were refused has credit, after
// requests of the given cost were refused at now. Before is when the one before them has
// it, and lacking is how much credit is missing. It accrues at rate.
func dueAfter(before time.Time, lacking, refused, rate float64, now time.Time) time.Time {
	latest := now.Add(maxWait)
	if rate <= 0 {
		return latest
	}
	due := now.Add(seconds(lacking / rate))
	if before.After(due) {
		due = before
	}
	due = due.Add(seconds(refused / rate))
	if due.After(latest) {
		return latest
	}
	return due
}
