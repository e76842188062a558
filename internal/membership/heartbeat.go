package membership

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// heartbeatTimeoutsPerTerm is the number of heartbeat timeouts that fit into one lease term. With four, a heartbeat on an
// unresponsive connection times out early enough for a heartbeat on a new connection to succeed within the term.
const heartbeatTimeoutsPerTerm = 4

// heartbeatLoops runs one heartbeat loop per peer, so that an unresponsive peer doesn't delay heartbeats to the others.
type heartbeatLoops struct {
	membership *Membership
	running    map[string]heartbeatLoop
	wg         sync.WaitGroup
}

type heartbeatLoop struct {
	address string
	cancel  context.CancelFunc
}

func newHeartbeatLoops(m *Membership) *heartbeatLoops {
	return &heartbeatLoops{membership: m, running: map[string]heartbeatLoop{}}
}

// reconcile starts loops for new peers, stops those of removed peers, and restarts those of peers whose address changed.
// addresses maps peer names to peer addresses.
func (l *heartbeatLoops) reconcile(ctx context.Context, addresses map[string]string) {
	for name, loop := range l.running {
		if addresses[name] != loop.address {
			loop.cancel()
			delete(l.running, name)
		}
	}
	for name, address := range addresses {
		if _, ok := l.running[name]; ok {
			continue
		}
		loopCtx, cancel := context.WithCancel(ctx)
		l.running[name] = heartbeatLoop{address: address, cancel: cancel}
		l.wg.Go(func() {
			for {
				requested := l.membership.heartbeatRequest() // Before the status of the heartbeat is built.
				l.membership.sendHeartbeat(loopCtx, name, address)
				if l.membership.waitForNextHeartbeat(loopCtx, requested) != nil {
					return
				}
			}
		})
	}
}

// SendHeartbeats makes this node send its next heartbeats now, so that its peers learn of a changed status at once.
func (m *Membership) SendHeartbeats() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.heartbeatsRequested)
	m.heartbeatsRequested = make(chan struct{})
}

// heartbeatRequest returns a channel that the next call of SendHeartbeats closes.
func (m *Membership) heartbeatRequest() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heartbeatsRequested
}

// waitForNextHeartbeat waits until the next heartbeat to a peer is due, or requested is closed, or ctx is done, and then returns the
// context's error.
func (m *Membership) waitForNextHeartbeat(ctx context.Context, requested <-chan struct{}) error {
	due, stop := m.clk.After(m.untilNextHeartbeat())
	defer stop()
	select {
	case <-due:
	case <-requested:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// untilNextHeartbeat returns the time until the next heartbeat to a peer: the heartbeat interval, or less if a listed node will
// have been silent for the term and the margin before. Nodes that wait for a majority to confirm the silence then learn of it
// at once and not an interval later.
func (m *Membership) untilNextHeartbeat() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now, wait := m.clk.Now(), m.opts.Heartbeat
	for name := range m.listed {
		p := m.peers[name]
		if p == nil {
			continue
		}
		if untilSilent := p.lastContactAt.Add(m.opts.Term + m.opts.Margin).Sub(now); untilSilent > 0 {
			wait = min(wait, untilSilent)
		}
	}
	return wait
}

// wait cancels all loops and waits until they have ended.
func (l *heartbeatLoops) wait() {
	for _, loop := range l.running {
		loop.cancel()
	}
	l.wg.Wait()
}

// peerAddresses returns the peer addresses of the other listed nodes by name.
func (m *Membership) peerAddresses() map[string]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	addresses := make(map[string]string, len(m.listed))
	for name, r := range m.listed {
		if name != m.opts.Self.GetName() && r.node.GetPeerAddress() != "" {
			addresses[name] = r.node.GetPeerAddress()
		}
	}
	return addresses
}

// sendHeartbeat sends one heartbeat to a peer. The response is valid for a term from the sending of the request. The peer
// records contact with this node no earlier than that. A node that waits until the peer has reported no contact with this
// node for a term and the margin therefore waits until this response has expired here.
func (m *Membership) sendHeartbeat(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Term/heartbeatTimeoutsPerTerm)
	defer cancel()
	req := &schema.HeartbeatRequest{Sender: m.status()}
	sent := m.clk.Now()
	resp, err := m.opts.Peers.Heartbeat(ctx, address, req)
	if err != nil {
		m.countHeartbeat(ctx, "failed")
		m.opts.Log.WithError(err).WithField("node", name).Debug("heartbeat failed")
		return
	}
	if responder := resp.GetResponder().GetName(); responder != name {
		m.countHeartbeat(ctx, "wrong_node")
		m.opts.Log.WithField("node", name).WithField("responder", responder).Warn("heartbeat was answered by another node")
		return
	}
	m.countHeartbeat(ctx, "ok")
	m.mu.Lock()
	m.recordContact(resp.GetResponder())
	m.mu.Unlock()
	// Notify before recording the response: a node that regains the right to serve through this response must already know
	// the configuration revision that the response reports.
	m.notifyPeerStatus(resp.GetResponder())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changeBases(func() {
		if p := m.peers[name]; p != nil {
			p.response, p.requestSentAt = resp.GetResponder(), sent
		}
	})
}

// HandleHeartbeat records a peer's heartbeat and returns the status of this node.
func (m *Membership) HandleHeartbeat(_ context.Context, req *schema.HeartbeatRequest) (*schema.HeartbeatResponse, error) {
	sender := req.GetSender()
	if sender.GetName() == "" || sender.GetName() == m.opts.Self.GetName() {
		return nil, fmt.Errorf("heartbeat has invalid sender name %q at node %q: it is empty or the receiver's own",
			sender.GetName(), m.opts.Self.GetName())
	}
	m.mu.Lock()
	m.recordContact(sender)
	m.mu.Unlock()
	m.notifyPeerStatus(sender)
	// The status is built after recordContact, so the response doesn't list the sender as silent.
	return &schema.HeartbeatResponse{Responder: m.status()}, nil
}

// recordContact stores a status received from a peer and the time of its arrival. The caller holds mu.
func (m *Membership) recordContact(status *schema.NodeStatus) *peer {
	p := m.peers[status.GetName()]
	if p == nil {
		p = &peer{}
		m.peers[status.GetName()] = p
	}
	p.status, p.lastContactAt = status, m.clk.Now()
	return p
}

// notifyPeerStatus passes a peer's status to the OnPeerStatus callback, if set. The caller must not hold mu.
func (m *Membership) notifyPeerStatus(status *schema.NodeStatus) {
	if m.opts.OnPeerStatus != nil {
		m.opts.OnPeerStatus(status)
	}
}
