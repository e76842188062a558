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
	maxAttempts     = 8                     // Conditional writes of one change before it is left to the next step.
	maxRetryJitter  = 50 * time.Millisecond // Several round trips, so that writers in conflict spread out.
	defaultInterval = 250 * time.Millisecond
	watchWait       = 20 * time.Second
	movesPerSecond  = 2
	// forgetAfter is how long a target is unknown before its holder removes it from the table. It exceeds the lag
	// between nodes that learn of a new target.
	forgetAfter = time.Minute
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
type doubt struct {
	epoch uint64
	// until is zero until the entry was seen in the table. The doubt ends with the first step after it at which no node
	// is cut off.
	until time.Duration
}

// Holders follows the holder tables and takes part in them. Its methods may be called concurrently.
type Holders struct {
	o     Options
	moves metric.Int64Counter

	moving sync.WaitGroup
	write  sync.Mutex // Held over a whole change of a table; taken before mu.

	mu       sync.Mutex
	targets  map[string]Target
	tables   map[string]table // By failure domain.
	byTarget map[string]Entry // Union of the tables.
	// stale is true until the tables are read, at the start and after a loss of the right to serve.
	stale bool
	// cutOffUntil is term + margin after a node was last seen to serve by the majority only. A restart under its name
	// hides such a process from the node list before it has stopped.
	cutOffUntil time.Duration
	rightAt     time.Duration // When the right to serve was last seen.
	readVer     uint64        // Highest version of a list that was read.
	doubts      map[string]doubt
	changed     map[string]time.Duration   // When the table's entry of a target was seen to change.
	unknown     map[string]time.Duration   // Since when a target with an entry of this node is not in targets.
	releasing   map[string]bool            // Targets whose handover is in progress or has an unknown outcome.
	unsettled   map[string][]string        // By failure domain: targets whose handover has an unknown outcome.
	takeovers   map[string]Takeover        // By target; own ones and those of peers.
	acks        map[string]map[string]bool // Nodes that know of this node's takeover, by target.
	listed      int                        // Number of listed nodes.
	absent      map[Identity]time.Duration
	lastMove    time.Duration
	draining    bool
}

// New returns a Holders; call Run to start it.
func New(o Options) *Holders {
	if o.Interval == 0 {
		o.Interval = defaultInterval
	}
	if o.Now == nil {
		start := time.Now()
		o.Now = func() time.Duration { return time.Since(start) }
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	if o.Meter == nil {
		o.Meter = noop.Meter{}
	}
	h := &Holders{
		stale: true,
		o:     o, targets: map[string]Target{}, tables: map[string]table{}, byTarget: map[string]Entry{},
		doubts: map[string]doubt{}, changed: map[string]time.Duration{}, unknown: map[string]time.Duration{},
		releasing: map[string]bool{}, unsettled: map[string][]string{}, takeovers: map[string]Takeover{},
		acks: map[string]map[string]bool{}, absent: map[Identity]time.Duration{},
	}
	moves, err := o.Meter.Int64Counter("cassiadeal.holder.changes",
		metric.WithDescription("Targets taken or handed over by this node, by path."))
	if err != nil {
		o.Log.WithError(err).Warn("counter of holder changes is not available")
		moves = noop.Int64Counter{}
	}
	h.moves = moves
	return h
}

// SetTargets sets the targets that are to have a holder.
func (h *Holders) SetTargets(ts []Target) {
	m := make(map[string]Target, len(ts))
	for _, t := range ts {
		m[t.ID] = t
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.targets = m
}

// Run follows the tables and takes, keeps and hands over targets until ctx ends.
func (h *Holders) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	defer h.moving.Wait()
	wg.Go(func() { h.follow(ctx) })
	tick := time.NewTicker(h.o.Interval)
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

// effectiveLocked returns the current holder of a target, including takeovers that are not in the table yet.
func (h *Holders) effectiveLocked(id string) (Entry, bool) {
	e, ok := h.byTarget[id]
	if t, taken := h.takeovers[id]; taken && t.Entry.Epoch > e.Epoch {
		return t.Entry, true
	}
	return e, ok
}

func (h *Holders) heldLocked(id string) (Held, bool) {
	e, ok := h.effectiveLocked(id)
	if !ok || h.stale || e.Identity != h.o.Self || h.releasing[id] {
		return Held{}, false
	}
	_, unwritten := h.takeovers[id]
	if unwritten && 2*len(h.acks[id]) <= h.listed {
		return Held{}, false
	}
	d, doubtful := h.doubts[id]
	doubtful = doubtful && d.epoch == e.Epoch
	return Held{Epoch: e.Epoch, InDoubt: unwritten || doubtful}, true
}

// right tells whether this node may serve by what it last read. A node without the right, or not running, for a lease
// term may have lost targets since, also to nodes that hold them without doubt.
func (h *Holders) right() bool {
	ok := h.o.Members.RightToServe()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.o.Now()
	if !ok || now-h.rightAt > h.o.Term {
		h.stale = true
	}
	if ok {
		h.rightAt = now
	}
	return ok && !h.stale
}

// Holds tells whether this node may send to a target now.
func (h *Holders) Holds(id string) (Held, bool) {
	if !h.right() {
		return Held{}, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.heldLocked(id)
}

// Held returns all targets that this node may send to.
func (h *Holders) Held() map[string]Held {
	held := map[string]Held{}
	if !h.right() {
		return held
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.targets {
		if s, ok := h.heldLocked(id); ok {
			held[id] = s
		}
	}
	return held
}

// HolderOf returns the node that holds a target as far as this node knows.
func (h *Holders) HolderOf(id string) (node string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.effectiveLocked(id)
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
func (h *Holders) NoteTakeovers(peer string, ts []Takeover) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, t := range ts {
		if own, ok := h.takeovers[t.Target.ID]; ok && own == t && t.Entry.Identity == h.o.Self {
			h.acks[t.Target.ID][peer] = true
			continue
		}
		if h.byTarget[t.Target.ID].Epoch > t.TableEpoch {
			continue // A lower epoch only means that this node has yet to read the table.
		}
		old, ok := h.takeovers[t.Target.ID]
		// Two nodes that see different peers as live can both take a target. The rendezvous score alone decides, so
		// that both agree.
		if !ok || t.Entry.Epoch > old.Entry.Epoch || t.Entry.Epoch == old.Entry.Epoch &&
			Score(t.Target.ID, t.Entry.Name) > Score(t.Target.ID, old.Entry.Name) {
			h.takeovers[t.Target.ID] = t
		}
	}
}

// input assembles what Decide needs; ok is false before the tables were read.
func (h *Holders) input() (in Input, ok bool) {
	m := h.o.Members
	nodes, right, reachable := m.Nodes(), h.right(), m.PlatformReachable()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listed = len(nodes)
	now := h.o.Now()
	in = Input{
		Self: h.o.Self, Nodes: nodes, RightToServe: right, PlatformReachable: reachable,
		Entries: make(map[string]Entry, len(h.targets)), Absent: h.absentLocked(nodes, now),
		Fixed: map[string]bool{},
	}
	for _, id := range slices.Sorted(maps.Keys(h.targets)) {
		in.Targets = append(in.Targets, h.targets[id])
		if e, held := h.effectiveLocked(id); held {
			in.Entries[id] = e
		}
		if s, held := h.heldLocked(id); !held || s.InDoubt {
			in.Fixed[id] = true
		}
	}
	if !h.draining && now-h.lastMove >= time.Second {
		in.MaxMoves = movesPerSecond
	}
	if cutOff(nodes) {
		h.cutOffUntil = now + h.o.Term + h.o.Margin
	}
	maps.DeleteFunc(h.doubts, func(_ string, d doubt) bool {
		return d.until != 0 && now >= max(d.until, h.cutOffUntil)
	})
	return in, !h.stale && !h.draining
}

// absentLocked returns the holders that no listed node has matched for term + margin. The wait covers a node list that
// lags behind the tables, and the lease of an earlier incarnation.
func (h *Holders) absentLocked(nodes []Node, now time.Duration) map[Identity]bool {
	listed := map[Identity]bool{}
	for _, n := range nodes {
		listed[n.Identity] = true
	}
	gone, since := map[Identity]bool{}, map[Identity]time.Duration{}
	for id := range h.targets {
		e, ok := h.effectiveLocked(id)
		if !ok || listed[e.Identity] {
			continue
		}
		first, seen := h.absent[e.Identity]
		if !seen {
			first = now
		}
		since[e.Identity] = first
		gone[e.Identity] = now-first >= h.o.Term+h.o.Margin
	}
	h.absent = since
	return gone
}

// Step decides once and carries the decision out. Run calls it periodically.
func (h *Holders) Step(ctx context.Context) {
	in, ok := h.input()
	if !ok {
		return
	}
	if in.PlatformReachable && in.RightToServe {
		h.settleHandovers(ctx)
		h.prune(ctx)
	}
	d := Decide(in)
	byDomain := map[string][]Take{}
	for _, t := range d.Take {
		// The holder that is taken over from may itself have taken the target a moment ago, from one that still sends.
		t.InDoubt = t.InDoubt || t.Path != PathFree && h.earlierHolder(t.Target.ID)
		if t.Path == PathMajority {
			h.takeInMemory(ctx, t)
			continue
		}
		byDomain[t.Target.FailureDomain] = append(byDomain[t.Target.FailureDomain], t)
	}
	if in.PlatformReachable && in.RightToServe {
		for _, t := range h.Takeovers() {
			if t.Entry.Identity != h.o.Self {
				continue
			}
			byDomain[t.Target.FailureDomain] = append(byDomain[t.Target.FailureDomain],
				Take{Target: t.Target, From: Entry{Epoch: t.TableEpoch}, Path: PathMajority, InDoubt: true})
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		if err := h.take(ctx, domain, byDomain[domain]); err != nil {
			h.o.Log.WithError(err).WithField("failure_domain", domain).Warn("targets were not taken")
		}
	}
	if len(d.HandOver) > 0 {
		h.mu.Lock()
		h.lastMove = h.o.Now()
		h.mu.Unlock()
		// Work in flight may take long to finish; takeovers must not wait for it.
		h.moving.Go(func() { h.move(ctx, d.HandOver) })
	}
}

// earlierHolder tells whether a holder before the last one may still send to a target.
func (h *Holders) earlierHolder(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.o.Now()
	return now < h.cutOffUntil || now-h.changed[id] < h.o.Term+h.o.Margin
}

// prune removes entries of this node whose targets have not existed for forgetAfter. Entries of other nodes stay: their
// holder may know a target that this node has not learned of.
func (h *Holders) prune(ctx context.Context) {
	for domain, ids := range h.prunable() {
		err := h.change(ctx, domain, func(t *schema.HolderTable) bool {
			n := len(t.Holders)
			maps.DeleteFunc(t.Holders, func(id string, e *schema.Holder) bool {
				return slices.Contains(ids, id) && entryOf(e).Identity == h.o.Self
			})
			return len(t.Holders) < n
		})
		if err != nil {
			h.o.Log.WithError(err).WithField("failure_domain", domain).Warn("entries of old targets were not removed")
		}
	}
}

func (h *Holders) prunable() map[string][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	now, since, ids := h.o.Now(), map[string]time.Duration{}, map[string][]string{}
	for domain, t := range h.tables {
		for id, e := range t.entries {
			if _, exists := h.targets[id]; exists || e.Identity != h.o.Self {
				continue
			}
			first, seen := h.unknown[id]
			if !seen {
				first = now
			}
			since[id] = first
			if now-first >= forgetAfter {
				ids[domain] = append(ids[domain], id)
			}
		}
	}
	h.unknown = since
	return ids
}

func (h *Holders) count(ctx context.Context, path string, n int) {
	h.moves.Add(ctx, int64(n), metric.WithAttributes(pathKey.String(path)))
}

func (h *Holders) takeInMemory(ctx context.Context, t Take) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e, _ := h.effectiveLocked(t.Target.ID); e != t.From {
		return
	}
	h.acks[t.Target.ID] = map[string]bool{h.o.Self.Name: true}
	h.takeovers[t.Target.ID] = Takeover{
		Target: t.Target, Entry: Entry{h.o.Self, t.From.Epoch + 1}, TableEpoch: h.byTarget[t.Target.ID].Epoch,
	}
	h.count(ctx, "majority", 1)
	h.o.Log.WithFields(logrus.Fields{"target": t.Target.ID, "from": t.From.Name}).Info("target taken without the platform")
}

// take writes this node as the holder of targets of one failure domain, all in one write.
func (h *Holders) take(ctx context.Context, domain string, takes []Take) error {
	taken := 0
	err := h.change(ctx, domain, func(t *schema.HolderTable) bool {
		taken = 0
		for _, k := range takes {
			e, had := t.Holders[k.Target.ID]
			if k.Path == PathMajority && e.GetEpoch() != k.From.Epoch {
				continue
			}
			if k.Path != PathMajority && !h.current(k, entryOf(e)) || k.Path != PathFree && !had {
				continue
			}
			next := h.nextEpoch(k, e.GetEpoch())
			if k.InDoubt {
				h.setDoubt(k.Target.ID, next)
			}
			t.Holders[k.Target.ID] = &schema.Holder{Node: h.o.Self.Name, Incarnation: h.o.Self.Incarnation, Epoch: next}
			taken++
		}
		return taken > 0
	})
	if err == nil && taken > 0 {
		h.count(ctx, "platform", taken)
	}
	return err
}

// nextEpoch returns the epoch to write; a takeover by path M keeps the one that was announced.
func (h *Holders) nextEpoch(k Take, tableEpoch uint64) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if t, ok := h.takeovers[k.Target.ID]; ok && t.Entry.Identity == h.o.Self {
		return t.Entry.Epoch
	}
	return max(tableEpoch, k.From.Epoch) + 1
}

// current tells whether the table still agrees with a decision. It has an older entry if the last holder had not written
// its takeover.
func (h *Holders) current(k Take, e Entry) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, unwritten := h.takeovers[k.Target.ID]
	return e == k.From || unwritten && t.Entry == k.From && t.TableEpoch == e.Epoch
}

func (h *Holders) setDoubt(id string, epoch uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.doubts[id] = doubt{epoch: epoch}
}
