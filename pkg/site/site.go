package site

import (
	"slices"
	"strings"
	"time"

	"github.com/baobabtally/baobabtally/pkg/label"
	"github.com/baobabtally/baobabtally/pkg/policy"
)

// Kind says what may be done with a request again.
type Kind uint8

const (
	// Once is a request that may run at most once.
	Once Kind = iota
	// Repeatable is a request that may run more than once.
	Repeatable
	// Stream is a request whose answer is a series of events.
	Stream
)

// String returns the kind as it stands in labels and logs.
func (k Kind) String() string { return [...]string{"once", "repeatable", "stream"}[k%3] }

// Target is a service with its share of a route's requests.
type Target struct {
	// Service is the name of the service.
	Service string `json:"Service"`
	// Weight is the share in relation to the route's other targets.
	Weight int `json:"Weight"`
}

// Route says how requests of a host and a prefix are served. It is kept as JSON
// by peers.
type Route struct {
	// Name is unique in a site.
	Name string `json:"Name"`
	// Host and Prefix select requests. Invariant: Prefix begins and ends with a slash.
	Host   string `json:"Host"`
	Prefix string `json:"Prefix"`
	// Kind says what may be done with a request again.
	Kind Kind `json:"Kind"`
	// Resumable tells whether a stream may go on at another endpoint.
	Resumable bool `json:"Resumable"`
	// Timeout is how long a request may be kept waiting.
	Timeout time.Duration `json:"Timeout"`
	// Target is the time to the first byte that is owed.
	Target time.Duration `json:"Target"`
	// Gap is the longest pause between the events of a stream; 0 means any.
	Gap time.Duration `json:"Gap"`
	// Priority is the rank; 0 goes first.
	Priority int `json:"Priority"`
	// Attempts is how many endpoints one request may be sent to.
	Attempts int `json:"Attempts"`
	// Anonymous tells that callers need no key.
	Anonymous bool `json:"Anonymous"`
	// Prompts tells that requests name a model and the parts of a prompt.
	Prompts bool `json:"Prompts"`
	// Targets are the services that serve the route.
	Targets []Target `json:"Targets"`
}

// urgentPriority is up to which priority a route is urgent.
const urgentPriority = 0

// percentile is the share of a route's requests, in percent, that its target is
// meant for. The platform states none; operators of the own interface mostly
// write this one.
const percentile = 95

// Policy returns what the requests of the route are owed.
func (r Route) Policy() policy.Policy {
	p := policy.Policy{
		Name:       r.Name,
		Cover:      label.Is("route", r.Name),
		Target:     r.Target,
		Percentile: percentile,
		Weight:     1,
	}
	if r.Priority <= urgentPriority {
		p.Rank = policy.Urgent
	}
	return p
}

// Pick returns the service for a request, given a number that is spread evenly
// over all values.
func (r Route) Pick(spread uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(spread % uint64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return ""
}

// Service is a group of endpoints that do the same work.
type Service struct {
	// Name is unique in a site.
	Name string `json:"Name"`
	// Connections is how many connections one endpoint takes from all callers.
	Connections int `json:"Connections"`
	// Slots is how many requests an engine runs at once; 0 for plain services.
	Slots int `json:"Slots"`
	// Memory is the prompt tokens that an engine holds.
	Memory int `json:"Memory"`
	// Models are those that an engine serves.
	Models []string `json:"Models"`
	// Store is the address of a store of cached prompts; empty for endpoints.
	Store string `json:"Store"`
	// Domain is the store's failure domain.
	Domain string `json:"Domain"`
	// Follows is how many calls for cache events an endpoint takes at once.
	Follows int `json:"Follows"`
	// Token is the bytes of one cached prompt token.
	Token int `json:"Token"`
	// Link is the bytes a second that a store's link carries.
	Link float64 `json:"Link"`
}

// Team is who callers belong to.
type Team struct {
	// Name is unique in a site.
	Name string `json:"Name"`
	// Keys are the API keys of its callers.
	Keys []string `json:"Keys"`
	// Ranked tells that Priority goes before that of the route.
	Ranked bool `json:"Ranked"`
	// Priority is the team's rank where Ranked is set.
	Priority int `json:"Priority"`
	// Dedicated tells that the team shares no cached prompts with others.
	Dedicated bool `json:"Dedicated"`
}

// Limits bounds what callers send.
type Limits struct {
	// Header and Body are in bytes.
	Header int `json:"Header"`
	Body   int `json:"Body"`
	// HeaderTime is how long the header of a request may take.
	HeaderTime time.Duration `json:"HeaderTime"`
	// Idle is how long a connection may be without a request.
	Idle time.Duration `json:"Idle"`
}

// Site is one version of the configuration. The zero value is version 0,
// which routes nothing.
type Site struct {
	version int64
	limits  Limits
	// routes is by host, longest prefix first. Invariant: never written.
	routes map[string][]Route
	// services is by name. Invariant: never written.
	services map[string]Service
	// teams is by name, and keys maps each key to a team. Invariant: never written.
	teams map[string]Team
	keys  map[string]string
}

// Option adds to a site that New makes.
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
			for _, k := range t.Keys {
				s.keys[k] = t.Name
			}
		}
	}
}

// WithLimits sets the bounds on what callers send.
func WithLimits(l Limits) Option {
	return func(s *Site) { s.limits = l }
}

// New returns a version of the configuration.
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
	return s
}

// Version grows with each change. It is 0 before the first.
func (s Site) Version() int64 { return s.version }

// Limits returns the bounds on what callers send.
func (s Site) Limits() Limits { return s.limits }

// Route returns the route of host with the longest prefix that begins path.
func (s Site) Route(host, path string) (Route, bool) {
	for _, r := range s.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Policies returns what the requests of each route are owed, by the routes' names.
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

// Services returns all services in the order of their names.
func (s Site) Services() []Service {
	out := make([]Service, 0, len(s.services))
	for _, v := range s.services {
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Stores returns the stores of cached prompts in the order of their names.
func (s Site) Stores() []Service {
	return slices.DeleteFunc(s.Services(), func(v Service) bool { return v.Store == "" })
}

// Serves returns the services that serve model.
func (s Site) Serves(model string) []Service {
	return slices.DeleteFunc(s.Services(), func(v Service) bool { return !slices.Contains(v.Models, model) })
}

// Open tells whether callers need no keys, since there are no teams.
func (s Site) Open() bool { return len(s.teams) == 0 }

// Team returns the team that holds key.
func (s Site) Team(key string) (Team, bool) {
	name, ok := s.keys[key]
	return s.teams[name], ok
}
