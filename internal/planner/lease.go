// Package planner finds the one node that plans replica groups, and carries its plan out.
package planner

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/platform"
)

const (
	// LeaseTerm is the time for which a node plans after the sending of its last renewal, and leaseMargin what another node
	// waits beyond it. The time of one renewal call and its lost answer fit into the term.
	LeaseTerm   = 2 * time.Second
	leaseMargin = 500 * time.Millisecond
	renewEvery  = 700 * time.Millisecond
	leaseCall   = 600 * time.Millisecond
	// askEvery is the time between two looks at a lease whose holder isn't heard.
	askEvery = 400 * time.Millisecond

	leaseKind = "cassiadeal-planner"
	leaseName = "lease"
)

// leaseRecord is the lease as it is stored.
type leaseRecord struct {
	Node        string `json:"node"`
	Incarnation int64  `json:"incarnation"`
	Renewals    int64  `json:"renewals"` // Makes each renewal a change.
}

// Lease is one node's part in the choice of the planner. It is used by one goroutine.
type Lease struct {
	store      *platform.Store
	clock      clock.Clock
	log        logrus.FieldLogger
	self       leaseRecord
	held       bool
	term       int64 // Revision at which the lease was taken.
	revision   int64
	validUntil clock.Time
	sent       clock.Time // Last renewal.
	seen       int64      // Revision of another node's lease, and when it was first seen.
	seenAt     clock.Time
	asked      clock.Time
}

// NewLease returns a lease that isn't held.
func NewLease(store *platform.Store, c clock.Clock, log logrus.FieldLogger, node string, incarnation int64) *Lease {
	return &Lease{store: store, clock: c, log: log, self: leaseRecord{Node: node, Incarnation: incarnation}}
}

// Valid tells whether this node may plan now.
func (l *Lease) Valid() bool { return l.held && l.clock.Now() < l.validUntil }

// Term returns a number above that of every earlier holder.
func (l *Lease) Term() int64 { return l.term }

// Tend renews the lease or, if candidate is true, tries to take it. It returns true if this node has just become the planner.
func (l *Lease) Tend(ctx context.Context, candidate bool) bool {
	now := l.clock.Now()
	if l.held {
		if now.Sub(l.sent) >= renewEvery {
			l.renew(ctx, now)
		}
		if l.held && l.clock.Now() > l.validUntil {
			l.drop("the lease ran out without a renewal")
		}
		return false
	}
	if !candidate || l.asked != 0 && now.Sub(l.asked) < askEvery {
		return false
	}
	l.asked = now
	return l.take(ctx)
}

func (l *Lease) drop(reason string) {
	l.held = false
	l.seen = 0
	l.log.WithField("term", l.term).Warning("this node no longer plans groups: " + reason)
}

func (l *Lease) renew(ctx context.Context, now clock.Time) {
	l.sent = now
	ctx, cancel := context.WithTimeout(ctx, leaseCall)
	defer cancel()
	l.self.Renewals++
	o, err := l.store.Update(ctx, leaseKind, leaseName, l.revision, l.self)
	switch {
	case err == nil:
		l.revision, l.validUntil = o.Revision, now.Add(LeaseTerm)
	case errors.Is(err, platform.ErrConflict):
		l.reread(ctx)
	default:
		l.log.WithError(err).WithField("valid_ms", l.validUntil.Sub(now).Milliseconds()).Warning("the planner's lease could not be renewed")
	}
}

// reread resolves a conflict: a renewal whose answer was lost is this node's own.
func (l *Lease) reread(ctx context.Context) {
	o, record, err := l.read(ctx)
	if err != nil {
		l.log.WithError(err).Warning("the planner's lease could not be read")
		return
	}
	if record.Node != l.self.Node || record.Incarnation != l.self.Incarnation {
		l.drop("node " + record.Node + " holds the lease")
		return
	}
	l.revision = o.Revision
	l.sent = 0 // Renewed again at the next call; the term isn't longer for it.
}

func (l *Lease) read(ctx context.Context) (platform.Object, leaseRecord, error) {
	var record leaseRecord
	o, err := l.store.Get(ctx, leaseKind, leaseName)
	if err != nil {
		return o, record, err
	}
	return o, record, json.Unmarshal(o.Spec, &record)
}

// take takes the lease if nobody holds it, if an earlier process of this node held it, or if it has not been renewed for a
// term and the margin.
func (l *Lease) take(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*leaseCall)
	defer cancel()
	o, record, err := l.read(ctx)
	sent := l.clock.Now()
	l.self.Renewals++
	switch {
	case errors.Is(err, platform.ErrNotFound):
		o, err = l.store.Create(ctx, leaseKind, leaseName, l.self)
	case err != nil:
		l.log.WithError(err).Info("the planner's lease could not be read")
		return false
	case record.Node == l.self.Node, o.Revision == l.seen && sent.Sub(l.seenAt) > LeaseTerm+leaseMargin:
		o, err = l.store.Update(ctx, leaseKind, leaseName, o.Revision, l.self)
	default:
		if o.Revision != l.seen {
			l.seen, l.seenAt = o.Revision, sent
		}
		return false
	}
	if err != nil {
		l.log.WithError(err).Info("the planner's lease could not be taken")
		return false
	}
	l.held, l.term, l.revision, l.sent, l.validUntil = true, o.Revision, o.Revision, sent, sent.Add(LeaseTerm)
	l.log.WithFields(logrus.Fields{"term": l.term, "earlier": record.Node}).Info("this node plans groups")
	return true
}
