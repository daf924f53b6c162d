package relay

import (
	"context"
	"slices"
	"time"

	"github.com/baobabtally/baobabtally/internal/call"
	"github.com/baobabtally/baobabtally/internal/state"
	"github.com/baobabtally/baobabtally/pkg/chain"
	"github.com/baobabtally/baobabtally/pkg/fault"
	"github.com/baobabtally/baobabtally/pkg/member"
	"github.com/baobabtally/baobabtally/pkg/poison"
)

// startTime is for how long after the first event of an answer the crash of its
// endpoint may have been caused by the request: an endpoint that crashes as it
// begins to answer may have sent that event already.
const startTime = 300 * time.Millisecond

// poisonFilter refuses requests whose prompts hold a part that crashes engines.
// While a verdict is pending it asks their callers to come back.
type poisonFilter struct {
	view stateViewer
	now  func() time.Time
}

// Filter refuses r if there is a verdict on its parts.
func (f poisonFilter) Filter(ctx context.Context, r chain.Request, w chain.Writer, next chain.Handler) (chain.Result, error) {
	tracker := f.view.View().Routing.Poison
	if tracker.Judging() {
		if v, ok := tracker.Verdict(promptParts(r)); ok {
			return chain.Result{}, poisonError(v, f.now())
		}
	}
	return next.Handle(ctx, r, w)
}

// poisonError returns the error for a request under verdict v.
func poisonError(v poison.Verdict, now time.Time) fault.Error {
	return fault.New(fault.Unavailable, "prompts with part %s crashed %d engines: leave the part out, or come back when the engines are repaired",
		poison.Text(v.Parts), len(v.Engines)).WithRetry(max(v.Expires().Sub(now), busyRetryAfter))
}

// promptParts returns the parts of r's prompt that other requests may share.
func promptParts(r chain.Request) []poison.Part {
	if !r.Route.Prompts {
		return nil
	}
	return poison.Shared(r.Service, r.Model, r.Parts)
}

// countServed records that a served the request to its end. An answer without events
// shows nothing, and one that may be that of an endpoint that crashed does not clear the
// parts of the prompt.
func (x *exchange) countServed(ctx context.Context, a *attempt) {
	if len(x.parts) == 0 || x.status != streamStatus {
		return
	}
	empty := x.request.Stream && !a.begun
	if (empty || a.reply.Head().Unframed) && !x.wentOn() && x.crashed(ctx, a.choice.endpoint.Node, call.Failure{
		Cause:     call.Broken,
		MaybeSent: true,
	}) {
		return
	}
	if empty {
		return
	}
	x.clearParts()
}

// countPart notes that a part of a stream arrived after it was waited for for the given
// time. An endpoint that goes on with its answer has survived the parts of the prompt,
// which are cleared without waiting for the end of the stream.
func (x *exchange) countPart(a *attempt, waited time.Duration) {
	if !a.begun {
		a.begun = true
		return
	}
	before := a.alive
	a.alive += waited
	if before <= startTime && a.alive > startTime {
		x.clearParts()
	}
}

// clearParts records that the parts of the prompt were served.
func (x *exchange) clearParts() {
	x.served.Add(x.parts)
	if suspects := x.control.View().Routing.Poison.SuspectsOf(x.parts); len(suspects) > 0 {
		x.control.Post(state.PartsServed{
			Parts: suspects,
		})
	}
}

// wentOn reports whether the response has gone on for so long that its endpoint did not
// crash because of the request.
func (x *exchange) wentOn() bool { return x.headWritten && x.now().Sub(x.firstByteAt) > startTime }

// crashed reports whether a failed attempt, whose response did not go on, may have crashed
// its endpoint: the endpoint ended and some of the prompt's parts were never served. Where
// the endpoint still accepts connections, only this one connection broke.
func (x *exchange) crashed(ctx context.Context, n member.Node, f call.Failure) bool {
	if f.Cause != call.Broken || !f.MaybeSent {
		return false
	}
	unserved := x.served.Without(x.parts)
	if len(unserved) == 0 || !x.endpoints.Down(ctx, n) {
		return false
	}
	x.control.Post(state.EngineCrashed{
		Node:  n,
		Parts: unserved,
	})
	return true
}

// reportSilence reports that an endpoint that has answered nothing since the given time may
// have fallen silent because of the request. Parts that were served are no cause.
func (x *exchange) reportSilence(n member.Node, since time.Time) {
	if unserved := x.served.Without(x.parts); len(unserved) > 0 {
		x.control.Post(state.EngineSilent{
			Node:  n,
			Since: since,
			Parts: unserved,
		})
	}
}

// risky reports whether the request may end a further endpoint after the one called name
// fell silent or broke its connection.
func (x *exchange) risky(name string) bool {
	tracker := x.control.View().Routing.Poison
	return !tracker.Empty() && tracker.Risky(name, x.served.Without(x.parts))
}

// trialPool returns the only endpoint of pool that requests with a suspect part
// are sent to, or none for other requests. All instances choose the same, so that
// a part which crashes endpoints takes them one by one, while one that was
// suspected wrongly is cleared there.
func (p picker) trialPool(pool []member.Endpoint) []member.Endpoint {
	if p.state.Routing.Poison.Empty() {
		return nil
	}
	suspects := p.state.Routing.Poison.SuspectsOf(p.parts)
	if len(suspects) == 0 {
		return nil
	}
	name := preferredEngine(uint64(suspects[0]), pool)
	return slices.DeleteFunc(slices.Clone(pool), func(e member.Endpoint) bool { return e.Node.Name != name })
}
