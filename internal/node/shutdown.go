package node

import (
	"context"
	"net/http"
	"time"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	// handoverLimit bounds the wait for the work in flight at a target before another node becomes its holder. Work that
	// takes longer goes on at this node.
	handoverLimit = 2 * time.Second
	idlePoll      = 20 * time.Millisecond
	leaveTimeout  = 2 * time.Second
)

// shutdown stops the node without cutting off requests in flight. It first stops naming its address, gives its targets
// to other nodes, and goes on answering until callers no longer keep the address. The shutdown limit bounds the whole.
func (n *Node) shutdown(ctx context.Context, caller *http.Server) error {
	started := time.Now()
	n.mu.Lock()
	n.draining = true
	answerUntil := n.lastNamed.Add(n.settings.Timing.AddressKeep)
	n.mu.Unlock()
	n.log.Info("graceful shutdown started")
	ctx, cancel := context.WithDeadline(ctx, started.Add(n.settings.Timing.ShutdownLimit))
	defer cancel()

	n.membership.SetState(schema.NodeState_NODE_STATE_DRAINING)
	n.groups.Release(ctx)
	n.holders.HandOver(ctx)
	sleepUntil(ctx, answerUntil)
	n.mu.Lock()
	n.stopped = true
	n.mu.Unlock()
	err := caller.Shutdown(ctx)
	n.waitIdle(ctx)
	leave, cancelLeave := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancelLeave()
	n.membership.Leave(leave)
	n.log.WithField("elapsed_ms", time.Since(started).Milliseconds()).Info("graceful shutdown finished")
	return err
}

func sleepUntil(ctx context.Context, t time.Time) {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// waitIdle waits for requests that other nodes forwarded to this one.
func (n *Node) waitIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePoll)
	defer ticker.Stop()
	for n.running.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// beforeRelease waits for the work in flight at a target before its holder changes.
func (n *Node) beforeRelease(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	// The time limit is not an error: the new holder starts at the cold limit.
	_ = n.targets.WaitIdle(ctx, id)
}

// mayAccept tells whether this node takes new requests from callers.
func (n *Node) mayAccept() *result.Error {
	n.mu.Lock()
	stopped := n.stopped
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
