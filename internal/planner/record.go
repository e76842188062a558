package planner

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/placement"
	"cassiadeal.example/cassiadeal/platform"
)

// The plan is kept in the store, one object for each fabric domain, as groups don't extend over several. An epoch is written before its
// first order to join is sent, so that a later planner knows all members of each group that may serve. A new planner writes all records once:
// a write by a former one that is carried out later then has no effect. It would hold epochs of which no order was sent.

const (
	recordKind       = "cassiadeal-plan"
	recordNamePrefix = "domain-"
	// recordCallTimeout bounds one call. recordRetryInterval is the time to the next one after the first failure, and between two checks of
	// an order that waits. Each further failure doubles the time, up to maxRecordRetryInterval: refused calls are charged for too.
	recordCallTimeout      = 400 * time.Millisecond
	recordRetryInterval    = 50 * time.Millisecond
	maxRecordRetryInterval = 400 * time.Millisecond
	// maxRecordLoadTimeout bounds the list of all records, which begins with recordCallTimeout and doubles with each failure while the store answers other calls. The records of 3,000
	// replicas have several 100 KB, and when all nodes start at once they share the store's link with the lists of these.
	maxRecordLoadTimeout = 3 * time.Second
)

var (
	errNotWanted = eris.New("its epoch is no longer planned, or the lease was lost")
	errWaiting   = eris.New("the same order waits already for its record")
)

// storedRecord is the plan of a fabric domain as stored.
type storedRecord struct {
	Term   int64         `json:"term"`
	Fabric string        `json:"fabric"`
	Write  int64         `json:"write"` // Differs in each write of a term, so that each one raises the revision.
	Groups []storedGroup `json:"groups"`
	// Moved holds the replicas by which the models differ from the configured division. Earlier versions ignore it.
	Moved map[string]int `json:"moved,omitempty"`
}

type storedGroup struct {
	Name        string         `json:"name"`
	Epoch       int64          `json:"epoch"`
	Model       string         `json:"model"`
	FormerEpoch int64          `json:"former_epoch,omitempty"`
	GivenUp     bool           `json:"given_up,omitempty"`
	HeadLost    bool           `json:"head_lost,omitempty"`
	Ended       bool           `json:"ended,omitempty"`
	Members     []storedMember `json:"members"`
}

type storedMember struct {
	ID            string `json:"id"`
	StartedUnixMs int64  `json:"started_unix_ms"`
	Address       string `json:"address"`
}

func encodeRecord(r placement.Record) []storedGroup {
	groups := []storedGroup{}
	for _, g := range r.Groups {
		stored := storedGroup{Name: g.Name, Epoch: g.Epoch, Model: g.Model, FormerEpoch: g.FormerEpoch, GivenUp: g.GivenUp, HeadLost: g.HeadLost,
			Ended: g.Ended}
		for _, m := range g.Members {
			stored.Members = append(stored.Members, storedMember{m.Incarnation.ID, m.Incarnation.StartedUnixMs, m.Address})
		}
		groups = append(groups, stored)
	}
	return groups
}

func (s storedRecord) decode() placement.Record {
	r := placement.Record{Moved: s.Moved}
	for _, stored := range s.Groups {
		g := placement.RecordedGroup{Name: stored.Name, Epoch: stored.Epoch, Model: stored.Model, FormerEpoch: stored.FormerEpoch, GivenUp: stored.GivenUp,
			HeadLost: stored.HeadLost, Ended: stored.Ended}
		for _, m := range stored.Members {
			g.Members = append(g.Members, placement.RecordedMember{Incarnation: fleet.Incarnation{ID: m.ID, StartedUnixMs: m.StartedUnixMs}, Address: m.Address})
		}
		r.Groups = append(r.Groups, g)
	}
	return r
}

// domainRecord is the record of one fabric domain.
type domainRecord struct {
	at      position // Of the object in the store; its revision is 0 if there is none or it isn't known.
	wanted  placement.Record
	written placement.Record // What the store is known to hold, whichever write without an answer is carried out.
	foreign bool             // The object is that of an earlier planner, of which a write may still be carried out.
	behind  bool             // The store isn't known to hold what is wanted.
	writing bool             // A goroutine writes the record until it isn't behind.
}

// isBehind reports whether the record must be written. One of an earlier planner is written again in any case: a write of it that is
// carried out late then finds another revision.
func (d *domainRecord) isBehind() bool { return d.foreign || !d.written.Covers(d.wanted) }

// waitingOrder identifies an order to join that waits for the record of its epoch.
type waitingOrder struct {
	to    fleet.Incarnation
	epoch int64
}

// recorder writes the plan of the present term to the store.
type recorder struct {
	store        *platform.Store
	lease        *Lease
	storeFailing func() bool
	log          logrus.FieldLogger

	mu      sync.Mutex // Guards the fields below. No call to the store is made while it is held.
	term    int64
	writes  int64
	domains map[string]*domainRecord // By fabric domain.
	waiting map[waitingOrder]bool
	notify  chan struct{} // Closed and replaced when a record was written.
}

func newRecorder(store *platform.Store, lease *Lease, storeFailing func() bool, log logrus.FieldLogger) *recorder {
	return &recorder{store: store, lease: lease, storeFailing: storeFailing, log: log, domains: map[string]*domainRecord{},
		waiting: map[waitingOrder]bool{}, notify: make(chan struct{})}
}

// startTerm forgets what was known in an earlier term.
func (r *recorder) startTerm(term int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.term = term
	clear(r.domains)
	r.wakeLocked()
}

// storeRestored notes that the store has come back from an older copy, so that the next call of keep writes all records again.
func (r *recorder) storeRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.domains {
		d.at, d.written, d.behind = position{}, placement.Record{}, true
	}
}

func (r *recorder) wakeLocked() {
	close(r.notify)
	r.notify = make(chan struct{})
}

// domain returns the record of a fabric domain. The lock is held.
func (r *recorder) domain(fabric string) *domainRecord {
	d := r.domains[fabric]
	if d == nil {
		d = &domainRecord{}
		r.domains[fabric] = d
	}
	return d
}

// load reads the records of an earlier planner.
func (r *recorder) load(ctx context.Context, term int64, timeout time.Duration) (map[string]placement.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	objects, _, err := r.store.List(ctx, recordKind)
	if err != nil {
		return nil, err
	}
	records := map[string]placement.Record{}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.term != term {
		return nil, errNotPlanner
	}
	for _, o := range objects {
		stored, err := decodeStored(o)
		if err != nil {
			r.log.WithError(err).WithField("object", o.Name).Warning("a record of the plan of groups can't be decoded")
			continue
		}
		records[stored.Fabric] = stored.decode()
		if d := r.domain(stored.Fabric); d.at.revision == 0 && o.Era == r.store.Era() {
			d.at, d.written, d.foreign = positionOf(o), records[stored.Fabric], true
		}
	}
	return records, nil
}

func decodeStored(o platform.Object) (storedRecord, error) {
	var stored storedRecord
	if err := json.Unmarshal(o.Spec, &stored); err != nil {
		return stored, eris.Wrap(err, "record of the plan")
	}
	if recordNamePrefix+stored.Fabric != o.Name {
		return stored, eris.Errorf("record of the plan: it is that of fabric domain %q", stored.Fabric)
	}
	return stored, nil
}

// keep writes the records unless the store already holds their groups as this planner has written them. It also resumes writes that ended
// while the lease wasn't valid, and those of records that a restore has taken.
func (r *recorder) keep(ctx context.Context, records map[string]placement.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for fabric, record := range records {
		d := r.domain(fabric)
		d.wanted = record
		d.behind = d.isBehind()
	}
	for fabric, d := range r.domains {
		r.startWriting(ctx, fabric, d)
	}
}

// startWriting writes a record in its own goroutine, unless that is being done. The lock is held.
func (r *recorder) startWriting(ctx context.Context, fabric string, d *domainRecord) {
	if d.writing || !d.behind {
		return
	}
	d.writing = true
	go r.write(ctx, fabric, d, r.term)
}

// write writes the record of a fabric domain until the store holds it or the term ends.
func (r *recorder) write(ctx context.Context, fabric string, d *domainRecord, term int64) {
	var retry retryDelay
	for {
		// In an outage of the store, this node's watches show when it answers again.
		for ctx.Err() == nil && r.storeFailing() && r.lease.PlansInOutage() && r.current(term) {
			sleep(ctx, recordRetryInterval)
		}
		stored, record, at, needed := r.next(fabric, d, term)
		if !needed || ctx.Err() != nil {
			return
		}
		object, err := r.put(ctx, at, stored)
		switch {
		case err == nil:
			r.finish(d, positionOf(object), record)
		case errors.Is(err, platform.ErrConflict), errors.Is(err, platform.ErrNotFound):
			err = r.resolveConflict(ctx, d, stored, record)
		default:
			r.mayHold(d, record)
		}
		if err == nil {
			retry.reset()
			continue
		}
		r.log.WithError(err).WithField("fabric_domain", fabric).Info("the plan of a fabric domain could not be recorded")
		sleep(ctx, retry.next())
	}
}

// retryDelay is the time to wait after the next failed call.
type retryDelay time.Duration

func (d *retryDelay) reset() { *d = 0 }

func (d *retryDelay) next() time.Duration {
	*d = min(max(2**d, retryDelay(recordRetryInterval)), retryDelay(maxRecordRetryInterval))
	return time.Duration(*d)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// current reports whether the term is that of this recorder and its lease is valid.
func (r *recorder) current(term int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.term == term && r.lease.Valid() && r.lease.Term() == term
}

// next returns the record to write, and reports false once the store holds it or the term has ended.
func (r *recorder) next(fabric string, d *domainRecord, term int64) (stored storedRecord, record placement.Record, at position, needed bool) {
	current := r.current(term)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !current || !d.behind {
		d.writing = false
		return stored, record, at, false
	}
	r.writes++
	return storedRecord{Term: term, Fabric: fabric, Write: r.writes, Groups: encodeRecord(d.wanted), Moved: d.wanted.Moved}, d.wanted, d.at, true
}

func (r *recorder) put(ctx context.Context, at position, stored storedRecord) (platform.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, recordCallTimeout)
	defer cancel()
	name := recordNamePrefix + stored.Fabric
	if at.revision == 0 {
		return r.store.Create(ctx, recordKind, name, stored)
	}
	return r.store.Update(ctx, recordKind, name, at.revision, stored)
}

func (r *recorder) finish(d *domainRecord, at position, record placement.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.era < r.store.Era() {
		at, record = position{}, placement.Record{} // The store may have lost it since.
	}
	d.at, d.written, d.foreign = at, record, false
	d.behind = d.isBehind()
	r.wakeLocked()
}

// mayHold notes that the store may hold a record, now or later, whose write wasn't answered.
func (r *recorder) mayHold(d *domainRecord, record placement.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d.written = d.written.Common(record)
	d.behind = d.isBehind()
}

// resolveConflict reads the object after a conflict, which may come from an earlier write of the same record whose answer was lost.
func (r *recorder) resolveConflict(ctx context.Context, d *domainRecord, stored storedRecord, record placement.Record) error {
	ctx, cancel := context.WithTimeout(ctx, recordCallTimeout)
	defer cancel()
	object, err := r.store.Get(ctx, recordKind, recordNamePrefix+stored.Fabric)
	if errors.Is(err, platform.ErrNotFound) {
		r.finish(d, position{}, placement.Record{})
		return nil
	}
	if err != nil {
		return err
	}
	found, err := decodeStored(object)
	if err == nil && found.Term == stored.Term && sameGroups(found, stored) {
		r.finish(d, positionOf(object), record)
		return nil
	}
	// The object is that of a former planner, since this one's lease is valid, or an earlier one of this planner.
	r.finish(d, positionOf(object), placement.Record{})
	return nil
}

func sameGroups(a, b storedRecord) bool {
	dataA, errA := json.Marshal(a.Groups)
	dataB, errB := json.Marshal(b.Groups)
	return errA == nil && errB == nil && bytes.Equal(dataA, dataB) && maps.Equal(a.Moved, b.Moved)
}

// await waits until the store holds the epoch of an order to join. While the store answers no node, nobody can succeed this planner, and
// the order isn't held back.
func (r *recorder) await(ctx context.Context, o placement.Order) error {
	if o.Action != placement.Join || strings.HasPrefix(o.Group, placement.StandbyPrefix) {
		return nil
	}
	key := waitingOrder{o.To.Incarnation(), o.Epoch}
	if !r.startWaiting(key) {
		return errWaiting
	}
	defer r.stopWaiting(key)
	for {
		r.mu.Lock()
		notify, term := r.notify, r.term
		written, wanted := r.holds(o.To.Fabric, o.Group, o.Epoch)
		r.mu.Unlock()
		switch {
		case !wanted && !written || !r.lease.Holds(term):
			return errNotWanted
		case !r.lease.Valid(): // A late renewal or an outage may make it valid again.
		case written:
			return nil
		case r.lease.PlansInOutage():
			r.log.WithFields(logrus.Fields{"replica": o.To.ID, "group": o.Group, "epoch": o.Epoch}).Info("an order is sent before its epoch is recorded: the store answers no node")
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-notify:
		case <-time.After(recordRetryInterval):
		}
	}
}

// holds reports whether the store holds an epoch, and whether it is planned. An epoch is in the record of one fabric domain, which needn't be
// that of a member's newest entry, but mostly is: thousands of orders may wait at a time. The lock is held.
func (r *recorder) holds(fabric, group string, epoch int64) (written, wanted bool) {
	if d := r.domains[fabric]; d != nil && d.wanted.Holds(group, epoch) {
		return d.written.Holds(group, epoch), true
	}
	for _, d := range r.domains {
		written = written || d.written.Holds(group, epoch)
		wanted = wanted || d.wanted.Holds(group, epoch)
	}
	return written, wanted
}

func (r *recorder) startWaiting(key waitingOrder) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waiting[key] {
		return false
	}
	r.waiting[key] = true
	return true
}

func (r *recorder) stopWaiting(key waitingOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.waiting, key)
}
