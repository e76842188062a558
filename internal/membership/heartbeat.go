package membership

import (
	"context"
	"fmt"
	"sync"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// heartbeatTimeoutsPerTerm is the number of heartbeat timeouts that fit into one term. With four, a connection that went silent
// is given up early enough for a new one to prove contact within the term.
const heartbeatTimeoutsPerTerm = 4

// heartbeatLoops runs one heartbeat loop per peer, so that a silent peer delays no other.
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

// reconcile starts loops for new peers and stops those of removed or moved ones.
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
				l.membership.sendHeartbeat(loopCtx, name, address)
				if clock.Sleep(loopCtx, l.membership.clk, l.membership.opts.Heartbeat) != nil {
					return
				}
			}
		})
	}
}

// wait returns when all loops have ended. Their context must be done.
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

// beat sends one heartbeat. An answer counts from the sending: the peer notes that it heard us no earlier than that, so
// whoever waits for the peer's silence to last a term and the margin waits until this answer has expired here.
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
		m.opts.Log.WithField("node", name).WithField("responder", responder).Warn("another node answers at this address")
		return
	}
	m.countHeartbeat(ctx, "ok")
	m.mu.Lock()
	m.recordContact(resp.GetResponder())
	m.mu.Unlock()
	// Before the answer counts: a node that regains its right by this answer must know the revision that it reports.
	m.notifyPeerStatus(resp.GetResponder())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changeBases(func() {
		if p := m.peers[name]; p != nil {
			p.response, p.requestSentAt = resp.GetResponder(), sent
		}
	})
}

// HandleHeartbeat answers a peer's heartbeat.
func (m *Membership) HandleHeartbeat(_ context.Context, req *schema.HeartbeatRequest) (*schema.HeartbeatResponse, error) {
	sender := req.GetSender()
	if sender.GetName() == "" || sender.GetName() == m.opts.Self.GetName() {
		return nil, fmt.Errorf("heartbeat from node %q to node %q", sender.GetName(), m.opts.Self.GetName())
	}
	m.mu.Lock()
	m.recordContact(sender)
	m.mu.Unlock()
	m.notifyPeerStatus(sender)
	// Built after the sender was noted as heard, so the answer never denies the contact that it proves.
	return &schema.HeartbeatResponse{Responder: m.status()}, nil
}

// hear notes a sign of life. The caller holds mu.
func (m *Membership) recordContact(status *schema.NodeStatus) *peer {
	p := m.peers[status.GetName()]
	if p == nil {
		p = &peer{}
		m.peers[status.GetName()] = p
	}
	p.status, p.lastContactAt = status, m.clk.Now()
	return p
}

func (m *Membership) notifyPeerStatus(status *schema.NodeStatus) {
	if m.opts.OnPeerStatus != nil {
		m.opts.OnPeerStatus(status)
	}
}
