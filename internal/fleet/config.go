package fleet

import (
	"net"
	"sort"
	"strings"
	"time"
)

// Repeat tells how often a request may run.
type Repeat int

// Kinds of requests.
const (
	RepeatNever  Repeat = iota // At most once.
	RepeatSafe                 // Any number of times.
	RepeatStream               // A stream of events; may run again only where it may be resumed.
)

// Route directs requests of one host and path prefix to services.
type Route struct {
	Name        string
	Host        string
	Prefix      string // Begins and ends with a slash.
	Repeat      Repeat
	Timeout     time.Duration // Longest time for which a request is kept waiting; 0 if the route sets none.
	Target      time.Duration // Time to the answer, or to the first event, that earns full worth.
	GapTarget   time.Duration // Longest pause between events of a stream that is on time.
	Priority    int           // 0 is the highest.
	MaxAttempts int           // Replicas on which one attempt of a client may run.
	Public      bool          // No key is asked for.
	Resumable   bool
	Backends    []Backend
}

// Idempotent tells whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Repeat == RepeatSafe || r.Repeat == RepeatStream && r.Resumable
}

// Backend is a share of a route's requests.
type Backend struct {
	Service string
	Weight  float64
}

// Model is a model that an engine service runs, in groups of Size replicas.
type Model struct {
	Name  string
	Size  int
	Share float64       // Part of the replicas that the model's work needs at the start.
	Pace  float64       // Factor on all times of a group.
	Load  time.Duration // Loading weights from the weight store.
	Warm  time.Duration // Loading staged weights from the host.
}

// Engine holds the published figures of a model service.
type Engine struct {
	Models      []Model
	Slots       int     // Requests that a group runs at once.
	Stride      int     // Token steps of a pass.
	Chunk       int     // Prompt tokens that a pass reads at most.
	Step        float64 // Milliseconds of a token step.
	StepPerSeq  float64 // Milliseconds that each running request adds to a step.
	ReadPerMs   float64 // Prompt tokens read in a millisecond.
	PairsPerM   float64 // Milliseconds for a million pairs of a token and an earlier one.
	Form        time.Duration
	LoadsPerS   float64 // Weight loads that may start in a second.
	LoadsAtOnce int     // Weight loads that run side by side without slowing each other.
	UsualPrompt int     // Mean prompt tokens of a request.
	UsualAnswer float64 // Mean output tokens of a request.
}

// Model returns the model by name, or nil.
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
	MaxConnections int           // Channels that one replica accepts from all callers.
	ColdStart      time.Duration // Time for which a started replica is cold.
	ColdPerSecond  float64       // Requests a second that a cold replica bears.
	Engine         *Engine       // Nil for a plain service.
}

// Limits bounds what clients may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one accepted version of the configuration. It isn't changed after New.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]*Service
	Limits   Limits
	// Tenants maps a key to its client account; nil if no keys are asked for.
	Tenants map[string]Tenant

	byHost map[string][]*Route // Longest prefix first.
}

// Tenant is a client account.
type Tenant struct {
	Name        string
	Priority    int
	HasPriority bool
}

// Index prepares the configuration for Match.
func (c *Config) Index() {
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
