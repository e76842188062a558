package membership

import (
	"fmt"
	"sort"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Right describes whether this node may serve new requests, and why.
type Right struct {
	Serve bool
	// PlatformLease and Majority are the two bases: a valid lease, and recent heartbeat responses from a majority of the
	// listed nodes. The majority counts only within MaxOutage of the start of the last lease.
	PlatformLease, Majority bool
	// InDoubt is true unless both bases hold. Another node may then be sending to the same targets. A target that this node
	// took over can stay in doubt for longer: at least until a term and the margin after it wrote the holder table.
	InDoubt bool
	// Since is when the right to serve was last regained. Information that this node got before may be outdated.
	Since clock.Time
	// Reason states which bases are missing or why the right has ended; empty if both bases hold.
	Reason string
}

// NodeInfo is what is known about a listed node.
type NodeInfo struct {
	Record *schema.Node
	// Status is the last status received from the node; nil if none.
	Status *schema.NodeStatus
	// Live is true if the incarnation that the record names had contact with this node within the term. It is always true
	// for this node.
	Live bool
	// LeaseLapsed is true if the record was unchanged for its term and the margin while the platform could be read.
	LeaseLapsed bool
	// ContactAge is the time since the last heartbeat or response from the node, or since the start of this process if
	// there was none.
	ContactAge time.Duration
}

// Right computes the right to serve from the current time, so that the first call after a pause of the process already
// returns that the bases have ended.
func (m *Membership) Right() Right {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rightAt(m.clk.Now())
}

// changeBases calls apply, which may give the right to serve, and records the time if there was no right before. The caller
// holds mu.
func (m *Membership) changeBases(apply func()) {
	now := m.clk.Now()
	before := m.rightAt(now).Serve
	apply()
	if !before {
		m.regainedAt = now
	}
}

func (m *Membership) rightAt(now clock.Time) Right {
	if m.left {
		return Right{InDoubt: true, Reason: "node has left"}
	}
	if m.supersededBy != "" {
		return Right{InDoubt: true, Reason: fmt.Sprintf("record replaced by incarnation %s", m.supersededBy)}
	}
	responses, needed := m.countResponses(now), m.majoritySize()
	r := Right{
		PlatformLease: m.lease.ValidAt(now),
		Majority:      responses >= needed && m.withinMaxOutage(now),
		Since:         m.regainedAt,
	}
	r.Serve = r.PlatformLease || r.Majority
	r.InDoubt = !r.PlatformLease || !r.Majority
	switch {
	case !r.Serve:
		r.Reason = fmt.Sprintf("no platform lease and %d of %d needed heartbeat responses", responses, needed)
	case !r.PlatformLease:
		r.Reason = "no platform lease"
	case !r.Majority:
		r.Reason = fmt.Sprintf("%d of %d needed heartbeat responses", responses, needed)
	}
	return r
}

// withinMaxOutage reports whether the last lease started less than MaxOutage ago, which a majority needs to count. A process
// that never had a lease can't rely on a majority, because it doesn't know whether its list of nodes is current.
func (m *Membership) withinMaxOutage(now clock.Time) bool {
	return m.lease.Term > 0 && now.Sub(m.lease.Start) < m.opts.MaxOutage
}

// majoritySize returns the smallest majority of the listed nodes, with this node included even if it isn't listed.
func (m *Membership) majoritySize() int {
	n := len(m.listed)
	if m.listed[m.opts.Self.GetName()] == nil {
		n++
	}
	return n/2 + 1
}

// countResponses counts this node and the listed nodes that responded to a heartbeat sent within the term. A response is
// left out if its process had been running for less than a term and the margin, because that process may not know yet of
// takeovers without the platform that its previous incarnation knew of.
func (m *Membership) countResponses(now clock.Time) int {
	n := 1
	for name := range m.listed {
		if name != m.opts.Self.GetName() && m.hasRecentResponse(m.peers[name], now) && m.upForTermAndMargin(m.peers[name]) {
			n++
		}
	}
	return n
}

// upForTermAndMargin reports whether the peer had been running for a term and the margin when it sent its last response.
func (m *Membership) upForTermAndMargin(p *peer) bool {
	return time.Duration(p.response.GetUptimeMs())*time.Millisecond >= m.opts.Term+m.opts.Margin
}

// hasRecentResponse reports whether the peer responded to a heartbeat that was sent within the term.
func (m *Membership) hasRecentResponse(p *peer, now clock.Time) bool {
	return p != nil && p.response != nil && now.Sub(p.requestSentAt) < m.opts.Term
}

// ConfirmedSilent reports whether a majority of the listed nodes, this one included, has had no contact with the named node
// for a term and the margin. Any majority that could give the named node the right to serve has a member in common with
// this one, and the last response that the named node got from that member has expired. A node that doesn't report an age
// for the named node isn't counted: its previous incarnation may have responded to it. The result holds for the time of
// the heartbeat responses. The named node may regain contact afterwards, so a target that is taken over stays in doubt.
func (m *Membership) ConfirmedSilent(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmedSilent(name, m.clk.Now())
}

func (m *Membership) confirmedSilent(name string, now clock.Time) bool {
	self := m.opts.Self.GetName()
	if name == self || !m.listKnown {
		return false
	}
	limit := m.opts.Term + m.opts.Margin
	confirmed := 0
	if age, known := m.silentFor(name, now); known && age >= limit {
		confirmed++
	}
	for other := range m.listed {
		p := m.peers[other]
		if other == self || other == name || !m.hasRecentResponse(p, now) {
			continue
		}
		for _, age := range p.response.GetPeers() {
			if age.GetName() == name && time.Duration(age.GetAgeMs())*time.Millisecond >= limit {
				confirmed++
				break
			}
		}
	}
	return confirmed >= m.majoritySize()
}

// PlatformReachable reports whether a renewal write or an accepted read of the node list succeeded that started within the
// term.
func (m *Membership) PlatformReachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hadPlatformContact && m.clk.Now().Sub(m.platformContactAt) < m.opts.Term
}

// ListCurrentAt returns the latest time at which the list of nodes is known to have been current: a node that is absent from
// Nodes had no record then. It returns false if the list was never known to be current.
func (m *Membership) ListCurrentAt() (clock.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listCurrentAt, m.listEverCurrent
}

// Nodes returns the listed nodes sorted by name, this node included if it is listed.
func (m *Membership) Nodes() []NodeInfo {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clk.Now()
	nodes := make([]NodeInfo, 0, len(m.listed))
	for name, r := range m.listed {
		info := NodeInfo{Record: cloneNode(r.node), LeaseLapsed: m.leaseLapsed(r, now)}
		info.ContactAge, _ = m.silentFor(name, now)
		if p := m.peers[name]; p != nil {
			info.Status = p.status
			info.Live = info.ContactAge < m.opts.Term && p.status.GetIncarnation() == r.node.GetIncarnation()
		}
		if name == m.opts.Self.GetName() {
			info.Live, info.ContactAge, info.LeaseLapsed = true, 0, false
		}
		nodes = append(nodes, info)
	}
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Record.GetName() < nodes[j].Record.GetName() })
	return nodes
}

// PeerAddress returns the peer address of a listed node.
func (m *Membership) PeerAddress(name string) (address string, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.listed[name]
	if !ok {
		return "", false
	}
	return r.node.GetPeerAddress(), true
}

// LeaseEnded reports whether the platform lease of one incarnation of a node has ended: its record was replaced by another
// incarnation, has lapsed, or is absent. The list may be older than the record, so absence counts only once current lists
// were read without interruption for a term and the margin since the first call that found the node absent.
func (m *Membership) LeaseEnded(name, incarnation string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clk.Now()
	if !m.listIsCurrent(now) {
		return false
	}
	if r := m.listed[name]; r != nil {
		return r.node.GetIncarnation() != incarnation || m.leaseLapsed(r, now)
	}
	since, known := m.unlistedSince[name]
	if !known {
		m.unlistedSince[name] = now
		return false
	}
	return clock.LeaseLapsed(max(since, m.listCurrentSince), m.listCurrentAt, m.opts.Term, m.opts.Margin)
}

// leaseTerm returns the lease term that the record states, or the term of this node if it states none.
func (m *Membership) leaseTerm(r *record) time.Duration {
	if ms := r.node.GetLeaseTermMs(); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return m.opts.Term
}

// listIsCurrent reports whether the list of nodes is known to have been current at a time within the last term. An older list
// is no evidence of the present state.
func (m *Membership) listIsCurrent(now clock.Time) bool {
	return m.listEverCurrent && now.Sub(m.listCurrentAt) < m.opts.Term
}

// unchangedFor returns for how long a record is known to be unchanged, based on an uninterrupted sequence of current lists. A
// list shows the state at this node's last renewal or later, so the time ends at the sending of that renewal.
func (m *Membership) unchangedFor(r *record, now clock.Time) time.Duration {
	if !m.listIsCurrent(now) {
		return 0
	}
	return m.listCurrentAt.Sub(max(r.firstReadAt, m.listCurrentSince))
}

// leaseLapsed reports whether a record is known to be unchanged for its lease term and the margin.
func (m *Membership) leaseLapsed(r *record, now clock.Time) bool {
	return m.unchangedFor(r, now) >= m.leaseTerm(r)+m.opts.Margin
}
