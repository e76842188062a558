package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	// handoverLimit bounds the wait until a target that is handed over has room for a new holder's requests. The target
	// gets no new work during this wait.
	handoverLimit         = 2 * time.Second
	forwardedPollInterval = 20 * time.Millisecond
	leaveTimeout          = 2 * time.Second
	// cancelTimeout is how long requests that are cancelled at the shutdown limit have to return their result to the caller.
	// It covers the cancel call to an engine (0.5 s) and the write of a claim whose outcome is unknown (2 s).
	cancelTimeout = 3 * time.Second
)

// shutdown stops the node gracefully. The node removes its address from the address list, hands its targets over to other
// nodes, and accepts requests that can be expected to end by the shutdown limit until callers no longer keep the address.
// Requests in flight run on until the shutdown limit; those that remain then are cancelled.
func (n *Node) shutdown(ctx context.Context, callerServer *http.Server) error {
	start := time.Now()
	n.mu.Lock()
	n.draining = true
	n.shutdownEnd = start.Add(n.settings.Timing.ShutdownLimit)
	n.mu.Unlock()
	// Other nodes list this node's address until they receive its draining state, or have received no heartbeat from it for a
	// term.
	acceptUntil := start.Add(n.settings.Timing.Term + n.settings.Timing.AddressKeep)
	n.log.Info("graceful shutdown started")
	ctx, cancel := context.WithDeadline(ctx, start.Add(n.settings.Timing.ShutdownLimit))
	defer cancel()

	n.membership.SetState(schema.NodeState_NODE_STATE_DRAINING)
	n.tunnels.Drain()
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		n.groups.Release(ctx)
		n.holders.HandOver(ctx)
	}()
	sleepUntil(ctx, acceptUntil)
	n.mu.Lock()
	n.closedToCallers = true
	n.mu.Unlock()
	err := callerServer.Shutdown(ctx)
	n.waitForwarded(ctx)
	n.waitTunnels(ctx)
	<-handedOver // The handover ends with ctx at the latest.
	if ctx.Err() != nil {
		n.cancelRemaining(ctx, callerServer)
	}
	leaveCtx, cancelLeave := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancelLeave()
	n.membership.Leave(leaveCtx)
	n.log.WithField("elapsed_ms", time.Since(start).Milliseconds()).Info("graceful shutdown finished")
	return err
}

// cancelRemaining cancels the requests that are still in flight at the shutdown limit and waits up to cancelTimeout until
// their callers have got the result.
func (n *Node) cancelRemaining(ctx context.Context, callerServer *http.Server) {
	n.log.WithFields(logrus.Fields{"callers": n.gateway.InFlight(), "forwarded": n.forwardedInFlight.Load()}).
		Warn("shutdown limit reached; cancelling the requests in flight")
	n.cancelRequests(result.New(result.ShutdownLimit, "this node stopped before the request ended"))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	// shutdown returns the error of its own Shutdown call.
	_ = callerServer.Shutdown(ctx)
	n.waitForwarded(ctx)
}

// setShutdownCode sets the result code of a repeatable request that was cancelled at the shutdown limit. A request that may
// not be repeated keeps its code, such as outcome_unknown, which is more informative.
func setShutdownCode(ctx context.Context, req *schema.DispatchRequest, end *schema.DispatchEnd) *schema.DispatchEnd {
	var cause *result.Error
	if end.Code == int32(result.OK) || end.NotRun || !req.Repeatable || !errors.As(context.Cause(ctx), &cause) {
		return end
	}
	end.Code, end.Message = int32(cause.Code), cause.Message
	return end
}

func sleepUntil(ctx context.Context, deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// waitForwarded waits until the requests that other nodes forwarded to this one have ended.
func (n *Node) waitForwarded(ctx context.Context) {
	ticker := time.NewTicker(forwardedPollInterval)
	defer ticker.Stop()
	for n.forwardedInFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// beforeRelease waits until the target has room for a new holder's requests on top of the work in flight. It returns false if
// that takes longer than handoverLimit.
func (n *Node) beforeRelease(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	return n.targets.WaitRoom(ctx, id) == nil
}

// endsAt returns the shutdown limit during a graceful shutdown.
func (n *Node) endsAt() (end time.Time, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.shutdownEnd, !n.shutdownEnd.IsZero()
}

// mayAccept returns nil if this node accepts new requests from callers, else the reason.
func (n *Node) mayAccept() *result.Error {
	n.mu.Lock()
	stopped := n.closedToCallers
	n.mu.Unlock()
	if stopped {
		return result.New(result.NodeStopping, "this node is shutting down; use another address")
	}
	return n.mayRun()
}

// mayRun returns nil if this node may send requests to its targets, else the reason.
func (n *Node) mayRun() *result.Error {
	if right := n.membership.Right(); !right.Serve {
		return result.New(result.NoRightToServe, "this node may not serve (%s); use another address", right.Reason).
			WithRetryAfter(time.Second)
	}
	if !n.config.Ready() {
		return result.New(result.NoRightToServe, "this node does not have the configuration in force; use another address").
			WithRetryAfter(time.Second)
	}
	return nil
}
