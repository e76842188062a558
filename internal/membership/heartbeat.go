package membership

import (
	"context"
	"fmt"
	"sync"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// heartbeatTimeouts is the number of heartbeat timeouts that fit into one term. With four, a connection that went silent
// is given up early enough for a new one to prove contact within the term.
const heartbeatTimeouts = 4

// peerLoops runs one heartbeat loop per peer, so that a silent peer delays no other.
type peerLoops struct {
	m       *Membership
	running map[string]peerLoop
	wg      sync.WaitGroup
}

type peerLoop struct {
	address string
	cancel  context.CancelFunc
}

func newPeerLoops(m *Membership) *peerLoops {
	return &peerLoops{m: m, running: map[string]peerLoop{}}
}

// reconcile starts loops for new peers and stops those of removed or moved ones.
func (l *peerLoops) reconcile(ctx context.Context, addresses map[string]string) {
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
		l.running[name] = peerLoop{address: address, cancel: cancel}
		l.wg.Go(func() {
			for {
				l.m.beat(loopCtx, name, address)
				if clock.Sleep(loopCtx, l.m.clk, l.m.opts.Heartbeat) != nil {
					return
				}
			}
		})
	}
}

// wait returns when all loops have ended. Their context must be done.
func (l *peerLoops) wait() {
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
func (m *Membership) beat(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.Term/heartbeatTimeouts)
	defer cancel()
	req := &schema.HeartbeatRequest{Sender: m.status()}
	sent := m.clk.Now()
	resp, err := m.opts.Peers.Heartbeat(ctx, address, req)
	if err != nil {
		m.countHeartbeat(ctx, "failed")
		m.opts.Log.WithError(err).WithField("node", name).Debug("heartbeat failed")
		return
	}
	if got := resp.GetResponder().GetName(); got != name {
		m.countHeartbeat(ctx, "wrong_node")
		m.opts.Log.WithField("node", name).WithField("responder", got).Warn("another node answers at this address")
		return
	}
	m.countHeartbeat(ctx, "ok")
	m.mu.Lock()
	m.hear(resp.GetResponder())
	m.mu.Unlock()
	// Before the answer counts: a node that regains its right by this answer must know the revision that it reports.
	m.notify(resp.GetResponder())
	m.mu.Lock()
	defer m.mu.Unlock()
	m.change(func() {
		if p := m.peers[name]; p != nil {
			p.answer, p.answerSent = resp.GetResponder(), sent
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
	m.hear(sender)
	m.mu.Unlock()
	m.notify(sender)
	// Built after the sender was noted as heard, so the answer never denies the contact that it proves.
	return &schema.HeartbeatResponse{Responder: m.status()}, nil
}

// hear notes a sign of life. The caller holds mu.
func (m *Membership) hear(s *schema.NodeStatus) *peer {
	p := m.peers[s.GetName()]
	if p == nil {
		p = &peer{}
		m.peers[s.GetName()] = p
	}
	p.status, p.heardAt = s, m.clk.Now()
	return p
}

func (m *Membership) notify(s *schema.NodeStatus) {
	if m.opts.OnPeerStatus != nil {
		m.opts.OnPeerStatus(s)
	}
}
