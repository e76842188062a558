// Package planner finds the one node that plans replica groups, and carries its plan out.
package planner

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/platform"
)

const (
	// LeaseTerm is the time for which a node plans after the sending of its last renewal, and leaseMargin what another node
	// waits beyond it. The time of one renewal call and its lost answer fit into the term.
	LeaseTerm        = 1600 * time.Millisecond
	leaseMargin      = 400 * time.Millisecond
	renewInterval    = 500 * time.Millisecond
	leaseCallTimeout = 400 * time.Millisecond
	// resignAfter is the time without a renewal after which the holder gives the lease up to a node that reaches the store.
	resignAfter = 800 * time.Millisecond
	// resignationNoticeTime is the time for which a node tells that it has given the lease up.
	resignationNoticeTime = 5 * time.Second
	// leaseReadInterval is the time between two looks at a lease whose holder isn't heard.
	leaseReadInterval = 400 * time.Millisecond
	// extension is the time for which one look at the other nodes lets the holder plan on in an outage of the store. It spans a
	// call to the store that gets no answer.
	outageExtension = leaseCallTimeout + 200*time.Millisecond
	// contactTolerance is how much later than a failed renewal another node must have been answered to show that the store answers
	// it: datagrams take some milliseconds.
	contactTolerance = 200 * time.Millisecond
	// maxMaintainGap is the longest time between two looks after which the datagrams that waited here aren't taken for new.
	maxMaintainGap = outageExtension

	leaseKind = "cassiadeal-planner"
	leaseName = "lease"
)

// leaseRecord is the lease as it is stored.
type leaseRecord struct {
	Node        string `json:"node"`
	Incarnation int64  `json:"incarnation"`
	Renewals    int64  `json:"renewals"` // Makes each renewal a change.
}

// Witness is what a node can tell about the store's answers to itself and to the other nodes.
type Witness struct {
	Answering clock.Time    // Since when the store has answered this node without a failure; 0 while it doesn't.
	Contact   clock.Time    // Newest answer of the store to another node, as told by that node; 0 if none is known.
	Delay     time.Duration // A node that the store answers is known to be answered after this time.
	Quorum    bool          // Most of the known nodes are heard.
}

// Lease is one node's part in the choice of the planner. Tend and Resign are called by one goroutine; the others may be called
// by any.
type Lease struct {
	store *platform.Store
	clock clock.Clock
	log   logrus.FieldLogger

	self             leaseRecord
	lastRenewalSent  clock.Time // Last renewal, whether it was answered or not.
	lastRenewed      clock.Time // Sending of the last renewal that was answered.
	failingSince     clock.Time // Sending of the first renewal without an answer since; 0 if there is none.
	peerContactFound clock.Time // When another node was found to be answered meanwhile; 0 if none was.
	lastMaintained   clock.Time // Last call of Tend.
	pausedAt         clock.Time // When this node was last found to have stood still.
	lastRead         clock.Time // Last look at another node's lease.

	mu         sync.Mutex // Guards all below. No call to the store is made under it.
	held       bool
	term       int64 // Revision at which the lease was taken.
	revision   int64
	validUntil clock.Time
	// extendedUntil is the end of the holder's right to plan on in an outage of the store.
	extendedUntil   clock.Time
	resignedAt      clock.Time // When this node gave the lease up; 0 if it didn't.
	otherRevision   int64      // Revision of another node's lease, and when it was first known here.
	otherKnownSince clock.Time
	otherResigned   bool // The holder of the seen revision has given it up.
}

// NewLease returns a lease that isn't held.
func NewLease(store *platform.Store, c clock.Clock, log logrus.FieldLogger, node string, incarnation int64) *Lease {
	return &Lease{store: store, clock: c, log: log, self: leaseRecord{Node: node, Incarnation: incarnation}}
}

// Hear notes what the holder of the lease tells: its revision, and whether it has given it up.
func (l *Lease) Hear(revision int64, resigned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision > l.otherRevision {
		l.otherRevision, l.otherKnownSince, l.otherResigned = revision, l.clock.Now(), false
	}
	l.otherResigned = l.otherResigned || resigned && revision == l.otherRevision
}

// Told returns the revision that this node holds or has lately given up, for the other nodes; 0 for none.
func (l *Lease) Told() (revision int64, resigned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held {
		return l.revision, false
	}
	if l.resignedAt != 0 && l.clock.Now().Sub(l.resignedAt) < resignationNoticeTime {
		return l.revision, true
	}
	return 0, false
}

// Resign gives the lease up, so that another node may take it at once. No order is sent afterwards.
func (l *Lease) Resign(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return
	}
	l.held, l.resignedAt, l.extendedUntil = false, l.clock.Now(), 0
	l.log.WithField("term", l.term).Warning("this node gives up planning groups: " + reason)
}

// Valid tells whether this node may plan now.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && l.clock.Now() < max(l.validUntil, l.extendedUntil)
}

// Term returns a number above that of every earlier holder.
func (l *Lease) Term() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

func (l *Lease) isHeld() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Tend renews the lease or, if candidate is true, tries to take it. It returns true if this node has just become the planner.
func (l *Lease) Maintain(ctx context.Context, candidate bool, access Witness) bool {
	now := l.clock.Now()
	if l.lastMaintained != 0 && now.Sub(l.lastMaintained) > maxMaintainGap {
		l.pausedAt = now
	}
	l.lastMaintained = now
	if l.isHeld() {
		if now.Sub(l.lastRenewalSent) >= renewInterval {
			l.renew(ctx, now)
		}
		l.handleRenewalFailure(access)
		return false
	}
	if !candidate {
		return false
	}
	if revision := l.expiredRevision(access); revision != 0 {
		return l.acquireAt(ctx, revision)
	}
	if l.lastRead != 0 && now.Sub(l.lastRead) < leaseReadInterval {
		return false
	}
	l.lastRead = now
	return l.tryAcquire(ctx)
}

// outlast decides what becomes of a lease whose renewals fail. If the store answers another node, this one tries once more and
// then resigns, as that node may plan. If it answers nobody, no node can take the lease, and this one plans on: another node
// waits for a term and the margin after the store's return, and is heard to be answered long before.
func (l *Lease) handleRenewalFailure(access Witness) {
	now := l.clock.Now()
	switch {
	case l.failingSince == 0:
	case access.Contact.Sub(l.failingSince) > contactTolerance && l.peerContactFound == 0:
		l.peerContactFound, l.lastRenewalSent = now, 0
		l.stopExtension()
	case l.peerContactFound != 0:
		if l.lastRenewalSent > l.peerContactFound && now.Sub(l.lastRenewed) > resignAfter {
			l.Resign("the store doesn't answer this node, but others")
		}
	case now.Sub(l.failingSince) > access.Delay && access.Quorum && (l.pausedAt == 0 || now.Sub(l.pausedAt) > access.Delay):
		l.extendInOutage(now)
	}
}

func (l *Lease) stopExtension() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.extendedUntil = 0
}

func (l *Lease) extendInOutage(now clock.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now > max(l.validUntil, l.extendedUntil) {
		l.log.WithFields(logrus.Fields{"term": l.term, "renewed_ms_ago": now.Sub(l.lastRenewed).Milliseconds()}).
			Info("this node plans on, as the store answers no node")
	}
	l.extendedUntil = now.Add(outageExtension)
}

// due returns the seen revision if its holder must have stopped: it said so, or a term and the margin have passed since the
// revision was first known here, which is after its renewal was sent, and since the store last failed this node.
func (l *Lease) expiredRevision(access Witness) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.otherRevision == 0 {
		return 0
	}
	if l.otherResigned || access.Answering != 0 && l.clock.Now().Sub(max(l.otherKnownSince, access.Answering)) > LeaseTerm+leaseMargin {
		return l.otherRevision
	}
	return 0
}

func (l *Lease) lose(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.extendedUntil = false, 0
	l.log.WithField("term", l.term).Warning("this node no longer plans groups: " + reason)
}

func (l *Lease) renew(ctx context.Context, now clock.Time) {
	l.lastRenewalSent = now
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	l.self.Renewals++
	l.mu.Lock()
	revision := l.revision
	l.mu.Unlock()
	object, err := l.store.Update(ctx, leaseKind, leaseName, revision, l.self)
	switch {
	case err == nil:
		if l.failingSince != 0 {
			l.log.WithField("renewed_ms_ago", now.Sub(l.lastRenewed).Milliseconds()).Info("the planner's lease is renewed again")
		}
		l.lastRenewed, l.failingSince, l.peerContactFound = now, 0, 0
		l.mu.Lock()
		l.revision, l.validUntil = object.Revision, now.Add(LeaseTerm)
		l.mu.Unlock()
	case errors.Is(err, platform.ErrConflict):
		l.resolveConflict(ctx)
	default:
		if l.failingSince != 0 {
			return // Only the first failure is logged: an outage may be long.
		}
		l.failingSince = now
		l.log.WithError(err).WithField("renewed_ms_ago", now.Sub(l.lastRenewed).Milliseconds()).Warning("the planner's lease could not be renewed")
	}
}

// reread resolves a conflict: a renewal whose answer was lost is this node's own.
func (l *Lease) resolveConflict(ctx context.Context) {
	object, record, err := l.read(ctx)
	if err != nil {
		l.log.WithError(err).Warning("the planner's lease could not be read")
		return
	}
	if record.Node != l.self.Node || record.Incarnation != l.self.Incarnation {
		l.lose("node " + record.Node + " holds the lease")
		return
	}
	l.mu.Lock()
	l.revision = object.Revision
	l.mu.Unlock()
	l.lastRenewalSent = 0 // Renewed again at the next call; the term isn't longer for it.
}

func (l *Lease) read(ctx context.Context) (platform.Object, leaseRecord, error) {
	var record leaseRecord
	object, err := l.store.Get(ctx, leaseKind, leaseName)
	if err != nil {
		return object, record, err
	}
	return object, record, json.Unmarshal(object.Spec, &record)
}

// take looks at the lease, and takes it if nobody holds it or if an earlier process of this node did.
func (l *Lease) tryAcquire(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	object, record, err := l.read(callCtx)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		sent := l.clock.Now()
		l.self.Renewals++
		object, err = l.store.Create(callCtx, leaseKind, leaseName, l.self)
		return l.finishAcquire(object, err, sent)
	case err != nil:
		l.log.WithError(err).Info("the planner's lease could not be read")
		return false
	case record.Node == l.self.Node:
		return l.acquireAt(ctx, object.Revision)
	}
	l.Hear(object.Revision, false)
	return false
}

// acquireAt takes the lease if it still has the revision.
func (l *Lease) acquireAt(ctx context.Context, revision int64) bool {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	sent := l.clock.Now()
	l.self.Renewals++
	object, err := l.store.Update(ctx, leaseKind, leaseName, revision, l.self)
	return l.finishAcquire(object, err, sent)
}

func (l *Lease) finishAcquire(object platform.Object, err error, sent clock.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		// The lease is looked at anew: it has changed, or this write may yet be carried out.
		l.otherRevision, l.otherKnownSince, l.otherResigned = 0, 0, false
		l.log.WithError(err).Info("the planner's lease could not be taken")
		return false
	}
	l.held, l.term, l.revision, l.validUntil, l.resignedAt = true, object.Revision, object.Revision, sent.Add(LeaseTerm), 0
	l.lastRenewalSent, l.lastRenewed, l.failingSince, l.peerContactFound = sent, sent, 0, 0
	l.log.WithField("term", l.term).Info("this node plans groups")
	return true
}
