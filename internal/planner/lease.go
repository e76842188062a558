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
	// revisionsPerEra is more than the number of revisions that a restore of the store takes back, so that a term of a later era is
	// higher than all of earlier ones. maxTermEra is the highest era that counts: epochs are derived from terms and have to be exact as
	// JSON numbers.
	revisionsPerEra = 1_000_000
	maxTermEra      = 50_000

	// noEra is the era of a record that can't be decoded. It is no present one, so the record says nothing about who planned last.
	noEra = -1

	leaseKind = "cassiadeal-planner"
	leaseName = "lease"
)

// errOtherEra means that the store has come back from an older copy while the lease was being acquired.
var errOtherEra = errors.New("the store has come back from an older copy")

// leaseRecord is the lease as stored.
type leaseRecord struct {
	Node        string `json:"node"`
	Incarnation int64  `json:"incarnation"`
	Renewals    int64  `json:"renewals"` // Incremented so that each renewal changes the object.
	// Era is the era of the store in which the revision that the write replaces was read. A record that was read in another era was
	// left by the copy from which the store came back, or by a write that was carried out late. It doesn't tell who planned last.
	Era int64 `json:"era"`
}

// position is a revision of the lease and the era of the store that it belongs to.
type position struct {
	era, revision int64
}

func positionOf(o platform.Object) position { return position{o.Era, o.Revision} }

// after reports whether p is later than q.
func (p position) after(q position) bool {
	return p.era > q.era || p.era == q.era && p.revision > q.revision
}

// term returns the term of a lease that was acquired by a write with this position. Terms of later positions are higher, also across
// a restore of the store.
func (p position) term() int64 { return min(p.era, maxTermEra)*revisionsPerEra + p.revision }

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
	// FirstRun is set before the first use if the system runs for the first time, so that the store can't have lost an earlier lease.
	FirstRun bool

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
	era        int64      // Highest era of the store that this lease has taken into account.
	firstEra   bool       // No earlier era is known.
	held       bool
	term       int64
	position   position // Last known position of this node's lease. Its era is below era if the lease has to be won again.
	validUntil clock.Time
	// rewinUntil is until when a lease of a former era may be won again, although its extension has ended since.
	rewinUntil clock.Time
	// extendedUntil is until when the holder may keep planning during an outage of the store.
	extendedUntil   clock.Time
	resignedAt      clock.Time // When this node resigned; 0 if it didn't.
	other           position   // Position of another node's lease, with revision 0 if there is no lease in the store.
	otherKnownSince clock.Time // When this node first knew of it; 0 if it knows of none.
	otherResigned   bool       // The holder at that position has resigned.
}

// NewLease returns a lease that isn't held.
func NewLease(store *platform.Store, c clock.Clock, log logrus.FieldLogger, node string, incarnation int64) *Lease {
	return &Lease{store: store, clock: c, log: log, self: leaseRecord{Node: node, Incarnation: incarnation}, firstEra: true}
}

// StoreRestored tells the lease that the store has come back from an older copy. The lease there, if any, may be that of an earlier
// holder, and revisions of former eras mean nothing any more. A holder whose lease is still valid may win it again at once, since no
// other node can have acquired it. All other nodes, also the one that the copy names, wait until the lease of the last holder, which
// they may not know, must have ended. StoreRestored is called with every era that an answer states; a known one changes nothing.
func (l *Lease) StoreRestored(era int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learnEraLocked(era)
}

func (l *Lease) learnEraLocked(era int64) {
	if era <= l.era {
		return
	}
	l.firstEra = l.firstEra && l.era == 0 && !l.held
	l.era = era
	l.forgetOtherLocked()
	if !l.held {
		return
	}
	if l.rewinUntil = max(l.validUntil, l.extendedUntil); l.clock.Now() >= l.rewinUntil {
		l.loseLocked("its lease ended before the store came back from an older copy")
	}
}

func (l *Lease) forgetOtherLocked() {
	l.other, l.otherKnownSince, l.otherResigned = position{}, 0, false
}

// ObserveHolder records the revision of another node's lease in an era of the store, and whether its holder has resigned. What is
// known of a former era is ignored.
func (l *Lease) ObserveHolder(era, revision int64, resigned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learnEraLocked(era)
	observed := position{era, revision}
	if era < l.era {
		return
	}
	if l.held && observed.after(l.position) {
		l.loseLocked("another node has acquired the lease since")
	}
	if l.otherKnownSince == 0 || observed.after(l.other) {
		l.other, l.otherKnownSince, l.otherResigned = observed, l.clock.Now(), false
	}
	l.otherResigned = l.otherResigned || resigned && observed == l.other
}

// Announcement returns what this node tells the other nodes: the revision in the given era that it holds or has recently resigned; 0
// for none.
func (l *Lease) Announcement(era int64) (revision int64, resigned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.position.era != era:
		return 0, false
	case l.held:
		return l.position.revision, false
	case l.resignedAt != 0 && l.clock.Now().Sub(l.resignedAt) < resignationNoticeTime:
		return l.position.revision, true
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

// Term returns the term in which this node holds the lease. It is higher than the term of every earlier holder.
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
	l.StoreRestored(l.store.Era())
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
	if expired, ok := l.expiredPosition(access); ok {
		return l.acquireAt(ctx, expired)
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

// expiredPosition returns the position of another node's lease, and whether its holder must have stopped planning. The holder has
// stopped if it announced its resignation, or if the term and the margin have passed since this node first knew of the position, which
// is after its renewal was sent, and since the store started to answer this node without failures.
func (l *Lease) expiredPosition(access StoreAccess) (position, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.otherKnownSince == 0 {
		return position{}, false
	}
	return l.other, l.otherResigned || access.AnsweringSince != 0 && l.clock.Now().Sub(max(l.otherKnownSince, access.AnsweringSince)) > LeaseTerm+leaseMargin
}

func (l *Lease) lose(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseLocked(reason)
}

func (l *Lease) loseLocked(reason string) {
	if !l.held {
		return
	}
	l.held, l.extendedUntil = false, 0
	l.log.WithField("term", l.term).Warning("this node no longer plans groups: " + reason)
}

// renew renews the lease, or wins it again if the store has come back from an older copy since.
func (l *Lease) renew(ctx context.Context, now clock.Time) {
	l.lastRenewalSent = now
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	at, current := l.heldPosition()
	if !current {
		l.resolveConflict(ctx, now)
		return
	}
	object, err := l.write(ctx, at)
	l.finishRenewal(ctx, object, err, at, now)
}

// heldPosition returns the position of this node's lease, and whether it belongs to the present era.
func (l *Lease) heldPosition() (position, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.position, l.position.era == l.era
}

// write writes this node's record if the lease still has the position. A revision of 0 means that there is no lease.
func (l *Lease) write(ctx context.Context, at position) (platform.Object, error) {
	l.self.Renewals++
	l.self.Era = at.era
	if at.revision == 0 {
		return l.store.Create(ctx, leaseKind, leaseName, l.self)
	}
	return l.store.Update(ctx, leaseKind, leaseName, at.revision, l.self)
}

// finishRenewal takes the answer to a renewal at a position that was sent at the given time. An answer of another era than that of the
// position proves nothing: the store may have given out the revision again.
func (l *Lease) finishRenewal(ctx context.Context, object platform.Object, err error, at position, sent clock.Time) {
	switch {
	case err == nil && object.Era == at.era:
		if l.failingSince != 0 {
			l.log.WithField("renewed_ms_ago", sent.Sub(l.lastRenewed).Milliseconds()).Info("the planner's lease is renewed again")
		}
		l.lastRenewed, l.failingSince, l.peerContactFound = sent, 0, 0
		l.mu.Lock()
		l.position, l.validUntil, l.rewinUntil = positionOf(object), sent.Add(LeaseTerm), 0
		l.mu.Unlock()
	case err == nil:
		l.StoreRestored(object.Era)
		l.lastRenewalSent = 0 // Wins the lease again at the next call.
	case errors.Is(err, platform.ErrConflict):
		l.resolveConflict(ctx, sent)
	default:
		l.noteFailure(err, sent)
	}
}

// noteFailure records that a renewal which was sent at the given time has failed.
func (l *Lease) noteFailure(err error, sent clock.Time) {
	if l.failingSince != 0 {
		return // Only the first failure is logged, since an outage may be long.
	}
	l.failingSince = sent
	l.log.WithError(err).WithField("renewed_ms_ago", sent.Sub(l.lastRenewed).Milliseconds()).Warning("the planner's lease could not be renewed")
}

// resolveConflict reads the lease after a renewal got a conflict, or after the store has come back from an older copy. The conflict may
// come from an earlier renewal by this node whose answer was lost; the lease is then still its own. A record of a former era was
// written by no present holder, so a holder whose lease is still valid replaces it.
func (l *Lease) resolveConflict(ctx context.Context, sent clock.Time) {
	object, record, err := l.read(ctx)
	absent := errors.Is(err, platform.ErrNotFound)
	if err != nil && !absent {
		if _, current := l.heldPosition(); !current {
			l.noteFailure(err, sent)
			return
		}
		l.log.WithError(err).Warning("the planner's lease could not be read")
		return
	}
	l.StoreRestored(object.Era)
	own := record.Node == l.self.Node && record.Incarnation == l.self.Incarnation
	switch {
	case !absent && record.Era == object.Era && !own:
		l.lose("node " + record.Node + " holds the lease")
	case !absent && record.Era == object.Era:
		l.mu.Lock()
		l.position = positionOf(object)
		l.mu.Unlock()
		l.lastRenewalSent = 0 // Renews at the next call. The read itself doesn't extend the lease.
	default:
		l.replaceFormer(ctx, object)
	}
}

// replaceFormer replaces a lease of a former era by that of this node, or creates one that the store has lost, if this node's lease is
// still valid.
func (l *Lease) replaceFormer(ctx context.Context, former platform.Object) {
	now := l.clock.Now()
	l.mu.Lock()
	mayReplace := l.held && former.Era == l.era && now < max(l.validUntil, l.extendedUntil, l.rewinUntil)
	l.mu.Unlock()
	if !mayReplace {
		l.lose("its lease has ended, and the store has come back from an older copy")
		return
	}
	l.lastRenewalSent = now
	object, err := l.write(ctx, positionOf(former))
	switch {
	case errors.Is(err, platform.ErrConflict):
		l.lastRenewalSent = 0 // Read again at the next call.
	default:
		l.finishRenewal(ctx, object, err, positionOf(former), now)
	}
}

func (l *Lease) read(ctx context.Context) (platform.Object, leaseRecord, error) {
	var record leaseRecord
	object, err := l.store.Get(ctx, leaseKind, leaseName)
	if err != nil {
		return object, record, err
	}
	if err := json.Unmarshal(object.Spec, &record); err != nil || record.Node == "" {
		l.log.WithError(err).WithField("revision", object.Revision).Warning("the planner's lease can't be decoded")
		record = leaseRecord{Era: noEra}
	}
	return object, record, nil
}

// tryAcquire reads the lease, and acquires it if an earlier process of this node wrote it, or if it doesn't exist and the store can't
// have lost it.
func (l *Lease) tryAcquire(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	object, record, err := l.read(callCtx)
	absent := errors.Is(err, platform.ErrNotFound)
	if err != nil && !absent {
		l.log.WithError(err).Info("the planner's lease could not be read")
		return false
	}
	l.StoreRestored(object.Era)
	if absent && l.neverLost() || !absent && record.Node == l.self.Node && record.Era == object.Era {
		return l.acquireAt(ctx, positionOf(object))
	}
	l.ObserveHolder(object.Era, object.Revision, false)
	return false
}

// neverLost reports whether the store can't have lost a lease: it states no era, or the system runs for the first time and this process
// knows of no earlier era.
func (l *Lease) neverLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.era == 0 || l.FirstRun && l.firstEra
}

// acquireAt acquires the lease if it still has the position.
func (l *Lease) acquireAt(ctx context.Context, at position) bool {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	sent := l.clock.Now()
	object, err := l.write(ctx, at)
	return l.finishAcquire(object, err, at, sent)
}

func (l *Lease) finishAcquire(object platform.Object, err error, at position, sent clock.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.learnEraLocked(object.Era)
	if err == nil && (object.Era != at.era || l.era != at.era) {
		err = errOtherEra
	}
	if err != nil {
		// The lease has to be read again: it has changed, or this write may still be carried out.
		l.forgetOtherLocked()
		l.log.WithError(err).Info("the planner's lease could not be acquired")
		return false
	}
	l.held, l.position, l.validUntil, l.resignedAt = true, positionOf(object), sent.Add(LeaseTerm), 0
	l.term, l.rewinUntil = l.position.term(), 0
	l.lastRenewalSent, l.lastRenewed, l.failingSince, l.peerContactFound = sent, sent, 0, 0
	l.log.WithField("term", l.term).Info("this node plans groups")
	return true
}

// Holds reports whether this node holds the lease in the given term. The lease may have ended: unless another node has acquired it since, a
// late renewal makes it valid again in the same term.
func (l *Lease) Holds(term int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && l.term == term
}

// PlansInOutage reports whether this node holds the lease beyond its term because the store answers no node. No other node can acquire
// it meanwhile.
func (l *Lease) PlansInOutage() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && l.clock.Now() < l.extendedUntil
}
