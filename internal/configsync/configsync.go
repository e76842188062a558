// Package configsync keeps the configuration in force on this node and applies new ones.
//
// The platform object config/current decides which revision is current. A node receives it from the node that applied it
// (a relay), fetches it from a peer whose heartbeat reports a higher revision, or reads it from the platform. It never goes
// back to a lower revision.
package configsync

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
	"cassiadeal.example/cassiadeal/internal/membership"
	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Kind and Name identify the configuration in the platform.
const (
	Kind = "config"
	Name = "current"
)

const (
	// defaultPollInterval bounds the delay until a node reads a revision whose relay was lost and that no heartbeat reports.
	// It is twice the renew interval, so that Run makes no call while every renewal is followed by a Refresh.
	defaultPollInterval = 2 * time.Second
	// defaultApplyTimeout is the bound within which an accepted configuration is in force everywhere.
	defaultApplyTimeout = 6 * time.Second
	// defaultPeerStatusTimeout is how long a starting node waits for the first status of each listed peer. It is two default
	// heartbeat intervals; a peer that doesn't reply in that time is regarded as unreachable.
	defaultPeerStatusTimeout = time.Second
	// maxCatchUpTime is how long a node that serves without interruption stays ready after a higher revision was reported.
	// It covers fetching the configuration from the reporting peer, so that a node doesn't refuse requests during an apply.
	// It is far below the time after which an unreachable node is proved stopped.
	maxCatchUpTime = time.Second
	// callTimeout bounds one call to a peer.
	callTimeout = time.Second
	// relayInterval is the time between two relays to a node that hasn't acknowledged the revision.
	relayInterval = 500 * time.Millisecond
	// checkInterval is the time between two checks whether a revision is in force everywhere.
	checkInterval = 20 * time.Millisecond
)

// errInvalidRules marks a configuration that this release can't parse.
var errInvalidRules = errors.New("invalid rules")

// Platform is the part of platform.Client that is used here.
type Platform interface {
	Get(ctx context.Context, kind, name string) (*platform.Object, error)
	List(ctx context.Context, kind string) ([]platform.Object, uint64, error)
	Create(ctx context.Context, kind, name string, data []byte) (uint64, error)
	Update(ctx context.Context, kind, name string, version uint64, data []byte) (uint64, error)
	Watch(ctx context.Context, kind string, since uint64, wait time.Duration) ([]platform.Event, uint64, error)
}

// Members is the part of membership.Membership that is used here.
type Members interface {
	Nodes() []membership.NodeInfo
	ConfirmedSilent(name string) bool
	Right() membership.Right
	ListCurrentAt() (clock.Time, bool)
	Renew()
}

// Peers calls other nodes.
type Peers interface {
	GetConfig(ctx context.Context, address string) (*schema.Config, error)
	RelayConfig(ctx context.Context, address string, config *schema.Config) (uint64, error)
}

// Options configures a Sync. Zero durations mean the defaults.
type Options struct {
	// Self is the name of this node.
	Self     string
	Platform Platform
	Members  Members
	Peers    Peers
	// Era returns the present era of the platform's store. If it is nil, the store never loses an acknowledged write.
	Era func() uint64
	// Parse checks the text of a rules file.
	Parse func(text string) (*rules.Rules, error)

	PollInterval      time.Duration // Longest time between two reads of the platform. Default 2 s.
	ApplyTimeout      time.Duration // How long Apply waits for the revision to be in force on every node. Default 6 s.
	PeerStatusTimeout time.Duration // How long a starting node waits for its peers' revisions. Default 1 s.

	Clock clock.Clock // Default clock.Boottime().
	Log   logrus.FieldLogger
	Meter metric.Meter
}

// Sync holds the current configuration. It is safe for concurrent use.
type Sync struct {
	opts         Options
	clk          clock.Clock
	offerCounter metric.Int64Counter
	fetches      sync.WaitGroup

	// adoptMu serialises adoption, so that callbacks are called with ascending revisions. It is taken before mu.
	adoptMu sync.Mutex
	// refreshMu serialises reads of the platform. It is taken before adoptMu.
	refreshMu sync.Mutex
	// watchVersion is the platform version up to which changes were read; 0 means that the next read is a full list. Guarded
	// by refreshMu.
	watchVersion uint64
	// stored is what the platform was last found to hold. Guarded by refreshMu.
	stored storedConfig

	// mu guards all fields below. It may be held in calls to Members, which never calls Sync with its own lock held.
	mu       sync.Mutex
	config   *schema.Config
	rules    *rules.Rules
	onChange []func(*rules.Rules, uint64)
	// lastRefresh is when the last successful Refresh started; it is valid if everRefreshed is true.
	lastRefresh   clock.Time
	everRefreshed bool
	// highestKnown is the highest revision that a peer reported or that this node received but couldn't parse. behindSince is
	// when it first exceeded the revision in force here.
	highestKnown uint64
	behindSince  clock.Time
	fetching     bool
	// peersKnown is true once every listed peer has reported its revision or PeerStatusTimeout has passed since
	// peerWaitStart, which is valid if peerWaitStarted is true.
	peersKnown      bool
	peerWaitStart   clock.Time
	peerWaitStarted bool
}

// storedConfig is the revision that the platform holds and the version of the object, 0 if it holds none.
type storedConfig struct {
	revision, version uint64
}

// New returns a Sync without a configuration.
func New(opts Options) *Sync {
	for _, d := range []struct {
		value        *time.Duration
		defaultValue time.Duration
	}{{&opts.PollInterval, defaultPollInterval}, {&opts.ApplyTimeout, defaultApplyTimeout}, {&opts.PeerStatusTimeout, defaultPeerStatusTimeout}} {
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
		discardLog := logrus.New()
		discardLog.SetOutput(io.Discard)
		opts.Log = discardLog
	}
	if opts.Meter == nil {
		opts.Meter = noop.NewMeterProvider().Meter("configsync")
	}
	counter, err := opts.Meter.Int64Counter("cassiadeal.configsync.offers",
		metric.WithDescription("Configurations seen, by result"), metric.WithUnit("{config}"))
	if err != nil {
		opts.Log.WithError(err).Error("creating the counter of configuration offers failed")
		counter = noop.Int64Counter{}
	}
	return &Sync{opts: opts, clk: opts.Clock, offerCounter: counter}
}

// Run calls Refresh whenever the last successful one started PollInterval ago. It returns when ctx is done.
func (s *Sync) Run(ctx context.Context) error {
	defer s.fetches.Wait()
	for {
		wait := s.timeUntilPoll()
		if wait <= 0 {
			if err := s.Refresh(ctx, 0); err != nil {
				s.opts.Log.WithError(err).Warn("reading the configuration failed")
			}
			wait = s.opts.PollInterval
		}
		if err := clock.Sleep(ctx, s.clk, wait); err != nil {
			return err
		}
	}
}

func (s *Sync) timeUntilPoll() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.everRefreshed {
		return 0
	}
	return s.opts.PollInterval - s.clk.Now().Sub(s.lastRefresh)
}

// Refresh reads new revisions from the platform. Membership's AfterRenew calls it with the version of the renewed record.
// A node whose lease had lapsed therefore knows every revision that was accepted in the meantime before the new lease
// counts. If the version of the list is below minVersion, the list is stale and Refresh returns an error. Most calls are
// one watch request that doesn't wait and returns no events.
func (s *Sync) Refresh(ctx context.Context, minVersion uint64) error {
	s.refreshMu.Lock()
	defer s.refreshMu.Unlock()
	started := s.clk.Now()
	version, err := s.readChanges(ctx)
	if err == nil && (s.watchVersion == 0 || version < minVersion) {
		version, err = s.readList(ctx)
	}
	if err != nil {
		s.watchVersion = 0
		return err
	}
	if version < minVersion {
		s.watchVersion = 0
		return fmt.Errorf("list of %s has version %d, below %d: stale", Kind, version, minVersion)
	}
	s.watchVersion = version
	if err := s.writeBack(ctx); err != nil {
		s.opts.Log.WithError(err).Warn("writing the configuration again failed")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRefresh, s.everRefreshed = started, true
	return nil
}

// readChanges adopts the changes since watchVersion. If that is 0 or too old, it sets it to 0 and returns version 0.
func (s *Sync) readChanges(ctx context.Context) (uint64, error) {
	if s.watchVersion == 0 {
		return 0, nil
	}
	events, version, err := s.opts.Platform.Watch(ctx, Kind, s.watchVersion, 0)
	if errors.Is(err, platform.ErrTooOld) {
		s.watchVersion = 0
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	for _, e := range events {
		if e.Name == Name && e.Deleted {
			s.opts.Log.Error("the configuration was deleted from the platform; keeping the current one")
		} else if err := s.adoptObject(e.Object); err != nil {
			return 0, err
		}
	}
	return version, nil
}

func (s *Sync) readList(ctx context.Context) (uint64, error) {
	objects, version, err := s.opts.Platform.List(ctx, Kind)
	if err != nil {
		return 0, err
	}
	s.stored = storedConfig{}
	for _, o := range objects {
		if err := s.adoptObject(o); err != nil {
			return 0, err
		}
	}
	return version, nil
}

func (s *Sync) adoptObject(o platform.Object) error {
	if o.Name != Name {
		return nil
	}
	config := &schema.Config{}
	if err := platform.Decode(o.Data, config); err != nil {
		return err
	}
	s.stored = storedConfig{config.GetRevision(), o.Version}
	if err := s.adopt(config); !errors.Is(err, errInvalidRules) {
		return err
	}
	return nil // adopt has logged the error, and recorded the revision so that Ready takes it into account.
}

// writeBack writes the configuration in force to the platform again if a restore of the store has taken it. The write is
// conditional, so that it replaces nothing newer. The caller holds refreshMu.
func (s *Sync) writeBack(ctx context.Context) error {
	config, _ := s.Current()
	if s.opts.Era() == 0 || config.GetRevision() <= s.stored.revision {
		return nil
	}
	data, err := platform.Encode(config)
	if err != nil {
		return err
	}
	var version uint64
	if s.stored.version == 0 {
		version, err = s.opts.Platform.Create(ctx, Kind, Name, data)
	} else {
		version, err = s.opts.Platform.Update(ctx, Kind, Name, s.stored.version, data)
	}
	if errors.Is(err, platform.ErrConflict) {
		s.watchVersion = 0 // What the platform holds was read too early; the next Refresh lists it again.
		return nil
	}
	if err != nil {
		return err
	}
	s.opts.Log.WithField("revision", config.GetRevision()).WithField("stored_revision", s.stored.revision).
		Warn("a restore of the platform's store has taken the configuration in force; it is written again")
	s.countOffer("written_back")
	s.stored = storedConfig{config.GetRevision(), version}
	return nil
}

// adopt puts a configuration in force if its revision is higher than the current one.
func (s *Sync) adopt(config *schema.Config) error {
	s.adoptMu.Lock()
	defer s.adoptMu.Unlock()
	current, _ := s.Current()
	log := s.opts.Log.WithField("revision", config.GetRevision())
	switch {
	case current != nil && config.GetRevision() < current.GetRevision():
		s.countOffer("lower") // A stale read, a delayed relay, or a platform that lost data.
		return nil
	case current != nil && config.GetRevision() == current.GetRevision():
		if !sameContent(config, current) {
			s.countOffer("other_content")
			log.Error("a configuration with the current revision has other content; the platform has lost data")
		}
		return nil
	}
	parsed, err := s.opts.Parse(config.GetRules())
	if err != nil {
		// A newer release may have written rules that this one doesn't know. Then only Ready fails, not Refresh: adoptObject
		// ignores errInvalidRules.
		s.countOffer("invalid")
		s.recordRevision(config.GetRevision())
		log.WithError(err).Error("the configuration can't be parsed")
		return fmt.Errorf("configuration revision %d: %w: %w", config.GetRevision(), errInvalidRules, err)
	}
	s.countOffer("adopted")
	s.mu.Lock()
	s.config, s.rules = proto.Clone(config).(*schema.Config), parsed
	callbacks := append([]func(*rules.Rules, uint64){}, s.onChange...)
	s.mu.Unlock()
	log.WithField("author", config.GetAuthor()).Info("configuration adopted")
	for _, f := range callbacks {
		f(parsed, config.GetRevision())
	}
	return nil
}

// sameContent also compares the nonce, which differs between two writes of the same text.
func sameContent(a, b *schema.Config) bool {
	return a.GetNonce() == b.GetNonce() && a.GetRules() == b.GetRules()
}

func (s *Sync) countOffer(result string) {
	s.offerCounter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

// OnChange registers a function that is called with each adopted configuration, in order of revision. It must not call
// Offer, Refresh or Apply.
func (s *Sync) OnChange(f func(*rules.Rules, uint64)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, f)
}

// Current returns the configuration in force and its parsed rules; nil if there is none. Neither may be changed.
func (s *Sync) Current() (*schema.Config, *rules.Rules) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config, s.rules
}

// Revision returns the revision in force, 0 if there is none.
func (s *Sync) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.GetRevision()
}

// Offer adopts a relayed configuration if its revision is higher, and returns the revision in force.
func (s *Sync) Offer(_ context.Context, config *schema.Config) uint64 {
	_ = s.adopt(config) // adopt logs the error; the sender detects the failure by the returned revision.
	return s.Revision()
}

// NoteRevision records the revision that a peer reports. If it is higher than the one in force, NoteRevision fetches the
// configuration from that peer in the background.
func (s *Sync) NoteRevision(ctx context.Context, node, address string, revision uint64) {
	s.recordRevision(revision)
	if !s.startFetch(revision) {
		return
	}
	s.fetches.Go(func() {
		defer func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.fetching = false
		}()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		config, err := s.opts.Peers.GetConfig(ctx, address)
		if err == nil {
			err = s.adopt(config)
		}
		if err != nil {
			s.opts.Log.WithError(err).WithField("node", node).Warn("fetching a newer configuration failed")
		}
	})
}

// recordRevision updates the highest known revision, and behindSince if this node was up to date before.
func (s *Sync) recordRevision(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision > s.highestKnown {
		if s.highestKnown <= s.config.GetRevision() {
			s.behindSince = s.clk.Now()
		}
		s.highestKnown = revision
	}
}

// startFetch reports whether the caller has to fetch a revision, and marks the fetch as running if so. One fetch runs at a
// time. After a failed one, the next heartbeat that reports the revision starts another.
func (s *Sync) startFetch(revision uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision <= s.config.GetRevision() || s.fetching {
		return false
	}
	s.fetching = true
	return true
}

// Ready reports whether the configuration is known well enough to serve: the platform was read, every listed peer reported
// its revision or PeerStatusTimeout has passed, and no known revision is higher. A node that serves without interruption
// may be behind for up to maxCatchUpTime, since no apply counts as in force before this node reports the revision. A node
// that fell behind before it last regained the right to serve isn't ready: other nodes may have proved it stopped and
// completed an apply without it.
func (s *Sync) Ready() bool {
	right := s.opts.Members.Right()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config == nil || !s.everRefreshed || !s.checkPeersKnown() {
		return false
	}
	if s.highestKnown <= s.config.GetRevision() {
		return true
	}
	return s.behindSince > right.Since && s.clk.Now().Sub(s.behindSince) < maxCatchUpTime
}

// checkPeersKnown reports whether every listed peer has reported its revision or PeerStatusTimeout has passed since the
// first check with a non-empty list. The caller holds mu. Members isn't called again after the result was true, since
// Ready is called for each request.
func (s *Sync) checkPeersKnown() bool {
	if s.peersKnown {
		return true
	}
	nodes := s.opts.Members.Nodes()
	if len(nodes) == 0 {
		return false
	}
	if !s.peerWaitStarted {
		s.peerWaitStart, s.peerWaitStarted = s.clk.Now(), true
	}
	statusMissing := false
	for _, n := range nodes {
		statusMissing = statusMissing || (n.Record.GetName() != s.opts.Self && n.Status == nil)
	}
	s.peersKnown = !statusMissing || s.clk.Now().Sub(s.peerWaitStart) >= s.opts.PeerStatusTimeout
	return s.peersKnown
}
