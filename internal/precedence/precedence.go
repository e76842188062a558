// Package precedence decides which requests give way while a model lacks capacity: those of less urgent priorities, and those of client
// accounts that offer more than their fair share. It does no I/O: the offered work, the loads and the clock are passed in, so that
// equal nodes reach the same verdict without a call. docs/design/precedence.md describes the rules.
package precedence

import (
	"time"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

const (
	// guardShare is the share of the slack of the most urgent target up to which less urgent requests inside their share may add to the queue:
	// while it is longer, urgent requests would be late. atOnceShare is the share up to which any request counts as served at once; it
	// leaves half of that to the urgent requests themselves.
	guardShare  = 0.6
	atOnceShare = 0.3
	// minSlackShare is the least slack, as a share of the target, where the unloaded time takes nearly all of the target.
	minSlackShare = 0.2
	// toleratedDelay is the share of the longest more urgent target up to which requests of the floor go on. More urgent requests
	// are admitted up to about this delay, so that the queue stays that long while they alone exceed the capacity.
	toleratedDelay = 1.15
	// minRetryAfter and maxRetryAfter limit the delay after which a refused client is told to retry, as in balance.Admission.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Class is the work of one model and effective priority; 0 is the most urgent one.
type Class struct {
	Model    string
	Priority int
}

// Work is offered work per second, including that which was refused.
type Work struct{ Requests, ReadTokens, WriteTokens float64 }

// Offered is the work that clients offer.
type Offered struct {
	Work map[Class]Work
	// Scale is the factor from Work to the work of all nodes: 1 if all nodes have reported, and the number of nodes if only this node
	// has.
	Scale float64
}

// Request is what the decision depends on of a request. Its size takes no part: the largest requests of a kind would otherwise be
// refused first, and never served.
type Request struct {
	Class   Class
	Account string
	Draw    float64       // Between 0 and 1, the same at each node; see DrawOf.
	Delay   time.Duration // The part of the predicted first event that is due to other requests.
	Target  time.Duration // Latency target; 0 for none.
	// Unloaded is the predicted time to the first event of a request of the usual size at an idle group.
	Unloaded time.Duration
	// UrgentTarget and LongestUrgentTarget are the shortest and longest latency target of the routes that are more urgent; 0 if there is none.
	UrgentTarget, LongestUrgentTarget time.Duration
}

// Model is the state of the model that a request is for.
type Model struct {
	Engine     *fleet.Engine
	TimeFactor float64
	Groups     int           // Open groups.
	MeanDelay  time.Duration // Mean over the groups of the predicted queue delay, from the shared loads.
	Offered    Offered
	Accounts   []AccountWork // Of the request's class, as offered to this node.
	// OnePriority is set if all routes of the service have the same priority: then only accounts have shares.
	OnePriority bool
}

// Action is what is done with a request.
type Action int

// Actions. Default leaves the decision to balance.Admission; Go admits the request without it.
const (
	Default Action = iota
	Go
	Refuse
)

// Reasons of verdicts, which are constants for the use as label of a counter.
const (
	ReasonAtOnce       = "at_once"       // The request can be served at once.
	ReasonCalm         = "calm"          // The model has the capacity for what is offered.
	ReasonShare        = "share"         // The request is inside the share of its account and priority.
	ReasonFloor        = "floor"         // The request belongs to the part that each priority keeps.
	ReasonPriority     = "priority"      // More urgent requests take precedence.
	ReasonAccountShare = "account_share" // The account offers more than its fair share.
)

// Verdict is the decision about one request.
type Verdict struct {
	Action     Action
	Reason     string
	RetryAfter time.Duration // Of Refuse: when there is likely to be room.
}

// AtOnce reports whether the request can be served at once, which needs no knowledge of the model.
func (r Request) AtOnce() bool { return r.guardTarget() <= 0 || r.Delay <= r.limit(atOnceShare) }

// guardTarget is the target that the request must not endanger.
func (r Request) guardTarget() time.Duration {
	if r.UrgentTarget > 0 {
		return r.UrgentTarget
	}
	return r.Target
}

// limit returns a share of the slack: the queue delay with which requests with the guarded target are still on time.
func (r Request) limit(share float64) time.Duration {
	target := float64(r.guardTarget())
	return time.Duration(share * max(target-float64(r.Unloaded), minSlackShare*target))
}

// Decide returns the verdict on a request.
func Decide(r Request, m Model) Verdict {
	if r.AtOnce() {
		return Verdict{Reason: ReasonAtOnce}
	}
	class := m.classShare(r)
	if !class.short {
		return Verdict{Reason: ReasonCalm}
	}
	share, overAccount := accountShare(r.Account, m.Accounts, class)
	switch {
	case r.Draw < class.floor && !class.first && r.Delay <= time.Duration(toleratedDelay*float64(r.LongestUrgentTarget)):
		return Verdict{Action: Go, Reason: ReasonFloor}
	case r.Draw < class.floor:
		return Verdict{Reason: ReasonFloor}
	case r.Draw < share && (class.first || r.Delay <= r.limit(guardShare)):
		return Verdict{Reason: ReasonShare}
	}
	reason := ReasonPriority
	if overAccount {
		reason = ReasonAccountShare
	}
	return Verdict{Action: Refuse, Reason: reason, RetryAfter: retryAfter(r, class)}
}

// retryAfter returns when the queue delay is likely to be so low that the request is served at once: it falls at the rate that more urgent
// work leaves.
func retryAfter(r Request, class classShare) time.Duration {
	excess := float64(r.Delay - r.limit(atOnceShare))
	return min(max(time.Duration(excess/max(1-class.urgentLoad, floorShare)), minRetryAfter), maxRetryAfter)
}
