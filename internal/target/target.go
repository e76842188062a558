// Package target is the target table of a node: the replica groups and service back ends that this node sends to, what is
// known of their health, and the bounded queues of requests that wait for a slot.
//
// Table.mu is the only lock of the package. It is never held while probing or waiting. A Policy and the clock are called
// and metric counters are incremented under it; they must not block or call the table. Code that holds another lock may
// call the table, so mu is last in every lock order.
package target

import (
	"context"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Defaults of Options.
const (
	DefaultProbeInterval = 250 * time.Millisecond
	DefaultFreshness     = time.Second
)

// Member is one VM of a group, or the single process behind a service back end.
type Member struct {
	VM          string
	Address     string // host:port.
	Incarnation string // As seen when the group became ready. Ignored for services.
}

// Spec describes one target as the holder table, the plan and the rules define it.
type Spec struct {
	ID            string
	Destination   string // "pool/NAME" or "service/NAME".
	FailureDomain string
	Address       string   // host:port of rank 0 or of the back end.
	Members       []Member // By rank. A service back end may leave it empty.
	Group         string
	Number        uint64
	Limits        rules.Limits
	MaxQueue      int  // Queued requests of the destination; the largest of its targets applies.
	Draining      bool // Takes no new work; work in flight finishes.
	// InFlightCap bounds the requests in flight below the current limit while the target's share is being taken away; 0
	// for no bound.
	InFlightCap int
	InDoubt     bool // Another node may be sending to the target too.
}

func (s Spec) service() bool { return strings.HasPrefix(s.Destination, "service/") }

// sameProcesses tells whether the spec names the same processes in the same group as other.
func (s Spec) sameProcesses(other Spec) bool {
	return s.Destination == other.Destination && s.Address == other.Address && s.Group == other.Group &&
		s.Number == other.Number && slices.Equal(s.Members, other.Members)
}

// Options configures a Table. Zero durations get the defaults.
type Options struct {
	Probe        time.Duration // Mean interval between the probes of one member.
	ProbeTimeout time.Duration // Default: half the freshness bound.
	Freshness    time.Duration // Largest age of a report that permits a dispatch, counted from the sending of the probe.
	Prober       Prober
	Policy       Policy               // Default: Affinity.
	Now          func() time.Duration // Monotonic clock. Default: time since New.
	Log          logrus.FieldLogger
	Meter        metric.Meter
}

// Table holds the targets of one node. Its methods may be called concurrently.
type Table struct {
	options        Options
	probeCounter   metric.Int64Counter
	resetCounter   metric.Int64Counter
	refusalCounter metric.Int64Counter

	mu      sync.Mutex
	runCtx  context.Context // Nil until Run.
	targets map[string]*target
	queues  map[string]*queue
	lastSeq uint64
	probers sync.WaitGroup
}

type member struct {
	Member
	stopProbing     context.CancelFunc
	probeRequested  chan struct{} // Asks for a probe now.
	report          Report
	reportValid     bool          // report is usable.
	reportSentAt    time.Duration // Sending of the probe that gave report.
	lastProbeSentAt time.Duration // Sending of the last finished probe.
	everProbed      bool
	lastProbeError  error
}

type target struct {
	spec             Spec
	members          []*member
	inFlight         int
	limit            int           // Between the cold and the full limit.
	completions      int           // Completions towards the next step of limit.
	warm             bool          // limit reached the full limit by completions.
	resetCount       uint64        // Counts resets to the cold limit.
	removed          bool          // Kept only for its work in flight.
	lastUsableAt     time.Duration // When the target was last known to serve, or was added.
	connectionLostAt time.Duration // Last broken exchange; reports of probes sent before it don't count.
	changed          chan struct{} // Closed and replaced on each probe result and release.
}

// New returns an empty table.
func New(opt Options) *Table {
	if opt.Probe <= 0 {
		opt.Probe = DefaultProbeInterval
	}
	if opt.Freshness <= 0 {
		opt.Freshness = DefaultFreshness
	}
	if opt.ProbeTimeout <= 0 {
		opt.ProbeTimeout = opt.Freshness / 2
	}
	if opt.Policy == nil {
		opt.Policy = &Affinity{}
	}
	if opt.Now == nil {
		start := time.Now()
		opt.Now = func() time.Duration { return time.Since(start) }
	}
	if opt.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		opt.Log = discard
	}
	if opt.Meter == nil {
		opt.Meter = noop.NewMeterProvider().Meter("target")
	}
	if opt.Prober == nil {
		opt.Prober = NewHTTPProber()
	}
	t := &Table{options: opt, targets: map[string]*target{}, queues: map[string]*queue{}}
	t.probeCounter = t.newCounter("cassiadeal_target_probes_total", "Probes of target members by result.")
	t.resetCounter = t.newCounter("cassiadeal_target_cold_resets_total", "Resets of targets to their cold limit by reason.")
	t.refusalCounter = t.newCounter("cassiadeal_target_refusals_total", "Requests refused by the target table by result code.")
	return t
}

func (t *Table) newCounter(name, description string) metric.Int64Counter {
	c, err := t.options.Meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		t.options.Log.WithError(err).WithField("metric", name).Error("cannot create counter")
		c, _ = noop.NewMeterProvider().Meter("target").Int64Counter(name)
	}
	return c
}

func increment(counter metric.Int64Counter, key, value string) {
	counter.Add(context.Background(), 1, metric.WithAttributes(attribute.String(key, value)))
}

// SetSpecs replaces the set of targets. A target that stays keeps its requests in flight and its limit, unless the
// processes behind it changed: then it starts cold.
func (t *Table) SetSpecs(specs []Spec) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	listed := make(map[string]bool, len(specs))
	for _, s := range specs {
		s.Members = slices.Clone(s.Members)
		if s.service() && len(s.Members) == 0 {
			s.Members = []Member{{Address: s.Address}}
		}
		listed[s.ID] = true
		t.setSpecLocked(s, now)
	}
	for id, tgt := range t.targets {
		if !listed[id] && !tgt.removed {
			tgt.removed = true
			t.stopMembersLocked(tgt)
		}
		if tgt.removed && tgt.inFlight == 0 {
			tgt.notify()
			delete(t.targets, id)
		}
	}
	for _, q := range t.queues {
		t.grantSlotsLocked(q)
	}
	for name, q := range t.queues {
		if len(q.waiters) == 0 && len(t.targetsLocked(name)) == 0 {
			delete(t.queues, name)
		}
	}
}

func (t *Table) setSpecLocked(spec Spec, now time.Duration) {
	tgt := t.targets[spec.ID]
	if tgt != nil && !tgt.removed && tgt.spec.sameProcesses(spec) {
		oldLimits := tgt.spec.Limits
		tgt.spec = spec
		if oldLimits != spec.Limits {
			tgt.applyLimits()
		}
		return
	}
	if tgt == nil {
		tgt = &target{changed: make(chan struct{})}
		t.targets[spec.ID] = tgt
	} else {
		t.stopMembersLocked(tgt)
	}
	tgt.spec, tgt.removed, tgt.lastUsableAt = spec, false, now
	t.resetToColdLocked(tgt, "spec")
	tgt.members = nil
	for _, m := range spec.Members {
		tgt.members = append(tgt.members, &member{Member: m, probeRequested: make(chan struct{}, 1)})
	}
	if t.runCtx != nil {
		t.startMembersLocked(tgt)
	}
}

// applyLimits keeps a warm target at its limit, bounded by the new full limit; any other starts from the new cold limit.
func (tgt *target) applyLimits() {
	if !tgt.warm {
		tgt.limit, tgt.completions = tgt.spec.Limits.Cold, 0
		return
	}
	tgt.limit = max(min(tgt.limit, tgt.spec.Limits.Full), tgt.spec.Limits.Cold)
	tgt.warm = tgt.limit >= tgt.spec.Limits.Full
}

// resetToColdLocked puts the target back to its cold limit.
func (t *Table) resetToColdLocked(tgt *target, reason string) {
	tgt.limit, tgt.completions, tgt.warm = tgt.spec.Limits.Cold, 0, false
	tgt.resetCount++
	increment(t.resetCounter, "reason", reason)
}

func (tgt *target) notify() {
	close(tgt.changed)
	tgt.changed = make(chan struct{})
}

// effectiveLimit is the number of requests that this node may have in flight at the target.
func (tgt *target) effectiveLimit() int {
	limit := tgt.limit
	if tgt.spec.InDoubt && !tgt.warm {
		limit = max(0, min(tgt.spec.Limits.Cold/2, tgt.spec.Limits.Cold-tgt.inFlightOfOthers()))
	}
	if tgt.spec.InFlightCap > 0 {
		limit = min(limit, tgt.spec.InFlightCap)
	}
	return limit
}

// foreign returns the requests at the target that this node has not sent, as far as the last report tells. After a takeover
// in doubt they are those of a holder that was paused with work in flight.
func (tgt *target) inFlightOfOthers() int {
	if len(tgt.members) == 0 {
		return 0
	}
	r := tgt.members[0].report
	return max(0, r.Running+r.Waiting-tgt.inFlight)
}

// unusable returns why no request may be sent to the target, or "".
func (t *Table) unusableReason(tgt *target, now time.Duration) string {
	switch {
	case tgt.removed:
		return "not held by this node"
	case tgt.spec.Draining:
		return "draining"
	case len(tgt.members) == 0:
		return "no members"
	}
	for _, m := range tgt.members {
		if reason := m.unusableReason(tgt.spec, now, t.options.Freshness); reason != "" {
			return "member " + m.Address + ": " + reason
		}
	}
	return ""
}

func (m *member) unusableReason(s Spec, now, freshness time.Duration) string {
	r := m.report
	switch {
	case !m.reportValid:
		return "no report"
	case now-m.reportSentAt >= freshness:
		return "report too old"
	case s.service():
		return ""
	case r.Group != s.Group || r.Number != s.Number:
		return "in another group"
	case m.Incarnation == "" || r.Incarnation != m.Incarnation:
		return "another incarnation"
	case r.Loading:
		return "loading"
	case !r.Ready:
		return "not ready"
	}
	return ""
}

// recordCompletionLocked raises the limit by one for each n completions, n being the current limit. Completions of requests
// that began before the last reset prove nothing about the target since.
func (t *Table) recordCompletionLocked(tgt *target, resetCount uint64) {
	if resetCount != tgt.resetCount || tgt.spec.InDoubt || tgt.warm || t.unusableReason(tgt, t.options.Now()) != "" || tgt.reportsCold() {
		return
	}
	tgt.completions++
	if tgt.completions < tgt.limit {
		return
	}
	tgt.completions = 0
	tgt.limit = min(tgt.limit+1, tgt.spec.Limits.Full)
	tgt.warm = tgt.limit == tgt.spec.Limits.Full
}

// reportsCold tells whether the member that requests are sent to says that it is cold. The others complete no requests, so
// they may report cold for as long as they run; only a change to cold counts for them.
func (tgt *target) reportsCold() bool {
	return slices.ContainsFunc(tgt.members, func(m *member) bool { return m.Address == tgt.spec.Address && m.report.Cold })
}

// targetsLocked returns the targets of a destination, sorted by ID.
func (t *Table) targetsLocked(destination string) []*target {
	var found []*target
	for _, tgt := range t.targets {
		if tgt.spec.Destination == destination && !tgt.removed {
			found = append(found, tgt)
		}
	}
	slices.SortFunc(found, func(a, b *target) int { return strings.Compare(a.spec.ID, b.spec.ID) })
	return found
}

// InFlight returns the number of slots given out for the target.
func (t *Table) InFlight(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tgt := t.targets[id]; tgt != nil {
		return tgt.inFlight
	}
	return 0
}

// WaitRoom returns when a new holder, which starts at the cold limit, can send to the target on top of the work in flight,
// or with the error of ctx. A target that is not warm has no room before it is idle: the new holder's limit grows with fewer
// completions than what the target bears, so the sum could exceed it later. The caller removes the target first; otherwise
// new work can start meanwhile.
func (t *Table) WaitRoom(ctx context.Context, id string) error {
	return t.waitForInFlight(ctx, id, func(tgt *target) int {
		if !tgt.warm {
			return 0
		}
		return max(0, tgt.limit-tgt.spec.Limits.Cold)
	})
}

// WaitIdle returns when no request is in flight at the target, or with the error of ctx. The caller sets Draining or
// removes the target first; otherwise new work can start meanwhile.
func (t *Table) WaitIdle(ctx context.Context, id string) error {
	return t.waitForInFlight(ctx, id, func(*target) int { return 0 })
}

// waitForInFlight waits until no more than atMost requests are in flight. atMost is called with the table locked.
func (t *Table) waitForInFlight(ctx context.Context, id string, maxInFlight func(*target) int) error {
	for {
		t.mu.Lock()
		tgt := t.targets[id]
		if tgt == nil || tgt.inFlight <= maxInFlight(tgt) {
			t.mu.Unlock()
			return nil
		}
		changed := tgt.changed
		t.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Summary returns the free slots of each destination and failure domain. The queue is one per destination, and each
// entry of the destination states it in full.
func (t *Table) Summary() []*schema.PoolSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	byKey := map[string]*schema.PoolSummary{}
	for _, tgt := range t.targets {
		if tgt.removed {
			continue
		}
		key := tgt.spec.Destination + "\x00" + tgt.spec.FailureDomain
		p := byKey[key]
		if p == nil {
			p = &schema.PoolSummary{Name: tgt.spec.Destination, FailureDomain: tgt.spec.FailureDomain}
			if q := t.queues[p.Name]; q != nil {
				p.Queued = uint32(len(q.waiters))
				p.OldestQueuedMs = q.oldestAge(now).Milliseconds()
			}
			byKey[key] = p
		}
		if t.unusableReason(tgt, now) == "" {
			p.TotalSlots += uint32(max(tgt.effectiveLimit(), 0))
			p.FreeSlots += uint32(max(tgt.effectiveLimit()-tgt.inFlight, 0))
		}
	}
	list := make([]*schema.PoolSummary, 0, len(byKey))
	for _, p := range byKey {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *schema.PoolSummary) int {
		return strings.Compare(a.Name+"\x00"+a.FailureDomain, b.Name+"\x00"+b.FailureDomain)
	})
	return list
}

// Status is what operators see of one target.
type Status struct {
	Spec
	Unusable string // Why it gets no work; empty if it does.
	Limit    int    // Requests that this node may have in flight at it.
	Warm     bool
	InFlight int
	Reports  []MemberStatus
}

// MemberStatus is the last report of one member.
type MemberStatus struct {
	Member    Member
	Report    Report
	Age       time.Duration // Since the sending of the probe; negative if there is no report.
	LastError string
}

// Status returns all targets, sorted by ID, including those kept only for their work in flight.
func (t *Table) Status() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	list := make([]Status, 0, len(t.targets))
	for _, tgt := range t.targets {
		s := Status{Spec: tgt.spec, Unusable: t.unusableReason(tgt, now), Limit: tgt.effectiveLimit(), Warm: tgt.warm, InFlight: tgt.inFlight}
		for _, m := range tgt.members {
			ms := MemberStatus{Member: m.Member, Report: m.report, Age: -1}
			if m.reportValid {
				ms.Age = now - m.reportSentAt
			}
			if m.lastProbeError != nil {
				ms.LastError = m.lastProbeError.Error()
			}
			s.Reports = append(s.Reports, ms)
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b Status) int { return strings.Compare(a.ID, b.ID) })
	return list
}
