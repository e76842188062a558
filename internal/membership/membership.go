// Package membership keeps this node's lease, watches the other nodes, and tells whether this node may serve.
//
// Two independent bases give the right to serve: a lease in the platform and contact with a majority of the listed nodes.
// All times are read from the local clock.Clock; only durations pass between nodes.
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

// Kind is the platform kind of the node lease records.
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

// ErrReplaced is returned by Run when another process has taken this node's name.
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
	// Self is the record of this node. Name, incarnation and addresses must be set.
	Self     *schema.Node
	Platform Platform
	Peers    Peers

	Heartbeat   time.Duration // Interval between heartbeats to one peer.
	Renew       time.Duration // Interval between lease renewals.
	Term        time.Duration // Lease term. All nodes must have the same.
	Margin      time.Duration // Covers the difference in speed between clocks over one term.
	ForgetAfter time.Duration // Time after a lease's end before its record is removed.
	MaxOutage   time.Duration // Longest time without a platform lease during which a majority is enough.

	Clock clock.Clock // Default clock.Boottime().
	Log   logrus.FieldLogger
	Meter metric.Meter

	// FillStatus adds load, revision and other reports to a status that is about to be sent.
	FillStatus func(*schema.NodeStatus)
	// OnPeerStatus receives each status of a peer. It must not block.
	OnPeerStatus func(*schema.NodeStatus)
	// AfterRenew runs after each renewal was written and before it counts; an error means that the renewal doesn't count.
	// It re-reads the holder tables. version is the version of the written record. A read with a list version below it
	// is stale and must be treated as an error. The lease starts before the write, and the tables are read after it, so
	// they are at least as new as the lease.
	AfterRenew func(ctx context.Context, version uint64) error
}

// Membership is the view that this node has of itself and of the others. It is safe for concurrent use.
type Membership struct {
	opts             Options
	clk              clock.Clock
	renewals         metric.Int64Counter
	heartbeats       metric.Int64Counter
	renewalRequested chan struct{} // Requests an early renewal.

	// cycleMu serialises renewals and Leave. It is taken before mu and may be held during platform calls.
	cycleMu sync.Mutex
	// expectedVersion is the version of the own record; 0 if it must be read first. Guarded by cycleMu.
	expectedVersion uint64

	mu           sync.Mutex // Guards all fields below. No call to another package is made while it is held, but to the clock.
	started      clock.Time
	state        schema.NodeState
	lease        clock.Lease
	left         bool
	supersededBy string // Incarnation that took this node's name.
	// lastRenewalVersion is the version of the last written own record and lastRenewalSent the time when its write started.
	lastRenewalVersion uint64
	lastRenewalSent    clock.Time
	platformContactAt  clock.Time // Start of the last successful platform call.
	hadPlatformContact bool
	regainedAt         clock.Time // Last change that was made without the right to serve.
	listed             map[string]*record
	listKnown          bool
	// proved is the time up to which the last list is known to be current, listCurrentSince the start of the uninterrupted
	// run of such lists.
	listCurrentAt, listCurrentSince clock.Time
	listEverCurrent                 bool
	peers                           map[string]*peer
	unlistedSince                   map[string]clock.Time
}

// record is a node's entry in the platform.
type record struct {
	node        *schema.Node
	version     uint64
	firstSeenAt clock.Time // When this version was first seen.
}

// peer is what heartbeats told about a node.
type peer struct {
	status        *schema.NodeStatus
	lastContactAt clock.Time
	// answer is the last answer to one of our heartbeats, which was sent at requestSentAt.
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
		// One lost renewal must not end the lease.
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
		value *time.Duration
		dflt  time.Duration
	}{
		{&opts.Heartbeat, DefaultHeartbeat}, {&opts.Renew, DefaultRenew}, {&opts.Term, DefaultTerm}, {&opts.Margin, DefaultMargin},
		{&opts.ForgetAfter, DefaultForgetAfter}, {&opts.MaxOutage, DefaultMaxOutage},
	} {
		if *d.value <= 0 {
			*d.value = d.dflt
		}
	}
	if opts.Clock == nil {
		opts.Clock = clock.Boottime()
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

// Run renews the lease and exchanges heartbeats until ctx is done. It returns ErrReplaced when another process has taken
// this node's name.
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
		if err := m.waitForNextCycle(ctx, m.untilNextCycle(started)); err != nil {
			return err
		}
	}
}

// untilNextCycle returns the time until the next cycle: a renew interval after the start of the last one, or when the next
// lease of a silent node lapses. Only a renewal sent after the lapse proves it, so a regular cycle would find it up to a
// renew interval later.
func (m *Membership) untilNextCycle(started clock.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clk.Now()
	wait := m.opts.Renew - now.Sub(started)
	for name, r := range m.listed {
		lapsesAt := max(r.firstSeenAt, m.listCurrentSince).Add(m.leaseTerm(r) + m.opts.Margin)
		if name != m.opts.Self.GetName() && lapsesAt > now {
			wait = min(wait, lapsesAt.Sub(now))
		}
	}
	return wait
}

// pause waits for the next renewal or for a change of state.
func (m *Membership) waitForNextCycle(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	done, stop := m.clk.After(d)
	defer stop()
	select {
	case <-done:
	case <-m.renewalRequested:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// SetState changes the state that this node announces, and has it written at once.
func (m *Membership) SetState(state schema.NodeState) {
	m.mu.Lock()
	m.state = state
	m.mu.Unlock()
	m.Renew()
}

// Renew asks Run to renew and to read the list of nodes at once.
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

// status returns what this node tells the others.
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
	// Only ages that confirm silence are ever read. Leaving out the others keeps a heartbeat small while all is well.
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

// silentFor returns a lower bound of the time since this node last heard the named one. A node that was not heard since
// our start may have been in contact with our previous incarnation, so the bound is our own age; before one term has
// passed the answer is "unknown", since an answer of our previous incarnation may still be in use.
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
