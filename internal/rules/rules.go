// Package rules parses, checks, matches and compares the operators' rules: pools, services, client accounts, routes,
// failure domains and the weight budget.
package rules

import (
	"strings"
	"time"
)

// Rules is a parsed and checked rules file. Maps are keyed by the rule's name. It must not be modified after parsing.
type Rules struct {
	Pools          map[string]Pool
	Services       map[string]Service
	Accounts       map[string]Account
	Routes         []Route // In file order; the first match applies.
	FailureDomains map[string]FailureDomain
	Weights        WeightBudget
	// Origins is keyed by "section/name", for example "pools/drafts".
	Origins map[string]Origin
	// File is the file name passed to Parse. Problems found by later checks contain it.
	File string
}

// Origin is the source of a rule in the rules file.
type Origin struct {
	Line    int
	Text    string // Canonical form of the rule: one space between settings, no comment.
	Comment string // Names who asked for the rule.
}

// Limits holds the highest numbers of requests in flight at one target.
type Limits struct {
	Cold int // Limit right after the target's start.
	Full int // Limit of a warm target.
}

// Pool is a set of replicas of one model. Each replica runs on a group of VMs in one fabric domain.
type Pool struct {
	Name     string
	Model    string
	VMs      int // VMs per replica.
	Replicas int
	Limits   Limits
	MaxQueue int           // Most queued requests per holder; further ones are refused with queue_full.
	Deadline time.Duration // Default time limit of a request.
	// FencedOrders states that the engines refuse orders with a fencing number below the highest one they accepted.
	FencedOrders bool
}

// Service is an HTTP service other than a model engine.
type Service struct {
	Name     string
	Targets  []ServiceTarget
	Limits   Limits
	MaxQueue int
	Deadline time.Duration
}

// ServiceTarget is one back end of a service.
type ServiceTarget struct {
	Address       string // IP:port.
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

// Account is a client account. Its limits apply to the requests at all entry nodes together.
type Account struct {
	Name        string
	TokenSHA256 string  // Lower-case hex of the SHA-256 of the bearer token.
	Rate        float64 // Requests per second.
	Burst       int     // Requests.
	Concurrency int     // Requests in flight.
	Priority    Priority
}

// Route sets the repeatability and priority of the calls to a service that match its method and path.
type Route struct {
	Name     string
	Service  string
	Method   string // "*" matches every method.
	Path     string // Relative to /v1/services/{service}; "/x/*" matches every path that begins with "/x/", "/x" only itself.
	Repeat   bool   // If false, the call must not run twice and needs an Idempotency-Key.
	Priority Priority
	// HasPriority is false if the account's priority applies.
	HasPriority bool
}

// FailureDomain is the state of a failure domain.
type FailureDomain struct {
	Name string
	Out  bool // The domain must get no new requests or replica groups.
}

// WeightBudget limits the loads of model weights from the weight store, over all fabric domains together.
type WeightBudget struct {
	AtOnce    int // Most loads in progress.
	PerMinute int // Most load starts.
}

// Match returns the first route of the service that matches the call. If no route does, it returns a route without a name
// whose Repeat is false. It does the same for an ambiguous path, which the service may resolve to another one: for
// example, /stock/../confirm begins with /stock/ but may be handled as /confirm.
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

// isAmbiguousPath reports whether the path has an empty segment, a segment "." or "..", a backslash, or a percent escape
// that is not decoded. It ignores the part of a segment after a semicolon, because some servers treat "..;x" as "..".
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
