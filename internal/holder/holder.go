package holder

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// Kind is the object kind of holder tables in the platform's object API. An object's name is its failure domain.
const Kind = "holders"

const (
	maxWriteAttempts = 8                     // Conditional writes per change; then the change waits for the next step.
	maxRetryJitter   = 50 * time.Millisecond // Several round trips, so that conflicting writers spread out.
	defaultInterval  = 250 * time.Millisecond
	watchTimeout     = 20 * time.Second
	movesPerSecond   = 2
	// pruneAfter is the time that a target is missing from the configured targets before its holder removes it from the
	// table. It is longer than the lag with which nodes learn of a new target.
	pruneAfter = time.Minute
)

// Members provides the state of the entry nodes.
type Members interface {
	// Nodes returns all listed nodes, this one included.
	Nodes() []Node
	// RightToServe reports whether this node has a platform lease or is in contact with a majority of the nodes. A peer that
	// started less than term + margin ago must not count towards the majority, because it may not know of takeovers by
	// PathMajority yet.
	RightToServe() bool
	// PlatformReachable reports whether this node can currently read and write on the platform.
	PlatformReachable() bool
}

// Options configures Holders.
type Options struct {
	Self Identity
	// Platform is the object API. This node's lease record must name its incarnation before Run is called, so that an
	// earlier incarnation can no longer renew its lease.
	Platform Platform
	Members  Members
	Term     time.Duration // Lease term.
	Margin   time.Duration // Waited in addition to the term before a takeover.
	Interval time.Duration // Time between two steps; 250 ms if zero.
	// Now is a monotonic clock. If it is nil, the time since New is used.
	Now   func() time.Duration
	Log   logrus.FieldLogger
	Meter metric.Meter
	// BeforeRelease is called before a target is handed over. It waits until the work in flight at the target leaves room for
	// that of a new holder, and returns false if its time limit passes first. This node sends nothing to the target while it
	// runs. If it is nil, targets are handed over at once.
	BeforeRelease func(ctx context.Context, target string) bool
	// OnTakeover is called after this node took over targets without the platform, which its peers must acknowledge before it
	// sends to them. It must not block.
	OnTakeover func()
}

// Held is the state of a target that this node holds.
type Held struct {
	Epoch uint64
	// InDoubt is true if another node may still send to the target. It doesn't cover a node that has only one of a lease
	// and contact with a majority: all its targets are in doubt, which membership reports.
	InDoubt bool
}

// Takeover is a takeover by PathMajority. It is announced to peers until it is in the table.
type Takeover struct {
	Target Target
	Entry  Entry
	// TableEpoch is the epoch of the table's entry when the target was taken over. A table entry with a higher epoch
	// supersedes the takeover.
	TableEpoch uint64
}

// table is the last known version of the holder table of a failure domain. Its entries are keyed by target ID.
type table struct {
	version uint64
	entries map[string]Entry
}

// inDoubtEntry marks an entry that this node writes for a target which an earlier holder may still send to. It is recorded
// before the write, so that it also applies if the write takes effect although its reply is lost.
type inDoubtEntry struct {
	epoch uint64
	// until is zero until this node has read the entry from the table or its write has succeeded; then it is term + margin
	// after that. The doubt ends at the first step at which both until and Holders.cutOffUntil have passed.
	until time.Duration
}

// Holders keeps a copy of the holder tables and takes, keeps and hands over targets for this node. It is safe for
// concurrent use.
type Holders struct {
	opts          Options
	changeCounter metric.Int64Counter

	handovers sync.WaitGroup // Handovers for balance that are running.
	writeMu   sync.Mutex     // Locked during a whole change of a table; locked before mu.

	mu           sync.Mutex
	targets      map[string]Target
	tables       map[string]table // Keyed by failure domain.
	tableEntries map[string]Entry // Entries of all tables, keyed by target ID.
	// needsReread is true from the start, and from a loss of the right to serve, until all tables are read again.
	needsReread bool
	// cutOffUntil is term + margin after anyNodeCutOff was last true. The node list alone doesn't show whether such a
	// process has stopped: a process that starts under the same name replaces it in the list at once.
	cutOffUntil        time.Duration
	rightConfirmedAt   time.Duration // When this node last had the right to serve, or read all tables.
	listVersion        uint64        // Highest version at which all tables were listed.
	inDoubt            map[string]inDoubtEntry
	entryChangedAt     map[string]time.Duration   // When this node last read or wrote a change of a target's table entry.
	targetMissingSince map[string]time.Duration   // Since when a target that this node holds by the table is not in targets.
	releasing          map[string]bool            // Targets whose handover is in progress or has an unknown outcome.
	unsettledHandovers map[string][]string        // Targets whose handover has an unknown outcome, keyed by failure domain.
	takeovers          map[string]Takeover        // Keyed by target; takeovers of this node and of peers.
	acks               map[string]map[string]bool // Nodes that know of this node's takeover, keyed by target.
	listedNodes        int                        // Number of listed nodes.
	absentSince        map[Identity]time.Duration // Since when a holder matches no listed node.
	lastBalancedAt     time.Duration
	draining           bool
	era                uint64                   // Highest era of the store in which this node has read tables.
	eraNoticedAt       time.Duration            // When this node first read a table in that era.
	tablesReadAt       time.Duration            // Start of the last successful Reread.
	suspendedUntil     map[string]time.Duration // Until when this node doesn't send to a target that a restored table gives it.
}

// New returns Holders, which Run starts.
func New(opts Options) *Holders {
	if opts.Interval == 0 {
		opts.Interval = defaultInterval
	}
	if opts.Now == nil {
		start := time.Now()
		opts.Now = func() time.Duration { return time.Since(start) }
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	if opts.Meter == nil {
		opts.Meter = noop.Meter{}
	}
	h := &Holders{
		needsReread: true,
		opts:        opts, targets: map[string]Target{}, tables: map[string]table{}, tableEntries: map[string]Entry{},
		inDoubt: map[string]inDoubtEntry{}, entryChangedAt: map[string]time.Duration{}, targetMissingSince: map[string]time.Duration{},
		releasing: map[string]bool{}, unsettledHandovers: map[string][]string{}, takeovers: map[string]Takeover{},
		acks: map[string]map[string]bool{}, absentSince: map[Identity]time.Duration{},
		suspendedUntil: map[string]time.Duration{},
	}
	counter, err := opts.Meter.Int64Counter("cassiadeal.holder.changes",
		metric.WithDescription("Targets taken or handed over by this node, by path."))
	if err != nil {
		opts.Log.WithError(err).Warn("counter of holder changes is not available")
		counter = noop.Int64Counter{}
	}
	h.changeCounter = counter
	return h
}

// SetTargets sets the targets that are to have a holder.
func (h *Holders) SetTargets(targets []Target) {
	byID := make(map[string]Target, len(targets))
	for _, t := range targets {
		byID[t.ID] = t
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.targets = byID
}

// Run watches the tables and takes, keeps and hands over targets until ctx ends.
func (h *Holders) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer h.handovers.Wait()
	wg.Go(func() { h.watchTables(ctx) })
	tick := time.NewTicker(h.opts.Interval)
	defer tick.Stop()
	for {
		h.Step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// currentEntryLocked returns the current entry of a target, including takeovers that are not in the table yet.
func (h *Holders) currentEntryLocked(id string) (Entry, bool) {
	e, ok := h.tableEntries[id]
	if t, pending := h.takeovers[id]; pending && t.Entry.Epoch > e.Epoch {
		return t.Entry, true
	}
	return e, ok
}

// heldLocked reports whether this node is the holder of a target and may send to it, given the right to serve. A takeover
// that is not in the table yet counts once more than half of the listed nodes know of it.
func (h *Holders) heldLocked(id string) (Held, bool) {
	entry, ok := h.currentEntryLocked(id)
	if !ok || h.needsReread || entry.Identity != h.opts.Self || h.releasing[id] || h.opts.Now() < h.suspendedUntil[id] {
		return Held{}, false
	}
	_, unwritten := h.takeovers[id]
	if unwritten && 2*len(h.acks[id]) <= h.listedNodes {
		return Held{}, false
	}
	doubt, inDoubt := h.inDoubt[id]
	inDoubt = inDoubt && doubt.epoch == entry.Epoch
	return Held{Epoch: entry.Epoch, InDoubt: unwritten || inDoubt}, true
}

// confirmRight reports whether this node has the right to serve and a valid copy of the tables. After it was without the
// right, or did not check for more than a lease term, for example because the process was suspended, it must read the tables
// again: it may have lost targets meanwhile, also to nodes that hold them without doubt.
func (h *Holders) confirmRight() bool {
	hasRight := h.opts.Members.RightToServe()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	if !hasRight || now-h.rightConfirmedAt > h.opts.Term {
		h.needsReread = true
	}
	if hasRight {
		h.rightConfirmedAt = now
	}
	return hasRight && !h.needsReread
}

// Holds reports whether this node may send to a target now.
func (h *Holders) Holds(id string) (Held, bool) {
	if !h.confirmRight() {
		return Held{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heldLocked(id)
}

// Held returns all targets that this node may send to.
func (h *Holders) Held() map[string]Held {
	held := map[string]Held{}
	if !h.confirmRight() {
		return held
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.targets {
		if state, ok := h.heldLocked(id); ok {
			held[id] = state
		}
	}
	return held
}

// HolderOf returns the name of the node that holds a target, according to what this node last read or received.
func (h *Holders) HolderOf(id string) (node string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.currentEntryLocked(id)
	return e.Name, ok
}

// Takeovers returns the known takeovers by PathMajority that are not in the table yet. Those of peers are included, so that
// a node that reconnects learns who took over its targets even if that process has been replaced.
func (h *Holders) Takeovers() []Takeover {
	h.mu.Lock()
	defer h.mu.Unlock()
	var known []Takeover
	for _, id := range slices.Sorted(maps.Keys(h.takeovers)) {
		known = append(known, h.takeovers[id])
	}
	return known
}

// NoteTakeovers records the takeovers that a peer's Takeovers returned. If they include a takeover of this node, the peer
// has acknowledged it. This node sends to a target that it took over only after a majority has acknowledged: the old holder
// holds the target without doubt only while it is in contact with a majority, and any two majorities have a node in common.
func (h *Holders) NoteTakeovers(peer string, takeovers []Takeover) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, takeover := range takeovers {
		if own, ok := h.takeovers[takeover.Target.ID]; ok && own.Target == takeover.Target && own.Entry == takeover.Entry && takeover.Entry.Identity == h.opts.Self {
			h.acks[takeover.Target.ID][peer] = true
			continue
		}
		if h.tableEntries[takeover.Target.ID].Epoch > takeover.TableEpoch {
			continue // The table supersedes it. A lower epoch only means that this node has not read the newer table yet.
		}
		known, ok := h.takeovers[takeover.Target.ID]
		// Two nodes with different views of the live nodes can both take a target at the same epoch. The rendezvous score
		// alone decides between them, so that all nodes agree.
		if !ok || takeover.Entry.Epoch > known.Entry.Epoch || takeover.Entry.Epoch == known.Entry.Epoch &&
			Score(takeover.Target.ID, takeover.Entry.Name) > Score(takeover.Target.ID, known.Entry.Name) {
			h.takeovers[takeover.Target.ID] = takeover
			if takeover.Entry.Identity == h.opts.Self {
				// A restore of the store took the entry before this node read it.
				h.acks[takeover.Target.ID] = map[string]bool{h.opts.Self.Name: true, peer: true}
			}
		}
	}
}

// decisionInput returns the input of Decide. ok is false if the tables must be read first or this node is draining. It also
// removes doubts that have ended.
func (h *Holders) decisionInput() (in Input, ok bool) {
	members := h.opts.Members
	nodes, rightToServe, reachable := members.Nodes(), h.confirmRight(), members.PlatformReachable()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listedNodes = len(nodes)
	now := h.opts.Now()
	in = Input{
		Self: h.opts.Self, Nodes: nodes, RightToServe: rightToServe, PlatformReachable: reachable,
		Entries: make(map[string]Entry, len(h.targets)), Absent: h.absentLocked(nodes, now),
		Fixed: map[string]bool{}, Restored: h.restoreGraceLocked(now), EverRestored: h.era > 0,
	}
	for _, id := range slices.Sorted(maps.Keys(h.targets)) {
		in.Targets = append(in.Targets, h.targets[id])
		if e, held := h.currentEntryLocked(id); held {
			in.Entries[id] = e
		}
		if state, held := h.heldLocked(id); !held || state.InDoubt {
			in.Fixed[id] = true
		}
	}
	if !h.draining && now-h.lastBalancedAt >= time.Second {
		in.MaxMoves = movesPerSecond
	}
	if anyNodeCutOff(nodes) {
		h.cutOffUntil = now + h.opts.Term + h.opts.Margin
	}
	maps.DeleteFunc(h.inDoubt, func(_ string, d inDoubtEntry) bool {
		return d.until != 0 && now >= max(d.until, h.cutOffUntil)
	})
	return in, !h.needsReread && !h.draining
}

// absentLocked returns the holders that match no listed node, with the value true for those that have matched none for
// term + margin. That time allows for a node list that is older than the tables, and for the lease of an earlier
// incarnation to end.
func (h *Holders) absentLocked(nodes []Node, now time.Duration) map[Identity]bool {
	listed := map[Identity]bool{}
	for _, n := range nodes {
		listed[n.Identity] = true
	}
	absent, absentSince := map[Identity]bool{}, map[Identity]time.Duration{}
	for id := range h.targets {
		entry, ok := h.currentEntryLocked(id)
		if !ok || listed[entry.Identity] {
			continue
		}
		firstAbsent, known := h.absentSince[entry.Identity]
		if !known {
			firstAbsent = now
		}
		absentSince[entry.Identity] = firstAbsent
		absent[entry.Identity] = now-firstAbsent >= h.opts.Term+h.opts.Margin
	}
	h.absentSince = absentSince
	return absent
}

// Step makes one decision and carries it out. Run calls it periodically.
func (h *Holders) Step(ctx context.Context) {
	input, ok := h.decisionInput()
	if !ok {
		return
	}
	if input.PlatformReachable && input.RightToServe {
		h.settleHandovers(ctx)
		h.pruneEntries(ctx)
	}
	decision := Decide(input)
	byDomain := map[string][]Acquisition{}
	takenByMajority := false
	for _, t := range decision.Acquire {
		// The previous holder may itself have taken the target recently, from a node that still sends to it.
		t.InDoubt = t.InDoubt || t.Path != PathFree && h.earlierHolderMaySend(t.Target.ID)
		if t.Path == PathMajority {
			h.takeOverByMajority(ctx, t)
			takenByMajority = true
			continue
		}
		byDomain[t.Target.FailureDomain] = append(byDomain[t.Target.FailureDomain], t)
	}
	if takenByMajority && h.opts.OnTakeover != nil {
		h.opts.OnTakeover()
	}
	if input.PlatformReachable && input.RightToServe {
		for _, t := range h.Takeovers() {
			if t.Entry.Identity != h.opts.Self || h.suspended(t.Target.ID) {
				continue
			}
			byDomain[t.Target.FailureDomain] = append(byDomain[t.Target.FailureDomain],
				Acquisition{Target: t.Target, From: Entry{Epoch: t.TableEpoch}, Path: PathMajority, InDoubt: true})
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		if err := h.writeAcquisitions(ctx, domain, byDomain[domain]); err != nil {
			h.opts.Log.WithError(err).WithField("failure_domain", domain).Warn("could not write this node as the holder of targets")
		}
	}
	if len(decision.HandOver) > 0 {
		h.mu.Lock()
		h.lastBalancedAt = h.opts.Now()
		h.mu.Unlock()
		// Work in flight may take long to finish. Takeovers must not wait for it, so moves run in the background.
		h.handovers.Go(func() { h.executeMoves(ctx, decision.HandOver) })
	}
}

// earlierHolderMaySend reports whether a holder before the previous one may still send to a target: a node was recently cut
// off from the platform, or the target's entry has changed within the last term + margin.
func (h *Holders) earlierHolderMaySend(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	return now < h.cutOffUntil || now-h.entryChangedAt[id] < h.opts.Term+h.opts.Margin
}

// pruneEntries removes table entries of this node whose targets have not been configured for pruneAfter. Entries of other
// nodes stay: their holders may already know a target that this node does not know yet.
func (h *Holders) pruneEntries(ctx context.Context) {
	for domain, ids := range h.prunableEntries() {
		err := h.updateTable(ctx, domain, func(t *schema.HolderTable) bool {
			n := len(t.Holders)
			maps.DeleteFunc(t.Holders, func(id string, e *schema.Holder) bool {
				return slices.Contains(ids, id) && entryOf(e).Identity == h.opts.Self
			})
			return len(t.Holders) < n
		})
		if err != nil {
			h.opts.Log.WithError(err).WithField("failure_domain", domain).Warn("could not remove table entries of targets that are no longer configured")
		}
	}
}

// prunableEntries returns the targets whose entries pruneEntries removes, keyed by failure domain.
func (h *Holders) prunableEntries() map[string][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, missingSince, prunable := h.opts.Now(), map[string]time.Duration{}, map[string][]string{}
	for domain, t := range h.tables {
		for id, e := range t.entries {
			if _, exists := h.targets[id]; exists || e.Identity != h.opts.Self {
				continue
			}
			firstMissing, known := h.targetMissingSince[id]
			if !known {
				firstMissing = now
			}
			missingSince[id] = firstMissing
			if now-firstMissing >= pruneAfter {
				prunable[domain] = append(prunable[domain], id)
			}
		}
	}
	h.targetMissingSince = missingSince
	return prunable
}

func (h *Holders) countChanges(ctx context.Context, path string, n int) {
	h.changeCounter.Add(ctx, int64(n), metric.WithAttributes(pathKey.String(path)))
}

// takeOverByMajority records a takeover that is announced to peers and written to the table later. It does nothing if the
// entry has changed since the decision.
func (h *Holders) takeOverByMajority(ctx context.Context, acquisition Acquisition) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e, _ := h.currentEntryLocked(acquisition.Target.ID); e != acquisition.From {
		return
	}
	h.acks[acquisition.Target.ID] = map[string]bool{h.opts.Self.Name: true}
	h.takeovers[acquisition.Target.ID] = Takeover{
		Target: acquisition.Target, Entry: Entry{h.opts.Self, acquisition.From.Epoch + 1}, TableEpoch: h.tableEntries[acquisition.Target.ID].Epoch,
	}
	h.countChanges(ctx, "majority", 1)
	h.opts.Log.WithFields(logrus.Fields{"target": acquisition.Target.ID, "from": acquisition.From.Name}).Info("took over a target while the platform is unreachable")
}

// writeAcquisitions makes this node the holder of targets of one failure domain, all in one write. It leaves out those whose
// table entry no longer agrees with the decision.
func (h *Holders) writeAcquisitions(ctx context.Context, domain string, acquisitions []Acquisition) error {
	var taken []Acquisition
	err := h.updateTable(ctx, domain, func(table *schema.HolderTable) bool {
		taken = nil
		for _, acquisition := range acquisitions {
			// An entry that doesn't exist has epoch 0, as in a takeover of a target whose entry a restore has taken.
			tableEntry := table.Holders[acquisition.Target.ID]
			if acquisition.Path == PathMajority && tableEntry.GetEpoch() != acquisition.From.Epoch {
				continue
			}
			if acquisition.Path != PathMajority && !h.tableMatches(acquisition, entryOf(tableEntry)) {
				continue
			}
			epoch := h.nextEpoch(acquisition, tableEntry.GetEpoch())
			if acquisition.InDoubt {
				h.markInDoubt(acquisition.Target.ID, epoch)
			}
			table.Holders[acquisition.Target.ID] = &schema.Holder{Node: h.opts.Self.Name, Incarnation: h.opts.Self.Incarnation, Epoch: epoch}
			taken = append(taken, acquisition)
		}
		return len(taken) > 0
	})
	if err != nil || len(taken) == 0 {
		return err
	}
	h.countChanges(ctx, "platform", len(taken))
	for _, a := range taken {
		h.opts.Log.WithFields(logrus.Fields{"target": a.Target.ID, "from": a.From.Name, "in_doubt": a.InDoubt}).Info("became the holder of a target")
	}
	return nil
}

// nextEpoch returns the epoch to write for a target. A takeover by PathMajority keeps the epoch that was announced.
func (h *Holders) nextEpoch(acquisition Acquisition, tableEpoch uint64) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t, ok := h.takeovers[acquisition.Target.ID]; ok && t.Entry.Identity == h.opts.Self {
		return t.Entry.Epoch
	}
	return max(tableEpoch, acquisition.From.Epoch) + 1
}

// tableMatches reports whether the table's entry still agrees with a decision: it is the entry that the decision replaces,
// or the one before it if the previous holder has not yet written its takeover to the table.
func (h *Holders) tableMatches(acquisition Acquisition, e Entry) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, unwritten := h.takeovers[acquisition.Target.ID]
	return e == acquisition.From || unwritten && t.Entry == acquisition.From && t.TableEpoch == e.Epoch
}

// markInDoubt records that this node holds a target in doubt if it becomes the holder at the given epoch.
func (h *Holders) markInDoubt(id string, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inDoubt[id] = inDoubtEntry{epoch: epoch}
}
