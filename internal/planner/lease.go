// Package planner elects the one node that plans replica groups, by means of a lease in the store, and sends the orders of its
// plan to the replicas.
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
	// LeaseTerm is how long a node may plan after it sent the last renewal that was answered, and leaseMargin is how much longer
	// another node waits before it takes the lease over. One renewal call whose answer is lost fits into the term.
	LeaseTerm        = 1600 * time.Millisecond
	leaseMargin      = 400 * time.Millisecond
	renewInterval    = 500 * time.Millisecond
	leaseCallTimeout = 400 * time.Millisecond
	// resignAfter is the time without an answered renewal after which the holder resigns if the store answers another node.
	resignAfter = 800 * time.Millisecond
	// resignationNoticeTime is how long a node announces that it has resigned.
	resignationNoticeTime = 5 * time.Second
	// leaseReadInterval is the time between two reads of the lease while no message from its holder arrives.
	leaseReadInterval = 400 * time.Millisecond
	// outageExtension is how long one check of the other nodes lets the holder keep planning during a store outage. It is longer
	// than a store call that gets no answer.
	outageExtension = leaseCallTimeout + 200*time.Millisecond
	// contactTolerance is how much later than the first failed renewal the store must have answered another node to show that it
	// is reachable from there: the datagrams that report these answers take some milliseconds.
	contactTolerance = 200 * time.Millisecond
	// maxMaintainGap is the longest time between two calls of Maintain that doesn't count as a pause of this process. Datagrams
	// that queued up during a pause are older than they appear.
	maxMaintainGap = outageExtension

	leaseKind = "cassiadeal-planner"
	leaseName = "lease"
)

// leaseRecord is the lease as stored.
type leaseRecord struct {
	Node        string `json:"node"`
	Incarnation int64  `json:"incarnation"`
	Renewals    int64  `json:"renewals"` // Incremented so that each renewal changes the object.
}

// StoreAccess is what a node knows about the store's answers to itself and to the other nodes.
type StoreAccess struct {
	AnsweringSince   clock.Time    // Since when the store has answered this node without a failure; 0 while it doesn't.
	PeerContact      clock.Time    // Latest answer of the store to another node, as reported by that node; 0 if none is known.
	PeerContactDelay time.Duration // Time within which this node learns that the store answers another node.
	Quorum           bool          // More than half of the known nodes are alive, including this one.
}

// Lease is one node's part in the election of the planner. Maintain and Resign must be called by one goroutine; the other
// methods are safe for concurrent use.
type Lease struct {
	store *platform.Store
	clock clock.Clock
	log   logrus.FieldLogger

	self             leaseRecord
	lastRenewalSent  clock.Time // Sending of the last renewal, answered or not; 0 to renew at the next call.
	lastRenewed      clock.Time // Sending of the last renewal that was answered.
	failingSince     clock.Time // Sending of the first unanswered renewal after that; 0 if there is none.
	peerContactFound clock.Time // When the store was found to answer another node meanwhile; 0 if it wasn't.
	lastMaintained   clock.Time // Last call of Maintain.
	pausedAt         clock.Time // End of the last pause of this process; 0 if there was none.
	lastRead         clock.Time // Last read of the lease while another node may hold it.

	mu         sync.Mutex // Guards the fields below. No call to the store is made while it is held.
	held       bool
	term       int64 // Revision at which the lease was acquired.
	revision   int64
	validUntil clock.Time
	// extendedUntil is until when the holder may keep planning during an outage of the store.
	extendedUntil   clock.Time
	resignedAt      clock.Time // When this node resigned; 0 if it didn't.
	otherRevision   int64      // Revision of another node's lease, and when this node first knew of it.
	otherKnownSince clock.Time
	otherResigned   bool // The holder of otherRevision has resigned.
}

// NewLease returns a lease that isn't held.
func NewLease(store *platform.Store, c clock.Clock, log logrus.FieldLogger, node string, incarnation int64) *Lease {
	return &Lease{store: store, clock: c, log: log, self: leaseRecord{Node: node, Incarnation: incarnation}}
}

// ObserveHolder records the revision of another node's lease, and whether its holder has resigned.
func (l *Lease) ObserveHolder(revision int64, resigned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision > l.otherRevision {
		l.otherRevision, l.otherKnownSince, l.otherResigned = revision, l.clock.Now(), false
	}
	l.otherResigned = l.otherResigned || resigned && revision == l.otherRevision
}

// Announcement returns what this node tells the other nodes: the revision that it holds or has recently resigned; 0 for none.
func (l *Lease) Announcement() (revision int64, resigned bool) {
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

// Resign gives up the lease, so that another node may acquire it at once. The planner sends no order after its next tick.
func (l *Lease) Resign(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return
	}
	l.held, l.resignedAt, l.extendedUntil = false, l.clock.Now(), 0
	l.log.WithField("term", l.term).Warning("this node resigns as planner of groups: " + reason)
}

// Valid tells whether this node may plan now.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && l.clock.Now() < max(l.validUntil, l.extendedUntil)
}

// Term returns the revision at which this node acquired the lease. It is higher than the term of every earlier holder.
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

// Maintain renews the lease or, if candidate is true, tries to acquire it. It returns true if this node has just become the
// planner.
func (l *Lease) Maintain(ctx context.Context, candidate bool, access StoreAccess) bool {
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

// handleRenewalFailure decides whether the holder keeps planning while its renewals fail. If the store answers another node, this
// node tries one more renewal and then resigns, since the other node may become the planner. If the store answers no node, none
// can acquire the lease, and this node keeps planning: after the store's return another node waits for the term and the margin,
// and this node learns long before the end of that wait that the store answers the other node.
func (l *Lease) handleRenewalFailure(access StoreAccess) {
	now := l.clock.Now()
	switch {
	case l.failingSince == 0:
	case access.PeerContact.Sub(l.failingSince) > contactTolerance && l.peerContactFound == 0:
		l.peerContactFound, l.lastRenewalSent = now, 0
		l.stopExtension()
	case l.peerContactFound != 0:
		if l.lastRenewalSent > l.peerContactFound && now.Sub(l.lastRenewed) > resignAfter {
			l.Resign("the store answers other nodes but not this one")
		}
	case now.Sub(l.failingSince) > access.PeerContactDelay && access.Quorum && (l.pausedAt == 0 || now.Sub(l.pausedAt) > access.PeerContactDelay):
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
			Info("this node keeps planning groups, since the store answers no node")
	}
	l.extendedUntil = now.Add(outageExtension)
}

// expiredRevision returns the revision of another node's lease if its holder must have stopped planning, and 0 otherwise. The
// holder has stopped if it announced its resignation, or if the term and the margin have passed since this node first knew of the
// revision, which is after its renewal was sent, and since the store started to answer this node without failures.
func (l *Lease) expiredRevision(access StoreAccess) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.otherRevision == 0 {
		return 0
	}
	if l.otherResigned || access.AnsweringSince != 0 && l.clock.Now().Sub(max(l.otherKnownSince, access.AnsweringSince)) > LeaseTerm+leaseMargin {
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
			return // Only the first failure is logged, since an outage may be long.
		}
		l.failingSince = now
		l.log.WithError(err).WithField("renewed_ms_ago", now.Sub(l.lastRenewed).Milliseconds()).Warning("the planner's lease could not be renewed")
	}
}

// resolveConflict reads the lease after a renewal got a conflict. The conflict may come from an earlier renewal by this node
// whose answer was lost; the lease is then still its own.
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
	l.lastRenewalSent = 0 // Renews at the next call. The read itself doesn't extend the lease.
}

func (l *Lease) read(ctx context.Context) (platform.Object, leaseRecord, error) {
	var record leaseRecord
	object, err := l.store.Get(ctx, leaseKind, leaseName)
	if err != nil {
		return object, record, err
	}
	return object, record, json.Unmarshal(object.Spec, &record)
}

// tryAcquire reads the lease, and acquires it if it doesn't exist yet or if an earlier process of this node wrote it.
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
	l.ObserveHolder(object.Revision, false)
	return false
}

// acquireAt acquires the lease if it still has the revision.
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
		// The lease has to be read again: it has changed, or this write may still be carried out.
		l.otherRevision, l.otherKnownSince, l.otherResigned = 0, 0, false
		l.log.WithError(err).Info("the planner's lease could not be acquired")
		return false
	}
	l.held, l.term, l.revision, l.validUntil, l.resignedAt = true, object.Revision, object.Revision, sent.Add(LeaseTerm), 0
	l.lastRenewalSent, l.lastRenewed, l.failingSince, l.peerContactFound = sent, sent, 0, 0
	l.log.WithField("term", l.term).Info("this node plans groups")
	return true
}
