// Package entry assembles a node that serves on the users' platform.
package entry

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/edge"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/gossip"
	"cassiadeal.example/cassiadeal/internal/mirror"
	"cassiadeal.example/cassiadeal/internal/planner"
	"cassiadeal.example/cassiadeal/internal/retry"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/telemetry"
	"cassiadeal.example/cassiadeal/platform"
)

const (
	nodesKind = "cassiadeal-nodes"
	// replicaPace is the least time between two watches of the replicas' entries, and plannerPace that of the node that plans
	// groups, which waits for the members' reports.
	replicaPace = 300 * time.Millisecond
	plannerPace = 100 * time.Millisecond
	// nodesWait is the longest wait of a watch of the nodes' records, which change only when a node starts, and nodesPace the
	// least time between two watches: when all nodes start at once, each would be woken by each.
	nodesWait = 4 * time.Second
	nodesPace = time.Second
	// relistPause is the time in which followers that find the store's history gone make the others list only once.
	relistPause = time.Second
	sweepEvery  = 100 * time.Millisecond
	// summaryEvery is the time between two log lines that sum up what the node did.
	summaryEvery = 10 * time.Second
	// plannerTurn is the time that each node by name has before the next one tries too, up to plannerTurns.
	plannerTurn  = 300 * time.Millisecond
	plannerTurns = 3 * time.Second
	callTimeout  = 1500 * time.Millisecond
	// budgetPart is the part of the stated retry budget that is used: nodes count the same request at different times, and may
	// not hear of each other for a while.
	budgetPart = 0.6
)

// nodeRecord is what the store keeps of a node, so that others find it.
type nodeRecord struct {
	Zone        string `json:"zone"`
	Front       string `json:"front"`
	Peer        string `json:"peer"`
	Incarnation int64  `json:"incarnation"`
}

// Node is one process of the system on the users' platform.
type Node struct {
	settings *platform.Settings
	log      logrus.FieldLogger
	clock    clock.Clock
	metrics  *telemetry.Metrics
	store    *platform.Store
	registry *fleet.Registry
	table    *balance.Table
	budget   *retry.Budget
	mesh     *gossip.Mesh
	edge     *edge.Server
	lease    *planner.Lease
	planner  *planner.Planner

	followers   []*follower // Not changed after New.
	incarnation int64
	draining    atomic.Bool
	replicas    atomic.Bool // The replicas were listed.
	calls       *calls
	contact     *contact

	mu          sync.Mutex
	relisted    clock.Time // When a follower last made the others list anew.
	plannerSeen clock.Time
	tried       bool                       // This node has tried to plan at the first start of the system.
	avoided     map[string]clock.Time      // Mirrors that could not be read, until the time.
	mirrors     map[string]*platform.Store // By address.
}

// New makes a node and binds its addresses.
func New(s *platform.Settings, log logrus.FieldLogger) (*Node, error) {
	metrics, err := telemetry.New(s.Node)
	if err != nil {
		return nil, err
	}
	c := clock.Boottime()
	n := &Node{settings: s, log: log, clock: c, metrics: metrics, store: platform.NewStore(s.Store), registry: fleet.NewRegistry(c),
		table: balance.NewTable(c), incarnation: time.Now().UnixNano(), contact: newContact(c),
		avoided: map[string]clock.Time{}, mirrors: map[string]*platform.Store{}, plannerSeen: c.Now()}
	if n.calls, err = newCalls(metrics.Meter()); err != nil {
		return nil, err
	}
	n.store.Called = n.calls.store
	n.budget = retry.New(retry.Options{Share: s.Bounds.RetryRatio * budgetPart, BurstNow: n.retrySlack,
		FloorPerSecond: -1, Log: log, Meter: metrics.Meter()})
	n.mesh, err = gossip.New(gossip.Options{Address: s.Peer, Zone: s.Zone, Clock: c, Log: log, Self: n.tell, Heard: n.heard})
	if err != nil {
		return nil, err
	}
	n.edge = edge.New(edge.Options{Codec: platform.Codec{}, Registry: n.registry, Table: n.table, Budget: n.budget, Clock: c, Log: log,
		Metrics: metrics, Zone: s.Zone, StoreAge: n.contact.age, Nodes: func() int { return len(n.mesh.Alive()) + 1 },
		LoadAge: n.mesh.Age})
	n.lease = planner.NewLease(n.store, c, log, s.Node, n.incarnation)
	n.planner = planner.New(planner.Options{Lease: n.lease, Witness: n.witness, StoreAway: n.contact.failing, Registry: n.registry,
		Table: n.table, Replicas: platform.NewReplicas(), Clock: c, Log: log, LoadWindow: s.Bounds.CeilingWindow, StallAfter: s.Bounds.StallAfter, Lapse: s.Bounds.Lapse,
		Candidate: n.candidate, Fresh: n.fresh})
	n.followers = n.newFollowers()
	return n, nil
}

// Run serves until the context is done, and then drains.
func (n *Node) Run(ctx context.Context) error {
	servers, err := n.listen()
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
	go n.register(background)
	go n.sweep(background)
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
		{node: n, copy: mirror.New(), kind: platform.KindReplicas, wait: bounds.Drain / 2, pace: n.replicaPace, replace: n.replaceReplicas, apply: n.applyReplicas},
		{node: n, copy: mirror.New(), kind: platform.KindConfig, wait: bounds.ConfigApply / 2, replace: n.takeConfig, apply: n.takeConfig},
		{node: n, copy: mirror.New(), kind: platform.KindEvacuations, wait: bounds.Evacuate / 2,
			replace: func(list []platform.Object) { n.takeEvacuations(list, true) },
			apply:   func(list []platform.Object) { n.takeEvacuations(list, false) }},
		{node: n, copy: mirror.New(), kind: nodesKind, wait: nodesWait, pace: func() time.Duration { return nodesPace }, replace: n.takeNodes, apply: n.takeNodes},
	}
}

func (n *Node) replicaPace() time.Duration {
	if n.planner.Holds() {
		return plannerPace
	}
	return replicaPace
}

// relistOthers lets all other followers list anew.
func (n *Node) relistOthers(but *follower) {
	n.mu.Lock()
	now := n.clock.Now()
	recent := n.relisted != 0 && now.Sub(n.relisted) < relistPause
	n.relisted = now
	n.mu.Unlock()
	if recent {
		return
	}
	for _, f := range n.followers {
		if f != but {
			f.relist()
		}
	}
}

func (n *Node) replaceReplicas(list []platform.Object) {
	var all []*fleet.Replica
	for _, o := range list {
		if r, err := platform.DecodeReplica(o); err != nil {
			n.unreadable(o, err)
		} else {
			all = append(all, r)
		}
	}
	n.registry.Replace(all)
	n.replicas.Store(true)
}

func (n *Node) applyReplicas(events []platform.Object) {
	var changes []fleet.Change
	for _, o := range events {
		change := fleet.Change{ID: o.Name}
		if !o.Deleted {
			r, err := platform.DecodeReplica(o)
			if err != nil {
				n.unreadable(o, err)
			}
			change.Replica = r // An entry that can't be read names no replica to use.
		}
		changes = append(changes, change)
	}
	n.registry.Apply(changes)
}

func (n *Node) takeConfig(list []platform.Object) {
	for _, o := range list {
		if o.Name != platform.ConfigName || o.Deleted {
			continue
		}
		cfg, err := platform.DecodeConfig(o)
		if err != nil {
			n.unreadable(o, err)
			continue
		}
		if n.registry.SetConfig(cfg) {
			n.log.WithFields(logrus.Fields{"config_version": cfg.Version, "revision": o.Revision, "routes": len(cfg.Routes),
				"client_accounts": len(cfg.Tenants)}).Info("configuration in force")
		}
	}
}

func (n *Node) takeEvacuations(list []platform.Object, all bool) {
	zones := map[string]bool{}
	if !all {
		for zone := range n.registry.View().Evacuated {
			zones[zone] = true
		}
	}
	for _, o := range list {
		if o.Deleted {
			delete(zones, o.Name)
		} else {
			zones[o.Name] = true
		}
	}
	n.log.WithField("failure_domains", zones).Info("failure domains out")
	n.registry.SetEvacuated(zones)
}

func (n *Node) takeNodes(list []platform.Object) {
	for _, o := range list {
		var record nodeRecord
		if o.Deleted {
			continue
		}
		if err := json.Unmarshal(o.Spec, &record); err != nil || record.Peer == "" {
			n.unreadable(o, err)
			continue
		}
		n.mesh.Contact(record.Peer)
	}
}

// register writes this node's record, so that other nodes find it.
func (n *Node) register(ctx context.Context) {
	record := nodeRecord{Zone: n.settings.Zone, Front: n.settings.Front, Peer: n.settings.Peer, Incarnation: n.incarnation}
	for ctx.Err() == nil {
		err := n.registerOnce(ctx, record)
		if err == nil {
			return
		}
		n.log.WithError(err).Info("this node's record could not be written")
		sleep(ctx, part(n.settings.Bounds.ConfigApply, retryPart))
	}
}

func (n *Node) registerOnce(ctx context.Context, record nodeRecord) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if n.settings.FirstRun {
		_, err := n.store.Create(ctx, nodesKind, n.settings.Node, record)
		if !errors.Is(err, platform.ErrConflict) {
			return err
		}
	}
	old, err := n.store.Get(ctx, nodesKind, n.settings.Node)
	if errors.Is(err, platform.ErrNotFound) {
		_, err = n.store.Create(ctx, nodesKind, n.settings.Node, record)
		return err
	}
	if err != nil {
		return err
	}
	_, err = n.store.Update(ctx, nodesKind, n.settings.Node, old.Revision, record)
	return err
}

// storeAnswered notes an answer of the store, and tells whether it didn't answer before.
func (n *Node) storeAnswered(direct bool) bool {
	n.registry.StoreAnswered()
	return n.contact.success(direct)
}

// retryOthers lets all other followers try again at once.
func (n *Node) retryOthers(but *follower) {
	for _, f := range n.followers {
		if f != but {
			f.retry()
		}
	}
}

func (n *Node) storeFailed() {
	n.registry.StoreFailed()
	n.contact.failure()
}

// retrySlack returns this node's part of the repeats that a service may get beyond the share of its requests.
func (n *Node) retrySlack() float64 {
	return n.settings.Bounds.RetrySlack * budgetPart / float64(len(n.mesh.Alive())+1)
}

// ready tells whether this node can serve clients.
func (n *Node) ready() bool {
	return !n.draining.Load() && n.registry.View().Config != nil && n.replicas.Load()
}

// fresh tells whether the whole system has just started for the first time and no client has come yet.
func (n *Node) fresh() bool { return n.settings.FirstRun && !n.edge.Requested() }

// precedes tells whether another node comes before this one in the order in which nodes take on work for others: those with more
// processor first, then by name.
func (n *Node) precedes(p gossip.Peer) bool {
	if int(p.Capacity) != n.settings.Capacity {
		return int(p.Capacity) > n.settings.Capacity
	}
	return p.Node < n.settings.Node
}

// candidate tells whether this node should try to plan: no other node is heard to, and those before it in order had their time
// to try.
func (n *Node) candidate() bool {
	now, rank, planned := n.clock.Now(), 0, false
	for _, p := range n.mesh.Alive() {
		planned = planned || p.Planner
		if p.Ready && !p.Draining && n.precedes(p) {
			rank++
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if planned {
		n.plannerSeen = now
	}
	if planned || n.contact.failing() || n.draining.Load() || n.registry.View().Config == nil {
		return false
	}
	if n.fresh() && !n.tried {
		n.tried = true
		return true
	}
	return now.Sub(n.plannerSeen) > min(time.Duration(rank)*plannerTurn, plannerTurns)
}

// sweep looks for targets that stand still.
func (n *Node) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	told := n.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now := n.clock.Now(); now.Sub(told) >= summaryEvery {
			told = now
			n.log.WithFields(logrus.Fields{"store_calls": n.calls.summary(), "mirror": n.mirrorSource(), "planner": n.planner.Holds(),
				"nodes": len(n.mesh.Alive()) + 1, "in_flight": n.edge.InFlight()}).Info("summary")
		}
		n.registry.Expire()
		view := n.registry.View()
		for _, k := range n.table.Sweep(sweepEvery, func(balance.Key, balance.Load) time.Duration { return n.gap(view) }) {
			n.log.WithFields(logrus.Fields{"target": string(k), "load": n.table.Load(k)}).Warning("a target seems to stand still")
		}
	}
}

// gap returns the longest gap between events that a sound group of the configured engine shows.
func (n *Node) gap(view *fleet.View) time.Duration {
	if view.Config == nil {
		return 0
	}
	service := view.Config.EngineService()
	if service == nil {
		return 0
	}
	longest := time.Duration(0)
	for _, m := range service.Engine.Models {
		longest = max(longest, balance.Gap(service.Engine, m.Pace, balance.Load{Running: service.Engine.Slots / 2, Unread: service.Engine.Chunk}))
	}
	return longest
}

// tell returns what the other nodes are told.
func (n *Node) tell() *schema.NodeGossip {
	own := n.table.Own()
	msg := &schema.NodeGossip{Node: n.settings.Node, Incarnation: n.incarnation, Zone: n.settings.Zone, FrontAddress: n.settings.Front,
		PeerAddress: n.settings.Peer, Draining: n.draining.Load(), Ready: n.ready(), Planner: n.planner.Holds(), Capacity: uint32(n.settings.Capacity), MirrorAddress: n.mirrorAddress(),
		StoreContactMs: n.contact.directAge().Milliseconds()}
	if msg.Planner && n.contact.failing() {
		msg.Observed = encodeObservations(n.registry.Observations())
	}
	msg.LeaseRevision, msg.Resigned = n.lease.Told()
	for k, l := range own.Loads {
		msg.Loads = append(msg.Loads, &schema.TargetLoad{Target: string(k), Running: uint32(l.Running), Waiting: uint32(l.Waiting),
			UnreadTokens: uint32(l.Unread), HeardMs: uint32(own.Heard[k].Milliseconds())})
	}
	for k := range own.Suspect {
		msg.Suspects = append(msg.Suspects, string(k))
	}
	for k, slow := range own.Slow {
		msg.Slow = append(msg.Slow, &schema.SlowTarget{Target: string(k), Permille: uint32(slow * 1000)})
	}
	return msg
}

// heard takes what another node tells.
func (n *Node) heard(msg *schema.NodeGossip) {
	state := balance.PeerState{Loads: map[balance.Key]balance.Load{}, Heard: map[balance.Key]time.Duration{}, Suspect: map[balance.Key]bool{}, Slow: map[balance.Key]float64{}}
	for _, l := range msg.Loads {
		k := balance.Key(l.Target)
		state.Loads[k] = balance.Load{Running: int(l.Running), Waiting: int(l.Waiting), Unread: int(l.UnreadTokens)}
		state.Heard[k] = time.Duration(l.HeardMs) * time.Millisecond
	}
	for _, k := range msg.Suspects {
		state.Suspect[balance.Key(k)] = true
	}
	for _, t := range msg.Slow {
		state.Slow[balance.Key(t.Target)] = float64(t.Permille) / 1000
	}
	n.table.SetPeer(msg.Node, state)
	if msg.Planner && len(msg.Observed) > 0 {
		n.registry.Observe(decodeObservations(msg.Observed))
	}
	if msg.LeaseRevision != 0 {
		n.lease.Hear(msg.LeaseRevision, msg.Resigned)
	}
}

// listen binds the addresses of the node.
func (n *Node) listen() ([]*http.Server, error) {
	var servers []*http.Server
	for _, s := range []struct {
		name, address string
		handler       http.Handler
	}{
		{"front", n.settings.Front, n.edge}, {"readiness", n.settings.Readiness, n.readiness()},
		{"directory", n.settings.Directory, n.directory()}, {"metrics", n.settings.Metrics, n.observability()},
		{"mirror", n.settings.Mirror, n.mirror()},
	} {
		listener, err := net.Listen("tcp", s.address)
		if err != nil {
			return nil, eris.Wrapf(err, "%s address", s.name)
		}
		server := &http.Server{Handler: s.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ErrorLog: nil}
		servers = append(servers, server)
		go func() {
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				n.log.WithError(err).WithField("listener", s.name).Error("a listener failed")
			}
		}()
	}
	return servers, nil
}
