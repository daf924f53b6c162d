package allot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Credit is spent at most once and not after its expiry, and what is handed back is not
// valid for longer than before.
func TestPurseSpendsWhatIsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var p Purse
		var paid []Receipt
		type grant struct {
			amount  float64
			expires time.Time
		}
		var grants []grant
		spent := 0.0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				g := grant{
					amount:  float64(rapid.IntRange(1, 100).Draw(t, "amount")),
					expires: now.Add(time.Duration(rapid.IntRange(1, 600).Draw(t, "life")) * time.Millisecond),
				}
				grants = append(grants, g)
				p = p.WithGrant(g.amount, g.expires)
			case 1:
				next, r, ok := p.WithPayment(float64(rapid.IntRange(1, 60).Draw(t, "cost")), 0, now)
				if p = next; ok {
					spent += r.credit
					paid = append(paid, r)
				}
			case 2:
				if len(paid) > 0 {
					spent -= paid[0].credit
					p = p.WithRefund(paid[0], now)
					paid = paid[1:]
				}
			}
			valid, all := 0.0, 0.0
			for _, g := range grants {
				all += g.amount
				if now.Before(g.expires) {
					valid += g.amount
				}
			}
			require.LessOrEqual(t, p.Balance(now), valid+1e-6)
			require.LessOrEqual(t, p.Balance(now)+spent, all+1e-6)
		}
	})
}

// An overdraft is owed, and a refund takes it back.
func TestOverdraftIsSettledByGrants(t *testing.T) {
	now := time.Unix(1000, 0)
	p, r, ok := Purse{}.WithGrant(10, now.Add(time.Second)).WithPayment(30, 25, now)
	require.True(t, ok)
	require.InDelta(t, -20, p.Balance(now), 0)
	_, _, ok = p.WithPayment(6, 25, now)
	require.False(t, ok)
	require.InDelta(t, 5, p.WithGrant(25, now.Add(time.Second)).Balance(now), 0)
	require.InDelta(t, 10, p.WithRefund(r, now).Balance(now), 0)
}
