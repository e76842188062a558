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
	// handoverLimit bounds the wait for the work in flight at a target before another node becomes its holder, for which
	// the target gets no new work.
	handoverLimit = 2 * time.Second
	idlePoll      = 20 * time.Millisecond
	leaveTimeout  = 2 * time.Second
	// cancelTimeout is how long requests have to pass on their end after the shutdown limit. It covers the cancel call to an
	// engine (0.5 s) and the write of a claim whose outcome is unknown (2 s).
	cancelTimeout = 3 * time.Second
)

// shutdown stops the node without cutting off requests in flight. It first stops naming its address, gives its targets
// to other nodes, and goes on answering until callers no longer keep the address. The shutdown limit bounds the whole.
func (n *Node) shutdown(ctx context.Context, callerServer *http.Server) error {
	start := time.Now()
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	// Other nodes name this one until they learn that it drains, or have not heard it for a term.
	acceptUntil := start.Add(n.settings.Timing.Term + n.settings.Timing.AddressKeep)
	n.log.Info("graceful shutdown started")
	ctx, cancel := context.WithDeadline(ctx, start.Add(n.settings.Timing.ShutdownLimit))
	defer cancel()

	n.membership.SetState(schema.NodeState_NODE_STATE_DRAINING)
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
	<-handedOver // Ends with ctx at the latest.
	if ctx.Err() != nil {
		n.cancelRemaining(ctx, callerServer)
	}
	leaveCtx, cancelLeave := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancelLeave()
	n.membership.Leave(leaveCtx)
	n.log.WithField("elapsed_ms", time.Since(start).Milliseconds()).Info("graceful shutdown finished")
	return err
}

// cancelRemaining ends the requests that are still in flight at the shutdown limit and waits until their callers were told.
func (n *Node) cancelRemaining(ctx context.Context, callerServer *http.Server) {
	n.log.WithFields(logrus.Fields{"callers": n.gateway.InFlight(), "forwarded": n.forwardedInFlight.Load()}).Warn("requests are cut off at the shutdown limit")
	n.cancelRequests(result.New(result.ShutdownLimit, "this node stopped before the request ended"))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	// Its error was returned by the first call already.
	_ = callerServer.Shutdown(ctx)
	n.waitForwarded(ctx)
}

// setShutdownCode gives a request that was cut off at the shutdown limit its code. One that may not be repeated keeps the code
// outcome_unknown, which says more.
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

// waitForwarded waits for requests that other nodes forwarded to this one.
func (n *Node) waitForwarded(ctx context.Context) {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for n.forwardedInFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// beforeRelease waits until a new holder of the target can send to it on top of the work in flight.
func (n *Node) beforeRelease(ctx context.Context, id string) bool {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	return n.targets.WaitRoom(ctx, id) == nil
}

// mayAccept tells whether this node takes new requests from callers.
func (n *Node) mayAccept() *result.Error {
	n.mu.Lock()
	stopped := n.closedToCallers
	n.mu.Unlock()
	if stopped {
		return result.New(result.NodeStopping, "this node is shutting down; use another address")
	}
	return n.mayRun()
}

// mayRun tells whether this node may send requests to its targets.
func (n *Node) mayRun() *result.Error {
	if right := n.membership.Right(); !right.Serve {
		return result.New(result.NoRightToServe, "this node may not serve (%s); use another address", right.Reason).
			WithRetryAfter(time.Second)
	}
	if !n.config.Ready() {
		return result.New(result.NoRightToServe, "this node has not learned the configuration in force; use another address").
			WithRetryAfter(time.Second)
	}
	return nil
}
