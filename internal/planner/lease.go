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
	LeaseTerm   = 1600 * time.Millisecond
	leaseMargin = 400 * time.Millisecond
	renewEvery  = 500 * time.Millisecond
	leaseCall   = 400 * time.Millisecond
	// resignAfter is the time without a renewal after which the holder gives the lease up to a node that reaches the store.
	resignAfter = 800 * time.Millisecond
	// resignedFor is the time for which a node tells that it has given the lease up.
	resignedFor = 5 * time.Second
	// askEvery is the time between two looks at a lease whose holder isn't heard.
	askEvery = 400 * time.Millisecond
	// extension is the time for which one look at the other nodes lets the holder plan on in an outage of the store. It spans a
	// call to the store that gets no answer.
	extension = leaseCall + 200*time.Millisecond
	// contactSlack is how much later than a failed renewal another node must have been answered to show that the store answers
	// it: datagrams take some milliseconds.
	contactSlack = 200 * time.Millisecond
	// pauseAtMost is the longest time between two looks after which the datagrams that waited here aren't taken for new.
	pauseAtMost = extension

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

	self    leaseRecord
	sent    clock.Time // Last renewal, whether it was answered or not.
	renewed clock.Time // Sending of the last renewal that was answered.
	failing clock.Time // Sending of the first renewal without an answer since; 0 if there is none.
	reached clock.Time // When another node was found to be answered meanwhile; 0 if none was.
	tended  clock.Time // Last call of Tend.
	paused  clock.Time // When this node was last found to have stood still.
	asked   clock.Time // Last look at another node's lease.

	mu         sync.Mutex // Guards all below. No call to the store is made under it.
	held       bool
	term       int64 // Revision at which the lease was taken.
	revision   int64
	validUntil clock.Time
	// extendedUntil is the end of the holder's right to plan on in an outage of the store.
	extendedUntil clock.Time
	resignedAt    clock.Time // When this node gave the lease up; 0 if it didn't.
	seen          int64      // Revision of another node's lease, and when it was first known here.
	seenAt        clock.Time
	free          bool // The holder of the seen revision has given it up.
}

// NewLease returns a lease that isn't held.
func NewLease(store *platform.Store, c clock.Clock, log logrus.FieldLogger, node string, incarnation int64) *Lease {
	return &Lease{store: store, clock: c, log: log, self: leaseRecord{Node: node, Incarnation: incarnation}}
}

// Hear notes what the holder of the lease tells: its revision, and whether it has given it up.
func (l *Lease) Hear(revision int64, resigned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if revision > l.seen {
		l.seen, l.seenAt, l.free = revision, l.clock.Now(), false
	}
	l.free = l.free || resigned && revision == l.seen
}

// Told returns the revision that this node holds or has lately given up, for the other nodes; 0 for none.
func (l *Lease) Told() (revision int64, resigned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held {
		return l.revision, false
	}
	if l.resignedAt != 0 && l.clock.Now().Sub(l.resignedAt) < resignedFor {
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

func (l *Lease) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

// Tend renews the lease or, if candidate is true, tries to take it. It returns true if this node has just become the planner.
func (l *Lease) Tend(ctx context.Context, candidate bool, w Witness) bool {
	now := l.clock.Now()
	if l.tended != 0 && now.Sub(l.tended) > pauseAtMost {
		l.paused = now
	}
	l.tended = now
	if l.holds() {
		if now.Sub(l.sent) >= renewEvery {
			l.renew(ctx, now)
		}
		l.outlast(w)
		return false
	}
	if !candidate {
		return false
	}
	if revision := l.due(w); revision != 0 {
		return l.takeAt(ctx, revision)
	}
	if l.asked != 0 && now.Sub(l.asked) < askEvery {
		return false
	}
	l.asked = now
	return l.take(ctx)
}

// outlast decides what becomes of a lease whose renewals fail. If the store answers another node, this one tries once more and
// then resigns, as that node may plan. If it answers nobody, no node can take the lease, and this one plans on: another node
// waits for a term and the margin after the store's return, and is heard to be answered long before.
func (l *Lease) outlast(w Witness) {
	now := l.clock.Now()
	switch {
	case l.failing == 0:
	case w.Contact.Sub(l.failing) > contactSlack && l.reached == 0:
		l.reached, l.sent = now, 0
		l.stopExtension()
	case l.reached != 0:
		if l.sent > l.reached && now.Sub(l.renewed) > resignAfter {
			l.Resign("the store doesn't answer this node, but others")
		}
	case now.Sub(l.failing) > w.Delay && w.Quorum && (l.paused == 0 || now.Sub(l.paused) > w.Delay):
		l.extend(now)
	}
}

func (l *Lease) stopExtension() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.extendedUntil = 0
}

func (l *Lease) extend(now clock.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now > max(l.validUntil, l.extendedUntil) {
		l.log.WithFields(logrus.Fields{"term": l.term, "renewed_ms_ago": now.Sub(l.renewed).Milliseconds()}).
			Info("this node plans on, as the store answers no node")
	}
	l.extendedUntil = now.Add(extension)
}

// due returns the seen revision if its holder must have stopped: it said so, or a term and the margin have passed since the
// revision was first known here, which is after its renewal was sent, and since the store last failed this node.
func (l *Lease) due(w Witness) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == 0 {
		return 0
	}
	if l.free || w.Answering != 0 && l.clock.Now().Sub(max(l.seenAt, w.Answering)) > LeaseTerm+leaseMargin {
		return l.seen
	}
	return 0
}

func (l *Lease) drop(reason string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held, l.extendedUntil = false, 0
	l.log.WithField("term", l.term).Warning("this node no longer plans groups: " + reason)
}

func (l *Lease) renew(ctx context.Context, now clock.Time) {
	l.sent = now
	ctx, cancel := context.WithTimeout(ctx, leaseCall)
	defer cancel()
	l.self.Renewals++
	l.mu.Lock()
	revision := l.revision
	l.mu.Unlock()
	o, err := l.store.Update(ctx, leaseKind, leaseName, revision, l.self)
	switch {
	case err == nil:
		if l.failing != 0 {
			l.log.WithField("renewed_ms_ago", now.Sub(l.renewed).Milliseconds()).Info("the planner's lease is renewed again")
		}
		l.renewed, l.failing, l.reached = now, 0, 0
		l.mu.Lock()
		l.revision, l.validUntil = o.Revision, now.Add(LeaseTerm)
		l.mu.Unlock()
	case errors.Is(err, platform.ErrConflict):
		l.reread(ctx)
	default:
		if l.failing != 0 {
			return // Only the first failure is logged: an outage may be long.
		}
		l.failing = now
		l.log.WithError(err).WithField("renewed_ms_ago", now.Sub(l.renewed).Milliseconds()).Warning("the planner's lease could not be renewed")
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
	l.mu.Lock()
	l.revision = o.Revision
	l.mu.Unlock()
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

// take looks at the lease, and takes it if nobody holds it or if an earlier process of this node did.
func (l *Lease) take(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, leaseCall)
	defer cancel()
	o, record, err := l.read(call)
	switch {
	case errors.Is(err, platform.ErrNotFound):
		sent := l.clock.Now()
		l.self.Renewals++
		o, err = l.store.Create(call, leaseKind, leaseName, l.self)
		return l.taken(o, err, sent)
	case err != nil:
		l.log.WithError(err).Info("the planner's lease could not be read")
		return false
	case record.Node == l.self.Node:
		return l.takeAt(ctx, o.Revision)
	}
	l.Hear(o.Revision, false)
	return false
}

// takeAt takes the lease if it still has the revision.
func (l *Lease) takeAt(ctx context.Context, revision int64) bool {
	ctx, cancel := context.WithTimeout(ctx, leaseCall)
	defer cancel()
	sent := l.clock.Now()
	l.self.Renewals++
	o, err := l.store.Update(ctx, leaseKind, leaseName, revision, l.self)
	return l.taken(o, err, sent)
}

func (l *Lease) taken(o platform.Object, err error, sent clock.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		// The lease is looked at anew: it has changed, or this write may yet be carried out.
		l.seen, l.seenAt, l.free = 0, 0, false
		l.log.WithError(err).Info("the planner's lease could not be taken")
		return false
	}
	l.held, l.term, l.revision, l.validUntil, l.resignedAt = true, o.Revision, o.Revision, sent.Add(LeaseTerm), 0
	l.sent, l.renewed, l.failing, l.reached = sent, sent, 0, 0
	l.log.WithField("term", l.term).Info("this node plans groups")
	return true
}
