// Package entry assembles a node that serves clients on the users' platform, as started by cassiadeald --platform.
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/metric"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/connpool"
	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/demand"
	"cassiadeal.example/cassiadeal/internal/edge"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/internal/intake"
	"cassiadeal.example/cassiadeal/internal/mirror"
	"cassiadeal.example/cassiadeal/internal/planner"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/recovery"
	"cassiadeal.example/cassiadeal/internal/retry"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/statement"
	"cassiadeal.example/cassiadeal/internal/telemetry"
	"cassiadeal.example/cassiadeal/platform"
)

const (
	// replicaWatchInterval is the minimum time between two watches of the replicas' entries. plannerReplicaWatchInterval
	// applies on the node that plans groups instead, because it waits for the members' reports.
	replicaWatchInterval        = 300 * time.Millisecond
	plannerReplicaWatchInterval = 100 * time.Millisecond
	// nodesWatchWait is the longest wait of one watch of the node records, which change only when a node starts.
	// nodesWatchInterval is the minimum time between two such watches: when all nodes start at once, each record would
	// otherwise end the watch of every node separately.
	nodesWatchWait     = 4 * time.Second
	nodesWatchInterval = time.Second
	// relistCooldown is the time after a follower found the store's history gone in which another such follower doesn't make
	// all others list again.
	relistCooldown = time.Second
	sweepInterval  = 100 * time.Millisecond
	// summaryInterval is the time between two summaries in the log.
	summaryInterval = 10 * time.Second
	// plannerRankDelay is the time per ready node that precedes this one for which this node waits without a planner before it
	// tries to become the planner. maxPlannerDelay is the longest such time.
	plannerRankDelay = 300 * time.Millisecond
	maxPlannerDelay  = 3 * time.Second
	// minCrashReportFor is the shortest time for which datagrams report each crash. crashReportIntervals is the number of datagrams
	// to a node of another failure domain that this time spans, since some are lost.
	minCrashReportFor    = 1500 * time.Millisecond
	crashReportIntervals = 4
	// retryBudgetFraction is the fraction of the platform's retry budget that is used. The rest is kept in reserve because
	// nodes count the same request at different times and may temporarily receive no gossip from each other.
	retryBudgetFraction = 0.6
)

// Node is one process of the system on the users' platform.
type Node struct {
	settings   *platform.Settings
	log        logrus.FieldLogger
	clock      clock.Clock
	metrics    *telemetry.Metrics
	store      *platform.Store
	registry   *fleet.Registry
	table      *balance.Table
	demand     *demand.Table
	budget     *retry.Budget
	crashes    *crash.Table
	statements *statement.Table
	mesh       *gossip.Mesh
	edge       *edge.Server
	intake     *intake.Limiter
	lease      *planner.Lease
	planner    *planner.Planner
	replicas   *platform.ReplicaClient
	paths      *reach.Paths
	pool       *connpool.Pool
	tunnels    *reach.Server
	// reachedAt is when a connection began that showed that this node reaches replicas, as a clock.Time; 0 if none has.
	reachedAt atomic.Int64
	// dialDirectly opens a connection of this node's own to a replica. Tests replace it before Run.
	dialDirectly func(ctx context.Context, address string) (net.Conn, error)

	followers      []*follower // Not modified after New.
	incarnation    int64
	draining       atomic.Bool
	nodesListed    atomic.Bool   // The records of the nodes have been listed at least once.
	replicasListed atomic.Bool   // The replicas have been listed at least once.
	recordOutdated chan struct{} // Holds a value while this node's record must be written anew.
	registered     chan struct{} // Closed when this node's record was written, or the first attempt to write it has failed.
	storeCalls     *callCounter
	storeContact   *storeContact
	storeEra       *eraRecord
	eraEvent       sync.Mutex // Held while an era is learnt; taken before all other locks.
	eraMetrics     eraMetrics
	heldEntries    metric.Int64Counter
	mirrorMetrics  mirrorMetrics
	loadsHandedOn  atomic.Bool // See loadReceivers.
	newest         newestConfig
	unreadable     unreadableCounter

	mu                    sync.Mutex
	lastRelist            clock.Time                 // When a follower last found the store's history gone.
	plannerLastSeen       clock.Time                 // When a node last reported that it is the planner; at first the start of this process.
	firstRunPlanAttempted bool                       // This node has tried to become the planner in the first run of the system.
	mirrorAvoidedUntil    map[string]clock.Time      // By address: mirrors that could not be read, and when they may be tried again.
	mirrorClients         map[string]*platform.Store // By address.
	zoneSums              map[string]zoneSum         // By failure domain.
	mirrorOf              map[string]string          // Address of the mirror that a node last served, by its name.
	startShare            float64                    // Random part of the time for which nodes that start at once spread their lists; not modified after New.
}

// New returns a node and binds its gossip address. Run binds the other addresses.
func New(s *platform.Settings, log logrus.FieldLogger) (*Node, error) {
	metrics, err := telemetry.New(s.Node)
	if err != nil {
		return nil, err
	}
	c := clock.Boottime()
	n := &Node{settings: s, log: log, clock: c, metrics: metrics, store: platform.NewStore(s.Store), registry: fleet.NewRegistry(c),
		table: balance.NewTable(c), demand: demand.New(c), crashes: crash.New(crash.Options{Now: func() time.Duration { return time.Duration(c.Now()) }}), incarnation: time.Now().UnixNano(), storeContact: newStoreContact(c), storeEra: &eraRecord{clock: c, maxGap: maxConfigAge(s.Bounds)},
		mirrorAvoidedUntil: map[string]clock.Time{}, mirrorClients: map[string]*platform.Store{}, mirrorOf: map[string]string{}, registered: make(chan struct{}), recordOutdated: make(chan struct{}, 1), zoneSums: map[string]zoneSum{}, plannerLastSeen: c.Now(), startShare: rand.Float64()}
	n.dialDirectly = func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		return dialer.DialContext(ctx, "tcp", address)
	}
	if n.storeCalls, err = newCallCounter(metrics.Meter()); err != nil {
		return nil, err
	}
	if n.eraMetrics, err = newEraMetrics(metrics.Meter()); err != nil {
		return nil, err
	}
	if n.mirrorMetrics, err = newMirrorMetrics(metrics.Meter()); err != nil {
		return nil, err
	}
	if n.heldEntries, err = newHeldCounter(metrics.Meter()); err != nil {
		return nil, err
	}
	n.registry.SetEntryLapse(s.Bounds.EntryTTL)
	n.store.OnCall, n.store.OnEra, n.store.OnFormerEra = n.storeCalls.record, n.learnEra, n.eraMetrics.countFormer
	n.budget = retry.New(retry.Options{Share: s.Bounds.RetryRatio * retryBudgetFraction, BurstNow: n.localRetrySlack,
		FloorPerSecond: -1, Log: log, Meter: metrics.Meter()})
	n.mesh, err = gossip.New(gossip.Options{Address: s.Peer, Zone: s.Zone, Clock: c, Log: log, LocalState: n.localGossip, OnMessage: n.applyPeerGossip})
	if err != nil {
		return nil, err
	}
	n.demand.SetReportInterval(n.mesh.OtherZoneInterval)
	if err := n.newIntake(); err != nil {
		return nil, err
	}
	n.statements = statement.New(statement.Options{Divided: true, Now: func() time.Duration { return time.Duration(c.Now()) }, Log: log, Meter: metrics.Meter()})
	n.registry.FollowStatements(n.statements)
	if err := n.newPaths(); err != nil {
		return nil, err
	}
	if n.pool, err = connpool.New(connpool.Options{Clock: c, MaxIdle: s.MaxIdleConnections, Meter: metrics.Meter()}); err != nil {
		return nil, err
	}
	n.edge = edge.New(edge.Options{Pool: n.pool, PreferConnected: s.PreferConnected, Codec: platform.Codec{}, Registry: n.registry, Table: n.table, Budget: n.budget, Crashes: n.crashes, Demand: n.demand, Statements: n.statements, Paths: n.paths, OnBlocked: n.announceBlocked, Clock: c, Log: log,
		Metrics: metrics, Zone: s.Zone, StoreAge: n.storeContact.outageAge, ConfigDoubt: n.configDoubt, Nodes: func() int { return len(n.mesh.Alive()) + 1 },
		LoadAge: n.loadAge, AccountShares: s.AccountShares})
	n.replicas = platform.NewReplicaClient(func(from fleet.Incarnation, a fleet.Answer) { n.statements.Record(from.Target(), a.Statement) })
	n.replicas.Paths = n.paths
	n.lease = planner.NewLease(n.store, c, log, s.Node, n.incarnation)
	n.lease.FirstRun = s.FirstRun
	n.planner = planner.New(planner.Options{Lease: n.lease, Store: n.store, StoreAccess: n.storeReachability, StoreFailing: n.storeContact.failing, Registry: n.registry,
		Table: n.table, Replicas: n.replicas, Clock: c, Log: log, LoadWindow: s.Bounds.LoadWindow, StallAfter: s.Bounds.StallAfter, EntryTTL: s.Bounds.EntryTTL,
		Limited: func(r *fleet.Replica) bool {
			_, limited := n.statements.Rate(r.Incarnation().Target(), 1)
			return limited
		},
		LoadAge: n.loadAge, Alone: func() bool { return n.mesh.PeerCount() > 0 && len(n.mesh.Alive()) == 0 }, Candidate: n.isPlannerCandidate, BeforeFirstRequest: n.firstRunWithoutRequests})
	n.followers = n.newFollowers()
	return n, nil
}

// Run serves until the context is done, then drains and stops.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.startServers()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	planning, stopPlanning := context.WithCancel(background)
	defer stopPlanning()
	for _, f := range n.followers {
		go f.run(background)
	}
	go n.mesh.Run(background)
	go n.planner.Run(planning)
	go n.maintainRecord(background)
	go n.sweepTargets(background)
	n.log.WithFields(logrus.Fields{"front": n.settings.Front, "zone": n.settings.Zone, "first_run": n.settings.FirstRun}).Info("started")
	<-ctx.Done()
	stopPlanning()
	n.drain(servers)
	n.log.Info("stopped")
	return nil
}

func (n *Node) newFollowers() []*follower {
	bounds := n.settings.Bounds
	return []*follower{
		{node: n, mirrorCopy: mirror.New(), kind: platform.KindReplicas, maxWait: bounds.Drain / 2, minInterval: n.replicaWatchInterval, replace: n.replaceReplicas, apply: n.applyReplicas},
		{node: n, mirrorCopy: mirror.New(), kind: platform.KindConfig, maxWait: bounds.ConfigApply / 2, replace: n.applyConfig, apply: n.applyConfig},
		{node: n, mirrorCopy: mirror.New(), kind: platform.KindEvacuations, maxWait: bounds.Evacuate / 2, replace: n.replaceEvacuations, apply: n.applyEvacuations},
		{node: n, mirrorCopy: mirror.New(), kind: nodesKind, maxWait: nodesWatchWait, minInterval: func() time.Duration { return nodesWatchInterval }, replace: n.applyNodes, apply: n.applyNodes},
	}
}

func (n *Node) replicaWatchInterval() time.Duration {
	if n.planner.Active() {
		return plannerReplicaWatchInterval
	}
	return replicaWatchInterval
}

// relistOthers makes all other followers list again, unless it was last called less than relistCooldown ago.
func (n *Node) relistOthers(except *follower) {
	n.mu.Lock()
	now := n.clock.Now()
	recent := n.lastRelist != 0 && now.Sub(n.lastRelist) < relistCooldown
	n.lastRelist = now
	n.mu.Unlock()
	if recent {
		return
	}
	for _, f := range n.followers {
		if f != except {
			f.relist()
		}
	}
}

func (n *Node) replaceReplicas(list []platform.Object) {
	var replicas []*fleet.Replica
	var unreadable []string
	for _, o := range list {
		if r, err := platform.DecodeReplica(o); err != nil {
			n.logUnreadable(o, err)
			unreadable = append(unreadable, o.Name)
		} else {
			replicas = append(replicas, r)
		}
	}
	n.registry.Replace(replicas, unreadable...)
	n.logDepartures()
	n.replicasListed.Store(true)
}

func (n *Node) applyReplicas(events []platform.Object) {
	var changes []fleet.Change
	for _, o := range events {
		change := fleet.Change{ID: o.Name}
		if !o.Deleted {
			r, err := platform.DecodeReplica(o)
			if err != nil {
				n.logUnreadable(o, err)
			}
			change.Replica, change.Unreadable = r, err != nil // An entry that can't be decoded counts as removed.
		}
		changes = append(changes, change)
	}
	n.registry.Apply(changes)
	n.logDepartures()
}

// maxLoggedDepartures bounds the IDs in one log line.
const maxLoggedDepartures = 16

// logDepartures logs which replicas leave by their entries. IDs beyond maxLoggedDepartures are only counted.
func (n *Node) logDepartures() {
	d := n.registry.TakeDepartures()
	for state, ids := range map[string][]string{"draining": d.Draining, "removed, kept for a while": d.Kept, "removed": d.Removed, "listed again by an older copy of the store, not used for a while": d.Returned} {
		if len(ids) > 0 {
			n.log.WithFields(logrus.Fields{"state": state, "count": len(ids), "replicas": ids[:min(len(ids), maxLoggedDepartures)]}).Info("replicas leave by their entries")
		}
	}
	n.recordHeld(d)
}

func (n *Node) applyConfig(list []platform.Object) {
	for _, o := range list {
		if o.Name != platform.ConfigName || o.Deleted {
			continue
		}
		if cfg := n.decodeConfig(o); cfg != nil {
			n.awaitPeerVersion(cfg.Version)
			n.putInForce(o, cfg, "store")
		}
	}
}

// decodeConfig returns the configuration that an object holds, or nil if it can't be read.
func (n *Node) decodeConfig(o platform.Object) *fleet.Config {
	cfg, err := platform.DecodeConfig(o)
	if err != nil {
		n.logUnreadable(o, err)
		return nil
	}
	return cfg
}

// putInForce puts a configuration into force if its version is higher than that of the present one.
func (n *Node) putInForce(o platform.Object, cfg *fleet.Config, from string) {
	n.newest.applying.Lock()
	defer n.newest.applying.Unlock()
	if n.registry.SetConfig(cfg) {
		n.newest.inForce.Store(&o)
		n.log.WithFields(logrus.Fields{"config_version": cfg.Version, "revision": o.Revision, "era": o.Era, "from": from, "routes": len(cfg.Routes),
			"client_accounts": len(cfg.Tenants)}).Info("configuration in force")
	} else if cfg.Version < n.configVersion() {
		n.log.WithFields(logrus.Fields{"config_version": cfg.Version, "in_force": n.configVersion(), "era": o.Era, "from": from}).Warning("an older configuration than the one in force was read, which stays")
	}
}

func (n *Node) replaceEvacuations(list []platform.Object) {
	zones := map[string]bool{}
	for _, o := range list {
		zones[o.Name] = true
	}
	n.registry.SetEvacuated(zones)
	n.logEvacuations()
}

func (n *Node) applyEvacuations(events []platform.Object) {
	for _, o := range events {
		n.registry.ChangeEvacuated(o.Name, !o.Deleted)
	}
	n.logEvacuations()
}

func (n *Node) logEvacuations() {
	n.log.WithField("failure_domains", n.registry.View().Evacuated).Info("evacuated failure domains have changed")
}

// recordStoreAnswer records an answer, from the store itself if direct is true, and returns whether calls failed until then.
func (n *Node) recordStoreAnswer(direct bool) bool {
	n.registry.StoreAnswered()
	n.storeEra.noteAnswer()
	return n.storeContact.recordAnswer(direct)
}

// cancelOtherLists cancels the pending lists of all other followers, so that they list again at once.
func (n *Node) cancelOtherLists(except *follower) {
	for _, f := range n.followers {
		if f != except {
			f.cancelPendingList()
		}
	}
}

func (n *Node) recordStoreFailure() {
	n.registry.StoreFailed()
	n.storeContact.recordFailure()
}

// localRetrySlack returns this node's share of the retries that a service may get in addition to the budgeted ratio of its
// requests.
func (n *Node) localRetrySlack() float64 {
	return n.settings.Bounds.RetrySlack * retryBudgetFraction / float64(len(n.mesh.Alive())+1)
}

// ready returns whether this node can serve clients.
func (n *Node) ready() bool {
	return !n.draining.Load() && n.registry.View().Config != nil && n.replicasListed.Load()
}

// firstRunWithoutRequests returns whether the system runs for the first time and no client has sent a request to this node yet.
func (n *Node) firstRunWithoutRequests() bool {
	return n.settings.FirstRun && !n.edge.HasReceivedRequest()
}

// precedes returns whether another node comes before this one in the order in which nodes become the planner, serve as mirror
// or retry the store: by falling processor capacity, then by name.
func (n *Node) precedes(p gossip.Peer) bool {
	if int(p.Capacity) != n.settings.Capacity {
		return int(p.Capacity) > n.settings.Capacity
	}
	return p.Node < n.settings.Node
}

// isPlannerCandidate returns whether this node should try to become the planner: no live node reports that it is the planner,
// and the nodes that precede this one have had time to try.
func (n *Node) isPlannerCandidate() bool { return n.mayPlan(n.mesh.Alive()) }

func (n *Node) mayPlan(alive []gossip.Peer) bool {
	now, plannerFound := n.clock.Now(), false
	for _, p := range alive {
		plannerFound = plannerFound || n.announcesPlanner(p, alive)
	}
	rank, yields := n.plannerRank(alive, n.paths.MostLost())
	n.mu.Lock()
	defer n.mu.Unlock()
	if plannerFound {
		n.plannerLastSeen = now
	}
	if plannerFound || n.storeContact.failing() || n.draining.Load() || n.registry.View().Config == nil {
		return false
	}
	if rank == 0 && !yields && n.firstRunWithoutRequests() && !n.firstRunPlanAttempted {
		n.firstRunPlanAttempted = true
		return true
	}
	delay := min(time.Duration(rank)*plannerRankDelay, maxPlannerDelay)
	if yields {
		delay += maxPlannerDelay // The store may refuse the others.
	}
	return now.Sub(n.plannerLastSeen) > delay
}

// plannerRank returns the number of live nodes that may become the planner before this one, and whether this one leaves it to others for as
// long as they may take: one that lacks most of its own paths to replicas does while another one is ready that doesn't, since it reaches
// replicas only by way of others.
func (n *Node) plannerRank(alive []gossip.Peer, pathsLost bool) (rank int, yields bool) {
	for _, p := range alive {
		if !p.Ready || p.Draining || p.PathsLost && !pathsLost {
			continue
		}
		yields = yields || pathsLost && !p.PathsLost
		if n.precedes(p) {
			rank++
		}
	}
	return rank, yields
}

// sweepTargets regularly checks for stalled targets, drops expired entries from the registry and logs a summary.
func (n *Node) sweepTargets(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	lastSummary, doubted := n.clock.Now(), false
	returned := returnQueries{node: n, queriedAt: map[fleet.Incarnation]clock.Time{}}
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now := n.clock.Now(); now.Sub(lastSummary) >= summaryInterval {
			lastSummary = now
			n.log.WithFields(logrus.Fields{"store_calls": n.storeCalls.summary(), "mirror": n.mirrorSource(), "planner": n.planner.Active(),
				"nodes": len(n.mesh.Alive()) + 1, "in_flight": n.edge.InFlight(), "replica_connections": n.pool.TakeStats()}).Info("summary")
		}
		n.mesh.SetFrequent(n.frequentPeers(n.mesh.Alive()), relayInterval)
		n.updateLoadReceivers(n.mesh.Alive())
		if n.nodesListed.Load() {
			n.statements.DivideAmong(n.settings.Peer, n.mesh.Destinations())
		}
		n.readNewerConfig(ctx)
		doubted = n.logConfigDoubt(doubted)
		n.registry.Expire()
		n.logDepartures()
		returned.start(ctx)
		view := n.registry.View()
		for _, k := range n.edge.Sweep(sweepInterval, func(balance.Key, balance.Load) time.Duration { return n.longestEventGap(view) }) {
			n.log.WithFields(logrus.Fields{"target": string(k), "load": n.table.Load(k)}).Warning("target suspected of a stall: it runs requests but sends no events")
		}
	}
}

// longestEventGap returns the time between two events of a healthy group that runs the slowest model of the configured engine,
// with half of its slots in use and a chunk of a prompt to read.
func (n *Node) longestEventGap(view *fleet.View) time.Duration {
	if view.Config == nil {
		return 0
	}
	service := view.Config.EngineService()
	if service == nil {
		return 0
	}
	longest := time.Duration(0)
	for _, m := range service.Engine.Models {
		longest = max(longest, balance.Gap(service.Engine, m.TimeFactor, balance.Load{Running: service.Engine.Slots / 2, UnreadTokens: service.Engine.Chunk}))
	}
	return longest
}

// localGossip returns this node's state for the other nodes.
func (n *Node) localGossip() *schema.NodeGossip {
	own := n.table.LocalState()
	msg := &schema.NodeGossip{Node: n.settings.Node, Incarnation: n.incarnation, Zone: n.settings.Zone, FrontAddress: n.settings.Front,
		PeerAddress: n.settings.Peer, Draining: n.draining.Load(), Ready: n.ready(), Planner: n.planner.Active(), Capacity: uint32(n.settings.Capacity), MirrorAddress: n.mirrorAddress(),
		TunnelAddress: n.settings.Tunnel, PathsLost: n.paths.MostLost(), StoreContactMs: n.storeContact.directAnswerAge().Milliseconds()}
	if msg.Planner && n.storeContact.failing() {
		msg.Observed = encodeObservations(n.registry.Observations())
	}
	msg.StoreEra, msg.StoreEraMs = n.store.Era(), n.storeEra.age().Milliseconds()
	msg.LeaseRevision, msg.Resigned = n.lease.Announcement(msg.StoreEra)
	msg.ConfigVersion, msg.Departing = n.configVersion(), n.departing()
	msg.Crashes, msg.Answers = n.crashes.Reports(max(minCrashReportFor, crashReportIntervals*n.mesh.OtherZoneInterval()))
	msg.Statements = n.statements.Reports(n.mesh.OtherZoneInterval())
	msg.Demand = encodeDemand(n.demand.Local())
	msg.Loads, msg.ZoneLoads = encodeLoads(own.Loads, own.EventAges), n.zoneLoads()
	for k := range own.Suspected {
		msg.Suspects = append(msg.Suspects, string(k))
	}
	for k, slow := range own.SlowFactors {
		msg.Slow = append(msg.Slow, &schema.SlowTarget{Target: string(k), Permille: uint32(slow * 1000)})
	}
	return msg
}

// applyPeerGossip applies the state of another node.
func (n *Node) applyPeerGossip(msg *schema.NodeGossip) {
	n.learnEra(msg.StoreEra)
	n.storeEra.noteAge(msg.StoreEra, time.Duration(msg.StoreEraMs)*time.Millisecond)
	n.newest.notePeer(msg.ConfigVersion, n.clock.Now())
	n.applyZoneLoads(msg)
	n.applyDeparting(msg.Departing)
	n.applyDemand(msg)
	n.crashes.Merge(msg.Crashes, msg.Answers)
	if msg.StoreContactMs >= 0 {
		n.registry.StoreAnsweredOther(time.Duration(msg.StoreContactMs) * time.Millisecond)
	}
	n.statements.NoteNode(msg.Node, strconv.FormatInt(msg.Incarnation, 10))
	n.statements.Merge(msg.Statements)
	state := balance.PeerState{Suspected: map[balance.Key]bool{}, SlowFactors: map[balance.Key]float64{}}
	if msg.Zone == n.settings.Zone || !n.table.KnowsZone(msg.Zone) {
		state.Loads, state.EventAges = decodeLoads(msg.Loads)
	}
	if !msg.PathsLost { // Otherwise its own paths are at fault.
		for _, k := range msg.Suspects {
			state.Suspected[balance.Key(k)] = true
		}
	}
	for _, t := range msg.Slow {
		state.SlowFactors[balance.Key(t.Target)] = float64(t.Permille) / 1000
	}
	n.table.SetPeerState(msg.Node, state)
	if msg.Planner && len(msg.Observed) > 0 {
		n.registry.Observe(decodeObservations(msg.Observed))
	}
	if msg.LeaseRevision != 0 {
		n.lease.ObserveHolder(msg.StoreEra, msg.LeaseRevision, msg.Resigned)
	}
}

// newServer returns the HTTP server of one listener.
func (n *Node) newServer(listener string, h http.Handler) *http.Server {
	recoverer := recovery.Recoverer{Where: listener, Log: n.log, Metrics: n.metrics}
	server := &http.Server{Handler: recoverer.Handler(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: telemetry.ServerErrorLog(n.log, listener)}
	n.limitServer(server, listener)
	return server
}

// startServers binds the node's HTTP addresses and serves them.
func (n *Node) startServers() ([]*http.Server, error) {
	var servers []*http.Server
	for _, s := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"front", n.settings.Front, n.edge}, {"readiness", n.settings.Readiness, n.readinessHandler()},
		{"directory", n.settings.Directory, n.directoryHandler()}, {"metrics", n.settings.Metrics, n.metricsHandler()},
		{"mirror", n.settings.Mirror, n.mirrorHandler()}, {"tunnel", n.settings.Tunnel, n.tunnels.Handler()},
	} {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return nil, eris.Wrapf(err, "bind the %s address", s.name)
		}
		listener = n.limitListener(listener, s.name)
		server := n.newServer(s.name, s.handler)
		servers = append(servers, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				n.log.WithError(err).WithField("listener", s.name).Error("HTTP server failed")
			}
		}()
	}
	return servers, nil
}
