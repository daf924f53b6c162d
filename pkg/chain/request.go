package chain

import (
	"time"

	"github.com/baobabtally/baobabtally/pkg/label"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/prefix"
	"github.com/baobabtally/baobabtally/pkg/site"
)

// Kind is the type of a request.
type Kind uint8

const (
	// Chat is a chat completion.
	Chat Kind = iota
	// Text is a plain text completion.
	Text
	// Service is a call to a plain service, which is not a model.
	Service
	// Relayed is a request that is forwarded unchanged, as a route of the site says.
	Relayed
)

var kindNames = [...]string{"chat", "text", "service", "relayed"}

// String returns the name of the kind in labels and logs.
func (k Kind) String() string { return kindNames[k%4] }

// Header holds the header fields of a message, keyed by canonical name.
type Header map[string][]string

// Request is a decoded request of a caller. It is passed by value; filters derive
// modified copies with the With methods.
type Request struct {
	// ID is unique across all instances.
	ID string
	// Kind is the type of the request.
	Kind Kind
	// Secret is the caller's API key. It is never logged.
	Secret string
	// Team is the team of the caller. The identify filter sets it.
	Team string
	// Labels are the labels of the caller and of the request itself.
	Labels label.Set
	// Model is the name of the requested model or service.
	Model string
	// Prompt is the text whose prefixes engines cache.
	Prompt []byte
	// Tokens is the estimated length of the prompt in tokens.
	Tokens int
	// Output is the maximum number of tokens to generate.
	Output int
	// Stream is whether the response is streamed to the caller.
	Stream bool
	// Body is the encoded request. Only front ends and clients interpret it.
	Body []byte
	// Type is the content type of Body.
	Type string
	// Method is the method of a call to a plain service.
	Method string
	// Path is the path of a call to a plain service. It starts with a slash.
	Path string
	// Idempotent is whether the request may be executed more than once.
	Idempotent bool
	// Key is the caller's idempotency key; empty if there is none.
	Key string
	// Resume is the position from which a stream is resumed; the zero value for a new
	// request.
	Resume Resume
	// Arrived is when the request was received.
	Arrived time.Time
	// Policy is the policy that covers the request. The match filter sets it.
	Policy policy.Policy
	// Hashes are the block hashes of the prompt. The match filter sets them.
	Hashes []uint64
	// DequeuedByFloor is whether the request was dequeued ahead of waiting urgent
	// requests because of the floor of its rank. It must not wait behind them again.
	DequeuedByFloor bool
	// Version is the weight version for which Hashes were computed.
	Version string
	// Host is the host that a relayed request is addressed to.
	Host string
	// Header holds the header fields that are forwarded with a relayed request.
	Header Header
	// Parts are the prompt parts of a relayed request.
	Parts []prefix.Part
	// LastEventID is the id of the last event of a stream that the caller received, and
	// Resumes the id of the request that brought its first event; empty if the caller does
	// not say.
	LastEventID string
	Resumes     string
	// Software is the version of the engines' software that began the stream which the
	// request resumes. The origin filter sets it.
	Software string
	// Deadline is when the caller stops waiting; zero if it set no deadline.
	Deadline time.Time
	// Route is the route of a relayed request, and Service the one that was chosen of
	// the route's services. The route filter sets both.
	Route   site.Route
	Service string
	// Priority is the priority of the team or, if it has none, of the route. 0 is the
	// highest.
	Priority int
}

// CombinedPriority returns the scheduling priority of a relayed request among those of
// its service; the lowest goes first. The team's priority takes precedence over the route's, which
// decides among requests of equal teams.
func (r Request) CombinedPriority() int {
	return routePriorityLevels*r.Priority + min(r.Route.Priority, routePriorityLevels-1)
}

// routePriorityLevels is the number of route priorities that are distinguished
// within a team's priority. Engines support ten levels in all.
const routePriorityLevels = 2

// Resume identifies a stream and the offset of the next chunk that the caller wants.
type Resume struct {
	// Endpoint is the endpoint that generates the stream.
	Endpoint string
	// Attempt is the id of the attempt by which the endpoint identifies the stream.
	Attempt string
	// Offset is the number of chunks of this attempt that the caller received.
	Offset int
	// Base is the number of chunks that were delivered by earlier attempts.
	Base int
	// Team is the team that owns the stream.
	Team string
}

// Active reports whether r resumes a stream.
func (r Resume) Active() bool { return r.Attempt != "" }

// WithCaller returns a copy of r with the team and the labels of its caller.
func (r Request) WithCaller(team string, labels label.Set) Request {
	r.Team = team
	r.Labels = labels
	return r
}

// WithPolicy returns a copy of r with the policy that covers it.
func (r Request) WithPolicy(p policy.Policy) Request {
	r.Policy = p
	return r
}

// WithHashes returns a copy of r with the block hashes of its prompt, computed for
// the given weight version.
func (r Request) WithHashes(h []uint64, version string) Request {
	r.Hashes = h
	r.Version = version
	return r
}

// WithRoute returns a copy of r that is sent to service according to route.
func (r Request) WithRoute(route site.Route, service string) Request {
	r.Route = route
	r.Service = service
	r.Priority = route.Priority
	r.Stream = route.Kind == site.Stream
	r.Idempotent = route.Kind == site.Idempotent
	return r
}

// WithTeam returns a copy of r with the settings of the team that sent it, and without
// its API key.
func (r Request) WithTeam(team site.Team) Request {
	r.Team = team.Name
	if team.Ranked {
		r.Priority = team.Priority
	}
	r.Secret = ""
	return r
}

// WithLabels returns a copy of r with the given labels.
func (r Request) WithLabels(labels label.Set) Request {
	r.Labels = labels
	return r
}

// WithSoftware returns a copy of r that resumes a stream which the given version of the
// engines' software began.
func (r Request) WithSoftware(version string) Request {
	r.Software = version
	return r
}

// EffectiveDeadline returns the time by which r must be answered: the caller's deadline
// or the end of the route's timeout, whichever comes first. It is zero if there is neither.
func (r Request) EffectiveDeadline() time.Time {
	deadline := r.Deadline
	if r.Route.Timeout > 0 {
		if end := r.Arrived.Add(r.Route.Timeout); deadline.IsZero() || end.Before(deadline) {
			deadline = end
		}
	}
	return deadline
}

// WithDequeuedByFloor returns a copy of r that was or wasn't dequeued ahead of waiting urgent
// requests because of the floor of its rank.
func (r Request) WithDequeuedByFloor(floored bool) Request {
	r.DequeuedByFloor = floored
	return r
}

// Cost returns the maximum number of tokens that the request may use. Rate limits and
// fair shares are accounted in this cost.
func (r Request) Cost() float64 { return float64(r.Tokens + r.Output + 1) }

// Head holds the metadata that precedes the chunks of a response.
type Head struct {
	// Status is the HTTP status code that the endpoint returned.
	Status int
	// Type is the content type of the response.
	Type string
	// Endpoint is the endpoint that sends the response.
	Endpoint string
	// Attempt is the id of the attempt that produced the response.
	Attempt string
	// Header holds the header fields of a relayed response.
	Header Header
	// Length is the length of a relayed body in bytes; -1 if unknown.
	Length int64
	// Unframed is whether the end of a relayed body is known only from the end of its
	// connection, which looks the same if the endpoint crashed.
	Unframed bool
}

// Chunk is a part of a response.
type Chunk struct {
	// Data is the encoded content: the choices of a completion, or a part of a
	// service's response body.
	Data []byte
	// Text is the generated text of the chunk.
	Text string
	// Final is whether the response is complete and only the end chunk follows.
	Final bool
	// End is whether this is the last chunk. It may have no data.
	End bool
	// Next is the position from which a stream is resumed after this chunk.
	Next Resume
	// Event is the id of the last event in Data in a relayed stream.
	Event string
	// SkipsIDs is whether the ids of a relayed stream's events, from the start of the
	// attempt to this chunk, are not consecutive numbers.
	SkipsIDs bool
}

// Result describes how a request was handled.
type Result struct {
	// Endpoint is the endpoint that sent the response.
	Endpoint string
	// Status is the status code of the response; 0 if the protocol has none.
	Status int
	// First is the time from the arrival of the request to the first chunk.
	First time.Duration
	// Cached is the number of prompt tokens that the endpoint had cached.
	Cached int
	// Prompt is the number of prompt tokens as counted by the endpoint.
	Prompt int
	// Output is the number of generated tokens.
	Output int
	// Attempts is the number of times that the request was sent to an endpoint.
	Attempts int
	// Answer is the complete response if a filter stored it for a later caller, such as
	// a retry with the same idempotency key.
	Answer []byte
}
