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
	// ConfigKey is the key of the table's row that holds the configuration.
	ConfigKey = "config"
	// ConfigPrefix is the prefix of the object keys under which versions of the
	// configuration are archived.
	ConfigPrefix = "config/"
	// retainedVersions is the number of versions that the object store retains.
	retainedVersions = 1000
	// historyLength is the number of versions that History returns.
	historyLength = "20"
	// retainedChangeIDs is the number of ids of past changes that a document
	// carries, so that a retried change is recognised after others followed it.
	retainedChangeIDs = 16
	// rolloutTimeout bounds the wait until a change is accepted.
	rolloutTimeout = 8 * time.Second
	// rolloutInterval is the wait between two rounds of staging.
	rolloutInterval = 100 * time.Millisecond
	// readBackAttempts is how often the row is read after the response to a write
	// was lost.
	readBackAttempts = 10
	// readBackInterval is the wait between two reads.
	readBackInterval = 100 * time.Millisecond
)

// States of a change, as they are encoded.
const (
	accepted = "accepted"
	staged   = "staged"
	refused  = "refused"
	unknown  = "unknown"
)

// Apply commits a change and returns once it is accepted or rolloutTimeout has
// passed. A change whose id was committed before is only rolled out again.
func (s Server) Apply(ctx context.Context, c *rpcapi.Change) (*rpcapi.Applied, error) {
	if c.GetChange() == "" {
		return newRefusal("the change has no id: send one that is unique"), nil
	}
	row, current, err := s.current(ctx)
	if err != nil {
		return newRefusal(fmt.Sprintf("nothing was changed, since the table can't be read (%v): retry later", err)), nil
	}
	if containsChange(current, c) {
		return s.rollOut(ctx, current, nil, nil), nil
	}
	if c.GetBase() != current.GetVersion() {
		return newRefusal(conflictRemedy(c, current)), nil
	}
	doc := peer.DecodeDocument(current)
	next, problems := doc.WithText(current.GetVersion()+1, c.GetChange(), c.GetAuthor(), c.GetText())
	if len(problems) > 0 && len(next.Policies()) == 0 {
		out := newRefusal("no policy of the change can be read: correct them, lint shows how")
		out.Problems = encodeProblems(problems)
		return out, nil
	}
	m := peer.EncodeDocument(next)
	m.Time = s.now().Unix()
	m.Past = append([]string{c.GetChange()}, current.GetPast()...)
	m.Past = m.Past[:min(len(m.Past), retainedChangeIDs)]
	if out := s.commit(ctx, row, m, c); out != nil {
		return out, nil
	}
	s.log.Info().Str("event", "apply").Int64("version", m.GetVersion()).Str("change", c.GetChange()).
		Str("author", c.GetAuthor()).Int("problems", len(problems)).Send()
	return s.rollOut(ctx, m, doc.Compare(next), problems), nil
}

// current returns the configuration's row of the table, and the configuration.
// The row has version 0 and the configuration is empty if the table has none.
func (s Server) current(ctx context.Context) (store.Row, *rpcapi.Document, error) {
	row, err := s.table.Get(ctx, ConfigKey)
	if errors.Is(err, store.ErrMissing) {
		return store.Row{
			Key: ConfigKey,
		}, &rpcapi.Document{}, nil
	}
	if err != nil {
		return row, nil, err
	}
	m, err := peer.UnmarshalDocument(row.Value)
	return row, m, err
}

// commit replaces row by m if the row is unchanged. It returns nil on success,
// else the result that reports why the change was not made.
func (s Server) commit(ctx context.Context, row store.Row, m *rpcapi.Document, c *rpcapi.Change) *rpcapi.Applied {
	value, err := peer.MarshalDocument(m)
	if err != nil {
		return newRefusal(err.Error())
	}
	row.Value = value
	_, err = s.table.Put(ctx, row)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrUnavailable):
		return newRefusal("nothing was changed, since the table does not answer: retry later")
	case errors.Is(err, store.ErrConflict):
		_, current, err := s.current(ctx)
		if err != nil {
			return newRefusal("nothing was changed, since another change came first: fetch it and apply yours again")
		}
		return newRefusal(conflictRemedy(c, current))
	}
	return s.readBack(ctx, c)
}

// readBack determines whether a change was committed after the response to its
// write was lost. It returns nil if it was.
func (s Server) readBack(ctx context.Context, c *rpcapi.Change) *rpcapi.Applied {
	for range readBackAttempts {
		_, current, err := s.current(ctx)
		switch {
		case err != nil:
		case containsChange(current, c):
			return nil
		case current.GetVersion() > c.GetBase():
			return newRefusal(conflictRemedy(c, current))
		}
		if retry.Wait(ctx, readBackInterval) != nil {
			break
		}
	}
	return &rpcapi.Applied{
		State:  unknown,
		Remedy: "the table's answer was lost and can't be settled yet: apply the same change id again, which never makes it twice",
	}
}

// rollOut makes m effective on all instances and archives it. It returns once m is
// accepted or rolloutTimeout has passed.
func (s Server) rollOut(ctx context.Context, m *rpcapi.Document, alters []string, problems []policy.Problem) *rpcapi.Applied {
	out := &rpcapi.Applied{
		Version:  m.GetVersion(),
		State:    staged,
		Alters:   alters,
		Problems: encodeProblems(problems),
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	if err := s.loop.Tell(ctx, state.NewConfigFound(peer.DecodeDocument(m))); err != nil {
		out.Remedy = err.Error()
		return out
	}
	others := s.otherInstances()
	progress := conf.NewRollout(append(nodeNames(others), s.loop.View().Self.Name))
	archived := false
	for {
		if !archived {
			archived = s.archive(ctx, m) == nil
		}
		progress = s.stageOnPeers(ctx, progress, others, m)
		out.Missing = progress.Missing()
		if archived && progress.Accepted(s.now()) {
			out.State = accepted
			return out
		}
		if retry.Wait(ctx, rolloutInterval) != nil {
			out.Remedy = "the change is made and spreads on: apply the same change id again to learn when it is accepted"
			return out
		}
	}
}

// archive writes m to the object store, from which instances that restart while
// the table is down read the configuration.
func (s Server) archive(ctx context.Context, m *rpcapi.Document) error {
	value, err := peer.MarshalDocument(m)
	if err != nil {
		return err
	}
	if err := s.objects.Put(ctx, objectKey(m.GetVersion()), value); err != nil {
		return err
	}
	if old := m.GetVersion() - retainedVersions; old > 0 {
		// A failed delete is ignored: a surplus version in the archive is harmless.
		_ = s.objects.Delete(ctx, objectKey(old))
	}
	return nil
}

// stageOnPeers sends m, in parallel, to the instances that have not acknowledged
// it, and records the acknowledgements.
func (s Server) stageOnPeers(ctx context.Context, progress conf.Rollout, others []member.Node, m *rpcapi.Document) conf.Rollout {
	missing := progress.Missing()
	versions := make([]int64, len(others))
	var wg sync.WaitGroup
	for i, n := range others {
		if !slices.Contains(missing, n.Name) {
			continue
		}
		wg.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if v, err := s.peers.Stage(callCtx, n, m); err == nil {
				versions[i] = v
			}
		})
	}
	wg.Wait()
	now := s.now()
	for i, n := range others {
		if versions[i] >= m.GetVersion() {
			progress = progress.WithAck(n.Name, now)
		}
	}
	st := s.loop.View()
	if st.Config.Document().Version >= m.GetVersion() {
		progress = progress.WithAck(st.Self.Name, now)
	}
	return progress
}

// History returns the last versions of the configuration, newest first.
func (s Server) History(ctx context.Context, _ *rpcapi.Nothing) (*rpcapi.Documents, error) {
	keys, err := s.objects.Last(ctx, ConfigPrefix, historyLength)
	if err != nil {
		return nil, errors.Annotate(err, "the history can't be read: retry later")
	}
	out := &rpcapi.Documents{}
	for _, k := range keys {
		data, err := s.objects.Get(ctx, k)
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

// otherInstances returns all known instances but this one.
func (s Server) otherInstances() []member.Node {
	st := s.loop.View()
	var out []member.Node
	for _, name := range st.Others() {
		n, _ := st.Members.Find(name)
		out = append(out, n.Node)
	}
	return out
}

func nodeNames(nodes []member.Node) []string {
	out := make([]string, 0, len(nodes))
	for _, n := range nodes {
		out = append(out, n.Name)
	}
	return out
}

// containsChange reports whether c is one of the last changes that led to m.
func containsChange(m *rpcapi.Document, c *rpcapi.Change) bool {
	return slices.Contains(m.GetPast(), c.GetChange())
}

// conflictRemedy returns the remedy for a change that is not based on current.
func conflictRemedy(c *rpcapi.Change, current *rpcapi.Document) string {
	v := strconv.FormatInt(current.GetVersion(), 10)
	return "change " + c.GetChange() + " conflicts with version " + v + " by " + current.GetAuthor() +
		": fetch " + v + ", reapply your change and send it with --base " + v
}

// newRefusal returns the result of a change that was not made.
func newRefusal(remedy string) *rpcapi.Applied {
	return &rpcapi.Applied{
		State:  refused,
		Remedy: remedy,
	}
}

func objectKey(version int64) string { return fmt.Sprintf("%s%012d", ConfigPrefix, version) }

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
