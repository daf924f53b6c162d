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

// loop is the control thread as operators reach it.
type loop interface {
	View() *state.State
	Tell(ctx context.Context, e state.Event) error
}

// table is the part of the platform's table that changes need.
type table interface {
	Get(ctx context.Context, key string) (store.Row, error)
	Put(ctx context.Context, row store.Row) (int64, error)
}

// object is the part of the object store that changes need.
type object interface {
	Get(ctx context.Context, key string) ([]byte, error)
	Put(ctx context.Context, key string, value []byte) error
	Delete(ctx context.Context, key string) error
	Last(ctx context.Context, prefix string, n string) ([]string, error)
}

// peers hands configurations to other instances.
type peers interface {
	Stage(ctx context.Context, to member.Node, m *rpcapi.Document) (int64, error)
}

// orders gives orders to endpoints.
type orders interface {
	Order(ctx context.Context, n member.Node, o client.Order) error
}

// Server answers operators.
type Server struct {
	loop   loop
	table  table
	object object
	peers  peers
	orders orders
	gauge  *load.Gauge
	now    func() time.Time
	log    zerolog.Logger
}

// Option changes a server that New makes.
type Option func(*Server)

// WithTable sets the platform's table.
func WithTable(t table) Option {
	return func(s *Server) { s.table = t }
}

// WithObject sets the platform's object store.
func WithObject(o object) Option {
	return func(s *Server) { s.object = o }
}

// WithPeers sets how other instances are reached.
func WithPeers(p peers) Option {
	return func(s *Server) { s.peers = p }
}

// WithOrders sets how endpoints are reached.
func WithOrders(o orders) Option {
	return func(s *Server) { s.orders = o }
}

// WithGauge sets the count of this instance's own calls.
func WithGauge(g *load.Gauge) Option {
	return func(s *Server) { s.gauge = g }
}

// WithClock has the server read the time from now.
func WithClock(now func() time.Time) Option {
	return func(s *Server) { s.now = now }
}

// WithLog has the server log to l.
func WithLog(l zerolog.Logger) Option {
	return func(s *Server) { s.log = l }
}

// New returns a server that speaks for l.
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

// Get returns the configuration in force.
func (s Server) Get(context.Context, *rpcapi.Nothing) (*rpcapi.Document, error) {
	return peer.EncodeDocument(s.loop.View().Config.Document()), nil
}

// Plan returns what a change would alter, and changes nothing.
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

// Explain returns how a request would be treated, and why.
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
	salt := prefix.Salt(q.GetTeam(), q.GetModel(), st.Members.Version(q.GetModel()))
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

// Status returns what this instance knows.
func (s Server) Status(context.Context, *rpcapi.Nothing) (*rpcapi.State, error) {
	st := s.loop.View()
	now := s.now()
	ok, why := st.Ready(now)
	out := &rpcapi.State{
		Name:    st.Self.Name,
		Epoch:   st.Self.Epoch,
		Version: st.Config.Document().Version,
		Ready:   ok && !st.Leaving,
		Reason:  why,
		Blocks:  int64(st.Index.Blocks()),
	}
	for name, why := range st.Config.Document().Rejected() {
		out.Faults = append(out.Faults, name+": "+why)
	}
	for _, r := range [...]member.Role{member.Instance, member.Engine, member.Service} {
		for _, n := range st.Members.Nodes(r) {
			out.Nodes = append(out.Nodes, s.node(st, n, now))
		}
	}
	return out, nil
}

func (s Server) node(st *state.State, n member.Endpoint, now time.Time) *rpcapi.Node {
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
	if heard := st.Members.LastAnswer(n.Node.Name); !heard.IsZero() {
		out.Heard = heard.UnixMilli()
	}
	return out
}

// Alarms returns the promises and their alarms.
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
