package relay

import (
	"context"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/rs/zerolog"

	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/origin"
	"github.com/baobabtally/baobabtally/pkg/site"
)

const (
	// streamHolders is how many other instances remember a stream, by rendezvous hashing of
	// its id. Several may end together.
	streamHolders = 4
	// passInterval is how often an instance passes on the streams that began at it, while
	// engines of several versions may have begun them.
	passInterval = 200 * time.Millisecond
	// maxStreamID is the maximum length of the id of a stream in bytes.
	maxStreamID = 200
	// traceTimeout bounds the time to pass streams on and to ask for one.
	traceTimeout = 400 * time.Millisecond
)

// tracer asks other instances about streams.
type tracer interface {
	// Trace has an instance remember the known streams, and returns those of the asked
	// ones that it knows.
	Trace(ctx context.Context, to member.Node, known []origin.Stream, asked []string) ([]origin.Stream, error)
}

// source is what told which software began a stream.
type source uint8

const (
	// unknown means that nothing did.
	unknown source = iota
	// fromBook is what this instance remembers.
	fromBook
	// fromList is the list of versions, which has just one for the service.
	fromList
	// fromPeer is another instance.
	fromPeer
)

// String returns the name of the source in logs and metrics.
func (s source) String() string { return [...]string{"none", "book", "list", "peer"}[s%4] }

// resumeMeter counts the streams that callers take up again.
type resumeMeter interface {
	Resumed(source string)
}

// origins knows which software began the streams. Where a service has one version, the list
// of versions tells; else instances remember the streams for each other. It is safe for
// concurrent use.
type origins struct {
	view  func() *state.State
	peers tracer
	now   func() time.Time
	log   zerolog.Logger
	meter resumeMeter
	book  origin.Book
	// calls are those that pass streams on.
	calls sync.WaitGroup
}

// begin remembers that a version of the software began the stream id.
func (o *origins) begin(id, software string) {
	if !traceable(id) {
		return
	}
	o.book.Begin(origin.Stream{
		ID:       id,
		Software: software,
	}, o.now())
}

// traceable reports whether instances can remember the stream id, which is what its caller
// sent.
func traceable(id string) bool {
	return id != "" && len(id) <= maxStreamID && utf8.ValidString(id)
}

// Trace remembers the known streams and returns those of the asked ones that it knows.
func (o *origins) Trace(known []origin.Stream, asked []string) []origin.Stream {
	o.book.Keep(known, o.now())
	var found []origin.Stream
	for _, id := range asked {
		if v, ok := o.book.Find(id); ok {
			found = append(found, origin.Stream{
				ID:       id,
				Software: v,
			})
		}
	}
	return found
}

// run passes streams on until ctx ends.
func (o *origins) run(ctx context.Context) error {
	defer o.calls.Wait()
	ticker := time.NewTicker(passInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			o.pass(ctx)
		case <-ctx.Done():
			return nil
		}
	}
}

// pass passes on the streams that began since the last time, or since a minute ago if a
// second version has just been listed.
func (o *origins) pass(ctx context.Context) {
	s := o.view()
	if !s.Routing.Software.Listed.Mixed() {
		o.book.Forget(o.now())
		return
	}
	nodes, streams := map[string]member.Node{}, map[string][]origin.Stream{}
	for _, stream := range o.book.Take(o.now()) {
		for _, n := range s.Routing.Ranks.First(stream.ID, streamHolders) {
			nodes[n.Name] = n
			streams[n.Name] = append(streams[n.Name], stream)
		}
	}
	for name, known := range streams {
		o.calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, traceTimeout)
			defer cancel()
			if _, err := o.peers.Trace(ctx, nodes[name], known, nil); err != nil {
				o.log.Debug().Str("event", "unanswered").Str("reason", "trace").Str("name", name).Err(err).Send()
			}
		})
	}
}

// find returns the software that began the stream id at service, and what told it.
func (o *origins) find(ctx context.Context, id, service string) (string, source) {
	if v, ok := o.book.Find(id); ok {
		return v, fromBook
	}
	s := o.view()
	w := s.Routing.Software
	if v, ok := w.Listed.Only(service); ok && w.Known && informed(s, o.now()) {
		return v, fromList
	}
	if !traceable(id) {
		return "", unknown
	}
	if v, ok := o.ask(ctx, id, s.Routing.Ranks.First(id, streamHolders)); ok {
		return v, fromPeer
	}
	return "", unknown
}

// informed reports whether this instance would know of a new version: a peer or the store
// has answered it lately, also if it was paused since.
func informed(s *state.State, now time.Time) bool {
	r := s.Routing
	return len(r.Peers) == 0 || now.Sub(r.PeerHeardAt) <= isolationTime(s) || now.Sub(r.StoreAnswered) <= isolationTime(s)
}

// ask asks the holders for the stream id. The first that knows it answers.
func (o *origins) ask(ctx context.Context, id string, holders []member.Node) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, traceTimeout)
	defer cancel()
	answers := make(chan []origin.Stream, len(holders))
	for _, n := range holders {
		go func() {
			found, err := o.peers.Trace(ctx, n, nil, []string{id})
			if err != nil {
				o.log.Debug().Str("event", "unanswered").Str("reason", "trace").Str("name", n.Name).Err(err).Send()
			}
			answers <- found
		}()
	}
	for range holders {
		for _, s := range <-answers {
			if s.ID == id {
				o.book.Keep([]origin.Stream{s}, o.now())
				return s.Software, true
			}
		}
	}
	return "", false
}

// originFilter finds the software that began the stream that a request resumes.
type originFilter struct {
	origins *origins
}

// Filter adds the software to r. It refuses a stream whose software is not known, since
// engines don't check that a stream goes on at the version that began it.
func (f originFilter) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	if !resumes(r) {
		return next.Handle(ctx, r, w)
	}
	software, told := f.origins.find(ctx, r.Resumes, r.Service)
	f.origins.logResumed(r, software, told)
	if told == unknown {
		return chain.Result{}, fault.New(fault.Unavailable, "it is not known which version of the engines' software began stream %q: begin a new one", r.Resumes)
	}
	return next.Handle(ctx, r.WithSoftware(software), w)
}

// logResumed logs and counts a stream that a caller takes up again, with how long ago a peer
// and the store were last heard.
func (o *origins) logResumed(r chain.Request, software string, told source) {
	o.meter.Resumed(told.String())
	now, s := o.now(), o.view().Routing
	o.log.Info().Str("event", "resume").Str("request", r.ID).Str("stream", r.Resumes).Str("software", software).
		Stringer("source", told).Int64("list", s.Software.Row.Version).
		Stringer("peers", now.Sub(s.PeerHeardAt).Round(time.Millisecond)).
		Stringer("store", now.Sub(s.StoreAnswered).Round(time.Millisecond)).Send()
}

// resumes reports whether r resumes a stream.
func resumes(r chain.Request) bool { return resumable(r) && r.LastEventID != "" }

// resumable reports whether callers may resume the stream that r begins.
func resumable(r chain.Request) bool { return r.Route.Kind == site.Stream && r.Route.Resumable }
