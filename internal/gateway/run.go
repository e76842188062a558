package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/retry"
	"cassiadeal.example/cassiadeal/internal/router"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	maxAttempts = 4
	// noTargetWait is how long a request waits for a target to become available, for example while another node takes over
	// the targets of a node that stopped.
	noTargetWait         = 4 * time.Second
	noTargetPollInterval = 50 * time.Millisecond
	// maxNoTargetPause bounds the interval of polling, which grows while nodes are tried in vain. It is the interval of heartbeats, in
	// which nodes report their targets.
	maxNoTargetPause = 500 * time.Millisecond
	// minNoTargetWait is how long a request that has waited in a queue waits at least when the target of the queue has fallen silent. A
	// sound target may be silent for more than a second.
	minNoTargetWait = 2 * time.Second
	maxVainAttempts = 32 // That found no target.
)

// output receives the parts of an answer and converts them to the caller's format.
type output interface {
	addPart(*schema.DispatchChunk) error
	// started reports whether a part may have been sent to the caller. If so, the request can't be retried.
	started() bool
	// reset discards the parts of a failed attempt.
	reset()
}

// runWithRetries runs the request on one node after another until it has an answer, a failure that can't be retried, or no
// attempts left. It polls for a usable node for up to noTargetWait. Attempts that found no target don't count towards maxAttempts: the
// summaries by which nodes are chosen lag, so a node is still chosen for a while after its target has fallen silent.
func (g *Gateway) runWithRetries(ctx context.Context, c *callerRequest, out output) *schema.DispatchEnd {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	excluded := make(map[string]bool)
	waitUntil, pause := time.Now().Add(noTargetWait), noTargetPollInterval
	var lastEnd *schema.DispatchEnd
	for attempts, vain := 0, 0; attempts < maxAttempts && vain < maxVainAttempts; {
		node, ok := g.nextCandidate(c, excluded)
		if !ok {
			if lastEnd != nil && !isTransient(lastEnd) || time.Now().After(waitUntil) || !sleep(ctx, pause) {
				return g.noCandidateEnd(ctx, c, lastEnd)
			}
			if len(excluded) > 0 {
				pause = min(2*pause, maxNoTargetPause)
			}
			clear(excluded)
			continue
		}
		begin := time.Now()
		lastEnd = g.tryNode(ctx, c, node, out)
		if lastEnd.Code == int32(result.OK) || !g.mayRetry(ctx, c, lastEnd, out) {
			return lastEnd
		}
		if foundNoTarget(lastEnd) {
			vain++
		} else {
			attempts++
		}
		if waited := time.Since(begin); waited >= maxNoTargetPause {
			waitUntil = later(waitUntil, time.Now().Add(minNoTargetWait))
		}
		if lastEnd.NotRun && result.Code(lastEnd.Code) != result.TargetRefused {
			excluded[node.Name] = true // A node whose target refused the request may have others.
		}
		out.reset()
	}
	return lastEnd
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (g *Gateway) nextCandidate(c *callerRequest, excluded map[string]bool) (router.Node, bool) {
	for _, n := range g.opts.Router.Candidates(c.destination, c.affinity) {
		if !excluded[n.Name] {
			return n, true
		}
	}
	return router.Node{}, false
}

// isTransient reports whether the cause of a refusal may end within noTargetWait, for example while another node takes over
// a target.
func isTransient(end *schema.DispatchEnd) bool {
	switch result.Code(end.Code) {
	case result.NoTarget, result.NodeUnreachable, result.NodeStopping, result.NoRightToServe, result.TargetUnreachable:
		return end.NotRun
	}
	return false
}

// foundNoTarget reports whether a request didn't run because no target could be reached through the node.
func foundNoTarget(end *schema.DispatchEnd) bool {
	switch result.Code(end.Code) {
	case result.NoTarget, result.NodeUnreachable, result.TargetUnreachable:
		return end.NotRun
	}
	return false
}

func (g *Gateway) noCandidateEnd(ctx context.Context, c *callerRequest, lastEnd *schema.DispatchEnd) *schema.DispatchEnd {
	if lastEnd != nil {
		return lastEnd
	}
	code, message := result.NoTarget, "no target of "+c.destination+" is available"
	if ctx.Err() != nil {
		code, message = result.DeadlineUnreachable, "no target of "+c.destination+" became available before the deadline"
	}
	return &schema.DispatchEnd{Code: int32(code), Message: message, NotRun: true, RetryAfterMs: time.Second.Milliseconds()}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (g *Gateway) tryNode(ctx context.Context, c *callerRequest, node router.Node, out output) *schema.DispatchEnd {
	g.opts.Router.RecordSent(node, c.destination)
	c.dispatch.DeadlineMs = time.Until(c.deadline).Milliseconds()
	if c.dispatch.DeadlineMs <= 0 {
		return &schema.DispatchEnd{Code: int32(result.DeadlineUnreachable), NotRun: true, Message: "the deadline has passed"}
	}
	c.attempts++
	c.node, c.target, c.tokens = node.Name, "", 0
	end := g.opts.Execute(ctx, node, c.dispatch, func(chunk *schema.DispatchChunk) error {
		if chunk.GetToken() != nil {
			c.tokens++
		}
		return out.addPart(chunk)
	})
	c.target = end.Target
	if end.Code != int32(result.OK) {
		c.log.WithFields(logrus.Fields{
			"node": node.Name, "target": end.Target, "code": end.Code, "not_run": end.NotRun, "message": end.Message,
		}).Debug("attempt failed")
	}
	return end
}

// mayRetry reports whether the request may be tried again, and counts the retry if so. No retry is made after the deadline
// or after a part of the answer was sent to the caller. A retry after an attempt that didn't run is limited only by the
// number of attempts, since that attempt put no load on a target. After an attempt that may have run, the request is
// repeated only if it is repeatable, its fingerprint isn't blocked for crashing targets, and the retry budget allows it.
func (g *Gateway) mayRetry(ctx context.Context, c *callerRequest, end *schema.DispatchEnd, out output) bool {
	code := result.Code(end.Code)
	if ctx.Err() != nil || out.started() || !retryable(code, end.NotRun) {
		return false
	}
	if code == result.TargetRefused {
		c.dispatch.ExcludeTargets = append(c.dispatch.ExcludeTargets, end.Target)
	}
	if !end.NotRun {
		if !c.dispatch.Repeatable || g.opts.Crashes.Blocked(crash.Request{Fingerprint: c.dispatch.Fingerprint}) ||
			!g.opts.Budget.Allow(c.destination, retry.Reason(code.String())) {
			return false
		}
		if end.Target != "" {
			c.dispatch.ExcludeTargets = append(c.dispatch.ExcludeTargets, end.Target)
		}
	}
	g.opts.Metrics.Retry(code.String())
	return true
}

// retryable reports whether the request may succeed at another node or target.
func retryable(code result.Code, notRun bool) bool {
	switch code {
	case result.QueueFull, result.DeadlineUnreachable, result.NoTarget, result.NodeStopping, result.NoRightToServe,
		result.TargetUnreachable, result.NodeUnreachable, result.TargetsLimited, result.TargetRefused, result.NoRoom:
		return notRun
	case result.StreamIncomplete, result.TargetFailed, result.AnswerMismatch, result.ShutdownLimit:
		return true
	}
	return false
}
