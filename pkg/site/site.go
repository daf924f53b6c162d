package site

import (
	"slices"
	"strings"
	"time"

	"github.com/baobabtally/baobabtally/pkg/allot"
	"github.com/baobabtally/baobabtally/pkg/label"
	"github.com/baobabtally/baobabtally/pkg/policy"
	"github.com/baobabtally/baobabtally/pkg/prefix"
)

// Kind determines whether a request may run more than once and how it is answered.
type Kind uint8

const (
	// NonIdempotent is the kind of requests that may run at most once.
	NonIdempotent Kind = iota
	// Idempotent is the kind of requests that may run more than once.
	Idempotent
	// Stream is the kind of requests that are answered by a stream of events.
	Stream
)

// String returns the name of the kind in labels and logs.
func (k Kind) String() string { return [...]string{"once", "repeatable", "stream"}[k%3] }

// Target is a service that gets a share of a route's requests.
type Target struct {
	// Service is the name of the service.
	Service string `json:"Service"`
	// Weight is the share relative to the route's other targets.
	Weight int `json:"Weight"`
}

// Route defines how requests for a host and a path prefix are served. Peers store it as
// JSON.
type Route struct {
	// Name is unique in a site.
	Name string `json:"Name"`
	// Host and Prefix select requests. Invariant: Prefix starts and ends with a slash.
	Host   string `json:"Host"`
	Prefix string `json:"Prefix"`
	// Kind is the kind of the route's requests.
	Kind Kind `json:"Kind"`
	// Resumable reports whether a stream may be continued by another endpoint.
	Resumable bool `json:"Resumable"`
	// Timeout is how long a request may wait.
	Timeout time.Duration `json:"Timeout"`
	// TargetLatency is the targeted time to the first byte.
	TargetLatency time.Duration `json:"Target"`
	// Gap is the longest time between two events of a stream; 0 means no limit.
	Gap time.Duration `json:"Gap"`
	// Priority is the rank of the requests; 0 is served first.
	Priority int `json:"Priority"`
	// Attempts is how many endpoints a request may be sent to.
	Attempts int `json:"Attempts"`
	// Anonymous reports whether callers need no API key.
	Anonymous bool `json:"Anonymous"`
	// Prompts reports whether requests name a model and the parts of a prompt.
	Prompts bool `json:"Prompts"`
	// Targets are the services that the route's requests are distributed over.
	Targets []Target `json:"Targets"`
}

// maxUrgentPriority is the greatest priority value of urgent routes.
const maxUrgentPriority = 0

// targetPercentile is the percentile of a route's requests that its target applies to.
// The platform specifies none; this is the one that operators most often write in the
// router's own policies.
const targetPercentile = 95

// Policy returns the policy that applies to the route's requests.
func (r Route) Policy() policy.Policy {
	p := policy.Policy{
		Name:       r.Name,
		Cover:      label.Is("route", r.Name),
		Target:     r.TargetLatency,
		Percentile: targetPercentile,
		Weight:     1,
	}
	if r.Priority <= maxUrgentPriority {
		p.Rank = policy.Urgent
	}
	return p
}

// Pick returns the service for a request in proportion to the targets' weights. The
// argument is uniformly distributed over all values.
func (r Route) Pick(random uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(random % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return ""
}

// Service is a group of interchangeable endpoints.
type Service struct {
	// Name is unique in a site.
	Name string `json:"Name"`
	// Connections is how many connections an endpoint accepts in total.
	Connections int `json:"Connections"`
	// Slots is how many requests an engine runs concurrently; 0 for services without
	// engines.
	Slots int `json:"Slots"`
	// Memory is how many prompt tokens an engine can hold in its cache.
	Memory int `json:"Memory"`
	// Models are the models that an engine serves.
	Models []string `json:"Models"`
	// Store is the address of a store of cached prompts; empty for services with
	// endpoints.
	Store string `json:"Store"`
	// Domain is the store's failure domain.
	Domain string `json:"Domain"`
	// Follows is how many concurrent calls for cache events an endpoint accepts.
	Follows int `json:"Follows"`
	// TokenBytes is the size of one cached prompt token in bytes.
	TokenBytes int `json:"Token"`
	// LinkBandwidth is the bandwidth of a store's link in bytes per second.
	LinkBandwidth float64 `json:"Link"`
}

// Team is a group of callers.
type Team struct {
	// Name is unique in a site.
	Name string `json:"Name"`
	// Keys are the API keys of the team's callers.
	Keys []string `json:"Keys"`
	// Ranked reports whether Priority overrides the priority of the route.
	Ranked bool `json:"Ranked"`
	// Priority is the team's rank if Ranked is set.
	Priority int `json:"Priority"`
	// Dedicated reports whether the team shares no cached prompts with other teams.
	Dedicated bool `json:"Dedicated"`
	// Limit is the team's allotment over all instances.
	Limit allot.Limit `json:"Limit,omitzero"`
}

// Limits limits what callers send.
type Limits struct {
	// Header is the maximum size of a request's header in bytes.
	Header int `json:"Header"`
	// Body is the maximum size of a request's body in bytes.
	Body int `json:"Body"`
	// HeaderTime is how long reading the header of a request may take.
	HeaderTime time.Duration `json:"HeaderTime"`
	// Idle is how long a connection may stay open without a request.
	Idle time.Duration `json:"Idle"`
}

// Site is one version of the configuration. The zero value is version 0, which has no
// routes.
type Site struct {
	version int64
	limits  Limits
	// routes holds the routes by host, longest prefix first. Invariant: never modified.
	routes map[string][]Route
	// services holds the services by name. Invariant: never modified.
	services map[string]Service
	// teams holds the teams by name, and keys maps each API key to the name of its team.
	// Invariant: never modified.
	teams map[string]Team
	keys  map[string]string
	// limited reports whether any team has an allotment.
	limited bool
	// shared is the scope of the prompts cached for all teams that are not dedicated.
	shared prefix.Scope
}

// Option configures a Site.
type Option func(*Site)

// WithRoutes adds routes.
func WithRoutes(routes ...Route) Option {
	return func(s *Site) {
		for _, r := range routes {
			s.routes[r.Host] = append(s.routes[r.Host], r)
		}
		for _, rs := range s.routes {
			slices.SortStableFunc(rs, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
		}
	}
}

// WithServices adds services.
func WithServices(services ...Service) Option {
	return func(s *Site) {
		for _, v := range services {
			s.services[v.Name] = v
		}
	}
}

// WithTeams adds teams.
func WithTeams(teams ...Team) Option {
	return func(s *Site) {
		for _, t := range teams {
			s.teams[t.Name] = t
			s.limited = s.limited || t.Limit.Limited()
			for _, k := range t.Keys {
				s.keys[k] = t.Name
			}
		}
	}
}

// WithLimits sets the limits on what callers send.
func WithLimits(l Limits) Option {
	return func(s *Site) { s.limits = l }
}

// New returns the given version of the configuration.
func New(version int64, opts ...Option) Site {
	s := Site{
		version:  version,
		routes:   map[string][]Route{},
		services: map[string]Service{},
		teams:    map[string]Team{},
		keys:     map[string]string{},
	}
	for _, o := range opts {
		o(&s)
	}
	var dedicated []string
	for name, t := range s.teams {
		if t.Dedicated {
			dedicated = append(dedicated, name)
		}
	}
	s.shared = prefix.SharedScope(dedicated)
	return s
}

// Version returns the version, which increases with each change. It is 0 before the
// first one.
func (s Site) Version() int64 { return s.version }

// Limits returns the limits on what callers send.
func (s Site) Limits() Limits { return s.limits }

// Route returns the route of host with the longest prefix of path.
func (s Site) Route(host, path string) (Route, bool) {
	for _, r := range s.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Policies returns the policies of all routes, sorted by name.
func (s Site) Policies() policy.Document {
	var all []policy.Policy
	for _, rs := range s.routes {
		for _, r := range rs {
			all = append(all, r.Policy())
		}
	}
	slices.SortFunc(all, func(a, b policy.Policy) int { return strings.Compare(a.Name, b.Name) })
	return policy.New(s.version, all...)
}

// Service returns the service called name.
func (s Site) Service(name string) (Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// Services returns all services, sorted by name.
func (s Site) Services() []Service {
	out := make([]Service, 0, len(s.services))
	for _, v := range s.services {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Stores returns the services that are stores of cached prompts, sorted by name.
func (s Site) Stores() []Service {
	return slices.DeleteFunc(s.Services(), func(v Service) bool { return v.Store == "" })
}

// Serves returns the services that serve model, sorted by name.
func (s Site) Serves(model string) []Service {
	return slices.DeleteFunc(s.Services(), func(v Service) bool { return !slices.Contains(v.Models, model) })
}

// Open reports whether callers need no API keys because no teams are configured.
func (s Site) Open() bool { return len(s.teams) == 0 }

// Team returns the team with the given API key.
func (s Site) Team(key string) (Team, bool) {
	name, ok := s.keys[key]
	return s.teams[name], ok
}

// CacheScope returns the scope of the cached prompts that the named team may use. Requests
// without a team share theirs with the teams that are not dedicated. A team that s lacks
// shares with none, since a configuration that s replaced may have made it dedicated.
func (s Site) CacheScope(team string) prefix.Scope {
	t, known := s.teams[team]
	if team != "" && (t.Dedicated || !known) {
		return prefix.TeamScope(team)
	}
	return s.shared
}

// Limited reports whether any team has an allotment.
func (s Site) Limited() bool { return s.limited }

// Limit returns the allotment of the named team.
func (s Site) Limit(team string) allot.Limit { return s.teams[team].Limit }
