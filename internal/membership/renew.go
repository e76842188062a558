package membership

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// cycle renews the lease, reads the list of nodes and removes records of dead nodes.
//
// The list is read once per renew interval. A watch would cost more calls: every node's renewal is an event, so with n
// nodes a watch returns about n times per renew interval.
func (m *Membership) renewalCycle(ctx context.Context) {
	m.cycleMu.Lock()
	defer m.cycleMu.Unlock()
	m.mu.Lock()
	stopped := m.left || m.supersededBy != ""
	m.mu.Unlock()
	if stopped {
		return
	}
	if err := m.renew(ctx); err != nil {
		m.countRenewal(ctx, "failed")
		m.opts.Log.WithError(err).Warn("lease renewal failed")
	} else {
		m.countRenewal(ctx, "ok")
	}
	if err := m.readNodes(ctx); err != nil {
		m.opts.Log.WithError(err).Warn("reading the list of nodes failed")
		return
	}
	m.removeExpiredRecords(ctx)
}

// renew writes the own record and counts the lease from before the write.
func (m *Membership) renew(ctx context.Context) error {
	status := m.status()
	renewal := clock.StartRenewal(m.clk)
	version, err := m.writeOwnRecord(ctx, status)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.lastRenewalVersion, m.lastRenewalSent = version, renewal.Sent()
	m.platformContactAt, m.hadPlatformContact = renewal.Sent(), true
	m.mu.Unlock()
	if m.opts.AfterRenew != nil {
		if err := m.opts.AfterRenew(ctx, version); err != nil {
			return fmt.Errorf("after renewal %d: %w", version, err)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changeBases(func() { m.lease = renewal.Lease(m.opts.Term) })
	return nil
}

// writeOwnRecord creates or updates the own record. Each update names the version that this process wrote last, so a process
// whose record was replaced can't renew any more.
func (m *Membership) writeOwnRecord(ctx context.Context, status *schema.NodeStatus) (uint64, error) {
	self := cloneNode(m.opts.Self)
	self.State = status.GetState()
	self.ConfigRevision = status.GetConfigRevision()
	self.LeaseTermMs = m.opts.Term.Milliseconds()
	self.Nonce = uuid.NewString()
	data, err := platform.Encode(self)
	if err != nil {
		return 0, err
	}
	if m.expectedVersion == 0 {
		if m.expectedVersion, _, err = m.findOwnRecord(ctx); err != nil {
			return 0, err
		}
	}
	var version uint64
	if m.expectedVersion == 0 {
		version, err = m.opts.Platform.Create(ctx, Kind, self.Name, data)
	} else {
		version, err = m.opts.Platform.Update(ctx, Kind, self.Name, m.expectedVersion, data)
	}
	switch {
	case err == nil:
		m.expectedVersion = version
	case !errors.Is(err, platform.ErrUnavailable):
		// The record may have changed: read its version first next time.
		m.expectedVersion = 0
	}
	return version, err
}

// findOwnRecord returns the version of the record under the own name, 0 if there is none, and whether this process wrote it. A record of another incarnation is an older one
// when this process has not written yet, and is then replaced. Otherwise a newer process has taken the name.
func (m *Membership) findOwnRecord(ctx context.Context) (version uint64, own bool, err error) {
	name := m.opts.Self.GetName()
	object, err := m.opts.Platform.Get(ctx, Kind, name)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	var stored schema.Node
	if err := platform.Decode(object.Data, &stored); err != nil {
		return 0, false, fmt.Errorf("record of node %q: %w", name, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	own = stored.GetIncarnation() == m.opts.Self.GetIncarnation()
	if !own && m.lastRenewalVersion != 0 && object.Version > m.lastRenewalVersion {
		m.supersededBy = stored.GetIncarnation()
		return 0, false, fmt.Errorf("node %q: %w", name, ErrReplaced)
	}
	return object.Version, own, nil
}

// readNodes reads the list of nodes. The list counts only if it shows this node's last renewal: it is then at least as
// new as that renewal, and a stale answer can't make a live node look dead.
func (m *Membership) readNodes(ctx context.Context) error {
	sent := m.clk.Now()
	objects, _, err := m.opts.Platform.List(ctx, Kind)
	if err != nil {
		return err
	}
	found := make(map[string]*record, len(objects))
	for _, o := range objects {
		node := &schema.Node{}
		if err := platform.Decode(o.Data, node); err != nil {
			return fmt.Errorf("record of node %q: %w", o.Name, err)
		}
		found[o.Name] = &record{node: node, version: o.Version}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.applyList(found, sent)
}

// applyList takes over a list that was requested at sent. The caller holds mu.
func (m *Membership) applyList(found map[string]*record, sent clock.Time) error {
	own := found[m.opts.Self.GetName()]
	if m.lastRenewalVersion != 0 && (own == nil || own.version < m.lastRenewalVersion) {
		if own == nil {
			m.expectedVersion = 0 // The record was removed, or the list is stale; the next renewal finds out.
		}
		return fmt.Errorf("list of nodes lacks the own record of version %d", m.lastRenewalVersion)
	}
	now := m.clk.Now()
	for name, r := range found {
		r.firstSeenAt = now
		if old := m.listed[name]; old != nil && old.version == r.version {
			r.firstSeenAt = old.firstSeenAt
		}
		delete(m.unlistedSince, name)
	}
	m.changeBases(func() { m.listed, m.listKnown = found, true })
	for name, p := range m.peers {
		if found[name] == nil && now.Sub(p.lastContactAt) > m.opts.Term+m.opts.Margin {
			delete(m.peers, name)
		}
	}
	if m.lastRenewalVersion == 0 {
		return nil // Not proved to be current, but good enough to know whom to send heartbeats.
	}
	m.platformContactAt, m.hadPlatformContact = sent, true
	// After a gap the silence of the others starts anew: they may have been unable to renew for the same cause. A gap below
	// term - renew is tolerated. A live node's last renewal before it is then less than a term old when the gap ends.
	if !m.listEverCurrent || m.lastRenewalSent.Sub(m.listCurrentAt) > m.opts.Term-m.opts.Renew {
		m.listCurrentSince, m.listEverCurrent = now, true
	}
	m.listCurrentAt = m.lastRenewalSent
	return nil
}

// removeExpiredRecords deletes the records of nodes that are dead for long. The node must have been silent towards the platform for
// its whole term and ForgetAfter. Unless a majority confirms that it did not hear it either, it may be serving through a
// majority that excludes us, so its record then stays until that basis has ended, after MaxOutage. The delete is
// conditional, so it fails if the node renews meanwhile.
func (m *Membership) removeExpiredRecords(ctx context.Context) {
	for _, rec := range m.expiredRecords() {
		err := m.opts.Platform.Delete(ctx, Kind, rec.node.GetName(), rec.version)
		log := m.opts.Log.WithField("node", rec.node.GetName())
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			log.WithError(err).Warn("removing the record of a dead node failed")
			continue
		}
		log.Info("removed the record of a dead node")
	}
}

func (m *Membership) expiredRecords() []*record {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clk.Now()
	var expired []*record
	for name, r := range m.listed {
		if name == m.opts.Self.GetName() || !m.listIsCurrent(now) {
			continue
		}
		lapseTime := m.leaseTerm(r) + m.opts.Margin
		confirmedStopped := m.unchangedFor(r, now) >= lapseTime+m.opts.ForgetAfter && m.confirmedSilent(name, now)
		// An equal version proves that there was no renewal, whatever reads failed in between.
		if confirmedStopped || m.listCurrentAt.Sub(r.firstSeenAt) >= lapseTime+m.opts.MaxOutage {
			expired = append(expired, r)
		}
	}
	return expired
}

// Leave gives up the right to serve and deletes the own record. The caller has stopped dispatching before.
func (m *Membership) Leave(ctx context.Context) error {
	m.mu.Lock()
	m.left = true
	m.mu.Unlock()
	m.cycleMu.Lock()
	defer m.cycleMu.Unlock()
	name := m.opts.Self.GetName()
	version, own, err := m.expectedVersion, true, error(nil)
	for attempt := 0; attempt < 2; attempt++ {
		if version == 0 {
			if version, own, err = m.findOwnRecord(ctx); err != nil {
				return fmt.Errorf("leave: %w", err)
			}
		}
		if version == 0 || !own {
			return nil
		}
		err = m.opts.Platform.Delete(ctx, Kind, name, version)
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			return nil
		}
		version = 0 // A renewal with a lost reply may have taken effect.
	}
	return fmt.Errorf("leave: %w", err)
}
