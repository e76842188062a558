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

	"cassiadeal.example/cassiadeal/internal/schema"
)

// follow keeps the tables current by one watch.
func (h *Holders) follow(ctx context.Context) {
	since := uint64(0)
	for ctx.Err() == nil {
		err := h.followOnce(ctx, &since)
		if err == nil {
			continue
		}
		since = 0
		select {
		case <-ctx.Done():
		case <-time.After(h.o.Interval + rand.N(h.o.Interval)):
		}
	}
}

func (h *Holders) followOnce(ctx context.Context, since *uint64) error {
	if *since == 0 {
		if err := h.Reread(ctx); err != nil {
			return err
		}
		h.mu.Lock()
		*since = h.readVer
		h.mu.Unlock()
	}
	events, v, err := h.o.Platform.Watch(ctx, Kind, *since, watchWait)
	if err != nil {
		return eris.Wrapf(err, "watch %s since %d", Kind, *since)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			h.applyLocked(e.Object.Name, table{version: e.Object.Version})
		} else if err := h.applyObjectLocked(e.Object); err != nil {
			return err
		}
	}
	*since = max(v, *since)
	return nil
}

// Reread reads all tables and drops what this node has lost. It fails on a read that is older than an earlier one.
func (h *Holders) Reread(ctx context.Context) error {
	// Only versions known before the read prove it stale: a write of this node may finish while it is under way.
	known := h.knownVersion()
	objects, v, err := h.o.Platform.List(ctx, Kind)
	if err != nil {
		return eris.Wrapf(err, "list %s", Kind)
	}
	if v < known {
		return eris.Errorf("list of %s is stale: version %d after %d", Kind, v, known)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range objects {
		if err := h.applyObjectLocked(o); err != nil {
			return err
		}
	}
	h.readVer, h.stale, h.rightAt = max(v, h.readVer), false, h.o.Now()
	return nil
}

func (h *Holders) knownVersion() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	v := h.readVer
	for _, t := range h.tables {
		v = max(v, t.version)
	}
	return v
}

func decode(o Object) (*schema.HolderTable, error) {
	t := &schema.HolderTable{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(o.Data, t); err != nil {
		return nil, eris.Wrapf(err, "holder table %q version %d", o.Name, o.Version)
	}
	return t, nil
}

func (h *Holders) applyObjectLocked(o Object) error {
	t, err := decode(o)
	if err != nil {
		return err
	}
	next := table{version: o.Version, entries: make(map[string]Entry, len(t.Holders))}
	for id, e := range t.Holders {
		next.entries[id] = Entry{Identity{e.Node, e.Incarnation}, e.Epoch}
	}
	h.applyLocked(o.Name, next)
	return nil
}

// applyLocked adopts a table unless a later version is known.
func (h *Holders) applyLocked(domain string, next table) {
	old := h.tables[domain]
	if next.version <= old.version {
		return
	}
	now := h.o.Now()
	for id := range old.entries {
		if _, ok := next.entries[id]; !ok {
			delete(h.byTarget, id)
			delete(h.changed, id)
		}
	}
	for id, e := range next.entries {
		if h.byTarget[id] != e {
			h.changed[id] = now
		}
		h.byTarget[id] = e
	}
	h.tables[domain] = next
	for id, t := range h.takeovers {
		if t.Target.FailureDomain == domain && next.entries[id].Epoch > t.TableEpoch {
			delete(h.takeovers, id)
		}
	}
	for id, d := range h.doubts {
		e, ok := next.entries[id]
		if !ok {
			continue
		}
		switch {
		case e.Epoch > d.epoch || e.Epoch == d.epoch && e.Identity != h.o.Self:
			delete(h.doubts, id) // Another node got the target first.
		case e.Epoch == d.epoch && d.until == 0:
			d.until = now + h.o.Term + h.o.Margin
			h.doubts[id] = d
		}
	}
}

func entryOf(e *schema.Holder) Entry {
	return Entry{Identity{e.GetNode(), e.GetIncarnation()}, e.GetEpoch()}
}

// change applies mutate to the current table of a failure domain by conditional writes. mutate returns false if there
// is nothing to write; it is called again after a conflict.
func (h *Holders) change(ctx context.Context, domain string, mutate func(*schema.HolderTable) bool) error {
	h.write.Lock()
	defer h.write.Unlock()
	var last error
	for attempt := range maxAttempts {
		if attempt > 0 {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(rand.N(maxRetryJitter)):
			}
		}
		done, err := h.changeOnce(ctx, domain, mutate)
		if done {
			return err
		}
		last = err
	}
	return eris.Wrapf(last, "holder table %q: %d attempts", domain, maxAttempts)
}

// changeOnce makes one attempt; done is false if another one is worthwhile.
func (h *Holders) changeOnce(ctx context.Context, domain string, mutate func(*schema.HolderTable) bool) (bool, error) {
	o, err := h.o.Platform.Get(ctx, Kind, domain)
	missing := errors.Is(err, ErrNotFound)
	if err != nil && !missing {
		return true, eris.Wrapf(err, "read holder table %q", domain)
	}
	t := &schema.HolderTable{FailureDomain: domain}
	if !missing {
		if t, err = decode(o); err != nil {
			return true, err
		}
		h.adopt(o)
	}
	if t.Holders == nil {
		t.Holders = map[string]*schema.Holder{}
	}
	if !mutate(t) {
		return true, nil
	}
	t.Nonce = uuid.NewString()
	if o.Data, err = protojson.Marshal(t); err != nil {
		return true, eris.Wrapf(err, "encode holder table %q", domain)
	}
	if !h.o.Members.RightToServe() {
		return true, fmt.Errorf("holder table %q: no right to serve", domain)
	}
	var written Object
	if missing {
		written, err = h.o.Platform.Create(ctx, Kind, domain, o.Data)
	} else {
		o.Kind, o.Name = Kind, domain
		written, err = h.o.Platform.Update(ctx, o)
	}
	if errors.Is(err, ErrOutcomeUnknown) {
		written, err = h.settle(ctx, domain, t)
	}
	switch {
	case err == nil:
		written.Name, written.Data = domain, o.Data
		h.adopt(written)
		return true, nil
	case errors.Is(err, ErrConflict):
		return false, err
	}
	return true, eris.Wrapf(err, "write holder table %q", domain)
}

// settle reads a table back after a lost reply and compares the nonce.
func (h *Holders) settle(ctx context.Context, domain string, t *schema.HolderTable) (Object, error) {
	o, err := h.o.Platform.Get(ctx, Kind, domain)
	if errors.Is(err, ErrNotFound) {
		return o, ErrConflict
	}
	if err != nil {
		return o, err
	}
	now, err := decode(o)
	if err != nil {
		return o, err
	}
	h.adopt(o)
	if now.Nonce != t.Nonce || !proto.Equal(now, t) {
		return o, ErrConflict
	}
	return o, nil
}

func (h *Holders) adopt(o Object) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.applyObjectLocked(o); err != nil {
		h.o.Log.WithError(err).Error("holder table is not readable")
	}
}
