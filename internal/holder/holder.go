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

// Kind is the kind of the holder tables in the object API; the name is the failure domain.
const Kind = "holders"

const (
	maxWriteAttempts = 8                     // Conditional writes of one change before it is left to the next step.
	maxRetryJitter   = 50 * time.Millisecond // Several round trips, so that writers in conflict spread out.
	defaultInterval  = 250 * time.Millisecond
	watchTimeout     = 20 * time.Second
	movesPerSecond   = 2
	// pruneAfter is how long a target is unknown before its holder removes it from the table. It exceeds the lag
	// between nodes that learn of a new target.
	pruneAfter = time.Minute
)

// Members is what a holder needs to know about the entry nodes.
type Members interface {
	// Nodes returns all listed nodes, this one included.
	Nodes() []Node
	// RightToServe reports a platform lease or contact with a majority. A peer that started less than term + margin ago
	// must not count towards a majority, because it doesn't know of takeovers by path M.
	RightToServe() bool
	PlatformReachable() bool
}

// Options configures a Holders.
type Options struct {
	Self Identity
	// Platform is the object API. This node's lease record must name its incarnation before Run is called, so that an
	// earlier incarnation can no longer renew.
	Platform Platform
	Members  Members
	Term     time.Duration // Lease term.
	Margin   time.Duration // Added to the term before a takeover.
	Interval time.Duration // Between two steps; 250 ms if zero.
	// Now is the monotonic clock; the process clock if nil.
	Now   func() time.Duration
	Log   logrus.FieldLogger
	Meter metric.Meter
	// BeforeRelease waits until the work in flight at a target leaves room for that of a new holder, and returns false if
	// its time limit passes first. The target is no longer held while it runs.
	BeforeRelease func(ctx context.Context, target string) bool
}

// Held is the state of a target that this node holds.
type Held struct {
	Epoch uint64
	// InDoubt is true if another node may still send to the target. The doubt of the whole node, which has only one of
	// the two bases of its right to serve, is known to membership and comes on top.
	InDoubt bool
}

// Takeover is a takeover by path M, announced to peers until it is in the table.
type Takeover struct {
	Target Target
	Entry  Entry
	// TableEpoch is the epoch of the table's entry at the takeover; a table with a higher one supersedes it.
	TableEpoch uint64
}

type table struct {
	version uint64
	entries map[string]Entry
}

// doubt is set before the write of a takeover, so that it also applies if the write takes effect after its reply is lost.
type inDoubtEntry struct {
	epoch uint64
	// until is zero until the entry was seen in the table. The doubt ends with the first step after it at which no node
	// is cut off.
	until time.Duration
}

// Holders follows the holder tables and takes part in them. Its methods may be called concurrently.
type Holders struct {
	opts          Options
	changeCounter metric.Int64Counter

	handovers sync.WaitGroup
	writeMu   sync.Mutex // Held over a whole change of a table; taken before mu.

	mu           sync.Mutex
	targets      map[string]Target
	tables       map[string]table // By failure domain.
	tableEntries map[string]Entry // Union of the tables.
	// stale is true until the tables are read, at the start and after a loss of the right to serve.
	needsReread bool
	// cutOffUntil is term + margin after a node was last seen to serve by the majority only. A restart under its name
	// hides such a process from the node list before it has stopped.
	cutOffUntil        time.Duration
	rightConfirmedAt   time.Duration // When the right to serve was last seen.
	listVersion        uint64        // Highest version of a list that was read.
	inDoubt            map[string]inDoubtEntry
	entryChangedAt     map[string]time.Duration   // When the table's entry of a target was seen to change.
	targetMissingSince map[string]time.Duration   // Since when a target with an entry of this node is not in targets.
	releasing          map[string]bool            // Targets whose handover is in progress or has an unknown outcome.
	unsettledHandovers map[string][]string        // By failure domain: targets whose handover has an unknown outcome.
	takeovers          map[string]Takeover        // By target; own ones and those of peers.
	acks               map[string]map[string]bool // Nodes that know of this node's takeover, by target.
	listedNodes        int                        // Number of listed nodes.
	absentSince        map[Identity]time.Duration
	lastBalancedAt     time.Duration
	draining           bool
}

// New returns a Holders; call Run to start it.
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

// Run follows the tables and takes, keeps and hands over targets until ctx ends.
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

// currentEntryLocked returns the current holder of a target, including takeovers that are not in the table yet.
func (h *Holders) currentEntryLocked(id string) (Entry, bool) {
	e, ok := h.tableEntries[id]
	if t, pending := h.takeovers[id]; pending && t.Entry.Epoch > e.Epoch {
		return t.Entry, true
	}
	return e, ok
}

func (h *Holders) heldLocked(id string) (Held, bool) {
	e, ok := h.currentEntryLocked(id)
	if !ok || h.needsReread || e.Identity != h.opts.Self || h.releasing[id] {
		return Held{}, false
	}
	_, unwritten := h.takeovers[id]
	if unwritten && 2*len(h.acks[id]) <= h.listedNodes {
		return Held{}, false
	}
	d, doubtful := h.inDoubt[id]
	doubtful = doubtful && d.epoch == e.Epoch
	return Held{Epoch: e.Epoch, InDoubt: unwritten || doubtful}, true
}

// right tells whether this node may serve by what it last read. A node without the right, or not running, for a lease
// term may have lost targets since, also to nodes that hold them without doubt.
func (h *Holders) confirmRight() bool {
	ok := h.opts.Members.RightToServe()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	if !ok || now-h.rightConfirmedAt > h.opts.Term {
		h.needsReread = true
	}
	if ok {
		h.rightConfirmedAt = now
	}
	return ok && !h.needsReread
}

// Holds tells whether this node may send to a target now.
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

// HolderOf returns the node that holds a target as far as this node knows.
func (h *Holders) HolderOf(id string) (node string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.currentEntryLocked(id)
	return e.Name, ok
}

// Takeovers returns the known takeovers by path M that are not in the table yet. They include those of peers, so that
// a node which returns hears of them although the process that took its targets has been replaced.
func (h *Holders) Takeovers() []Takeover {
	h.mu.Lock()
	defer h.mu.Unlock()
	var known []Takeover
	for _, id := range slices.Sorted(maps.Keys(h.takeovers)) {
		known = append(known, h.takeovers[id])
	}
	return known
}

// NoteTakeovers records what the Takeovers of a peer returned. A takeover of this node that a peer returns is known there;
// this node sends to the target only once a majority of the nodes knows, because the old holder is without doubt only if
// it is in contact with a majority, too.
func (h *Holders) NoteTakeovers(peer string, takeovers []Takeover) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, takeover := range takeovers {
		if own, ok := h.takeovers[takeover.Target.ID]; ok && own == takeover && takeover.Entry.Identity == h.opts.Self {
			h.acks[takeover.Target.ID][peer] = true
			continue
		}
		if h.tableEntries[takeover.Target.ID].Epoch > takeover.TableEpoch {
			continue // A lower epoch only means that this node has yet to read the table.
		}
		known, ok := h.takeovers[takeover.Target.ID]
		// Two nodes that see different peers as live can both take a target. The rendezvous score alone decides, so
		// that both agree.
		if !ok || takeover.Entry.Epoch > known.Entry.Epoch || takeover.Entry.Epoch == known.Entry.Epoch &&
			Score(takeover.Target.ID, takeover.Entry.Name) > Score(takeover.Target.ID, known.Entry.Name) {
			h.takeovers[takeover.Target.ID] = takeover
		}
	}
}

// input assembles what Decide needs; ok is false before the tables were read.
func (h *Holders) decisionInput() (in Input, ok bool) {
	members := h.opts.Members
	nodes, right, reachable := members.Nodes(), h.confirmRight(), members.PlatformReachable()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listedNodes = len(nodes)
	now := h.opts.Now()
	in = Input{
		Self: h.opts.Self, Nodes: nodes, RightToServe: right, PlatformReachable: reachable,
		Entries: make(map[string]Entry, len(h.targets)), Absent: h.absentLocked(nodes, now),
		Fixed: map[string]bool{},
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

// absentLocked returns the holders that no listed node has matched for term + margin. The wait covers a node list that
// lags behind the tables, and the lease of an earlier incarnation.
func (h *Holders) absentLocked(nodes []Node, now time.Duration) map[Identity]bool {
	listed := map[Identity]bool{}
	for _, n := range nodes {
		listed[n.Identity] = true
	}
	absent, absentSince := map[Identity]bool{}, map[Identity]time.Duration{}
	for id := range h.targets {
		e, ok := h.currentEntryLocked(id)
		if !ok || listed[e.Identity] {
			continue
		}
		firstAbsent, known := h.absentSince[e.Identity]
		if !known {
			firstAbsent = now
		}
		absentSince[e.Identity] = firstAbsent
		absent[e.Identity] = now-firstAbsent >= h.opts.Term+h.opts.Margin
	}
	h.absentSince = absentSince
	return absent
}

// Step decides once and carries the decision out. Run calls it periodically.
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
	for _, t := range decision.Acquire {
		// The holder that is taken over from may itself have taken the target a moment ago, from one that still sends.
		t.InDoubt = t.InDoubt || t.Path != PathFree && h.earlierHolderMaySend(t.Target.ID)
		if t.Path == PathMajority {
			h.takeOverByMajority(ctx, t)
			continue
		}
		byDomain[t.Target.FailureDomain] = append(byDomain[t.Target.FailureDomain], t)
	}
	if input.PlatformReachable && input.RightToServe {
		for _, t := range h.Takeovers() {
			if t.Entry.Identity != h.opts.Self {
				continue
			}
			byDomain[t.Target.FailureDomain] = append(byDomain[t.Target.FailureDomain],
				Acquisition{Target: t.Target, From: Entry{Epoch: t.TableEpoch}, Path: PathMajority, InDoubt: true})
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		if err := h.writeAcquisitions(ctx, domain, byDomain[domain]); err != nil {
			h.opts.Log.WithError(err).WithField("failure_domain", domain).Warn("targets were not taken")
		}
	}
	if len(decision.HandOver) > 0 {
		h.mu.Lock()
		h.lastBalancedAt = h.opts.Now()
		h.mu.Unlock()
		// Work in flight may take long to finish; takeovers must not wait for it.
		h.handovers.Go(func() { h.executeMoves(ctx, decision.HandOver) })
	}
}

// earlierHolderMaySend tells whether a holder before the last one may still send to a target.
func (h *Holders) earlierHolderMaySend(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.opts.Now()
	return now < h.cutOffUntil || now-h.entryChangedAt[id] < h.opts.Term+h.opts.Margin
}

// prune removes entries of this node whose targets have not existed for pruneAfter. Entries of other nodes stay: their
// holder may know a target that this node has not learned of.
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
			h.opts.Log.WithError(err).WithField("failure_domain", domain).Warn("entries of old targets were not removed")
		}
	}
}

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
	h.opts.Log.WithFields(logrus.Fields{"target": acquisition.Target.ID, "from": acquisition.From.Name}).Info("target taken without the platform")
}

// take writes this node as the holder of targets of one failure domain, all in one write.
func (h *Holders) writeAcquisitions(ctx context.Context, domain string, acquisitions []Acquisition) error {
	taken := 0
	err := h.updateTable(ctx, domain, func(t *schema.HolderTable) bool {
		taken = 0
		for _, acquisition := range acquisitions {
			e, exists := t.Holders[acquisition.Target.ID]
			if acquisition.Path == PathMajority && e.GetEpoch() != acquisition.From.Epoch {
				continue
			}
			if acquisition.Path != PathMajority && !h.tableMatches(acquisition, entryOf(e)) || acquisition.Path != PathFree && !exists {
				continue
			}
			next := h.nextEpoch(acquisition, e.GetEpoch())
			if acquisition.InDoubt {
				h.markInDoubt(acquisition.Target.ID, next)
			}
			t.Holders[acquisition.Target.ID] = &schema.Holder{Node: h.opts.Self.Name, Incarnation: h.opts.Self.Incarnation, Epoch: next}
			taken++
		}
		return taken > 0
	})
	if err == nil && taken > 0 {
		h.countChanges(ctx, "platform", taken)
	}
	return err
}

// nextEpoch returns the epoch to write; a takeover by path M keeps the one that was announced.
func (h *Holders) nextEpoch(acquisition Acquisition, tableEpoch uint64) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t, ok := h.takeovers[acquisition.Target.ID]; ok && t.Entry.Identity == h.opts.Self {
		return t.Entry.Epoch
	}
	return max(tableEpoch, acquisition.From.Epoch) + 1
}

// current tells whether the table still agrees with a decision. It has an older entry if the last holder had not written
// its takeover.
func (h *Holders) tableMatches(acquisition Acquisition, e Entry) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, unwritten := h.takeovers[acquisition.Target.ID]
	return e == acquisition.From || unwritten && t.Entry == acquisition.From && t.TableEpoch == e.Epoch
}

func (h *Holders) markInDoubt(id string, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inDoubt[id] = inDoubtEntry{epoch: epoch}
}
