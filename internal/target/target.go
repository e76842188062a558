// Package target implements the target table of a node: the replica groups and service back ends that this node sends
// requests to, their health as found by probes, and the bounded queues of requests that wait for a slot.
//
// Table.mu is the only lock of the package. It is never held while probing or waiting. The Policy and the clock are
// called and metric counters are incremented with it held; they must not block or call the table. Code that holds another
// lock may call the table, so only the lock of the table of statements comes after mu.
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
	"cassiadeal.example/cassiadeal/internal/statement"
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
	Incarnation string // The one with which the group became ready. Ignored for services.
}

// Spec describes one target: the attributes that come from the holder table, the placement plan and the rules.
type Spec struct {
	ID            string
	Destination   string // "pool/NAME" or "service/NAME".
	FailureDomain string
	Address       string   // host:port of rank 0 or of the back end.
	Members       []Member // By rank. A service back end may leave it empty.
	Group         string   // ID of the replica group; empty for a service.
	Number        uint64   // Number of the group's composition; grows whenever a member or an incarnation changes.
	Limits        rules.Limits
	MaxQueue      int  // Largest number of queued requests of the destination; the maximum over its targets applies.
	Draining      bool // Gets no new requests; those in flight may finish.
	// InFlightCap is an upper bound of the requests in flight, besides the current limit. It decreases while the target's
	// failure domain is gradually taken out of service; 0 for no bound.
	InFlightCap int
	InDoubt     bool // Another node may still be sending requests to the target.
}

func (s Spec) service() bool { return strings.HasPrefix(s.Destination, "service/") }

// sameProcesses reports whether the spec names the same processes in the same group as other.
func (s Spec) sameProcesses(other Spec) bool {
	return s.Destination == other.Destination && s.Address == other.Address && s.Group == other.Group &&
		s.Number == other.Number && slices.Equal(s.Members, other.Members)
}

// Options configures a Table. Zero values get the defaults.
type Options struct {
	ProbeInterval time.Duration // Mean interval between the probes of one member.
	ProbeTimeout  time.Duration // Default: half the freshness bound.
	Freshness     time.Duration // A report is valid while its age, counted from the sending of the probe, is below this.
	Prober        Prober
	Policy        Policy               // Default: Affinity.
	Statements    *statement.Table     // What targets state about themselves in responses. Default: an empty table.
	Now           func() time.Duration // Monotonic clock. Default: time since New.
	Log           logrus.FieldLogger
	Meter         metric.Meter
}

// Table holds the targets of one node. Its methods may be called concurrently.
type Table struct {
	options        Options
	probeCounter   metric.Int64Counter
	resetCounter   metric.Int64Counter
	refusalCounter metric.Int64Counter

	mu      sync.Mutex
	runCtx  context.Context // Nil until Run is called.
	targets map[string]*target
	queues  map[string]*queue
	lastSeq uint64
	probers sync.WaitGroup
}

type member struct {
	Member
	stopProbing     context.CancelFunc
	probeRequested  chan struct{} // Capacity 1. Triggers a probe before the interval ends.
	report          Report
	reportValid     bool          // report exists and its probe was sent after the last broken exchange.
	reportSentAt    time.Duration // When the probe that returned report was sent.
	lastProbeSentAt time.Duration // When the last finished probe, successful or not, was sent.
	everProbed      bool
	lastProbeError  error
}

type target struct {
	spec     Spec
	members  []*member
	inFlight int
	// othersInFlight is the number of requests at the target that this node hasn't sent, by the last report of rank 0 or of the back end.
	// After a takeover they are those of a former holder, for example one that was paused while it had requests in flight.
	othersInFlight   int
	limit            int           // Requests that may be in flight; between the cold and the full limit.
	completions      int           // Completed requests since limit was last raised or reset.
	warm             bool          // limit has reached the full limit through completed requests.
	resetCount       uint64        // Resets to the cold limit.
	removed          bool          // No longer held; kept until its requests in flight have ended.
	lastUsableAt     time.Duration // When the target was last known to be usable, or was added.
	connectionLostAt time.Duration // Last broken exchange; reports of probes sent before it are not valid.
	changed          chan struct{} // Closed and replaced on each probe result, release and removal.
}

// New returns an empty table.
func New(opt Options) *Table {
	if opt.ProbeInterval <= 0 {
		opt.ProbeInterval = DefaultProbeInterval
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
	if opt.Statements == nil {
		opt.Statements = statement.New(statement.Options{Now: opt.Now})
	}
	if opt.Meter == nil {
		opt.Meter = noop.NewMeterProvider().Meter("target")
	}
	if opt.Prober == nil {
		opt.Prober = NewHTTPProber(nil)
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

// SetSpecs replaces the set of targets. A target that remains keeps its requests in flight. It also keeps its limit, as
// far as its configured limits allow, unless its processes changed: then it starts at its cold limit.
func (t *Table) SetSpecs(specs []Spec) {
	for _, s := range t.applySpecs(specs) {
		t.options.Log.WithFields(logrus.Fields{"target": s.ID, "number": s.Number}).Info("target gets no new requests")
	}
}

// applySpecs carries out SetSpecs and returns the targets that get no new requests from now on. They are logged without
// holding mu, because writing the log may block.
func (t *Table) applySpecs(specs []Spec) (stopped []Spec) {
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
		if tgt := t.targets[s.ID]; tgt != nil && !tgt.removed && s.Draining && !tgt.spec.Draining {
			stopped = append(stopped, s)
		}
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
	return stopped
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

// applyLimits applies changed configured limits: a warm target keeps its limit, bounded by the new full limit, and any
// other target starts from the new cold limit.
func (tgt *target) applyLimits() {
	if !tgt.warm {
		tgt.limit, tgt.completions = tgt.spec.Limits.Cold, 0
		return
	}
	tgt.limit = max(min(tgt.limit, tgt.spec.Limits.Full), tgt.spec.Limits.Cold)
	tgt.warm = tgt.limit >= tgt.spec.Limits.Full
}

// resetToColdLocked resets the target to its cold limit.
func (t *Table) resetToColdLocked(tgt *target, reason string) {
	tgt.limit, tgt.completions, tgt.warm = tgt.spec.Limits.Cold, 0, false
	tgt.resetCount++
	increment(t.resetCounter, "reason", reason)
}

func (tgt *target) notify() {
	close(tgt.changed)
	tgt.changed = make(chan struct{})
}

// effectiveLimit returns the number of requests that this node may have in flight at the target. Until this node has warmed the target, it
// is at most what the requests of others, for example of a former holder, leave of the full limit. If another node may still be sending,
// it is half the cold limit, or what the requests of others leave of the cold limit if that is less.
func (tgt *target) effectiveLimit() int {
	limit := tgt.limit
	switch {
	case tgt.warm:
	case tgt.spec.InDoubt:
		limit = max(0, min(tgt.spec.Limits.Cold/2, tgt.spec.Limits.Cold-tgt.othersInFlight))
	default:
		limit = max(0, min(limit, tgt.spec.Limits.Full-tgt.othersInFlight))
	}
	if tgt.spec.InFlightCap > 0 {
		limit = min(limit, tgt.spec.InFlightCap)
	}
	return limit
}

// unusableReason returns why no request may be sent to the target, or "" if requests may be sent.
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
	if t.isLeaving(tgt) {
		return "it has stated that it is leaving"
	}
	return ""
}

// refusalByStatement returns why the target gets no request now because of what the process that requests are sent to has stated.
func (t *Table) refusalByStatement(tgt *target) statement.Refusal {
	receiver, known := tgt.receiver()
	if !known {
		return statement.NotRefused
	}
	return t.options.Statements.Check(receiver, tgt.limitPart())
}

// pausedFor returns the time for which the process that requests are sent to still wants none.
func (t *Table) pausedFor(tgt *target) time.Duration {
	receiver, known := tgt.receiver()
	if !known {
		return 0
	}
	return t.options.Statements.PausedFor(receiver)
}

// statedRate returns the requests per second that this node may send to the target, if the target has stated a limit.
func (t *Table) statedRate(tgt *target) (perSecond float64, limited bool) {
	receiver, known := tgt.receiver()
	if !known {
		return 0, false
	}
	return t.options.Statements.Rate(receiver, tgt.limitPart())
}

// limitPart returns the part of a stated limit that this node may use: its holder uses all of it, but two nodes may hold a target in
// doubt.
func (tgt *target) limitPart() float64 {
	if tgt.spec.InDoubt {
		return 0.5
	}
	return 1
}

// isLeaving reports whether the process that requests are sent to has stated that it is leaving. If another member of a group
// leaves, the group's controller replaces it.
func (t *Table) isLeaving(tgt *target) bool {
	receiver, known := tgt.receiver()
	return known && t.options.Statements.Leaving(receiver)
}

// receiver identifies the process that the target's requests are sent to, if it has reported its incarnation.
func (tgt *target) receiver() (receiver statement.Target, known bool) {
	for _, m := range tgt.members {
		if m.Address == tgt.spec.Address {
			return statement.Target{ID: m.Address, Incarnation: m.report.Incarnation}, m.report.Incarnation != ""
		}
	}
	return statement.Target{}, false
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
		return "incarnation differs from that of the ready group"
	case r.Loading:
		return "loading"
	case !r.Ready:
		return "not ready"
	}
	return ""
}

// recordCompletionLocked raises the limit by one after as many completions as the current limit. Completions of requests
// that got their slot before the last reset don't count, since they don't show what the target can handle now.
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

// reportsCold reports whether the member that requests are sent to is cold according to its last report. The other members
// complete no requests and may report cold for as long as they run, so for them only a change to cold resets the limit.
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

// InFlight returns the number of slots in use at the target.
func (t *Table) InFlight(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tgt := t.targets[id]; tgt != nil {
		return tgt.inFlight
	}
	return 0
}

// WaitRoom waits until a new holder, which starts at the cold limit, can send to the target in addition to the requests in
// flight, or returns the error of ctx. A warm target has room once the requests in flight and the cold limit together don't
// exceed its limit. A target that is not warm has no room until it is idle: the new holder's limit grows after fewer
// completions than the target needs to take more load, so the sum could later exceed what it can handle. The caller must
// remove the target first; otherwise new requests can start in the meantime.
func (t *Table) WaitRoom(ctx context.Context, id string) error {
	return t.waitForInFlight(ctx, id, func(tgt *target) int {
		if !tgt.warm {
			return 0
		}
		return max(0, tgt.limit-tgt.spec.Limits.Cold)
	})
}

// WaitIdle waits until no request is in flight at the target, or returns the error of ctx. The caller must set Draining or
// remove the target first; otherwise new requests can start in the meantime.
func (t *Table) WaitIdle(ctx context.Context, id string) error {
	return t.waitForInFlight(ctx, id, func(*target) int { return 0 })
}

// waitForInFlight waits until no more than maxInFlight requests are in flight. maxInFlight is called with the table locked.
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

// Summary returns the total and free slots of each destination and failure domain. A destination has one queue for all its
// failure domains, so each of its entries contains the figures of the whole queue.
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
			p.FreeSlots += uint32(t.freeSlotsLocked(tgt))
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

// freeSlotsLocked returns the number of requests that the target can take now.
func (t *Table) freeSlotsLocked(tgt *target) int {
	free := max(tgt.effectiveLimit()-tgt.inFlight, 0)
	if _, limited := t.statedRate(tgt); limited {
		free = min(free, 1) // The next one has to wait for its share of the limit.
	}
	if t.refusalByStatement(tgt) != statement.NotRefused {
		return 0
	}
	return free
}

// Status describes one target for operators.
type Status struct {
	Spec
	UnusableReason string // Why it gets no requests; empty if it may get some.
	Limit          int    // Requests that this node may have in flight at the target.
	Warm           bool
	InFlight       int
	Leaving        bool          // The target has stated that it is leaving.
	Limited        bool          // The target has stated a limit on its rate of requests.
	PerSecond      float64       // Requests per second that this node may send while the target is limited.
	PausedFor      time.Duration // For how long the target still wants no request from this node.
	Reports        []MemberStatus
}

// MemberStatus describes the last report and the last probe error of one member.
type MemberStatus struct {
	Member    Member
	Report    Report
	Age       time.Duration // Since the probe was sent; negative if there is no valid report.
	LastError string
}

// Status returns all targets, sorted by ID, including removed ones with requests in flight.
func (t *Table) Status() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	list := make([]Status, 0, len(t.targets))
	for _, tgt := range t.targets {
		s := Status{Spec: tgt.spec, UnusableReason: t.unusableReason(tgt, now), Limit: tgt.effectiveLimit(), Warm: tgt.warm, InFlight: tgt.inFlight,
			Leaving: t.isLeaving(tgt), PausedFor: t.pausedFor(tgt)}
		s.PerSecond, s.Limited = t.statedRate(tgt)
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
