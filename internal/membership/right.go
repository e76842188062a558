package membership

import (
	"fmt"
	"sort"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Right tells whether this node may take new work.
type Right struct {
	Serve bool
	// PlatformLease and Majority are the two bases. A majority counts only within MaxOutage of the last lease.
	PlatformLease, Majority bool
	// InDoubt is true unless both bases hold. A target that this node took over stays in doubt for longer, until the
	// holder table that this node wrote is one term and the margin old.
	InDoubt bool
	// Since is when the right to serve was last regained. What this node learned before may be outdated by then.
	Since  clock.Time
	Reason string
}

// NodeInfo is what is known about a listed node.
type NodeInfo struct {
	Record *schema.Node
	// Status is the last status that was heard; nil if none.
	Status *schema.NodeStatus
	// Live: heard within the term, in the incarnation that the record names.
	Live bool
	// LeaseLapsed: its record was unchanged for its term and the margin while the platform could be read.
	LeaseLapsed bool
	// HeardAge is the time since the node was last heard, or since our own start if it was not heard.
	HeardAge time.Duration
}

// Right computes the right to serve from the clock, so that a process that was paused sees at its next call that its
// bases have ended.
func (m *Membership) Right() Right {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rightAt(m.clk.Now())
}

// change applies f, which may give the right to serve, and notes when the right was regained. The caller holds mu.
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
		r.Reason = fmt.Sprintf("no platform lease and %d of %d needed answers", responses, needed)
	case !r.PlatformLease:
		r.Reason = "no platform lease"
	case !r.Majority:
		r.Reason = fmt.Sprintf("%d of %d needed answers", responses, needed)
	}
	return r
}

// withinMaxOutage tells whether the majority basis still counts. A process that never had a lease has no such basis: it
// doesn't know whether its list of nodes is current.
func (m *Membership) withinMaxOutage(now clock.Time) bool {
	return m.lease.Term > 0 && now.Sub(m.lease.Start) < m.opts.MaxOutage
}

// majority returns the number of nodes that make a majority of the listed ones and this node.
func (m *Membership) majoritySize() int {
	n := len(m.listed)
	if m.listed[m.opts.Self.GetName()] == nil {
		n++
	}
	return n/2 + 1
}

// answers counts this node and the listed nodes that answered a heartbeat sent within the term. A process that started less
// than a term and the margin before its answer doesn't count, because it may not have heard yet of takeovers without the
// platform that its previous incarnation knew of.
func (m *Membership) countResponses(now clock.Time) int {
	n := 1
	for name := range m.listed {
		if name != m.opts.Self.GetName() && m.hasRecentResponse(m.peers[name], now) && m.upForTermAndMargin(m.peers[name]) {
			n++
		}
	}
	return n
}

func (m *Membership) upForTermAndMargin(p *peer) bool {
	return time.Duration(p.response.GetUptimeMs())*time.Millisecond >= m.opts.Term+m.opts.Margin
}

func (m *Membership) hasRecentResponse(p *peer, now clock.Time) bool {
	return p != nil && p.response != nil && now.Sub(p.requestSentAt) < m.opts.Term
}

// ConfirmedSilent tells whether a majority of the listed nodes, this one included, has not heard the named node for a
// term and the margin. Any majority that could give the named node the right to serve has a member in common with this
// one, and the named node's last answer from that member has expired. A node that answers "unknown" doesn't count: it may
// have answered in its previous incarnation. The result describes the moment of the answers; the named node may return
// afterwards, which is why a taken-over target stays in doubt.
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

// PlatformReachable tells whether a platform call that started within the term succeeded.
func (m *Membership) PlatformReachable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hadPlatformContact && m.clk.Now().Sub(m.platformContactAt) < m.opts.Term
}

// ListedAt returns the time up to which the list of nodes is proved to be current: a node that is absent from Nodes had no
// record then. It returns false if the list was never proved.
func (m *Membership) ListedAt() (clock.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listCurrentAt, m.listEverCurrent
}

// Nodes returns the listed nodes by name, this node included.
func (m *Membership) Nodes() []NodeInfo {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clk.Now()
	nodes := make([]NodeInfo, 0, len(m.listed))
	for name, r := range m.listed {
		info := NodeInfo{Record: cloneNode(r.node), LeaseLapsed: m.leaseLapsed(r, now)}
		info.HeardAge, _ = m.silentFor(name, now)
		if p := m.peers[name]; p != nil {
			info.Status = p.status
			info.Live = info.HeardAge < m.opts.Term && p.status.GetIncarnation() == r.node.GetIncarnation()
		}
		if name == m.opts.Self.GetName() {
			info.Live, info.HeardAge, info.LeaseLapsed = true, 0, false
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

// LeaseEnded tells whether the platform lease of one incarnation of a node has ended: its record was replaced by another
// incarnation, has lapsed, or is absent. The list may be older than the record, so absence counts only after a term and
// the margin of proved lists, counted from the first call that found the node absent.
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

func (m *Membership) leaseTerm(r *record) time.Duration {
	if ms := r.node.GetLeaseTermMs(); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return m.opts.Term
}

// listIsCurrent tells whether the list was proved to be current within the term. Older proof says nothing about now.
func (m *Membership) listIsCurrent(now clock.Time) bool {
	return m.listEverCurrent && now.Sub(m.listCurrentAt) < m.opts.Term
}

// unchangedFor returns for how long a record is proved to be unchanged by an uninterrupted run of current lists. A list
// shows the state at the last own renewal or later, so the time counts up to the sending of that renewal only.
func (m *Membership) unchangedFor(r *record, now clock.Time) time.Duration {
	if !m.listIsCurrent(now) {
		return 0
	}
	return m.listCurrentAt.Sub(max(r.firstSeenAt, m.listCurrentSince))
}

func (m *Membership) leaseLapsed(r *record, now clock.Time) bool {
	return m.unchangedFor(r, now) >= m.leaseTerm(r)+m.opts.Margin
}
