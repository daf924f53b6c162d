package filter

import (
	"context"
	"strings"
	"time"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/invar"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/retry"
	"github.com/baobabtally/baobabtally/pkg/route"
	"github.com/baobabtally/baobabtally/pkg/stream"
)

const (
	// maxResumes is how often one stream is resumed without any new chunk.
	maxResumes = 2
	// maxContinues is how many engines a stream that began may lose.
	maxContinues = 10
)

// generate has an engine generate the answer to r. The stream is resumed over
// a new connection when it breaks, and continued at another engine when the
// first one is gone.
func (f Dispatch) generate(ctx context.Context, r chain.Request, w chain.Writer) (chain.Result, error) {
	g := generation{
		Dispatch: f,
		request:  r,
		writer:   w,
		resume:   r.Resume,
	}
	g.base = r.Resume.Base
	if r.Resume.Active() && r.Resume.Base == 0 {
		// What the caller has is read again, so that the answer can be
		// continued at another engine.
		g.replay = r.Resume.Offset
		g.resume.Offset = 0
	}
	for {
		done, err := g.try(ctx)
		if done || err != nil {
			return g.finish(), err
		}
	}
}

// generation is one answer under way, over all its attempts.
type generation struct {
	Dispatch
	request chain.Request
	writer  chain.Writer
	// state counts the chunks of the present attempt that were delivered.
	state stream.State
	// text is what was delivered over all attempts.
	text strings.Builder
	// begun tells whether the answer has started towards the caller.
	begun bool
	// first is when the first chunk came.
	first time.Time
	// resume is where the present stream goes on; inactive before one began.
	resume chain.Resume
	// stuck counts resumes since the last new chunk.
	stuck int
	// tried are the endpoints that failed.
	tried    []string
	attempts int
	// sent tells whether any byte of any attempt may have left.
	sent bool
	// chunks is how many chunks are known, and base how many of them came
	// before the present attempt.
	chunks int
	base   int
	// final tells that only the end marker is missing.
	final bool
	// replay is how many chunks the caller had before.
	replay int
	choice route.Choice
	usage  call.Usage
}

// try makes one attempt. It returns true when the answer is complete.
func (g *generation) try(ctx context.Context) (bool, error) {
	a, err := g.next()
	if err != nil {
		return false, g.refused(err)
	}
	g.attempts++
	counted := g.gauge.Start(a.Endpoint.Node.Name, g.choice.Missed)
	defer counted.End()
	err = g.pump(ctx, a, counted.First)
	g.report(a.Endpoint, err)
	switch {
	case err == nil:
		g.learn(a.Endpoint)
		return true, nil
	case g.final && ctx.Err() == nil:
		return true, g.end()
	}
	return false, g.failed(ctx, a, err)
}

// next returns the attempt to make: a resume of the stream under way, or a
// new one at the best endpoint.
func (g *generation) next() (call.Attempt, error) {
	if g.resume.Active() {
		e, ok := g.view.View().Members.Find(g.resume.Endpoint)
		if ok {
			a := g.attempt(g.request, e)
			a.ID = g.resume.Attempt
			a.Resume = g.resume
			g.state = stream.From(g.resume.Offset)
			return a, nil
		}
		if !g.continuable() {
			return call.Attempt{}, goneForGood(g.resume)
		}
	}
	choice, err := g.choose(g.request, g.tried)
	if err != nil {
		return call.Attempt{}, err
	}
	g.choice = choice
	g.state = stream.State{}
	g.stuck = 0
	a := g.attempt(g.request, choice.Endpoint)
	a.Delivered = g.text.String()
	a.Chunks = g.chunks
	g.base = g.chunks
	g.resume = chain.Resume{}
	return a, nil
}

// pump passes the chunks of one attempt on until the end or a failure.
func (g *generation) pump(ctx context.Context, a call.Attempt, first func()) error {
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
		invar.That(reply.Head().Attempt == a.ID, invar.Match, "answer of %s passed on for %s", reply.Head().Attempt, a.ID)
		next, verdict := g.state.With(offset, c.End)
		switch verdict {
		case stream.Deliver:
		case stream.Duplicate, stream.Late:
			continue
		case stream.Gap:
			return call.Failure{
				Cause:  call.Broken,
				Sent:   true,
				Detail: "a chunk is missing",
			}
		}
		g.state = next
		g.usage = reply.Usage()
		if err := g.pass(a, reply.Head(), c); err != nil {
			return err
		}
		if c.End {
			return nil
		}
	}
}

// continuable tells whether another engine can go on. It can't where the
// caller has text that this instance does not know.
func (g *generation) continuable() bool {
	return g.request.Resume.Base == 0 && g.chunks >= g.replay
}

// pass hands one chunk to the caller, unless the caller had it before.
func (g *generation) pass(a call.Attempt, head chain.Head, c chain.Chunk) error {
	if !g.begun {
		g.begun = true
		g.first = g.now()
		if err := g.writer.Begin(head); err != nil {
			return callerGone(err)
		}
	}
	g.resume = chain.Resume{
		Endpoint: a.Endpoint.Node.Name,
		Attempt:  a.ID,
		Offset:   g.state.Next(),
		Base:     g.base,
		Team:     g.request.Team,
	}
	g.stuck = 0
	g.chunks++
	g.final = c.Final
	g.text.WriteString(c.Text)
	c.Next = g.resume
	if g.chunks <= g.replay && !c.End {
		return nil
	}
	if err := g.writer.Write(c); err != nil {
		return callerGone(err)
	}
	return nil
}

// end writes the end marker of an answer that is whole.
func (g *generation) end() error {
	g.resume.Offset++
	err := g.writer.Write(chain.Chunk{
		End:  true,
		Next: g.resume,
	})
	if err != nil {
		return callerGone(err)
	}
	return nil
}

// failed decides what follows a failed attempt; nil means another one.
func (g *generation) failed(ctx context.Context, a call.Attempt, err error) error {
	if fault.From(err).Kind == fault.Lost && ctx.Err() == nil {
		return err
	}
	if ctx.Err() != nil {
		return callerGone(ctx.Err())
	}
	failure := failureOf(err)
	g.sent = g.sent || failure.Sent
	g.log.Warn().Str("event", "fail").Str("request", g.request.ID).Str("endpoint", a.Endpoint.Node.Name).
		Str("cause", failure.Cause.String()).Int("offset", g.state.Next()).Err(err).Send()
	if failure.Cause == call.Rejected {
		return g.rejected(failure)
	}
	if g.resume.Active() && failure.Cause != call.Gone && g.stuck < maxResumes {
		g.stuck++
		return nil
	}
	if !g.continuable() {
		return goneForGood(g.resume)
	}
	g.resume = chain.Resume{}
	g.tried = append(g.tried, a.Endpoint.Node.Name)
	if failure.Sent {
		g.post.Post(state.Abandoned{
			Endpoint: a.Endpoint.Node.Name,
			Attempt:  a.ID,
		})
	}
	if g.begun && len(g.tried) < maxContinues {
		// A stream that began is always continued; the budget bounds only
		// work that has not started.
		if err := retry.Pause(ctx, len(g.tried)); err != nil {
			return callerGone(err)
		}
		return nil
	}
	return g.refused(g.again(ctx, g.attempts, err))
}

// rejected is the refusal of a call that the engine finds wrong. It did not run
// there, but an earlier attempt may have.
func (g *generation) rejected(failure call.Failure) error {
	err := fault.New(fault.Invalid, "the engine rejects the call (%s): correct it", failure.Detail)
	if g.begun || g.attempts > 1 {
		return err.WithRun(fault.Unknown)
	}
	return err
}

// refused marks a refusal of work that may have run at some endpoint. A
// generation has no effect, but "not run" must be true to the letter.
func (g *generation) refused(err error) error {
	if err == nil || !g.sent && !g.begun {
		return err
	}
	return fault.From(err).WithRun(fault.Unknown)
}

// learn tells the control thread what the answer said of the engine's cache.
func (g *generation) learn(e member.Endpoint) {
	if !g.usage.Known || g.request.Resume.Active() || e.Report.Version != g.request.Version {
		return
	}
	g.post.Post(state.Learned{
		Endpoint: e.Node.Name,
		Epoch:    e.Report.Epoch,
		Hashes:   g.request.Hashes,
		Expected: g.choice.Blocks,
		Actual:   min(g.usage.Cached/prefix.BlockTokens, len(g.request.Hashes)),
	})
}

func (g *generation) finish() chain.Result {
	return chain.Result{
		Endpoint: g.choice.Endpoint.Node.Name,
		First:    firstOf(g.request, g.first),
		Cached:   g.usage.Cached,
		Prompt:   g.usage.Prompt,
		Output:   g.usage.Output,
		Attempts: g.attempts,
	}
}

func goneForGood(r chain.Resume) error {
	return fault.New(fault.Missing, "%s does not know the stream any more: send the request anew", r.Endpoint).WithRun(fault.Unknown)
}
