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
	// maxAttempts is how often a claim is attempted, and how often a row is read
	// back after the response to a write was lost.
	maxAttempts = 3
	// readBackInterval is the wait before each of these reads.
	readBackInterval = 50 * time.Millisecond
	// maxStoredAnswer is the size, in bytes, of the longest answer that is stored
	// for repeated calls.
	maxStoredAnswer = 32 << 10
	// maxUnsentNonces is the size at which the set of remembered nonces is cleared.
	maxUnsentNonces = 10_000
	// busyRetryAfter is when a caller may repeat a call that is in progress.
	busyRetryAfter = 1 * time.Second
	// unavailableRetryAfter is when a caller may retry while the table is
	// unavailable.
	unavailableRetryAfter = 2 * time.Second
)

// table is the subset of the platform's table service that claims use.
type table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Put(ctx context.Context, row store.Row) (int64, error)
}

// liveness reports whether an incarnation of an instance is still running.
type liveness interface {
	Alive(incarnation string) bool
}

// State is the progress of a claimed call.
type State string

const (
	// Claimed is the state of a call that may be sent at any time or is running.
	Claimed State = "claimed"
	// Done is the state of a call whose answer is known.
	Done State = "done"
	// Unknown is the state of a call that may have run.
	Unknown State = "unknown"
	// Free is the state of a call that did not run and may be claimed again.
	Free State = "free"
)

// Outcome is how a call ended.
type Outcome struct {
	// State is Done, Unknown or Free.
	State State `json:"state"`
	// Status is the endpoint's HTTP status if State is Done.
	Status int `json:"status,omitempty"`
	// Type is the content type of Answer.
	Type string `json:"type,omitempty"`
	// Answer is the endpoint's answer if State is Done.
	Answer []byte `json:"answer,omitempty"`
	// Long reports whether the answer was too long to store.
	Long bool `json:"long,omitempty"`
}

// record is the encoded value of a claim's row.
type record struct {
	Outcome
	Nonce  string `json:"nonce"`
	Owner  string `json:"owner"`
	Digest string `json:"digest"`
}

// Ticket is a claim whose row is known to be in the table.
type Ticket struct {
	row    store.Row
	record record
}

// Repeat is the error that Begin returns for a call that has already completed.
type Repeat struct {
	// Outcome is the stored outcome of the call.
	Outcome Outcome
}

// Error implements the error interface.
func (Repeat) Error() string { return "the call ran before: use its answer" }

// Claimer makes claims on behalf of one incarnation of an instance.
type Claimer struct {
	table    table
	liveness liveness
	owner    string
	nonce    func() string
	// unsent holds the nonces of claims whose writes could not be confirmed. Their
	// calls were never sent, so that a row with such a nonce may be claimed again.
	unsent *nonceSet
}

// nonceSet is a set of nonces. It is safe for concurrent use.
type nonceSet struct {
	mu     sync.Mutex
	nonces map[string]bool
}

func (s *nonceSet) add(nonce string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.nonces) >= maxUnsentNonces {
		clear(s.nonces)
	}
	s.nonces[nonce] = true
}

func (s *nonceSet) has(nonce string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nonces[nonce]
}

// New returns a Claimer whose claims belong to the incarnation owner. The function
// nonce must return a different value on each call.
func New(t table, l liveness, owner string, nonce func() string) Claimer {
	return Claimer{
		table:    t,
		liveness: l,
		owner:    owner,
		nonce:    nonce,
		unsent: &nonceSet{
			nonces: map[string]bool{},
		},
	}
}

// Begin claims the call that team identifies by key. Its error is a Repeat if the
// call has already completed, and a fault if it may not be sent.
func (c Claimer) Begin(ctx context.Context, team, key, digest string) (Ticket, error) {
	t := Ticket{
		row: store.Row{
			Key: "claim/" + team + "/" + key,
		},
		record: record{
			Outcome: Outcome{
				State: Claimed,
			},
			Nonce:  c.nonce(),
			Owner:  c.owner,
			Digest: digest,
		},
	}
	for range maxAttempts {
		next, err := c.put(ctx, t)
		if err == nil {
			return next, nil
		}
		if !errors.Is(err, store.ErrConflict) {
			c.unsent.add(t.record.Nonce)
			return Ticket{}, c.unavailable(err)
		}
		row, err := c.table.Get(ctx, t.row.Key)
		if err != nil {
			return Ticket{}, c.unavailable(err)
		}
		free, err := c.reclaimable(row, digest)
		if !free {
			return Ticket{}, err
		}
		t.row.Version = row.Version
	}
	return Ticket{}, fault.New(fault.Busy, "others claim key %q: send it again", key).WithRetry(busyRetryAfter)
}

// Finish stores the outcome of the call of t. If that fails, the row remains
// claimed and repeated calls get an unknown outcome, which is always a correct answer.
func (c Claimer) Finish(ctx context.Context, t Ticket, o Outcome) error {
	if len(o.Answer) > maxStoredAnswer {
		o.Answer = nil
		o.Long = true
	}
	t.record.Outcome = o
	_, err := c.put(ctx, t)
	return errors.Annotatef(err, "storing the outcome of claim %s: repeated calls get an unknown outcome", t.row.Key)
}

// put writes the record of t. If the response is lost, it reads the row back and
// compares the nonce.
func (c Claimer) put(ctx context.Context, t Ticket) (Ticket, error) {
	value, err := json.Marshal(t.record)
	if err != nil {
		return Ticket{}, errors.Trace(err)
	}
	t.row.Value = value
	version, err := c.table.Put(ctx, t.row)
	if err == nil {
		t.row.Version = version
		return t, nil
	}
	if !errors.Is(err, store.ErrLost) {
		return Ticket{}, err
	}
	for range maxAttempts {
		if err := retry.Wait(ctx, readBackInterval); err != nil {
			break
		}
		row, err := c.table.Get(ctx, t.row.Key)
		switch {
		case errors.Is(err, store.ErrMissing):
			return Ticket{}, store.ErrUnavailable
		case err != nil:
			continue
		}
		r := decodeRecord(row)
		if r.Nonce == t.record.Nonce && r.State == t.record.State {
			t.row.Version = row.Version
			return t, nil
		}
		return Ticket{}, store.ErrConflict
	}
	return Ticket{}, store.ErrLost
}

// reclaimable reports whether an existing row may be claimed again. If not, the
// error is a Repeat or the fault that explains why.
func (c Claimer) reclaimable(row store.Row, digest string) (bool, error) {
	r := decodeRecord(row)
	key := row.Key
	switch {
	case r.Digest != digest:
		return false, fault.New(fault.Mismatch, "%s was used for another request: use a new key", key)
	case r.State == Free, r.State == Claimed && r.Owner == c.owner && c.unsent.has(r.Nonce):
		return true, nil
	case r.State == Done && r.Long:
		return false, fault.New(fault.Lost, "%s ran and its answer was too long to keep: look the result up at the service", key).WithRun(fault.Unknown)
	case r.State == Done:
		return false, Repeat{
			Outcome: r.Outcome,
		}
	case r.State == Claimed && (r.Owner == c.owner || c.liveness.Alive(r.Owner)):
		return false, fault.New(fault.Busy, "%s is in progress: ask again later", key).WithRun(fault.Unknown).WithRetry(busyRetryAfter)
	}
	return false, fault.New(fault.Lost, "%s may have run: look the result up at the service", key).WithRun(fault.Unknown)
}

func (c Claimer) unavailable(err error) error {
	return fault.New(fault.Unavailable, "the claim can't be settled (%v): retry with the same key", err).WithRetry(unavailableRetryAfter)
}

// Sendable reports whether the claim's row is confirmed, so that its call may be
// sent. It reports an invariant violation if not.
func (t Ticket) Sendable() bool {
	ok := t.row.Version > 0 && t.record.State == Claimed
	invar.Check(ok, invar.Once, "the call of claim %s is sent without a confirmed row", t.row.Key)
	return ok
}

func decodeRecord(row store.Row) record {
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		r.State = Unknown
	}
	return r
}
