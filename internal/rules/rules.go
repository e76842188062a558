// Package rules holds the operators' rules: pools, services, client accounts, routes and failure domains.
package rules

import (
	"strings"
	"time"
)

// Rules is a checked configuration. Maps are keyed by the rule's name. It must not be changed after parsing.
type Rules struct {
	Pools          map[string]Pool
	Services       map[string]Service
	Accounts       map[string]Account
	Routes         []Route // In file order; the first match applies.
	FailureDomains map[string]FailureDomain
	Weights        WeightBudget
	// Origins is keyed by "section/name", for example "pools/drafts".
	Origins map[string]Origin
	// File is the name that Parse was given; problems found later name it.
	File string
}

// Origin tells where a rule stands and who asked for it.
type Origin struct {
	Line    int
	Text    string // Canonical form of the rule: one space between settings, no comment.
	Comment string
}

// Limits bounds the requests in flight at one target.
type Limits struct {
	Cold int // Requests in flight that a target bears right after its start.
	Full int // Requests in flight that a warm target bears.
}

// Pool is a set of model replicas, each a group of VMs in one fabric domain.
type Pool struct {
	Name     string
	Model    string
	VMs      int // VMs per replica.
	Replicas int
	Limits   Limits
	MaxQueue int           // Queued requests per holder; more are refused with queue_full.
	Deadline time.Duration // Default time limit of a request.
	// FencedOrders is true if the engines refuse orders with an old fencing number.
	FencedOrders bool
}

// Service is a plain HTTP service beside the model engines.
type Service struct {
	Name     string
	Targets  []ServiceTarget
	Limits   Limits
	MaxQueue int
	Deadline time.Duration
}

// ServiceTarget is one back end of a service.
type ServiceTarget struct {
	Address       string // host:port.
	FailureDomain string
}

// Priority orders queued requests.
type Priority uint32

// Priorities, lowest first.
const (
	PriorityLow    Priority = 0
	PriorityNormal Priority = 1
	PriorityHigh   Priority = 2
)

// String returns the priority as written in the rules file.
func (p Priority) String() string {
	switch p {
	case PriorityLow:
		return "low"
	case PriorityHigh:
		return "high"
	default:
		return "normal"
	}
}

// Account is a client account. Limits hold over all entry nodes together.
type Account struct {
	Name        string
	TokenSHA256 string  // Lower-case hex of the SHA-256 of the bearer token.
	Rate        float64 // Requests per second.
	Burst       int     // Requests.
	Concurrency int     // Requests in flight.
	Priority    Priority
}

// Route gives the properties of some calls to a service.
type Route struct {
	Name     string
	Service  string
	Method   string // "*" matches every method.
	Path     string // Path prefix below /v1/services/{service}; "/x/*" matches what is below, "/x" only itself.
	Repeat   bool   // False: the call must not run twice and needs an Idempotency-Key.
	Priority Priority
	// HasPriority is false if the account's priority applies.
	HasPriority bool
}

// FailureDomain tells whether a failure domain takes new work.
type FailureDomain struct {
	Name string
	Out  bool
}

// WeightBudget meters loads from the weight store over all fabric domains.
type WeightBudget struct {
	AtOnce    int // Loads in progress.
	PerMinute int // Load starts.
}

// Match returns the first route of the service that covers the call. A call that no route covers gets a route without
// a name that may not be repeated, and so does a path that a service may resolve to another one: /stock/../confirm lies
// below /stock/ only by its letters.
func (r *Rules) Match(service, method, path string) Route {
	if isAmbiguousPath(path) {
		return Route{Service: service, Method: method, Path: path}
	}
	for _, route := range r.Routes {
		if route.Service == service && (route.Method == "*" || route.Method == method) && pathMatches(route.Path, path) {
			return route
		}
	}
	return Route{Service: service, Method: method, Path: path}
}

func pathMatches(pattern, path string) bool {
	if prefix, isPrefix := strings.CutSuffix(pattern, "*"); isPrefix {
		return strings.HasPrefix(path, prefix)
	}
	return path == pattern
}

// isAmbiguousPath is true for empty segments, the segments "." and "..", backslashes, and escapes that are not decoded.
// Some servers also cut a segment at a semicolon, so that "..;x" means "..".
func isAmbiguousPath(path string) bool {
	if strings.ContainsAny(path, "%\\") || strings.Contains(path, "//") {
		return true
	}
	for segment := range strings.SplitSeq(path, "/") {
		name, _, _ := strings.Cut(segment, ";")
		if name == "." || name == ".." {
			return true
		}
	}
	return false
}
