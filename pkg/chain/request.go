package chain

import (
	"time"

	"github.com/baobabtally/baobabtally/pkg/label"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// Kind is what a request asks for.
type Kind uint8

const (
	// Chat is a chat completion.
	Chat Kind = iota
	// Text is a completion of plain text.
	Text
	// Service is a call of a plain service.
	Service
	// Relayed is a request that a route of the site has passed on as it is.
	Relayed
)

var kindNames = [...]string{"chat", "text", "service", "relayed"}

// String returns the kind as it stands in labels and logs.
func (k Kind) String() string { return kindNames[k%4] }

// Header is the header of a message by canonical names.
type Header map[string][]string

// Request is one call of a caller. It is passed by value; filters derive new
// requests with the With methods.
type Request struct {
	// ID is unique to the request over all instances.
	ID string
	// Kind is what the request asks for.
	Kind Kind
	// Secret is the caller's API key. It is never logged.
	Secret string
	// Team is the team of the caller, set by the identify filter.
	Team string
	// Labels are those of the caller and of the work.
	Labels label.Set
	// Model is the model or the service that is asked for.
	Model string
	// Prompt is the text that endpoints cache by prefix.
	Prompt []byte
	// Tokens is the estimated length of the prompt.
	Tokens int
	// Output is the most tokens that the answer may have.
	Output int
	// Stream tells whether the caller reads the answer as it is made.
	Stream bool
	// Body is the encoded call, understood by front ends and clients alone.
	Body []byte
	// Type is the content type of Body.
	Type string
	// Method and Path are those of a call to a plain service.
	Method string
	// Path has no host and starts with a slash.
	Path string
	// Idempotent tells whether the call may run more than once.
	Idempotent bool
	// Key is the caller's idempotency key, or empty.
	Key string
	// Resume is where a resumed stream goes on, or the zero value.
	Resume Resume
	// Arrived is when the request came in.
	Arrived time.Time
	// Policy is the policy that covers the request, set by the match filter.
	Policy policy.Policy
	// Hashes are the block hashes of the prompt, set by the match filter.
	Hashes []uint64
	// Floored tells that the request took its turn before waiting urgent work,
	// as the floor of its rank, and must not be held up behind it again.
	Floored bool
	// Version is the version of weights for which Hashes were made.
	Version string
	// Host is the host that a relayed request names.
	Host string
	// Header is passed on with a relayed request.
	Header Header
	// Parts are the parts of a relayed request's prompt.
	Parts []prefix.Part
	// After is the id of the last event that the caller of a stream has.
	After string
	// Deadline is when the caller stops waiting; zero where it did not say.
	Deadline time.Time
	// Route is the route of a relayed request, and Service the one of the
	// route's services that was picked; both are set by the route filter.
	Route   site.Route
	Service string
	// Dedicated tells that the team shares no cached prompts with others.
	Dedicated bool
	// Priority is the rank in the route's terms, or in the team's where it has
	// one; 0 goes first.
	Priority int
}

// Order returns the place of a relayed request among those of its service; the
// least goes first. A team's rank goes before the route's, which decides among
// requests of equal teams.
func (r Request) Order() int {
	return orderSteps*r.Priority + min(r.Route.Priority, orderSteps-1)
}

// orderSteps is how many ranks of routes are told apart within a team's rank.
// Engines know ten places in all.
const orderSteps = 2

// Resume names a stream and the offset of the next chunk that the caller wants.
type Resume struct {
	// Endpoint is the endpoint that makes the stream.
	Endpoint string
	// Attempt is the id under which the endpoint knows the stream.
	Attempt string
	// Offset is the number of chunks of this attempt that the caller has.
	Offset int
	// Base is the number of chunks that came in attempts before this one.
	Base int
	// Team is whose stream it is.
	Team string
}

// Active tells whether r resumes a stream.
func (r Resume) Active() bool { return r.Attempt != "" }

// WithCaller returns a copy of r that belongs to team and carries its labels.
func (r Request) WithCaller(team string, labels label.Set) Request {
	r.Team = team
	r.Labels = labels
	return r
}

// WithPolicy returns a copy of r that p covers.
func (r Request) WithPolicy(p policy.Policy) Request {
	r.Policy = p
	return r
}

// WithHashes returns a copy of r with the block hashes of its prompt for a
// version of weights.
func (r Request) WithHashes(h []uint64, version string) Request {
	r.Hashes = h
	r.Version = version
	return r
}

// WithRoute returns a copy of r that service serves by the terms of route.
func (r Request) WithRoute(route site.Route, service string) Request {
	r.Route = route
	r.Service = service
	r.Priority = route.Priority
	r.Stream = route.Kind == site.Stream
	r.Idempotent = route.Kind == site.Repeatable
	return r
}

// WithTeam returns a copy of r that team sent.
func (r Request) WithTeam(team site.Team) Request {
	r.Team = team.Name
	r.Dedicated = team.Dedicated
	if team.Ranked {
		r.Priority = team.Priority
	}
	r.Secret = ""
	return r
}

// WithLabels returns a copy of r with labels.
func (r Request) WithLabels(labels label.Set) Request {
	r.Labels = labels
	return r
}

// Until returns when r must be answered: the caller's deadline or that of the
// route, whichever comes first. It is zero where there is none.
func (r Request) Until() time.Time {
	until := r.Deadline
	if r.Route.Timeout > 0 {
		if end := r.Arrived.Add(r.Route.Timeout); until.IsZero() || end.Before(until) {
			until = end
		}
	}
	return until
}

// WithFloored returns a copy of r that did or did not take its turn as its
// rank's floor.
func (r Request) WithFloored(floored bool) Request {
	r.Floored = floored
	return r
}

// Cost returns the tokens that the request may take, by which limits and
// fair shares are counted.
func (r Request) Cost() float64 { return float64(r.Tokens + r.Output + 1) }

// Head is the start of an answer.
type Head struct {
	// Status is the endpoint's status in the sense of HTTP.
	Status int
	// Type is the content type of the answer.
	Type string
	// Endpoint is the endpoint that answers.
	Endpoint string
	// Attempt is the id of the attempt that answers.
	Attempt string
	// Header is the endpoint's header of a relayed answer.
	Header Header
	// Length is the length of a relayed body in bytes, or -1 where it is not known.
	Length int64
}

// Chunk is a part of an answer.
type Chunk struct {
	// Data is the encoded part: the choices of a completion, or a part of a
	// service's body.
	Data []byte
	// Text is the generated text of the part.
	Text string
	// Final tells that the answer is whole and only its end marker follows.
	Final bool
	// End tells that no chunk follows. An end chunk may carry no data.
	End bool
	// Next is where a resumed stream goes on after this chunk.
	Next Resume
	// Event is the id of the last event of a relayed stream within Data.
	Event string
}

// Result is what is known of a request after it was served.
type Result struct {
	// Endpoint is the endpoint that answered.
	Endpoint string
	// Status is the endpoint's status, where the protocol has one; 0 for none.
	Status int
	// First is the time from arrival to the first chunk.
	First time.Duration
	// Cached is how many tokens of the prompt the endpoint had cached.
	Cached int
	// Prompt is how many tokens the endpoint counted in the prompt.
	Prompt int
	// Output is how many tokens were generated.
	Output int
	// Attempts is how many times the request was sent to an endpoint.
	Attempts int
	// Answer is the whole answer where a filter kept it for a later caller.
	Answer []byte
}
