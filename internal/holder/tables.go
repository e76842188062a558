package holder

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// watchTables keeps the copy of the tables up to date by a watch. After an error it lists all tables again.
func (h *Holders) watchTables(ctx context.Context) {
	since := uint64(0)
	for ctx.Err() == nil {
		err := h.watchOnce(ctx, &since)
		if err == nil {
			continue
		}
		since = 0
		select {
		case <-ctx.Done():
		case <-time.After(h.opts.Interval + rand.N(h.opts.Interval)):
		}
	}
}

// watchOnce applies the result of one watch request from version since on. If since is zero, it first reads all tables.
func (h *Holders) watchOnce(ctx context.Context, since *uint64) error {
	if *since == 0 {
		if err := h.Reread(ctx); err != nil {
			return err
		}
		h.mu.Lock()
		*since = h.listVersion
		h.mu.Unlock()
	}
	events, version, err := h.opts.Platform.Watch(ctx, Kind, *since, watchTimeout)
	if err != nil {
		return eris.Wrapf(err, "watch %s since %d", Kind, *since)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			h.applyTableLocked(e.Object.Name, table{version: e.Object.Version})
		} else {
			h.applyObjectLocked(e.Object)
		}
	}
	*since = max(version, *since)
	return nil
}

// Reread reads all tables, after which this node no longer holds the targets that it has lost. It returns an error if the
// result is older than a version that was already known when the read started.
func (h *Holders) Reread(ctx context.Context) error {
	// Only versions known before the read prove that it is stale, because a write of this node may finish during the read.
	known, started, announced := h.knownVersion(), h.opts.Now(), h.takeoversByTarget()
	objects, version, err := h.opts.Platform.List(ctx, Kind)
	if err != nil {
		return eris.Wrapf(err, "list %s", Kind)
	}
	if version < known {
		return eris.Errorf("list of %s is stale: version %d, but version %d is known", Kind, version, known)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	unwritten := len(h.takeovers)
	listed := map[string]bool{}
	for _, o := range objects {
		listed[o.Name] = true
		h.applyObjectLocked(o)
	}
	for domain, t := range h.tables {
		if !listed[domain] && platform.EraOf(t.version) < platform.EraOf(version) {
			h.applyTableLocked(domain, table{version: version}) // A restore has taken the whole table.
		}
	}
	h.noteEraLocked(version)
	h.rebaseTakeoversLocked(announced)
	h.tablesReadAt = started
	if len(h.takeovers) > unwritten && h.opts.OnTakeover != nil {
		h.opts.OnTakeover()
	}
	h.listVersion, h.needsReread, h.rightConfirmedAt = max(version, h.listVersion), false, h.opts.Now()
	return nil
}

// knownVersion returns the highest version of the tables that this node has read or written.
func (h *Holders) knownVersion() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	version := h.listVersion
	for _, t := range h.tables {
		version = max(version, t.version)
	}
	return version
}

func decode(o Object) (*schema.HolderTable, error) {
	t := &schema.HolderTable{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(o.Data, t); err != nil {
		return nil, eris.Wrapf(err, "decode holder table %q at version %d", o.Name, o.Version)
	}
	return t, nil
}

// applyObjectLocked decodes a table and replaces this node's copy with it unless a later version is known. If it can't be decoded, the
// copy stays as it is: no node can change such a table, so the holders that it named stay the only ones.
func (h *Holders) applyObjectLocked(o Object) {
	t, err := decode(o)
	if err != nil {
		h.opts.Log.WithError(err).WithField("failure_domain", o.Name).Warn("a holder table can't be decoded")
		return
	}
	next := table{version: o.Version, entries: make(map[string]Entry, len(t.Holders))}
	for id, e := range t.Holders {
		next.entries[id] = Entry{Identity{e.Node, e.Incarnation}, e.Epoch}
	}
	h.applyTableLocked(o.Name, next)
}

// applyTableLocked replaces this node's copy of a table unless it already has this version or a later one. It drops
// takeovers and doubts that the table supersedes.
func (h *Holders) applyTableLocked(domain string, next table) {
	old := h.tables[domain]
	if next.version <= old.version {
		return
	}
	h.noteEraLocked(next.version)
	if known := h.entriesOfFormerEraLocked(domain, next); known != nil {
		holds := h.holdsLocked(known, next)
		defer h.reviseAfterRestoreLocked(domain, known, holds, next)
	}
	now := h.opts.Now()
	for id := range old.entries {
		if _, ok := next.entries[id]; !ok {
			delete(h.tableEntries, id)
			delete(h.entryChangedAt, id)
		}
	}
	for id, entry := range next.entries {
		if h.tableEntries[id] != entry {
			h.entryChangedAt[id] = now
		}
		h.tableEntries[id] = entry
	}
	h.tables[domain] = next
	for id, takeover := range h.takeovers {
		if takeover.Target.FailureDomain == domain && next.entries[id].Epoch > takeover.TableEpoch {
			delete(h.takeovers, id)
		}
	}
	for id, doubt := range h.inDoubt {
		entry, ok := next.entries[id]
		if !ok {
			continue
		}
		switch {
		case entry.Epoch > doubt.epoch || entry.Epoch == doubt.epoch && entry.Identity != h.opts.Self:
			delete(h.inDoubt, id) // Another node became the holder.
		case entry.Epoch == doubt.epoch && doubt.until == 0:
			doubt.until = now + h.opts.Term + h.opts.Margin
			h.inDoubt[id] = doubt
		}
	}
}

func entryOf(e *schema.Holder) Entry {
	return Entry{Identity{e.GetNode(), e.GetIncarnation()}, e.GetEpoch()}
}

// errUnwritten means that an update of a table has failed, and that none of its writes may still take effect.
var errUnwritten = errors.New("nothing was written")

// updateTable applies mutate to the current table of a failure domain by conditional writes. mutate returns false if there
// is nothing to write. It is called again after a conflicting write of another node. The error is errUnwritten if no write was sent, or all
// that were sent conflicted with others or were turned away.
func (h *Holders) updateTable(ctx context.Context, domain string, mutate func(*schema.HolderTable) bool) error {
	h.writeMu.Lock()
	defer h.writeMu.Unlock()
	mayApply := false
	failure := func(err error) error {
		if err == nil || mayApply {
			return err
		}
		return fmt.Errorf("%w: %w", errUnwritten, err)
	}
	var lastErr error
	for attempt := range maxWriteAttempts {
		if attempt > 0 {
			select {
			case <-ctx.Done():
				return failure(ctx.Err())
			case <-time.After(rand.N(maxRetryJitter)):
			}
		}
		done, err := h.tryUpdateTable(ctx, domain, mutate, &mayApply)
		if done {
			return failure(err)
		}
		lastErr = err
	}
	return failure(eris.Wrapf(lastErr, "update holder table %q: %d attempts conflicted with other writes", domain, maxWriteAttempts))
}

// tryUpdateTable makes one attempt of updateTable. It returns false if the write conflicted and should be tried again. It sets mayApply if
// a write was sent that may still take effect.
func (h *Holders) tryUpdateTable(ctx context.Context, domain string, mutate func(*schema.HolderTable) bool, mayApply *bool) (bool, error) {
	object, err := h.opts.Platform.Get(ctx, Kind, domain)
	missing := errors.Is(err, ErrNotFound)
	if err != nil && !missing {
		return true, eris.Wrapf(err, "read holder table %q", domain)
	}
	table := &schema.HolderTable{FailureDomain: domain}
	if !missing {
		if table, err = decode(object); err != nil {
			return true, err
		}
		h.applyObject(object)
	}
	if table.Holders == nil {
		table.Holders = map[string]*schema.Holder{}
	}
	if !mutate(table) {
		return true, nil
	}
	table.Nonce = uuid.NewString()
	if object.Data, err = protojson.Marshal(table); err != nil {
		return true, eris.Wrapf(err, "encode holder table %q", domain)
	}
	if !h.opts.Members.RightToServe() {
		return true, fmt.Errorf("update holder table %q: no right to serve", domain)
	}
	var written Object
	if missing {
		written, err = h.opts.Platform.Create(ctx, Kind, domain, object.Data)
	} else {
		object.Kind, object.Name = Kind, domain
		written, err = h.opts.Platform.Update(ctx, object)
	}
	*mayApply = *mayApply || err != nil && !errors.Is(err, ErrConflict) && !errors.Is(err, ErrUnavailable)
	if errors.Is(err, ErrOutcomeUnknown) {
		written, err = h.resolveUnknownWrite(ctx, domain, table)
	}
	switch {
	case err == nil:
		written.Name, written.Data = domain, object.Data
		h.applyObject(written)
		return true, nil
	case errors.Is(err, ErrConflict):
		return false, err
	}
	return true, eris.Wrapf(err, "write holder table %q", domain)
}

// resolveUnknownWrite reads a table back after a write whose outcome is unknown. If the stored table is the written one, by
// its nonce and content, the write took effect. Otherwise it returns ErrConflict.
func (h *Holders) resolveUnknownWrite(ctx context.Context, domain string, written *schema.HolderTable) (Object, error) {
	o, err := h.opts.Platform.Get(ctx, Kind, domain)
	if errors.Is(err, ErrNotFound) {
		return o, ErrConflict
	}
	if err != nil {
		return o, err
	}
	stored, err := decode(o)
	if err != nil {
		return o, err
	}
	h.applyObject(o)
	if stored.Nonce != written.Nonce || !proto.Equal(stored, written) {
		return o, ErrConflict
	}
	return o, nil
}

// applyObject is applyObjectLocked for callers that don't hold mu.
func (h *Holders) applyObject(o Object) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyObjectLocked(o)
}
