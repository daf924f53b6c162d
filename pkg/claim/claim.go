package claim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/invar"
	"github.com/baobabtally/baobabtally/pkg/retry"
	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	// settleTries is how often a lost answer is read back.
	settleTries = 3
	// settlePause is the wait between two reads.
	settlePause = 50 * time.Millisecond
	// maxAnswer is the longest answer, in bytes, that is kept for repeats.
	maxAnswer = 32 << 10
	// maxUnsent bounds the nonces that are remembered.
	maxUnsent = 10_000
	// busyRetry is when a caller may ask again for a call in progress.
	busyRetry = 1 * time.Second
	// downRetry is when a caller may ask again while the table is down.
	downRetry = 2 * time.Second
)

// table is the part of the platform's table that claims need.
type table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Put(ctx context.Context, row store.Row) (int64, error)
}

// living tells whether an incarnation of an instance still runs.
type living interface {
	Alive(incarnation string) bool
}

// State is how far a claimed call got.
type State string

const (
	// Claimed is a call that may be sent or running.
	Claimed State = "claimed"
	// Done is a call whose answer is known.
	Done State = "done"
	// Unknown is a call that may have run.
	Unknown State = "unknown"
	// Free is a call that did not run and may be claimed again.
	Free State = "free"
)

// Outcome is how a call ended.
type Outcome struct {
	// State is Done, Unknown or Free.
	State State `json:"state"`
	// Status is the endpoint's status where Done.
	Status int `json:"status,omitempty"`
	// Type is the content type of Answer.
	Type string `json:"type,omitempty"`
	// Answer is the endpoint's answer where Done.
	Answer []byte `json:"answer,omitempty"`
	// Long tells that the answer was too long to keep.
	Long bool `json:"long,omitempty"`
}

// record is the value of a claim's row.
type record struct {
	Outcome
	Nonce  string `json:"nonce"`
	Owner  string `json:"owner"`
	Digest string `json:"digest"`
}

// Ticket is a settled claim.
type Ticket struct {
	row    store.Row
	record record
}

// Repeat is returned in place of a ticket when the call ended before.
type Repeat struct {
	// Outcome is how it ended.
	Outcome Outcome
}

// Error says that the call ran before.
func (Repeat) Error() string { return "the call ran before: use its answer" }

// Book makes claims for one incarnation of an instance.
type Book struct {
	table  table
	living living
	owner  string
	nonce  func() string
	// unsent holds the nonces of claims that could not be settled. Their calls
	// were never sent, so that such a row may be claimed anew.
	unsent *unsent
}

// unsent is a set of nonces. It is safe for concurrent use.
type unsent struct {
	mu     sync.Mutex
	nonces map[string]bool
}

func (u *unsent) add(nonce string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if len(u.nonces) >= maxUnsent {
		clear(u.nonces)
	}
	u.nonces[nonce] = true
}

func (u *unsent) has(nonce string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.nonces[nonce]
}

// New returns a book whose claims belong to the incarnation owner. The
// function nonce must return a new value at each call.
func New(t table, l living, owner string, nonce func() string) Book {
	return Book{
		table:  t,
		living: l,
		owner:  owner,
		nonce:  nonce,
		unsent: &unsent{
			nonces: map[string]bool{},
		},
	}
}

// Begin claims the call of team with key. It returns a Repeat as its error
// where the call ended before, and a fault where it may not be sent.
func (b Book) Begin(ctx context.Context, team, key, digest string) (Ticket, error) {
	t := Ticket{
		row: store.Row{
			Key: "claim/" + team + "/" + key,
		},
		record: record{
			Outcome: Outcome{
				State: Claimed,
			},
			Nonce:  b.nonce(),
			Owner:  b.owner,
			Digest: digest,
		},
	}
	for range settleTries {
		next, err := b.put(ctx, t)
		if err == nil {
			return next, nil
		}
		if !errors.Is(err, store.ErrConflict) {
			b.unsent.add(t.record.Nonce)
			return Ticket{}, b.down(err)
		}
		row, err := b.table.Get(ctx, t.row.Key)
		if err != nil {
			return Ticket{}, b.down(err)
		}
		free, err := b.judge(row, digest)
		if !free {
			return Ticket{}, err
		}
		t.row.Version = row.Version
	}
	return Ticket{}, fault.New(fault.Busy, "others claim key %q: send it again", key).WithRetry(busyRetry)
}

// Finish records how the call of t ended. Where that fails, the claim stays
// and repeats get an unknown outcome, which is never wrong.
func (b Book) Finish(ctx context.Context, t Ticket, o Outcome) error {
	if len(o.Answer) > maxAnswer {
		o.Answer = nil
		o.Long = true
	}
	t.record.Outcome = o
	_, err := b.put(ctx, t)
	return errors.Annotatef(err, "claim %s keeps no outcome: repeats get unknown", t.row.Key)
}

// put writes t's record and settles a lost answer by its nonce.
func (b Book) put(ctx context.Context, t Ticket) (Ticket, error) {
	value, err := json.Marshal(t.record)
	if err != nil {
		return Ticket{}, errors.Trace(err)
	}
	t.row.Value = value
	version, err := b.table.Put(ctx, t.row)
	if err == nil {
		t.row.Version = version
		return t, nil
	}
	if !errors.Is(err, store.ErrLost) {
		return Ticket{}, err
	}
	for range settleTries {
		if err := retry.Wait(ctx, settlePause); err != nil {
			break
		}
		row, err := b.table.Get(ctx, t.row.Key)
		switch {
		case errors.Is(err, store.ErrMissing):
			return Ticket{}, store.ErrUnavailable
		case err != nil:
			continue
		}
		r := decode(row)
		if r.Nonce == t.record.Nonce && r.State == t.record.State {
			t.row.Version = row.Version
			return t, nil
		}
		return Ticket{}, store.ErrConflict
	}
	return Ticket{}, store.ErrLost
}

// judge tells whether another's row may be claimed anew, or why not.
func (b Book) judge(row store.Row, digest string) (bool, error) {
	r := decode(row)
	key := row.Key
	switch {
	case r.Digest != digest:
		return false, fault.New(fault.Mismatch, "%s was used for another request: use a new key", key)
	case r.State == Free, r.State == Claimed && r.Owner == b.owner && b.unsent.has(r.Nonce):
		return true, nil
	case r.State == Done && r.Long:
		return false, fault.New(fault.Lost, "%s ran and its answer was too long to keep: look the result up at the service", key).WithRun(fault.Unknown)
	case r.State == Done:
		return false, Repeat{
			Outcome: r.Outcome,
		}
	case r.State == Claimed && (r.Owner == b.owner || b.living.Alive(r.Owner)):
		return false, fault.New(fault.Busy, "%s is in progress: ask again later", key).WithRun(fault.Unknown).WithRetry(busyRetry)
	}
	return false, fault.New(fault.Lost, "%s may have run: look the result up at the service", key).WithRun(fault.Unknown)
}

func (b Book) down(err error) error {
	return fault.New(fault.Unavailable, "the claim can't be settled (%v): retry with the same key", err).WithRetry(downRetry)
}

// Sendable asserts that t was settled by this book before its call is sent.
func (t Ticket) Sendable() bool {
	ok := t.row.Version > 0 && t.record.State == Claimed
	invar.That(ok, invar.Once, "claim %s is sent without a settled row", t.row.Key)
	return ok
}

func decode(row store.Row) record {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		r.State = Unknown
	}
	return r
}
