package allot

import "time"

// maxPieces is how many grants of different ages a purse keeps apart.
const maxPieces = 4

// piece is credit that was granted at one time.
type piece struct {
	amount  float64
	expires time.Time
}

// Purse is the credit of one team at one instance. The zero value is empty. It is
// immutable.
type Purse struct {
	// pieces holds the granted credit. Invariant: it is sorted by expiry, and the entries
	// from count on are unused.
	pieces [maxPieces]piece
	count  int
	// own is what accrued while the instance was out of touch.
	own float64
	// debt is what was admitted without credit. Invariant: while it is positive there is
	// no credit.
	debt float64
}

// Receipt is what a request paid. The zero value is a request that paid nothing.
type Receipt struct {
	// Team is the team that paid.
	Team string
	// credit was paid from granted or accrued credit that expires, and debt by overdraft.
	credit  float64
	expires time.Time
	debt    float64
}

// Balance returns the credit at now; it is negative by what is owed.
func (p Purse) Balance(now time.Time) float64 {
	sum := p.own - p.debt
	for _, c := range p.pieces[:p.count] {
		if now.Before(c.expires) {
			sum += c.amount
		}
	}
	return sum
}

// WithoutExpired returns the purse without the credit that has expired at now.
func (p Purse) WithoutExpired(now time.Time) Purse {
	kept := 0
	for _, c := range p.pieces[:p.count] {
		if now.Before(c.expires) && c.amount > 0 {
			p.pieces[kept] = c
			kept++
		}
	}
	p.count = kept
	return p
}

// WithPayment returns the purse after paying cost at now, with an overdraft of at most
// the given amount. It returns false, and the purse unchanged, if that is not enough.
func (p Purse) WithPayment(cost, overdraft float64, now time.Time) (Purse, Receipt, bool) {
	if p.Balance(now)+overdraft < cost {
		return p, Receipt{}, false
	}
	next := p.WithoutExpired(now)
	paid := Receipt{
		expires: now.Add(life),
	}
	rest := cost
	for i := range next.pieces[:next.count] {
		c := &next.pieces[i]
		part := min(rest, c.amount)
		if part <= 0 {
			continue
		}
		if c.expires.Before(paid.expires) {
			paid.expires = c.expires
		}
		c.amount -= part
		rest -= part
		paid.credit += part
	}
	part := min(rest, next.own)
	next.own -= part
	paid.credit += part
	paid.debt = rest - part
	next.debt += paid.debt
	return next.WithoutExpired(now), paid, true
}

// WithRefund returns the purse after what r shows was handed back at now. Credit that has
// expired meanwhile, and a debt that was settled, are lost.
func (p Purse) WithRefund(r Receipt, now time.Time) Purse {
	p.debt = max(p.debt-r.debt, 0)
	if !now.Before(r.expires) {
		return p
	}
	return p.WithGrant(r.credit, r.expires)
}

// WithGrant returns the purse with further credit, which settles the debt first.
func (p Purse) WithGrant(amount float64, expires time.Time) Purse {
	settled := min(amount, p.debt)
	p.debt -= settled
	amount -= settled
	if amount <= 0 {
		return p
	}
	if p.count == maxPieces {
		// The earlier expiry holds for both.
		p.pieces[maxPieces-2].amount += p.pieces[maxPieces-1].amount
		p.count--
	}
	at := p.count
	for at > 0 && expires.Before(p.pieces[at-1].expires) {
		p.pieces[at] = p.pieces[at-1]
		at--
	}
	p.pieces[at] = piece{
		amount:  amount,
		expires: expires,
	}
	p.count++
	return p
}

// WithAccrual returns the purse after amount accrued while the instance was out of touch.
// It saves up to limit.
func (p Purse) WithAccrual(amount, limit float64) Purse {
	settled := min(amount, p.debt)
	p.debt -= settled
	p.own = max(min(p.own+amount-settled, limit), 0)
	return p
}

// WithoutCredit returns the purse without any credit. The debt stays.
func (p Purse) WithoutCredit() Purse {
	return Purse{
		debt: p.debt,
	}
}

// WithoutOwn returns the purse without the credit that accrued out of touch.
func (p Purse) WithoutOwn() Purse {
	p.own = 0
	return p
}
