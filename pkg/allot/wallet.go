package allot

import (
	"math"
	"time"
)

const (
	// keepInterval, topUpInterval and needInterval are the times between two asks without
	// demand, for credit in advance and for requests that wait. Instances of a large
	// fleet, which all ask the same grantor, wait longer for each of them, but at most
	// maxInterval, which fits into Hold.
	keepInterval     = 350 * time.Millisecond
	maxInterval      = 600 * time.Millisecond
	topUpInterval    = 100 * time.Millisecond
	topUpPerInstance = 9 * time.Millisecond
	needInterval     = 10 * time.Millisecond
	needPerInstance  = 1500 * time.Microsecond
	// failedInterval is the time between two asks while they are not answered.
	failedInterval = 150 * time.Millisecond
	// reserveLives is how much of its life the credit that is asked for in advance is
	// expected to last.
	reserveLives = 0.5
	// useSpan is the time constant of the average of recent use.
	useSpan = time.Second
	// idleTime is the time without requests after which a team is forgotten.
	idleTime = 10 * time.Second
	// maxNeeds is the maximum number of waiting requests of a team in one ask.
	maxNeeds = 64
)

// account is what an instance knows of one team.
type account struct {
	purse Purse
	limit Limit
	plan  Plan
	// changed is when limit last changed.
	changed time.Time
	// accrued is the time up to which the purse includes what accrues while the instance is
	// alone.
	accrued time.Time
	// use is the average of the recent use, in units a second, as of used, and cost what
	// the last request counted as.
	use  float64
	used time.Time
	cost float64
	// needs holds the costs of the waiting requests that no ask has listed yet.
	needs []float64
	// refused is the cost of the requests that were refused since the last ask.
	refused float64
	// line is what may be admitted without credit, beside the overdraft, until lineEnd.
	line    float64
	lineEnd time.Time
	// dryUntil is the time until which no request is worth an ask, and wait the time, as of
	// heard, after which a refused request has credit.
	dryUntil time.Time
	wait     time.Duration
	heard    time.Time
}

// Wallet is the credit of all teams at one instance, and its contact with the grantor. It
// is changed in place, since it is used for each request, and not safe for concurrent
// use. See NewWallet.
type Wallet struct {
	name   string
	bounds Bounds
	touch  Touch
	born   time.Time
	// instances is the number of instances that this one knows; 0 if it knows none yet. told
	// is the number that the grantor knows.
	instances int
	told      int
	accounts  map[string]*account
	// sent is when the last ask was sent, and failed whether it was not answered.
	sent   time.Time
	failed bool
	// needy and low report whether a request waits, and whether credit runs low.
	needy bool
	low   bool
}

// NewWallet returns the empty wallet of an instance that starts at now.
func NewWallet(name string, b Bounds, now time.Time) *Wallet {
	return &Wallet{
		name:     name,
		bounds:   b,
		touch:    NewTouch(now),
		born:     now,
		accounts: map[string]*account{},
	}
}

// SetInstances sets the number of instances that this one knows, itself included; 0 if it
// knows of no other yet and may not be the only one.
func (w *Wallet) SetInstances(n int) { w.instances = n }

// Touch returns the contact with the grantor.
func (w *Wallet) Touch() Touch { return w.touch }

// Balance returns the credit of a team at now, in units; it is negative by what is owed.
func (w *Wallet) Balance(team string, now time.Time) float64 {
	if a := w.accounts[team]; a != nil {
		return a.purse.Balance(now)
	}
	return 0
}

// Teams returns the average use of the known teams, in units a second.
func (w *Wallet) Teams(now time.Time) map[string]float64 {
	out := make(map[string]float64, len(w.accounts))
	for team, a := range w.accounts {
		out[team] = a.useAt(now)
	}
	return out
}

// divisor returns the number of instances among which the rates are divided; 0 if it is
// not known.
func (w *Wallet) divisor() int { return max(w.instances, w.told) }

// Take pays for a request of a team at now. It returns false if there is no credit.
func (w *Wallet) Take(team string, l Limit, cost float64, now time.Time) (Receipt, bool) {
	a := w.account(team, l, now)
	next, paid, ok := a.purse.WithPayment(cost, a.overdraft(now), now)
	if ok {
		a.purse = next
		paid.Team = team
		a.use = a.useAt(now) + cost/useSpan.Seconds()
		a.used, a.cost = now, cost
	}
	w.low = w.low || a.isLow(now)
	return paid, ok
}

// Refund hands back what a request paid that was not sent to an endpoint.
func (w *Wallet) Refund(r Receipt, now time.Time) {
	if a := w.accounts[r.Team]; a != nil {
		a.purse = a.purse.WithRefund(r, now)
	}
}

// Need has the next ask include a request that Take refused. It returns false if an ask
// is known to be of no use.
func (w *Wallet) Need(team string, cost float64, now time.Time) bool {
	a := w.accounts[team]
	if a == nil || now.Before(a.dryUntil) || w.touch.Alone(now) && w.failed || len(a.needs) >= maxNeeds {
		return false
	}
	a.needs = append(a.needs, cost)
	w.needy = true
	return true
}

// Refuse records the refusal of a request and returns the time after which it would have
// credit. Chance is uniformly distributed between 0 and 1: it keeps the requests that
// are refused together from coming back together.
func (w *Wallet) Refuse(team string, cost, chance float64, now time.Time) time.Duration {
	a := w.accounts[team]
	if a == nil {
		return 0
	}
	wait := a.wait - now.Sub(a.heard)
	rate := a.plan.Rate
	if w.touch.Alone(now) {
		rate /= float64(max(w.divisor(), 1))
		wait = seconds((cost - a.purse.Balance(now)) / rate)
	}
	wait = max(wait, 0) + seconds(a.refused/rate)
	a.refused += cost
	spread := max(wait/2, topUpInterval)
	return min(wait+time.Duration(chance*float64(spread)), maxWait)
}

// NextAsk returns when the next ask is due.
func (w *Wallet) NextAsk() time.Time {
	n := time.Duration(w.divisor())
	switch {
	case w.failed:
		return w.sent.Add(failedInterval)
	case w.needy:
		return w.sent.Add(max(needInterval, n*needPerInstance))
	case w.low:
		return w.sent.Add(min(max(topUpInterval, n*topUpPerInstance), maxInterval))
	}
	return w.sent.Add(min(max(keepInterval, n*topUpPerInstance), maxInterval))
}

// Target returns the instance to ask at now, and whether the instance stays with it or joins
// it. Holder is the one that the fleet takes for the grantor; empty if none is known. The
// grantor before it is asked for what it has as long as it counts this instance.
func (w *Wallet) Target(holder string, now time.Time) (string, bool) {
	joined := w.touch.Grantor()
	switch {
	case holder == "":
		return joined, true
	case joined != "" && !w.failed && !w.touch.Alone(now):
		return joined, joined == holder
	}
	return holder, true
}

// Ask returns the ask to send to the instance to at now. It renews the contact only if the
// instance is to stay.
func (w *Wallet) Ask(to string, stay bool, now time.Time) Ask {
	renewing := stay && w.touch.Renews(to, now)
	ask := Ask{
		From:      w.name,
		Instances: w.divisor(),
		Renew:     renewing,
		Session:   w.touch.session,
		Hold:      Hold,
		Teams:     map[string]Demand{},
	}
	w.touch = w.touch.WithSent(renewing, now)
	w.sent = now
	w.needy, w.low = false, false
	for team, a := range w.accounts {
		w.settle(a, now)
		if a.purse.debt <= 0 && now.Sub(a.used) > idleTime && len(a.needs) == 0 {
			delete(w.accounts, team)
			continue
		}
		d := Demand{
			Debt:    a.purse.debt,
			Needs:   a.needs,
			Refused: a.refused,
		}
		if a.isLow(now) {
			d.Want = max(a.reserve(now)-max(a.purse.Balance(now), 0), 0)
		}
		a.needs, a.refused = nil, 0
		// Teams with traffic renew their lines.
		if d.Debt > 0 || d.Want > 0 || d.Refused > 0 || len(d.Needs) > 0 || now.Sub(a.used) < idleTime {
			ask.Teams[team] = d
		}
	}
	return ask
}

// Answered adds what an answer of the instance from to the last ask grants.
func (w *Wallet) Answered(from string, answer Answer, now time.Time) {
	for _, a := range w.accounts {
		w.settle(a, now)
	}
	joins := w.touch.Alone(now)
	w.touch = w.touch.WithAnswer(from, answer.Session, now)
	w.told = answer.Instances
	w.failed = false
	for team, a := range w.accounts {
		if joins {
			a.purse = a.purse.WithoutOwn()
		}
		grant, ok := answer.Teams[team]
		if !ok {
			continue
		}
		if expires := w.sent.Add(min(grant.Life, life)); grant.Amount > 0 && now.Before(expires) && !w.sent.Before(a.changed) {
			a.purse = a.purse.WithGrant(grant.Amount, expires)
		}
		a.line = 0
		if !w.sent.Before(a.changed) {
			a.line, a.lineEnd = grant.Line, w.sent.Add(min(grant.LineLife, lineLife))
		}
		a.wait, a.heard = grant.Wait, now
		a.dryUntil = time.Time{}
		if grant.Short {
			a.dryUntil = now.Add(min(grant.Wait, topUpInterval))
		}
	}
}

// Failed records that the last ask was not answered.
func (w *Wallet) Failed() { w.failed = true }

// account returns the account of a team, settled at now.
func (w *Wallet) account(team string, l Limit, now time.Time) *account {
	a := w.accounts[team]
	if a == nil {
		a = &account{
			accrued: now,
			used:    now,
		}
		w.accounts[team] = a
	}
	if a.limit != l {
		// What was granted under another limit, or is on its way, is lost.
		a.limit = l
		a.changed = now
		a.purse = a.purse.WithoutCredit()
		a.line = 0
	}
	w.settle(a, now)
	return a
}

// settle adds what accrued to a while the instance was alone, up to now.
func (w *Wallet) settle(a *account, now time.Time) {
	n := w.divisor()
	a.plan = w.bounds.Plan(a.limit, n)
	if n == 0 {
		a.plan.Rate = 0
	}
	if n == 0 || now.Sub(w.born) < w.bounds.Window {
		// The previous incarnation may have used the overdraft in this window.
		a.plan.Overdraft = 0
	}
	begin := a.accrued
	if since := w.touch.Since(); since.After(begin) {
		begin = since
	}
	if w.touch.Alone(now) && now.After(begin) {
		part := 1 / float64(max(n, 1))
		a.purse = a.purse.WithAccrual(a.plan.Rate*part*now.Sub(begin).Seconds(), a.plan.Cap*part)
	}
	a.accrued = now
}

// useAt returns the average of the recent use, in units a second.
func (a *account) useAt(now time.Time) float64 {
	return a.use * math.Exp(-now.Sub(a.used).Seconds()/useSpan.Seconds())
}

// reserve returns the credit that is expected to be needed before it expires; 0 if that is
// less than a request.
func (a *account) reserve(now time.Time) float64 {
	expected := reserveLives * a.plan.Life.Seconds() * a.useAt(now)
	if expected < a.cost {
		return 0
	}
	return expected
}

// overdraft returns what may be owed at now.
func (a *account) overdraft(now time.Time) float64 {
	if now.Before(a.lineEnd) {
		return a.plan.Overdraft + a.line
	}
	return a.plan.Overdraft
}

// isLow reports whether credit runs low.
func (a *account) isLow(now time.Time) bool {
	return a.purse.debt > a.overdraft(now)/2 || a.purse.Balance(now) < a.reserve(now)/2
}
