package relay

import (
	"context"
	"errors"
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
	// listPatience is how long a read of the list of versions takes before other instances
	// are asked beside it, which a caller of a store that does not answer need not wait for
	// twice. It is several times the duration of a read.
	listPatience = 50 * time.Millisecond
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

// lister reads the versions that may have begun streams.
type lister interface {
	// read returns the versions that are listed at some moment after its call.
	read(ctx context.Context) (origin.Listed, error)
}

// origins knows which software began the streams. Where a service has one version, the list
// of versions tells, as the store has it; else instances remember the streams for each other.
// It is safe for concurrent use.
type origins struct {
	view  func() *state.State
	list  lister
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

// pass passes on the streams that began since the last time, or since a minute ago if the
// list has just ceased to tell which version began them: it has several, or can't be read.
func (o *origins) pass(ctx context.Context) {
	s := o.view()
	if !s.Routing.Software.Listed.Mixed() && s.Routing.StoreReachable {
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

// originAnswer is what is known of the software that began a stream.
type originAnswer struct {
	software string
	// told is what told the software.
	told source
	// err is why the list of versions was not read; nil if it was, or need not be.
	err error
}

// find returns which software began the stream id at service.
//
// An instance that was paused, or that hears only some of the others, may have missed a
// version, and so may those that it hears. It can't conclude from their silence that its list
// is complete, so that the only version of its list counts only if a read of the store
// confirms it. A list with several versions needs no read: a stream is then known or not. The
// holders are asked once the list does not tell, or takes long.
func (o *origins) find(ctx context.Context, id, service string) originAnswer {
	if v, ok := o.book.Find(id); ok {
		return originAnswer{
			software: v,
			told:     fromBook,
		}
	}
	s := o.view()
	holders := s.Routing.Ranks.First(id, streamHolders)
	if s.Routing.Software.Listed.Several(service) {
		return o.ask(ctx, id, holders)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan originAnswer, 2)
	go func() { answers <- o.readOnly(ctx, service) }()
	patience := time.NewTimer(listPatience)
	defer patience.Stop()
	var none originAnswer
	for pending, asked := 1, false; pending > 0; {
		select {
		case a := <-answers:
			if a.told != unknown {
				return a
			}
			pending--
			if a.err != nil {
				none = a
			}
		case <-patience.C:
		}
		if !asked {
			asked = true
			pending++
			go func() { answers <- o.ask(ctx, id, holders) }()
		}
	}
	return none
}

// readOnly returns the only version of service, if the store lists just one.
func (o *origins) readOnly(ctx context.Context, service string) originAnswer {
	listed, err := o.list.read(ctx)
	if v, ok := listed.Only(service); ok {
		return originAnswer{
			software: v,
			told:     fromList,
		}
	}
	return originAnswer{
		err: err,
	}
}

// ask asks the holders for the stream id. The first that knows it answers.
func (o *origins) ask(ctx context.Context, id string, holders []member.Node) originAnswer {
	if !traceable(id) {
		return originAnswer{}
	}
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
				return originAnswer{
					software: s.Software,
					told:     fromPeer,
				}
			}
		}
	}
	return originAnswer{}
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
	a := f.origins.find(ctx, r.Resumes, r.Service)
	f.origins.logResumed(r, a)
	if a.told == unknown {
		return chain.Result{}, unknownOrigin(r.Resumes, a.err)
	}
	return next.Handle(ctx, r.WithSoftware(a.software), w)
}

// unknownOrigin returns the fault for a stream of which nothing tells the software. The error
// is that of the list of versions, or nil if the list does not tell.
func unknownOrigin(stream string, err error) fault.Error {
	if err == nil {
		return fault.New(fault.Unavailable, "it is not known which version of the engines' software began stream %q: begin a new one", stream)
	}
	e := fault.New(fault.Unavailable, "it is not known which version of the engines' software began stream %q, since the list of versions can't be confirmed: try another instance", stream)
	var pause listPause
	if errors.As(err, &pause) {
		return e.WithRetry(pause.wait)
	}
	return e
}

// logResumed logs and counts a stream that a caller takes up again, with how long ago a peer
// and the store were last heard, and why the list of versions was not read.
func (o *origins) logResumed(r chain.Request, a originAnswer) {
	o.meter.Resumed(a.told.String())
	now, s := o.now(), o.view().Routing
	o.log.Info().Str("event", "resume").Str("request", r.ID).Str("stream", r.Resumes).Str("software", a.software).
		Stringer("source", a.told).Int64("list", s.Software.Row.Version).
		Stringer("peers", now.Sub(s.PeerHeardAt).Round(time.Millisecond)).
		Stringer("store", now.Sub(s.StoreAnswered).Round(time.Millisecond)).Err(a.err).Send()
}

// resumes reports whether r resumes a stream.
func resumes(r chain.Request) bool { return resumable(r) && r.LastEventID != "" }

// resumable reports whether callers may resume the stream that r begins.
func resumable(r chain.Request) bool { return r.Route.Kind == site.Stream && r.Route.Resumable }
