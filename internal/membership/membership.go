// Package membership renews this node's lease, monitors the other nodes, and decides whether this node may serve.
//
// Either of two independent bases gives the right to serve: a valid lease record in the platform's object API, or recent
// heartbeat responses from a majority of the listed nodes. All times are read from the local clock.Clock. Nodes exchange
// durations only, because clock readings of different hosts can't be compared.
package membership

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Kind is the kind of the platform objects that hold the nodes' lease records. Each is named after its node.
const Kind = "nodes"

// Defaults of Options.
const (
	DefaultHeartbeat   = 500 * time.Millisecond
	DefaultRenew       = time.Second
	DefaultTerm        = 3 * time.Second
	DefaultMargin      = 500 * time.Millisecond
	DefaultForgetAfter = time.Minute
	DefaultMaxOutage   = 24 * time.Hour
)

// ErrReplaced is returned by Run when a newer process with the same node name has overwritten this node's record.
var ErrReplaced = errors.New("node record belongs to another incarnation")

// Platform is the part of platform.Client that membership uses.
type Platform interface {
	Get(ctx context.Context, kind, name string) (*platform.Object, error)
	List(ctx context.Context, kind string) ([]platform.Object, uint64, error)
	Create(ctx context.Context, kind, name string, data []byte) (uint64, error)
	Update(ctx context.Context, kind, name string, version uint64, data []byte) (uint64, error)
	Delete(ctx context.Context, kind, name string, version uint64) error
}

// Peers sends heartbeats to other nodes.
type Peers interface {
	Heartbeat(ctx context.Context, address string, req *schema.HeartbeatRequest) (*schema.HeartbeatResponse, error)
}

// Options configures a Membership. Zero durations take the defaults.
type Options struct {
	// Self is the record of this node. Name, incarnation and addresses must be set. The incarnation identifies one process
	// run of the node.
	Self     *schema.Node
	Platform Platform
	Peers    Peers

	Heartbeat   time.Duration // Interval between heartbeats to one peer.
	Renew       time.Duration // Interval between lease renewals.
	Term        time.Duration // Lease term. It must be the same on all nodes.
	Margin      time.Duration // Upper bound of the drift between two nodes' clocks over one term.
	ForgetAfter time.Duration // Time from the lapse of a node's lease until its record is removed.
	MaxOutage   time.Duration // Longest time without a platform lease during which a majority is enough.

	// Era returns the present era of the platform's store. If it is nil, the store never loses an acknowledged write.
	Era   func() uint64
	Clock clock.Clock // Default clock.Boottime().
	Log   logrus.FieldLogger
	Meter metric.Meter

	// FillStatus adds load, configuration revision and other fields to a status that is about to be sent.
	FillStatus func(*schema.NodeStatus)
	// OnPeerStatus is called with each status received from a peer. It must not block.
	OnPeerStatus func(*schema.NodeStatus)
	// AfterRenew is called after the write of each renewal, before the lease is extended. If it returns an error, the lease
	// isn't extended. It re-reads the holder tables, the configuration and, after a gap between leases or a restore, the plans of groups. version is the version of the written record: a
	// list with a lower version is stale and must be treated as an error. The lease starts before the write, and the reads
	// come after it, so what they return is at least as new as the lease.
	AfterRenew func(ctx context.Context, version uint64) error
}

// Membership holds the lease of this node and what it knows about the other nodes. It is safe for concurrent use.
type Membership struct {
	opts             Options
	clk              clock.Clock
	renewals         metric.Int64Counter
	heartbeats       metric.Int64Counter
	renewalRequested chan struct{} // Makes Run renew before the renew interval has passed.

	// cycleMu serialises renewals and Leave. It is taken before mu and may be held during platform calls.
	cycleMu sync.Mutex
	// expectedVersion is the version of this node's record that the next update names; 0 if it must be read first. Guarded by
	// cycleMu.
	expectedVersion uint64

	mu           sync.Mutex // Guards all fields below. It isn't held during platform calls, heartbeats, callbacks and logging.
	started      clock.Time
	state        schema.NodeState
	lease        clock.Lease
	left         bool
	supersededBy string // Incarnation of the newer process that has overwritten this node's record; empty if none.
	// lastRenewalVersion is the version of this node's record after its last successful write, 0 if there was none.
	// lastRenewalSent is when that write started.
	lastRenewalVersion uint64
	lastRenewalSent    clock.Time
	platformContactAt  clock.Time // Start of the last successful platform call.
	hadPlatformContact bool
	regainedAt         clock.Time // When changeBases was last called without the right to serve.
	listed             map[string]*record
	listKnown          bool
	// listCurrentAt is the latest time at which the list of nodes is known to have been current. listCurrentSince is the start
	// of the uninterrupted sequence of such lists. Both are unset while listEverCurrent is false.
	listCurrentAt, listCurrentSince clock.Time
	listEverCurrent                 bool
	// listEra is the era of the store in which the list was read. beforeRestore holds the records that were listed in the former
	// era and that their nodes haven't written again, for a term and the margin after restoredAt.
	listEra             uint64
	beforeRestore       map[string]*record
	restoredAt          clock.Time
	peers               map[string]*peer
	unlistedSince       map[string]clock.Time // When LeaseEnded first found a node absent from the list.
	heartbeatsRequested chan struct{}         // Closed and replaced when heartbeats are to be sent now.
}

// record is a node's lease record in the platform.
type record struct {
	node        *schema.Node
	version     uint64
	firstReadAt clock.Time // When this node first read this version.
}

// peer is what heartbeats have reported about another node.
type peer struct {
	status        *schema.NodeStatus
	lastContactAt clock.Time
	// response is the last response to a heartbeat of this node, and requestSentAt is when that heartbeat was sent.
	response      *schema.NodeStatus
	requestSentAt clock.Time
}

// New checks the options and returns a Membership that has no right to serve yet.
func New(opts Options) (*Membership, error) {
	if opts.Self.GetName() == "" || opts.Self.GetIncarnation() == "" {
		return nil, fmt.Errorf("membership: node name %q and incarnation %q must be set", opts.Self.GetName(), opts.Self.GetIncarnation())
	}
	setDefaults(&opts)
	if opts.Term <= 2*opts.Renew {
		// The lease must not end because of one failed renewal.
		return nil, fmt.Errorf("membership: lease term %v must be more than twice the renew interval %v", opts.Term, opts.Renew)
	}
	m := &Membership{
		opts:             opts,
		clk:              opts.Clock,
		renewalRequested: make(chan struct{}, 1),
		started:          opts.Clock.Now(),
		state:            schema.NodeState_NODE_STATE_STARTING,
		listed:           map[string]*record{},
		peers:            map[string]*peer{},
		unlistedSince:    map[string]clock.Time{},

		heartbeatsRequested: make(chan struct{}),
	}
	var renewalsErr, heartbeatsErr error
	m.renewals, renewalsErr = opts.Meter.Int64Counter("cassiadeal.membership.renewals",
		metric.WithDescription("Lease renewals by result"), metric.WithUnit("{renewal}"))
	m.heartbeats, heartbeatsErr = opts.Meter.Int64Counter("cassiadeal.membership.heartbeats",
		metric.WithDescription("Heartbeats sent by result"), metric.WithUnit("{heartbeat}"))
	if err := errors.Join(renewalsErr, heartbeatsErr); err != nil {
		return nil, fmt.Errorf("membership: create counters: %w", err)
	}
	return m, nil
}

func setDefaults(opts *Options) {
	for _, d := range []struct {
		value        *time.Duration
		defaultValue time.Duration
	}{
		{&opts.Heartbeat, DefaultHeartbeat}, {&opts.Renew, DefaultRenew}, {&opts.Term, DefaultTerm}, {&opts.Margin, DefaultMargin},
		{&opts.ForgetAfter, DefaultForgetAfter}, {&opts.MaxOutage, DefaultMaxOutage},
	} {
		if *d.value <= 0 {
			*d.value = d.defaultValue
		}
	}
	if opts.Clock == nil {
		opts.Clock = clock.Boottime()
	}
	if opts.Era == nil {
		opts.Era = func() uint64 { return 0 }
	}
	if opts.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		opts.Log = discard
	}
	if opts.Meter == nil {
		opts.Meter = noop.NewMeterProvider().Meter("membership")
	}
}

// Run renews the lease and sends heartbeats until ctx is done. It returns ErrReplaced when a newer process has overwritten
// this node's record.
func (m *Membership) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	loops := newHeartbeatLoops(m)
	defer loops.wait()
	defer cancel()
	for {
		started := m.clk.Now()
		m.renewalCycle(ctx)
		loops.reconcile(ctx, m.peerAddresses())
		if newIncarnation := m.replacedBy(); newIncarnation != "" {
			return fmt.Errorf("%w: %s", ErrReplaced, newIncarnation)
		}
		if err := m.waitForNextCycle(ctx, started); err != nil {
			return err
		}
	}
}

// contactTolerance is the time by which heartbeats may be late before a node counts as silent, as a fraction of the interval.
const contactTolerance = 0.2

// untilNextCycle returns the time until the next renewal cycle. It is due a renew interval after the start of the last one,
// or earlier in two cases. One is that the lease of another node lapses before: a lapse is detected only with a list read
// after a renewal that was sent after the lapse, so with regular cycles alone it would be detected up to a renew interval
// late. The other is that another node falls silent: its lease counts from the time at which its last renewal was first read,
// which with regular cycles alone may be up to a renew interval after the node has stopped.
func (m *Membership) untilNextCycle(started clock.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clk.Now()
	wait := m.opts.Renew - now.Sub(started)
	dueAt := func(at clock.Time) { // Unless the last cycle has covered it.
		if at > started {
			wait = min(wait, at.Sub(now))
		}
	}
	for name, r := range m.listed {
		if name == m.opts.Self.GetName() {
			continue
		}
		dueAt(max(r.firstReadAt, m.listCurrentSince).Add(m.leaseTerm(r) + m.opts.Margin))
		if p := m.peers[name]; p != nil {
			dueAt(p.lastContactAt.Add(m.opts.Heartbeat + time.Duration(contactTolerance*float64(m.opts.Heartbeat))))
		}
	}
	return wait
}

// waitForNextCycle waits until the cycle after the one that began at started is due or a renewal is requested. It returns the
// context's error if ctx is done.
func (m *Membership) waitForNextCycle(ctx context.Context, started clock.Time) error {
	// Heartbeats that arrive meanwhile change when the cycle is due.
	for wait := m.untilNextCycle(started); wait > 0; wait = m.untilNextCycle(started) {
		done, stop := m.clk.After(wait)
		select {
		case <-done:
		case <-m.renewalRequested:
			stop()
			return ctx.Err()
		case <-ctx.Done():
		}
		stop()
		if ctx.Err() != nil {
			break
		}
	}
	return ctx.Err()
}

// SetState changes the state that this node reports, and requests a renewal that writes it to the record.
func (m *Membership) SetState(state schema.NodeState) {
	m.mu.Lock()
	m.state = state
	m.mu.Unlock()
	m.Renew()
}

// Renew makes Run renew the lease and read the list of nodes without waiting for the next interval.
func (m *Membership) Renew() {
	select {
	case m.renewalRequested <- struct{}{}:
	default: // A renewal is already requested.
	}
}

func (m *Membership) replacedBy() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.supersededBy
}

// status returns the status that this node reports to the others.
func (m *Membership) status() *schema.NodeStatus {
	m.mu.Lock()
	now := m.clk.Now()
	status := &schema.NodeStatus{
		Name:          m.opts.Self.GetName(),
		Incarnation:   m.opts.Self.GetIncarnation(),
		State:         m.state,
		PlatformAgeMs: -1,
		UptimeMs:      now.Sub(m.started).Milliseconds(),
	}
	if m.lease.Term > 0 {
		status.PlatformAgeMs = now.Sub(m.lease.Start).Milliseconds()
	}
	// ConfirmedSilent uses only ages of at least a term and the margin. Omitting the others keeps heartbeats small while all
	// nodes respond.
	limit := m.opts.Term + m.opts.Margin
	for name := range m.listed {
		if age, known := m.silentFor(name, now); known && age >= limit && name != status.Name {
			status.Peers = append(status.Peers, &schema.PeerAge{Name: name, AgeMs: age.Milliseconds()})
		}
	}
	m.mu.Unlock()
	if m.opts.FillStatus != nil {
		m.opts.FillStatus(status)
	}
	return status
}

// silentFor returns a lower bound of the time since this node last received a heartbeat or a response from the named one,
// and whether the bound is known. Without contact since the start of this process, the named node may have been in contact
// with the previous incarnation of this node, so the bound is the uptime of this process. During the first term the bound
// is unknown, because a response of the previous incarnation may still be valid at the named node. The caller holds mu.
func (m *Membership) silentFor(name string, now clock.Time) (time.Duration, bool) {
	if p := m.peers[name]; p != nil {
		return now.Sub(p.lastContactAt), true
	}
	age := now.Sub(m.started)
	return age, age >= m.opts.Term
}

func (m *Membership) countRenewal(ctx context.Context, result string) {
	m.renewals.Add(context.WithoutCancel(ctx), 1, metric.WithAttributes(attribute.String("result", result)))
}

func (m *Membership) countHeartbeat(ctx context.Context, result string) {
	m.heartbeats.Add(context.WithoutCancel(ctx), 1, metric.WithAttributes(attribute.String("result", result)))
}

func cloneNode(n *schema.Node) *schema.Node { return proto.Clone(n).(*schema.Node) }
