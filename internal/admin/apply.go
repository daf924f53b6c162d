package admin

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/conf"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/retry"
	"github.com/baobabtally/baobabtally/pkg/store"
)

const (
	// Key is the row of the configuration.
	Key = "config"
	// Prefix starts the objects of the configuration's versions.
	Prefix = "config/"
	// keptVersions is how many versions the object store keeps.
	keptVersions = 1000
	// shownVersions is how many versions history shows.
	shownVersions = "20"
	// keptChanges is how many ids of past changes a document carries, by which
	// a change is found again after others followed it.
	keptChanges = 16
	// spreadLimit is how long a change may take to be accepted.
	spreadLimit = 8 * time.Second
	// spreadPause is the wait between two rounds of spreading.
	spreadPause = 100 * time.Millisecond
	// settleTries is how often a lost answer is read back.
	settleTries = 10
	// settlePause is the wait between two reads.
	settlePause = 100 * time.Millisecond
)

// States of a change.
const (
	accepted = "accepted"
	staged   = "staged"
	refused  = "refused"
	unknown  = "unknown"
)

// Apply makes a change and answers once it is in force everywhere.
func (s Server) Apply(ctx context.Context, c *rpcapi.Change) (*rpcapi.Applied, error) {
	if c.GetChange() == "" {
		return refusal("the change has no id: send one that is unique"), nil
	}
	row, current, err := s.current(ctx)
	if err != nil {
		return refusal(fmt.Sprintf("nothing was changed, since the table can't be read (%v): retry later", err)), nil
	}
	if made(current, c) {
		return s.spread(ctx, current, nil, nil), nil
	}
	if c.GetBase() != current.GetVersion() {
		return refusal(conflict(c, current)), nil
	}
	doc := peer.DecodeDocument(current)
	next, problems := doc.WithText(current.GetVersion()+1, c.GetChange(), c.GetAuthor(), c.GetText())
	if len(problems) > 0 && len(next.Policies()) == 0 {
		out := refusal("no policy of the change can be read: correct them, lint shows how")
		out.Problems = encodeProblems(problems)
		return out, nil
	}
	m := peer.EncodeDocument(next)
	m.Time = s.now().Unix()
	m.Past = append([]string{c.GetChange()}, current.GetPast()...)
	m.Past = m.Past[:min(len(m.Past), keptChanges)]
	if out := s.commit(ctx, row, m, c); out != nil {
		return out, nil
	}
	s.log.Info().Str("event", "apply").Int64("version", m.GetVersion()).Str("change", c.GetChange()).
		Str("author", c.GetAuthor()).Int("problems", len(problems)).Send()
	return s.spread(ctx, m, doc.Compare(next), problems), nil
}

// current returns the newest configuration of the table.
func (s Server) current(ctx context.Context) (store.Row, *rpcapi.Document, error) {
	row, err := s.table.Get(ctx, Key)
	if errors.Is(err, store.ErrMissing) {
		return store.Row{
			Key: Key,
		}, &rpcapi.Document{}, nil
	}
	if err != nil {
		return row, nil, err
	}
	m, err := peer.UnmarshalDocument(row.Value)
	return row, m, err
}

// commit writes m in place of row, or returns why that failed.
func (s Server) commit(ctx context.Context, row store.Row, m *rpcapi.Document, c *rpcapi.Change) *rpcapi.Applied {
	value, err := peer.MarshalDocument(m)
	if err != nil {
		return refusal(err.Error())
	}
	row.Value = value
	_, err = s.table.Put(ctx, row)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrUnavailable):
		return refusal("nothing was changed, since the table does not answer: retry later")
	case errors.Is(err, store.ErrConflict):
		_, current, err := s.current(ctx)
		if err != nil {
			return refusal("nothing was changed, since another change came first: fetch it and apply yours again")
		}
		return refusal(conflict(c, current))
	}
	return s.settle(ctx, c)
}

// settle finds out whether a change whose answer was lost was made.
func (s Server) settle(ctx context.Context, c *rpcapi.Change) *rpcapi.Applied {
	for range settleTries {
		_, current, err := s.current(ctx)
		switch {
		case err != nil:
		case made(current, c):
			return nil
		case current.GetVersion() > c.GetBase():
			return refusal(conflict(c, current))
		}
		if retry.Wait(ctx, settlePause) != nil {
			break
		}
	}
	return &rpcapi.Applied{
		State:  unknown,
		Remedy: "the table's answer was lost and can't be settled yet: apply the same change id again, which never makes it twice",
	}
}

// spread has all instances hold m and answers once that is so.
func (s Server) spread(ctx context.Context, m *rpcapi.Document, alters []string, problems []policy.Problem) *rpcapi.Applied {
	out := &rpcapi.Applied{
		Version:  m.GetVersion(),
		State:    staged,
		Alters:   alters,
		Problems: encodeProblems(problems),
	}
	ctx, cancel := context.WithTimeout(ctx, spreadLimit)
	defer cancel()
	if err := s.loop.Tell(ctx, state.NewConfigFound(peer.DecodeDocument(m))); err != nil {
		out.Remedy = err.Error()
		return out
	}
	others := s.others()
	sp := conf.NewRollout(append(names(others), s.loop.View().Self.Name))
	kept := false
	for {
		if !kept {
			kept = s.keep(ctx, m) == nil
		}
		sp = s.stage(ctx, sp, others, m)
		out.Missing = sp.Missing()
		if kept && sp.Accepted(s.now()) {
			out.State = accepted
			return out
		}
		if retry.Wait(ctx, spreadPause) != nil {
			out.Remedy = "the change is made and spreads on: apply the same change id again to learn when it is accepted"
			return out
		}
	}
}

// keep writes m to the object store, from which a herd restarts while the
// table is down.
func (s Server) keep(ctx context.Context, m *rpcapi.Document) error {
	value, err := peer.MarshalDocument(m)
	if err != nil {
		return err
	}
	if err := s.object.Put(ctx, objectKey(m.GetVersion()), value); err != nil {
		return err
	}
	if old := m.GetVersion() - keptVersions; old > 0 {
		// An old version that stays does no harm.
		_ = s.object.Delete(ctx, objectKey(old))
	}
	return nil
}

// stage hands m to those that were not found to hold it.
func (s Server) stage(ctx context.Context, sp conf.Rollout, others []member.Node, m *rpcapi.Document) conf.Rollout {
	missing := sp.Missing()
	held := make([]int64, len(others))
	var all sync.WaitGroup
	for i, n := range others {
		if !slices.Contains(missing, n.Name) {
			continue
		}
		all.Go(func() {
			limited, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if v, err := s.peers.Stage(limited, n, m); err == nil {
				held[i] = v
			}
		})
	}
	all.Wait()
	now := s.now()
	for i, n := range others {
		if held[i] >= m.GetVersion() {
			sp = sp.WithAck(n.Name, now)
		}
	}
	st := s.loop.View()
	if st.Config.Document().Version >= m.GetVersion() {
		sp = sp.WithAck(st.Self.Name, now)
	}
	return sp
}

// History returns the last versions, the newest first.
func (s Server) History(ctx context.Context, _ *rpcapi.Nothing) (*rpcapi.Documents, error) {
	keys, err := s.object.Last(ctx, Prefix, shownVersions)
	if err != nil {
		return nil, errors.Annotate(err, "the history can't be read: retry later")
	}
	out := &rpcapi.Documents{}
	for _, k := range keys {
		data, err := s.object.Get(ctx, k)
		if err != nil {
			return nil, errors.Annotatef(err, "version %s can't be read: retry later", k)
		}
		m, err := peer.UnmarshalDocument(data)
		if err != nil {
			return nil, err
		}
		out.Documents = append(out.Documents, m)
	}
	return out, nil
}

// others returns the other instances.
func (s Server) others() []member.Node {
	st := s.loop.View()
	var out []member.Node
	for _, name := range st.Others() {
		n, _ := st.Members.Find(name)
		out = append(out, n.Node)
	}
	return out
}

func names(nodes []member.Node) []string {
	out := make([]string, 0, len(nodes))
	for _, n := range nodes {
		out = append(out, n.Name)
	}
	return out
}

// made tells whether c is among the changes that led to m.
func made(m *rpcapi.Document, c *rpcapi.Change) bool {
	return slices.Contains(m.GetPast(), c.GetChange())
}

func conflict(c *rpcapi.Change, current *rpcapi.Document) string {
	v := strconv.FormatInt(current.GetVersion(), 10)
	return "change " + c.GetChange() + " conflicts with version " + v + " by " + current.GetAuthor() +
		": fetch " + v + ", reapply your change and send it with --base " + v
}

func refusal(remedy string) *rpcapi.Applied {
	return &rpcapi.Applied{
		State:  refused,
		Remedy: remedy,
	}
}

func objectKey(version int64) string { return fmt.Sprintf("%s%012d", Prefix, version) }

func encodeProblems(ps []policy.Problem) []*rpcapi.Problem {
	var out []*rpcapi.Problem
	for _, p := range ps {
		out = append(out, &rpcapi.Problem{
			Policy: p.Policy,
			Line:   int32(p.Line),
			Remedy: p.Remedy,
		})
	}
	return out
}
