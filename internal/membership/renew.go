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

// renewalCycle renews the lease, reads the list of nodes and removes expired node records.
//
// The list is read once per renew interval. A watch would need more calls: every node's renewal is an event, so with n
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

// renew writes this node's record. If that and AfterRenew succeed, it extends the lease, which starts before the write.
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
			return fmt.Errorf("AfterRenew for record version %d: %w", version, err)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changeBases(func() { m.lease = renewal.Lease(m.opts.Term) })
	return nil
}

// writeOwnRecord creates or updates this node's record and returns its new version. Each update is conditional on the
// version that this process wrote or read last, so a process whose record was overwritten by another process can't renew.
func (m *Membership) writeOwnRecord(ctx context.Context, status *schema.NodeStatus) (uint64, error) {
	self := cloneNode(m.opts.Self)
	self.State = status.GetState()
	self.ConfigRevision = status.GetConfigRevision()
	self.LeaseTermMs = m.opts.Term.Milliseconds()
	self.Nonce = uuid.NewString()
	self.StoreEra = m.opts.Era()
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
		// The record may have changed, so its version must be read before the next write.
		m.expectedVersion = 0
	}
	return version, err
}

// findOwnRecord returns the version of the record with this node's name, 0 if there is none, and whether this process wrote
// it. A record of another incarnation is taken to be an older process's as long as this process has not written one; the
// next write then replaces it. If it is newer than the last write of this process, findOwnRecord returns ErrReplaced. A record
// of a former era is no newer one: a restore of the store has brought it back.
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
		// It is no newer process's record, so the next write replaces it.
		m.opts.Log.WithError(err).WithField("node", name).Warning("the record of this node can't be decoded")
		return object.Version, false, nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	own = stored.GetIncarnation() == m.opts.Self.GetIncarnation()
	restored := stored.GetStoreEra() < platform.EraOf(object.Version)
	if !own && !restored && m.lastRenewalVersion != 0 && object.Version > m.lastRenewalVersion {
		m.supersededBy = stored.GetIncarnation()
		return 0, false, fmt.Errorf("node %q: %w", name, ErrReplaced)
	}
	return object.Version, own, nil
}

// readNodes reads the list of nodes. The list is accepted only if it contains this node's last renewal and is therefore at
// least as new as that renewal. With a stale list, the lease of a live node could appear to have lapsed.
func (m *Membership) readNodes(ctx context.Context) error {
	sent := m.clk.Now()
	objects, version, err := m.opts.Platform.List(ctx, Kind)
	if err != nil {
		return err
	}
	found := make(map[string]*record, len(objects))
	var unreadable []string
	for _, o := range objects {
		node := &schema.Node{}
		if err := platform.Decode(o.Data, node); err != nil {
			m.opts.Log.WithError(err).WithField("node", o.Name).Warning("the record of a node can't be decoded")
			unreadable = append(unreadable, o.Name)
			continue
		}
		found[o.Name] = &record{node: node, version: o.Version}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range unreadable {
		if known := m.listed[name]; known != nil {
			found[name] = known // The node's lease lasts until it lapses.
		}
	}
	return m.applyList(found, platform.EraOf(version), sent)
}

// applyList replaces the list of nodes by one that was requested at sent and read in an era of the store. It returns an error if the list doesn't contain
// this node's last renewal. The caller holds mu.
func (m *Membership) applyList(found map[string]*record, era uint64, sent clock.Time) error {
	own := found[m.opts.Self.GetName()]
	if m.lastRenewalVersion != 0 && (own == nil || own.version < m.lastRenewalVersion) {
		if own == nil {
			m.expectedVersion = 0 // The record was removed, or the list is stale. The next renewal reads the record again.
		}
		return fmt.Errorf("list of nodes doesn't contain this node's record of version %d or later", m.lastRenewalVersion)
	}
	now := m.clk.Now()
	for name, r := range found {
		r.firstReadAt = now
		if old := m.listed[name]; old != nil && old.version == r.version {
			r.firstReadAt = old.firstReadAt
		}
		delete(m.unlistedSince, name)
	}
	m.keepRecordsBeforeRestore(found, era, now)
	m.changeBases(func() { m.listed, m.listKnown = found, true })
	for name, p := range m.peers {
		if found[name] == nil && now.Sub(p.lastContactAt) > m.opts.Term+m.opts.Margin {
			delete(m.peers, name)
		}
	}
	if m.lastRenewalVersion == 0 {
		return nil // The list isn't known to be current, but it gives the peer addresses for heartbeats.
	}
	m.platformContactAt, m.hadPlatformContact = sent, true
	// After a gap between current lists, the time without a renewal is measured anew for all nodes: they may have been unable
	// to renew for the same reason. A gap of at most term - renew is tolerated, because a live node's last renewal before it
	// is then at most a term old when the gap ends.
	if !m.listEverCurrent || m.lastRenewalSent.Sub(m.listCurrentAt) > m.opts.Term-m.opts.Renew {
		m.listCurrentSince, m.listEverCurrent = now, true
	}
	m.listCurrentAt = m.lastRenewalSent
	return nil
}

// keepRecordsBeforeRestore adds to a list the records that were known before a restore of the store and that their nodes haven't
// written again, until they had a term and the margin for that. With the records of the copy alone, a majority could be counted
// that has no node in common with a majority of before, and a running process could count as ended. The caller holds mu.
func (m *Membership) keepRecordsBeforeRestore(found map[string]*record, era uint64, now clock.Time) {
	if era > m.listEra && m.listKnown {
		m.beforeRestore, m.restoredAt = map[string]*record{}, now
		for name, r := range m.listed {
			if name != m.opts.Self.GetName() {
				m.beforeRestore[name] = &record{node: r.node, version: r.version, firstReadAt: now}
			}
		}
	}
	m.listEra = era
	if now.Sub(m.restoredAt) >= m.opts.Term+m.opts.Margin {
		m.beforeRestore = nil
	}
	for name, r := range m.beforeRestore {
		if listed := found[name]; listed != nil && listed.node.GetStoreEra() >= era {
			delete(m.beforeRestore, name)
			continue
		}
		found[name] = r
	}
}

// removeExpiredRecords deletes the records of nodes that have not renewed for long. If a majority confirms that the node is
// silent, its record is deleted once it was unchanged for its term, the margin and ForgetAfter. Otherwise the node may
// still be serving on the basis of a majority without this node, so the record stays until that basis has ended, which is
// after its term, the margin and MaxOutage. The delete is conditional on the version, so it fails if the node renews in
// the meantime.
func (m *Membership) removeExpiredRecords(ctx context.Context) {
	for _, rec := range m.expiredRecords() {
		err := m.opts.Platform.Delete(ctx, Kind, rec.node.GetName(), rec.version)
		log := m.opts.Log.WithField("node", rec.node.GetName())
		if err != nil && !errors.Is(err, platform.ErrNotFound) {
			log.WithError(err).Warn("failed to remove an expired node record")
			continue
		}
		log.Info("removed an expired node record")
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
		// An unchanged version proves that there was no renewal, even if reads failed in between.
		if confirmedStopped || m.listCurrentAt.Sub(r.firstReadAt) >= lapseTime+m.opts.MaxOutage {
			expired = append(expired, r)
		}
	}
	return expired
}

// Leave ends the right to serve and deletes this node's record. The caller must have stopped dispatching requests.
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
				return fmt.Errorf("leave: read own record: %w", err)
			}
		}
		if version == 0 || !own {
			return nil
		}
		err = m.opts.Platform.Delete(ctx, Kind, name, version)
		if err == nil || errors.Is(err, platform.ErrNotFound) {
			return nil
		}
		version = 0 // The version may be outdated: a renewal whose reply was lost may have taken effect.
	}
	return fmt.Errorf("leave: delete own record: %w", err)
}
