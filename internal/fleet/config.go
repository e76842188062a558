package fleet

import (
	"net"
	"sort"
	"strings"
	"time"
)

// Repeat tells how often a request may be executed.
type Repeat int

// Values of Repeat.
const (
	RepeatNever  Repeat = iota // At most once.
	RepeatSafe                 // Any number of times.
	RepeatStream               // A stream of events; more than once only if the route is resumable.
)

// Route maps the requests of one host and path prefix to services.
type Route struct {
	Name          string
	Host          string
	Prefix        string // Begins and ends with a slash.
	Repeat        Repeat
	Timeout       time.Duration // Longest time for which a request is kept waiting; 0 if the route sets none.
	LatencyTarget time.Duration // Target for the time to the answer, or to the first event of a stream.
	GapTarget     time.Duration // Target for the longest pause between two events of a stream.
	Priority      int           // 0 is the highest.
	MaxAttempts   int           // Replicas on which one attempt of a client may be executed.
	Public        bool          // Requests need no API key.
	Resumable     bool          // An interrupted stream may be resumed after its last event.
	Backends      []Backend
}

// Idempotent tells whether a request of the route may be executed more than once.
func (r *Route) Idempotent() bool {
	return r.Repeat == RepeatSafe || r.Repeat == RepeatStream && r.Resumable
}

// LeadsTo tells whether the service gets requests of the route.
func (r *Route) LeadsTo(service string) bool {
	for _, b := range r.Backends {
		if b.Service == service {
			return true
		}
	}
	return false
}

// Backend is a service that gets a share of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Model is a model that an engine service runs, in groups of Size replicas.
type Model struct {
	Name           string
	Size           int
	Share          float64       // Fraction of the replicas that the model needs at the start.
	TimeFactor     float64       // Factor on all predicted times of the model's groups; higher is slower.
	LoadTime       time.Duration // Time to load weights from the weight store.
	StagedLoadTime time.Duration // Time to load staged weights from the host.
}

// Engine holds the published performance figures of a model service, from which latencies are predicted and loads are limited.
type Engine struct {
	Models            []Model
	Slots             int           // Requests that a group runs concurrently.
	Stride            int           // Token steps of a pass; an event of a stream holds the tokens of one pass.
	Chunk             int           // Most prompt tokens that a pass reads (prefill chunk).
	StepMs            float64       // Milliseconds of a token step without requests.
	StepMsPerRequest  float64       // Milliseconds that each running request adds to a step.
	PromptTokensPerMs float64       // Prompt tokens read (prefilled) per millisecond.
	MsPerMillionPairs float64       // Attention cost: milliseconds per million pairs of a prompt token and an earlier one.
	OpenTime          time.Duration // Time from the order to open a ready group until it is open.
	LoadsPerS         float64       // Weight loads that may start per second.
	LoadsAtOnce       int           // Weight loads that can run in parallel without slowing each other down.
	MeanPromptTokens  int           // Mean prompt tokens of a request.
	MeanOutputTokens  float64       // Mean output tokens of a request.
	KVCapacityTokens  int           // Tokens that a group can hold in memory (KV cache); 0 if it isn't stated.
}

// Model returns the model with the name, or nil.
func (e *Engine) Model(name string) *Model {
	for i := range e.Models {
		if e.Models[i].Name == name {
			return &e.Models[i]
		}
	}
	return nil
}

// Service is a set of replicas that serve the same requests.
type Service struct {
	Name           string
	MaxConnections int           // Connections that one replica accepts from all callers together.
	ColdStart      time.Duration // Time for which a replica is cold after its start.
	ColdPerSecond  float64       // Requests per second that a cold replica can handle.
	Engine         *Engine       // Nil for a plain service.
}

// Limits holds the size and time limits for client requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It must not be modified after Index.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	// Tenants maps an API key to its client account; nil if no keys are required.
	Tenants map[string]Tenant

	byHost     map[string][]*Route // By host name in lower case; longest prefix first.
	priorities map[string][]int    // By service; see Priorities.
}

// Tenant is a client account.
type Tenant struct {
	Name        string
	Priority    int // Valid if HasPriority is set.
	HasPriority bool
}

// Account returns the client account with the name.
func (c *Config) Account(name string) (Tenant, bool) {
	for _, t := range c.Tenants {
		if t.Name == name {
			return t, true
		}
	}
	return Tenant{}, false
}

// Index prepares the configuration for Match.
func (c *Config) Index() {
	c.indexPriorities()
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
}

// Match returns the route with the longest prefix of path, or nil. A port in host is ignored.
func (c *Config) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// EngineService returns the first service with an engine by name order, or nil.
func (c *Config) EngineService() *Service {
	var found *Service
	for _, s := range c.Services {
		if s.Engine != nil && (found == nil || s.Name < found.Name) {
			found = s
		}
	}
	return found
}
