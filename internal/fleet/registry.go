package fleet

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/statement"
)

const (
	// ReturnGrace is the time after the end of a store outage up to which entries that are removed are kept. Replicas whose entries lapsed
	// in the outage write them again within about two seconds of its end. One that is missing for longer has left.
	ReturnGrace = 2500 * time.Millisecond
	// maxAnswerGap is the longest time between two answers of the store to any nodes during which it counts as available. Watches of
	// replicas are answered each second, and entries lapse only after longer gaps.
	maxAnswerGap = 3 * time.Second
)

// View is an immutable snapshot of the registry.
type View struct {
	Replicas  map[string]*Replica
	ColdUntil map[string]clock.Time // End of the cold time by replica ID; absent if the newest entry states no cold time.
	Evacuated map[string]bool       // Failure domains that get no new requests.
	ByService map[string][]*Replica // In order of ID; replicas that drain or are in evacuated domains are left out.
	Config    *Config               // Nil until the first one was read.
	// Lapsed holds the last entries of replicas that were removed recently. Such a replica may still run without a connection
	// to the store.
	Lapsed map[string]*Replica
}

// Registry holds the replicas, the evacuations and the configuration. Writers take the lock; readers use View.
type Registry struct {
	clock clock.Clock
	view  atomic.Pointer[View]

	mu        sync.Mutex
	replicas  map[string]*Replica
	sortedIDs []string // Keys of replicas at the last snapshot, in order.
	coldUntil map[string]clock.Time
	evacuated map[string]bool
	config    *Config
	// removalDue holds the times at which entries are dropped whose removal fell into a store outage or shortly after, by ID.
	removalDue   map[string]clock.Time
	storeFailing bool       // The last call to the store failed.
	lastOutageAt clock.Time // Last failed call, or the first successful one after it; 0 if no call failed.
	// The store is known to have answered this or another node from availableFrom to availableTo, without a gap above maxAnswerGap; 0 if it
	// hasn't answered yet.
	availableFrom, availableTo clock.Time
	firstListAt                clock.Time // When the replicas were first listed; 0 before.
	lapsed                     map[string]lapsedEntry
	entryLapse                 time.Duration         // See SetEntryLapse.
	held                       map[string]heldEntry  // By ID.
	usedAt                     map[string]clock.Time // When the entries in replicas arrived, by ID.
	restored                   restoredState
	// observations holds the state that replicas reported directly, by ID.
	observations map[string]*activeObservation
	statements   *statement.Table // What replicas have stated in responses; nil if there is none.
	departures   Departures       // Since they were last taken.
	// recentDepartures holds the last departures that entries have shown, the oldest first.
	recentDepartures []datedDeparture
}

// Departures are replicas whose entries have shown that they leave since the last call of TakeDepartures.
type Departures struct {
	Draining []string // The entries show that they drain.
	Kept     []string // The entries were removed, but are kept for a while, since they may only have lapsed in an outage of the store.
	Removed  []string // The entries were removed and are no longer used.
	// Returned holds replicas whose entries were removed and are listed again by an older copy of the store. They aren't used for a while.
	Returned []string
	// Held holds replicas of which the store lists an entry that may be written by an old check-in.
	Held     []Hold
	HeldUsed []string // Held entries that are used now, since the store went on listing them.
}

type lapsedEntry struct {
	replica   *Replica   // By its newest check-in that was seen, also if that isn't used.
	newestAt  clock.Time // When that arrived, or the removal if it was later.
	removedAt clock.Time
	// overwritten is set if the store holds an entry that can't be read, of another writer, in place of the removed one.
	overwritten bool
}

// lapsedRetention is the time for which a removed entry is kept in View.Lapsed.
const lapsedRetention = 30 * time.Second

// NewRegistry returns an empty registry.
func NewRegistry(c clock.Clock) *Registry {
	r := &Registry{clock: c, replicas: map[string]*Replica{}, coldUntil: map[string]clock.Time{},
		evacuated: map[string]bool{}, removalDue: map[string]clock.Time{},
		lapsed: map[string]lapsedEntry{}, held: map[string]heldEntry{}, usedAt: map[string]clock.Time{}, entryLapse: defaultEntryLapse, observations: map[string]*activeObservation{}, restored: newRestoredState()}
	r.view.Store(&View{})
	return r
}

// FollowStatements makes replicas that state in a response that they are leaving count as draining, whatever the store says of them.
// It is called before the registry is used.
func (r *Registry) FollowStatements(t *statement.Table) {
	r.mu.Lock()
	r.statements = t
	r.mu.Unlock()
	t.OnLeaving(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.publish()
	})
}

// View returns the current snapshot.
func (r *Registry) View() *View { return r.view.Load() }

// StoreFailed records that the store could not be reached.
func (r *Registry) StoreFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastOutageAt, r.storeFailing = r.clock.Now(), true
}

// StoreAnswered records that the store could be reached.
func (r *Registry) StoreAnswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.noteAvailable(now)
	if r.storeFailing {
		r.lastOutageAt, r.storeFailing = now, false
	}
}

// StoreAnsweredOther records that another node has just told this one that the store answered it the given time ago. The store can be
// reached from this side of a cut from then on, though this node learns of the end of an outage only when its next call is answered.
func (r *Registry) StoreAnsweredOther(ago time.Duration) {
	if ago > maxAnswerGap {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteAvailable(r.clock.Now())
}

// noteAvailable records that the store is known to answer some node now. The lock is held.
func (r *Registry) noteAvailable(now clock.Time) {
	if r.availableFrom == 0 || now.Sub(r.availableTo) > maxAnswerGap {
		r.availableFrom = now
	}
	r.availableTo = now
}

// removalsUncertainUntil returns the time up to which removed entries may only have lapsed in a store outage, or be missing in the copy from
// which the store came back, and be written again. The lock is held.
func (r *Registry) removalsUncertainUntil() clock.Time {
	now, rewrittenBy := r.clock.Now(), r.restored.rewrittenBy()
	switch {
	case r.lastOutageAt == 0:
		return rewrittenBy
	case r.storeFailing && now.Sub(r.availableTo) > maxAnswerGap:
		return now.Add(ReturnGrace)
	}
	return max(rewrittenBy, r.availableFrom.Add(ReturnGrace))
}

// Complete tells whether unlisted replicas can be taken as stopped: more than ReturnGrace has passed since the first list, and
// at least that since the last store outage and since the store came back from an older copy.
func (r *Registry) Complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.firstListAt != 0 && r.clock.Now().Sub(r.firstListAt) > ReturnGrace && !r.storeFailing && r.clock.Now() >= r.restored.rewrittenBy() &&
		(r.lastOutageAt == 0 || r.clock.Now().Sub(r.lastOutageAt) >= ReturnGrace)
}

// SetConfig puts a configuration into force if its version is higher than that of the current one, and tells whether it did.
func (r *Registry) SetConfig(c *Config) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.config != nil && c.Version <= r.config.Version {
		return false
	}
	c.Index()
	r.config = c
	r.publish()
	return true
}

// SetEvacuated replaces the set of evacuated failure domains by a full list from the store.
func (r *Registry) SetEvacuated(zones map[string]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evacuated = make(map[string]bool, len(zones)) // Not modified once it is published.
	for zone := range zones {
		r.evacuated[zone] = true
		delete(r.restored.evacuatedUntil, zone)
	}
	r.publish()
}

// ChangeEvacuated applies an event of the store: a failure domain is evacuated, or taken back.
func (r *Registry) ChangeEvacuated(zone string, evacuated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.restored.evacuatedUntil, zone)
	if r.evacuated = maps.Clone(r.evacuated); evacuated {
		r.evacuated[zone] = true
	} else {
		delete(r.evacuated, zone)
	}
	r.publish()
}

// Replace sets the entries to a full list from the store. unreadable holds the IDs of entries that can't be read.
func (r *Registry) Replace(list []*Replica, unreadable ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstListAt == 0 {
		r.firstListAt = r.clock.Now()
	}
	listed := map[string]bool{}
	for _, entry := range list {
		listed[entry.ID] = true
		r.storeEntry(entry)
	}
	for id := range r.replicas {
		if !listed[id] {
			r.entryRemoved(id)
		}
	}
	maps.DeleteFunc(r.held, func(id string, _ heldEntry) bool { return !listed[id] })
	for _, id := range unreadable {
		r.markOverwritten(id)
	}
	r.publish()
}

// Change is one event of the store's watch: an entry was written, or removed if Replica is nil.
type Change struct {
	ID         string
	Replica    *Replica
	Unreadable bool // An entry that can't be read was written. Replica is nil.
}

// TakeDepartures returns the departures since its last call.
func (r *Registry) TakeDepartures() Departures {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.departures
	r.departures = Departures{}
	return taken
}

// Apply applies events of the store in order.
func (r *Registry) Apply(changes []Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range changes {
		if c.Replica == nil {
			r.entryRemoved(c.ID)
			if c.Unreadable {
				r.markOverwritten(c.ID)
			}
		} else {
			r.storeEntry(c.Replica)
		}
	}
	r.publish()
}

// storeEntry uses an entry that the store lists, or holds it if an old check-in may have written it. The lock is held.
func (r *Registry) storeEntry(entry *Replica) {
	if reason := r.holdReason(entry); reason != holdNone {
		r.hold(entry, reason)
		return
	}
	r.useEntry(entry, r.clock.Now())
}

// useEntry uses an entry that arrived at the given time. The lock is held.
func (r *Registry) useEntry(entry *Replica, arrivedAt clock.Time) {
	now := r.clock.Now()
	delete(r.held, entry.ID)
	delete(r.removalDue, entry.ID)
	delete(r.lapsed, entry.ID)
	if r.replicas[entry.ID] == nil && r.restored.unusedNow(entry, now) {
		r.departures.Returned = append(r.departures.Returned, entry.ID)
	}
	if known := r.replicas[entry.ID]; entry.Draining && known != nil && !known.Draining {
		r.departures.Draining = append(r.departures.Draining, entry.ID)
		r.noteDeparture(entry, entry.Sequence)
	}
	entry = r.restored.withNewerGroup(entry, r.replicas[entry.ID], now)
	r.dropSuperseded(entry)
	r.replicas[entry.ID], r.usedAt[entry.ID] = entry, now
	if entry.ColdFor > 0 {
		r.coldUntil[entry.ID] = arrivedAt.Add(entry.ColdFor)
	} else {
		delete(r.coldUntil, entry.ID)
	}
}

// entryRemoved drops an entry that the store no longer lists, or keeps it while removals are uncertain. The lock is held.
func (r *Registry) entryRemoved(id string) {
	delete(r.held, id)
	if _, known := r.replicas[id]; !known {
		if l, lapsed := r.lapsed[id]; lapsed {
			now := r.clock.Now()
			r.lapsed[id] = lapsedEntry{replica: l.replica, newestAt: now, removedAt: now}
		}
		return
	}
	if until := r.removalsUncertainUntil(); r.clock.Now() < until {
		if _, waiting := r.removalDue[id]; !waiting {
			r.removalDue[id] = until
			r.departures.Kept = append(r.departures.Kept, id)
		}
		return
	}
	r.removeEntry(id)
}

// markOverwritten records that the store holds an entry of another writer in place of a removed one. The lock is held.
func (r *Registry) markOverwritten(id string) {
	if l, lapsed := r.lapsed[id]; lapsed {
		l.overwritten = true
		r.lapsed[id] = l
	}
}

func (r *Registry) removeEntry(id string) {
	r.departures.Removed = append(r.departures.Removed, id)
	r.noteDeparture(r.replicas[id], r.replicas[id].Sequence+1)
	now := r.clock.Now()
	r.lapsed[id] = lapsedEntry{replica: r.withObservation(r.replicas[id]), newestAt: now, removedAt: now}
	delete(r.replicas, id)
	delete(r.usedAt, id)
	delete(r.observations, id)
	delete(r.coldUntil, id)
	delete(r.removalDue, id)
}

// Expire drops entries whose grace time after an outage is over, and old observations and lapsed entries. It is to be called
// periodically.
func (r *Registry) Expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	dropped := r.expireObservations(now)
	dropped = r.restored.expire(now) || dropped
	dropped = r.useHeld(now) || dropped
	for id, l := range r.lapsed {
		if now.Sub(l.removedAt) > lapsedRetention {
			delete(r.lapsed, id)
		}
	}
	for id, at := range r.removalDue {
		if now >= at {
			r.removeEntry(id)
			dropped = true
		}
	}
	if dropped {
		r.publish()
	}
}

// withStatement returns the entry, marked as draining if the replica has stated that it is leaving, if it was removed before the store
// came back from an older copy, or if the store lists a held entry that says so. The lock is held.
func (r *Registry) withStatement(entry *Replica) *Replica {
	leaving := r.statements != nil && r.statements.Leaving(entry.Incarnation().Target()) || r.restored.unusedNow(entry, r.clock.Now())
	if held := r.heldOf(entry); held != nil && held.entry.Draining {
		leaving = true
	}
	if entry.Draining || !leaving {
		return entry
	}
	merged := *entry
	merged.Draining = true
	return &merged
}

// publish replaces the snapshot that View returns. The lock is held.
func (r *Registry) publish() {
	evacuated := r.restored.evacuated(r.evacuated)
	v := &View{Replicas: make(map[string]*Replica, len(r.replicas)), ColdUntil: maps.Clone(r.coldUntil), Evacuated: evacuated,
		ByService: map[string][]*Replica{}, Config: r.config, Lapsed: map[string]*Replica{}}
	for id, l := range r.lapsed {
		v.Lapsed[id] = l.replica
	}
	r.sortIDs()
	for _, id := range r.sortedIDs {
		entry := r.replicas[id]
		replica := r.withStatement(r.withObservation(entry))
		v.Replicas[id] = replica
		if until := max(r.restored.coldUntil(entry), r.heldOf(entry).coldUntil()); until > v.ColdUntil[id] {
			v.ColdUntil[id] = until
		}
		if !replica.Draining && !evacuated[replica.Zone] {
			v.ByService[replica.Service] = append(v.ByService[replica.Service], replica)
		}
	}
	r.view.Store(v)
}

// sortIDs sets sortedIDs. Most changes are to entries that are known, so that the IDs of the snapshot before can be used. The lock is held.
func (r *Registry) sortIDs() {
	same := len(r.sortedIDs) == len(r.replicas)
	for i := 0; same && i < len(r.sortedIDs); i++ {
		_, same = r.replicas[r.sortedIDs[i]]
	}
	if !same {
		r.sortedIDs = slices.Sorted(maps.Keys(r.replicas))
	}
}
