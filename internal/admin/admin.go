package admin

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/client"
	"github.com/baobabtally/baobabtally/internal/peer"
	"github.com/baobabtally/baobabtally/internal/rpcapi"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/label"
	"github.com/baobabtally/baobabtally/pkg/load"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/route"
	"github.com/baobabtally/baobabtally/pkg/store"
)

// loop gives access to the control thread: the published state and its event
// queue.
type loop interface {
	View() *state.State
	Tell(ctx context.Context, e state.Event) error
}

// table reads and writes rows of the platform's table.
type table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Put(ctx context.Context, row store.Row) (int64, error)
}

// objectStore reads and writes objects of the platform's object store.
type objectStore interface {
	Get(ctx context.Context, key string) ([]byte, error)
	Put(ctx context.Context, key string, value []byte) error
	Delete(ctx context.Context, key string) error
	Last(ctx context.Context, prefix string, n string) ([]string, error)
}

// configStager stages a configuration on another instance and returns the
// version that is then effective there.
type configStager interface {
	Stage(ctx context.Context, to member.Node, m *rpcapi.Document) (int64, error)
}

// orderSender sends orders to endpoints.
type orderSender interface {
	Order(ctx context.Context, n member.Node, o client.Order) error
}

// Server implements rpcapi.Admin, the API for operators.
type Server struct {
	loop    loop
	table   table
	objects objectStore
	peers   configStager
	orders  orderSender
	gauge   *load.Gauge
	now     func() time.Time
	log     zerolog.Logger
}

// Option configures a Server.
type Option func(*Server)

// WithTable sets the table that stores the configuration.
func WithTable(t table) Option {
	return func(s *Server) { s.table = t }
}

// WithObjectStore sets the object store that archives versions of the configuration.
func WithObjectStore(o objectStore) Option {
	return func(s *Server) { s.objects = o }
}

// WithPeers sets the client that stages configurations on other instances.
func WithPeers(p configStager) Option {
	return func(s *Server) { s.peers = p }
}

// WithOrders sets the client that sends orders to endpoints.
func WithOrders(o orderSender) Option {
	return func(s *Server) { s.orders = o }
}

// WithGauge sets the gauge of this instance's own calls to endpoints.
func WithGauge(g *load.Gauge) Option {
	return func(s *Server) { s.gauge = g }
}

// WithClock sets the clock. The default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(s *Server) { s.now = now }
}

// WithLog sets the logger. The default discards all lines.
func WithLog(l zerolog.Logger) Option {
	return func(s *Server) { s.log = l }
}

// New returns a server for the control thread l.
func New(l loop, opts ...Option) Server {
	s := Server{
		loop:  l,
		gauge: &load.Gauge{},
		now:   time.Now,
		log:   zerolog.Nop(),
	}
	for _, o := range opts {
		o(&s)
	}
	return s
}

// Get returns the effective configuration.
func (s Server) Get(context.Context, *rpcapi.Nothing) (*rpcapi.Document, error) {
	return peer.EncodeDocument(s.loop.View().Config.Document()), nil
}

// Plan returns the differences and problems that a change would have, without
// making it.
func (s Server) Plan(_ context.Context, c *rpcapi.Change) (*rpcapi.Applied, error) {
	doc := s.loop.View().Config.Document()
	next, problems := doc.WithText(doc.Version+1, c.GetChange(), c.GetAuthor(), c.GetText())
	return &rpcapi.Applied{
		Version:  doc.Version,
		State:    "planned",
		Alters:   doc.Compare(next),
		Problems: encodeProblems(problems),
	}, nil
}

// Explain returns the policy and the endpoint that a request would get, and why.
func (s Server) Explain(_ context.Context, q *rpcapi.Question) (*rpcapi.Answer, error) {
	st := s.loop.View()
	now := s.now()
	labels := label.FromMap(q.GetLabels()).With("team", q.GetTeam()).With("model", q.GetModel())
	p, ok := st.Config.Document().Match(labels)
	if !ok {
		return &rpcapi.Answer{
			Remedy: "no policy covers " + labels.String() + ": add one whose cover selects it",
		}, nil
	}
	salt := prefix.Salt(prefix.TeamScope(q.GetTeam()), q.GetModel(), st.Members.Version(q.GetModel()))
	choice, ok := route.Choose(route.Query{
		Hashes: prefix.HashBlocks(salt, []byte(q.GetPrompt())),
		Tokens: prefix.Tokens(len(q.GetPrompt())),
		Domain: st.Self.Domain,
		Serve:  p.Endpoints,
		Now:    now,
	}, st.Members.Pool(q.GetModel()), route.View{
		Nodes: st.Members,
		Cache: st.Index,
		Loads: st.Loads,
		Own:   s.gauge,
	})
	answer := &rpcapi.Answer{
		Policy: p.Name,
		Rank:   p.Rank.String(),
	}
	if !ok {
		answer.Remedy = "no endpoint of " + q.GetModel() + " takes work: see status"
		return answer, nil
	}
	answer.Endpoint = choice.Endpoint.Node.Name
	answer.Reason = choice.Reason.String()
	answer.Cached = int32(choice.Cached)
	answer.Missed = int32(choice.UncachedTokens)
	answer.Wait = int64(choice.Wait)
	answer.Expected = int64(choice.Expected)
	answer.Considered = int32(choice.Considered)
	return answer, nil
}

// Status returns this instance's state and the nodes that it knows.
func (s Server) Status(context.Context, *rpcapi.Nothing) (*rpcapi.State, error) {
	st := s.loop.View()
	now := s.now()
	ready, reason := st.Ready(now)
	out := &rpcapi.State{
		Name:    st.Self.Name,
		Epoch:   st.Self.Epoch,
		Version: st.Config.Document().Version,
		Ready:   ready && !st.Stopping,
		Reason:  reason,
		Blocks:  int64(st.Index.Blocks()),
	}
	for name, fault := range st.Config.Document().Rejected() {
		out.Faults = append(out.Faults, name+": "+fault)
	}
	for _, r := range [...]member.Role{member.Instance, member.Engine, member.Service} {
		for _, n := range st.Members.Nodes(r) {
			out.Nodes = append(out.Nodes, s.encodeNode(st, n, now))
		}
	}
	return out, nil
}

// encodeNode returns n as a message, with the work that is in flight on it.
func (s Server) encodeNode(st *state.State, n member.Endpoint, now time.Time) *rpcapi.Node {
	w := st.Loads.Work(n.Node.Name, s.gauge.Work(n.Node.Name), n.Report.Prefill, now)
	out := &rpcapi.Node{
		Name:    n.Node.Name,
		Role:    n.Node.Role.String(),
		Addr:    n.Node.Addr,
		Domain:  n.Node.Domain,
		Leaving: n.Report.Departing || n.Node.Departing,
		Suspect: n.SuspectUntil.After(now),
		Epoch:   n.Report.Epoch,
		Work: &rpcapi.Work{
			Calls:  uint32(w.Calls),
			Tokens: uint32(w.PrefillTokens),
		},
	}
	if lastAnswer := st.Members.LastAnswer(n.Node.Name); !lastAnswer.IsZero() {
		out.Heard = lastAnswer.UnixMilli()
	}
	return out
}

// Alarms returns the objectives of all policies and the state of their alarms.
func (s Server) Alarms(context.Context, *rpcapi.Nothing) (*rpcapi.AlarmList, error) {
	out := &rpcapi.AlarmList{}
	for _, a := range s.loop.View().Alarms.Alarms() {
		m := &rpcapi.Alarm{
			Promise:  a.Objective,
			Missed:   a.MissRatio,
			Allowed:  a.Allowed,
			Forecast: a.Forecast,
		}
		if a.Active() {
			m.Raised = a.Raised.UnixMilli()
		}
		out.Alarms = append(out.Alarms, m)
	}
	return out, nil
}
