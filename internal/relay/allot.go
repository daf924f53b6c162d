package relay

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/allot"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/member"
)

const (
	// askTimeout is how long an instance waits for a grant. It is less than the margin
	// after which an instance out of touch spends a part of its own.
	askTimeout = 450 * time.Millisecond
	// creditWaitShare is the share of its latency target for which a request may wait
	// for credit, within the bounds that follow.
	creditWaitShare = 0.2
	minCreditWait   = 20 * time.Millisecond
	maxCreditWait   = 250 * time.Millisecond
	// unlimitedInterval is the time between two looks at a configuration without
	// allotments.
	unlimitedInterval = 500 * time.Millisecond
)

// errNoGrantor means that no grantor is known.
const errNoGrantor = errors.ConstError("no holder of the lease is known")

// grantClient asks other instances for credit.
type grantClient interface {
	Grant(ctx context.Context, to member.Node, a allot.Ask) (allot.Answer, error)
}

// refusalMeter counts refused requests.
type refusalMeter interface {
	Refused(reason string)
}

// allotter holds requests to the allotments of their teams over all instances. The holder
// of the lease for orders is the grantor; every instance answers whoever asks it, since
// allot.Touch keeps two grantors from counting one instance. It is safe for concurrent
// use.
type allotter struct {
	view  stateViewer
	peers grantClient
	self  string
	now   func() time.Time
	log   zerolog.Logger
	meter refusalMeter
	// wake interrupts the wait for the next ask.
	wake chan struct{}
	// mu guards the following fields.
	mu     sync.Mutex
	wallet *allot.Wallet
	// answered is closed when the next ask, which has not been sent yet, has ended.
	answered chan struct{}
	// waitsUntil is when run sends the next ask; zero while one is in flight.
	waitsUntil time.Time
	// alone is whether the instance was out of touch at the last ask.
	alone bool
	// grantorMu guards grantor.
	grantorMu sync.Mutex
	grantor   allot.Grantor
}

func newAllotter(v stateViewer, p Parts) *allotter {
	return &allotter{
		view:     v,
		peers:    p.Peers,
		self:     p.Self.Name,
		now:      p.Now,
		log:      p.Log,
		meter:    p.Meter,
		wake:     make(chan struct{}, 1),
		wallet:   allot.NewWallet(p.Self.Name, p.Bounds.Allot, p.Now()),
		answered: make(chan struct{}),
		grantor:  allot.NewGrantor(p.Self.Incarnation(), p.Bounds.Allot),
	}
}

// Filter passes r on if its team has credit for it. A request that was certainly not
// executed gets its credit back.
func (a *allotter) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	limit := a.view.View().Routing.Site.Limit(r.Team)
	if !limit.Limited() {
		return next.Handle(ctx, r, w)
	}
	paid, err := a.pay(ctx, r, limit)
	if err != nil {
		return chain.Result{}, err
	}
	result, err := next.Handle(ctx, r, w)
	if err != nil && fault.From(err).Run == fault.NotRun {
		a.mu.Lock()
		a.wallet.Refund(paid, a.now())
		a.mu.Unlock()
	}
	return result, err
}

// pay pays for r. If there is no credit, it asks for it and waits a moment.
func (a *allotter) pay(ctx context.Context, r chain.Request, limit allot.Limit) (allot.Receipt, error) {
	cost := limit.Cost(r.Tokens + r.Output)
	a.mu.Lock()
	paid, ok := a.wallet.Take(r.Team, limit, cost, a.now())
	if ok || !a.wallet.Need(r.Team, cost, a.now()) {
		defer a.mu.Unlock()
		a.expedite()
		if ok {
			return paid, nil
		}
		return paid, a.refuse(r, limit, cost, true)
	}
	answered := a.answered
	a.expedite()
	a.mu.Unlock()
	timer := time.NewTimer(creditWait(r))
	defer timer.Stop()
	heard := false
	select {
	case <-answered:
		heard = true
	case <-timer.C:
	case <-ctx.Done():
		return paid, fault.New(fault.Limited, "the caller left while the request waited for credit: send it again")
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if paid, ok = a.wallet.Take(r.Team, limit, cost, a.now()); ok {
		return paid, nil
	}
	return paid, a.refuse(r, limit, cost, heard)
}

// expedite wakes run if an ask is due before run would send it. The caller holds mu.
func (a *allotter) expedite() {
	if !a.wallet.NextAsk().Before(a.waitsUntil) {
		return
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// refuse returns the refusal of r. Heard is whether the last ask has ended. The caller
// holds mu.
func (a *allotter) refuse(r chain.Request, limit allot.Limit, cost float64, heard bool) error {
	wait := a.wallet.Refuse(r.Team, cost, rand.Float64(), a.now())
	a.meter.Refused("allotment")
	a.log.Warn().Str("event", "refuse").Str("request", r.ID).Str("team", r.Team).Str("route", r.Route.Name).
		Str("reason", "allotment").Float64("cost", cost).Float64("rate", limit.Rate).Stringer("wait", wait.Round(time.Millisecond)).
		Bool("alone", a.alone).Bool("heard", heard).Send()
	return fault.New(fault.Limited, "team %s has used up its allotment: come back later or send less", r.Team).WithRetry(wait)
}

// creditWait is how long r may wait for credit.
func creditWait(r chain.Request) time.Duration {
	wait := time.Duration(creditWaitShare * float64(r.Route.TargetLatency))
	return min(max(wait, minCreditWait), maxCreditWait)
}

// run asks the grantor for credit until ctx ends.
func (a *allotter) run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-a.wake:
		case <-ctx.Done():
			return nil
		}
		if !a.view.View().Routing.Site.Limited() {
			timer.Reset(unlimitedInterval)
			continue
		}
		a.mu.Lock()
		due := a.wallet.NextAsk().Sub(a.now())
		a.mu.Unlock()
		if due <= 0 {
			a.ask(ctx)
			a.mu.Lock()
			due = a.wallet.NextAsk().Sub(a.now())
			a.mu.Unlock()
		}
		timer.Reset(max(due, 0))
	}
}

// ask sends one ask and adds what is granted.
func (a *allotter) ask(ctx context.Context) {
	s := a.view.View()
	a.mu.Lock()
	a.wallet.SetInstances(knownInstances(s))
	now := a.now()
	to, stay := a.wallet.Target(holderName(s), now)
	ask := a.wallet.Ask(to, stay, now)
	answered := a.answered
	a.answered = make(chan struct{})
	a.waitsUntil = time.Time{}
	a.mu.Unlock()
	answer, err := a.send(ctx, s, to, ask)
	a.mu.Lock()
	defer a.mu.Unlock()
	now = a.now()
	if err != nil {
		a.wallet.Failed()
	} else {
		a.wallet.Answered(to, answer, now)
	}
	a.waitsUntil = a.wallet.NextAsk()
	a.noteContact(to, err, now)
	close(answered)
}

// send sends an ask to the named instance, which may be this one.
func (a *allotter) send(ctx context.Context, s *state.State, to string, ask allot.Ask) (allot.Answer, error) {
	if to == a.self {
		return a.Grant(ask), nil
	}
	node, ok := s.Members.Find(to)
	if !ok {
		return allot.Answer{}, errNoGrantor
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := a.peers.Grant(ctx, node.Node, ask)
	return answer, errors.Trace(err)
}

// noteContact logs that the instance lost or regained the contact with the grantor. The
// caller holds mu.
func (a *allotter) noteContact(to string, err error, now time.Time) {
	alone := a.wallet.Touch().Alone(now)
	if alone == a.alone {
		return
	}
	a.alone = alone
	line := a.log.Info().Str("event", "allot").Str("grantor", to)
	if alone {
		line = line.Str("state", "alone").AnErr("error", err)
	} else {
		line = line.Str("state", "joined")
	}
	line.Send()
}

// Grant answers an ask for credit.
func (a *allotter) Grant(ask allot.Ask) allot.Answer {
	s := a.view.View()
	a.grantorMu.Lock()
	defer a.grantorMu.Unlock()
	next, answer := a.grantor.WithAsk(ask, listedInstances(s), s.Routing.Site.Limit, a.now())
	a.grantor = next
	return answer
}

// holderName returns the name of the last known holder of the lease for orders; empty if
// there is none.
func holderName(s *state.State) string {
	name, _, found := strings.Cut(s.Lease.Holder(), "@")
	if !found {
		return ""
	}
	return name
}

// knownInstances returns the number of instances, this one included; 0 if none is known
// and this one may not be the only one.
func knownInstances(s *state.State) int {
	if s.Routing.PeerHeardAt.IsZero() && holderName(s) != s.Self.Name {
		return 0
	}
	return listedInstances(s)
}

// listedInstances returns the number of instances in the platform's list, this one
// included. Seeds, whose names are their addresses, are listed by their names as well.
func listedInstances(s *state.State) int {
	n := 1
	for _, p := range s.Routing.Peers {
		if p.Name != p.Addr {
			n++
		}
	}
	return n
}

// TeamUse is what an instance uses of a team's allotment.
type TeamUse struct {
	// Team is the team, and Limit its allotment over all instances.
	Team  string
	Limit allot.Limit
	// Use is the recent use through this instance, in units a second, and Balance its
	// credit; it is negative by what is owed.
	Use     float64
	Balance float64
}

// AllotmentUse returns the teams with the most use through this instance, at most n.
func (i *Relay) AllotmentUse(n int) []TeamUse { return i.allotter.use(n) }

func (a *allotter) use(n int) []TeamUse {
	s := a.view.View().Routing.Site
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	var out []TeamUse
	for team, use := range a.wallet.Teams(now) {
		if limit := s.Limit(team); limit.Limited() {
			out = append(out, TeamUse{
				Team:    team,
				Limit:   limit,
				Use:     use,
				Balance: a.wallet.Balance(team, now),
			})
		}
	}
	slices.SortFunc(out, func(x, y TeamUse) int {
		return cmp.Or(cmp.Compare(y.Use, x.Use), strings.Compare(x.Team, y.Team))
	})
	return out[:min(n, len(out))]
}
