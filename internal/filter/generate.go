package filter

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/grace"
	"github.com/baobabtally/baobabtally/pkg/invar"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/retry"
	"github.com/baobabtally/baobabtally/pkg/route"
	"github.com/baobabtally/baobabtally/pkg/stream"
)

const (
	// maxResumes is how often a stream is resumed in a row without a new chunk.
	maxResumes = 2
	// extraChunks is how many chunks a stream may have beyond one for each token: for the
	// role, the reason of its end, the usage and the end marker.
	extraChunks = 8
	// maxTokenBytes is the mean length of a token's text at the most, and extraTextBytes
	// what a text may have beyond that.
	maxTokenBytes  = 256
	extraTextBytes = 64 << 10
	// maxFailovers is the number of engine failures that a started stream
	// survives.
	maxFailovers = 10
)

// generate forwards r to an engine and streams the answer. A broken stream is
// resumed over a new connection; if its engine is lost, the stream continues at
// another engine.
func (f Dispatch) generate(ctx context.Context, r chain.Request, w chain.Writer) (chain.Result, error) {
	g := generation{
		Dispatch: f,
		request:  r,
		writer:   w,
		resume:   r.Resume,
	}
	g.base = r.Resume.Base
	if r.Resume.Active() && r.Resume.Base == 0 {
		// Read the stream from its start, so that the text that the caller
		// already has is known and another engine can continue it.
		g.alreadyReceived = r.Resume.Offset
		g.resume.Offset = 0
	}
	for {
		done, err := g.tryAttempt(ctx)
		if done || err != nil {
			return g.result(), err
		}
	}
}

// generation is the state of one answer in flight, across all its attempts.
type generation struct {
	Dispatch
	request chain.Request
	writer  chain.Writer
	// position is the position in the stream of the current attempt.
	position stream.State
	// delivered is the text received in all attempts so far.
	delivered strings.Builder
	// started reports whether the answer to the caller has started.
	started bool
	// firstChunkAt is when the first chunk arrived.
	firstChunkAt time.Time
	// resume is the position from which to resume the current stream. It is
	// inactive before a stream has started.
	resume chain.Resume
	// resumesWithoutChunk counts the resumes since the last new chunk.
	resumesWithoutChunk int
	// failedEndpoints are the names of the endpoints that failed.
	failedEndpoints []string
	attempts        int
	// maybeSent reports whether any byte of any attempt may have been sent.
	maybeSent bool
	// chunks is the number of chunks received, and base the number of those
	// received before the current attempt.
	chunks int
	base   int
	// overlong reports that an engine sent more than the request allows.
	overlong bool
	// finalSeen reports that only the end marker is missing.
	finalSeen bool
	// alreadyReceived is the number of chunks that the caller received before it
	// resumed the stream.
	alreadyReceived int
	choice          route.Choice
	tokenUsage      call.Usage
}

// tryAttempt makes one attempt. It returns true when the answer is complete.
func (g *generation) tryAttempt(ctx context.Context) (bool, error) {
	a, err := g.nextAttempt()
	if err != nil {
		return false, g.withUnknownRun(err)
	}
	g.attempts++
	counted := g.gauge.Start(a.Endpoint.Node.Name, g.choice.UncachedTokens)
	defer counted.End()
	held := admissionOf(ctx)
	held.move(a.Endpoint.Node.Name)
	defer held.move("")
	err = g.forwardStream(ctx, a, counted.EndPrefill)
	g.reportOutcome(ctx, a.Endpoint, err)
	switch {
	case err == nil:
		g.reportCacheHits(a.Endpoint)
		return true, nil
	case g.finalSeen && ctx.Err() == nil:
		return true, g.writeEndMarker()
	}
	return false, g.handleFailure(ctx, a, err)
}

// nextAttempt returns the next attempt: a resume of the current stream, or a new
// attempt at the best endpoint.
func (g *generation) nextAttempt() (call.Attempt, error) {
	if g.resume.Active() {
		e, ok := g.view.View().Members.Find(g.resume.Endpoint)
		if ok {
			a := g.newAttempt(g.request, e)
			a.ID = g.resume.Attempt
			a.Resume = g.resume
			g.position = stream.From(g.resume.Offset)
			return a, nil
		}
		if !g.continuable() {
			return call.Attempt{}, streamLost(g.resume)
		}
	}
	choice, err := g.choose(g.request, g.failedEndpoints)
	if err != nil {
		return call.Attempt{}, err
	}
	g.choice = choice
	g.position = stream.State{}
	g.resumesWithoutChunk = 0
	a := g.newAttempt(g.request, choice.Endpoint)
	a.Delivered = g.delivered.String()
	a.DeliveredChunks = g.chunks
	g.base = g.chunks
	g.resume = chain.Resume{}
	return a, nil
}

// forwardStream forwards the chunks of one attempt until its end or a failure.
func (g *generation) forwardStream(ctx context.Context, a call.Attempt, first func()) error {
	reply, err := g.client.Open(ctx, a)
	if err != nil {
		return err
	}
	defer reply.Close()
	for {
		c, offset, err := reply.Next()
		if err != nil {
			return err
		}
		first()
		invar.Check(reply.Head().Attempt == a.ID, invar.Match, "response to attempt %s was forwarded for attempt %s", reply.Head().Attempt, a.ID)
		next, verdict := g.position.With(offset, c.End)
		switch verdict {
		case stream.Deliver:
		case stream.Duplicate, stream.Late:
			continue
		case stream.Gap:
			return call.Failure{
				Cause:     call.Broken,
				MaybeSent: true,
				Detail:    "a chunk is missing",
			}
		}
		g.position = next
		g.tokenUsage = reply.Usage()
		if err := g.forwardChunk(a, reply.Head(), c); err != nil {
			return err
		}
		if c.End {
			return nil
		}
	}
}

// continuable reports whether another engine can continue the answer. That is
// impossible if the caller has text that this instance does not know.
func (g *generation) continuable() bool {
	return g.request.Resume.Base == 0 && g.chunks >= g.alreadyReceived
}

// forwardChunk writes a chunk to the caller, unless the caller already received
// it.
func (g *generation) forwardChunk(a call.Attempt, head chain.Head, c chain.Chunk) error {
	if !g.started {
		g.started = true
		g.firstChunkAt = g.now()
		if err := g.writer.Begin(head); err != nil {
			return callerDisconnected(err)
		}
	}
	g.resume = chain.Resume{
		Endpoint: a.Endpoint.Node.Name,
		Attempt:  a.ID,
		Offset:   g.position.Next(),
		Base:     g.base,
		Team:     g.request.Team,
	}
	g.resumesWithoutChunk = 0
	g.chunks++
	g.finalSeen = c.Final
	g.delivered.WriteString(c.Text)
	if err := g.checkLength(); err != nil {
		return err
	}
	c.Next = g.resume
	if g.chunks <= g.alreadyReceived && !c.End {
		return nil
	}
	if err := g.writer.Write(c); err != nil {
		return callerDisconnected(err)
	}
	return nil
}

// checkLength returns an error if the stream is longer than the request allows. The engine
// may never end it, and its text is kept to go on at another one.
func (g *generation) checkLength() error {
	g.overlong = g.request.Output > 0 && (g.chunks > g.request.Output+extraChunks ||
		g.delivered.Len() > g.request.Output*maxTokenBytes+extraTextBytes)
	if !g.overlong {
		return nil
	}
	return call.Failure{
		Cause:     call.Broken,
		MaybeSent: true,
		Detail:    fmt.Sprintf("the engine sent %d chunks and %d bytes of text for at most %d tokens", g.chunks, g.delivered.Len(), g.request.Output),
	}
}

// writeEndMarker writes the end marker of a complete answer whose stream failed
// before its end marker.
func (g *generation) writeEndMarker() error {
	g.resume.Offset++
	err := g.writer.Write(chain.Chunk{
		End:  true,
		Next: g.resume,
	})
	if err != nil {
		return callerDisconnected(err)
	}
	return nil
}

// handleFailure decides how to proceed after a failed attempt. It returns nil to
// make another attempt.
func (g *generation) handleFailure(ctx context.Context, a call.Attempt, err error) error {
	if fault.From(err).Kind == fault.Lost && ctx.Err() == nil {
		return err
	}
	failure := failureOf(err)
	g.maybeSent = g.maybeSent || failure.MaybeSent
	if ctx.Err() != nil {
		return g.contextError(ctx)
	}
	g.log.Warn().Str("event", "fail").Str("request", g.request.ID).Str("endpoint", a.Endpoint.Node.Name).
		Str("cause", failure.Cause.String()).Int("offset", g.position.Next()).Err(err).Send()
	switch {
	case failure.Cause == call.Rejected:
		return g.rejection(failure)
	case g.overlong:
		return fault.New(fault.Lost, "%s does not end its answer (%s): look at the engine's log before you send it again", a.Endpoint.Node.Name, failure.Detail).WithRun(fault.Unknown)
	}
	if g.resume.Active() && failure.Cause != call.UnknownStream && g.resumesWithoutChunk < maxResumes {
		g.resumesWithoutChunk++
		return nil
	}
	if !g.continuable() {
		return streamLost(g.resume)
	}
	g.resume = chain.Resume{}
	g.failedEndpoints = append(g.failedEndpoints, a.Endpoint.Node.Name)
	if failure.MaybeSent {
		g.post.Post(state.Abandoned{
			Endpoint: a.Endpoint.Node.Name,
			Attempt:  a.ID,
		})
	}
	if g.started && len(g.failedEndpoints) < maxFailovers {
		// The retry budget bounds only requests that have not started. A
		// started stream is always continued.
		if err := retry.WaitBackoff(ctx, len(g.failedEndpoints)); err != nil {
			return g.contextError(ctx)
		}
		return nil
	}
	return g.withUnknownRun(g.backOff(ctx, g.attempts, err))
}

// contextError returns the error of a request whose caller has left or whose instance
// has stopped.
func (g *generation) contextError(ctx context.Context) error {
	if grace.Ended(ctx) {
		return grace.Fault(g.maybeSent || g.started)
	}
	return callerDisconnected(ctx.Err())
}

// rejection returns the error for a request that the engine finds invalid. That
// engine did not run it, but an earlier attempt may have run.
func (g *generation) rejection(failure call.Failure) error {
	err := fault.New(fault.Invalid, "the engine rejects the call (%s): correct it", failure.Detail)
	if g.started || g.attempts > 1 {
		return err.WithRun(fault.Unknown)
	}
	return err
}

// withUnknownRun sets the run status of err to unknown if the request may have run
// at any endpoint. A generation has no side effects, but the status not_run must
// still be accurate.
func (g *generation) withUnknownRun(err error) error {
	if err == nil || !g.maybeSent && !g.started {
		return err
	}
	return fault.From(err).WithRun(fault.Unknown)
}

// reportCacheHits reports the engine's actual cache hits to the control thread.
func (g *generation) reportCacheHits(e member.Endpoint) {
	if !g.tokenUsage.Known || g.request.Resume.Active() || e.Report.Version != g.request.Version {
		return
	}
	g.post.Post(state.CacheObserved{
		Endpoint: e.Node.Name,
		Epoch:    e.Report.Epoch,
		Hashes:   g.request.Hashes,
		Expected: g.choice.Blocks,
		Actual:   min(g.tokenUsage.Cached/prefix.BlockTokens, len(g.request.Hashes)),
	})
}

func (g *generation) result() chain.Result {
	return chain.Result{
		Endpoint: g.choice.Endpoint.Node.Name,
		First:    timeToFirstChunk(g.request, g.firstChunkAt),
		Cached:   g.tokenUsage.Cached,
		Prompt:   g.tokenUsage.Prompt,
		Output:   g.tokenUsage.Output,
		Attempts: g.attempts,
	}
}

func streamLost(r chain.Resume) error {
	return fault.New(fault.Missing, "%s does not know the stream any more: send the request anew", r.Endpoint).WithRun(fault.Unknown)
}
