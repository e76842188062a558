package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/gateway"
	"cassiadeal.example/cassiadeal/internal/holder"
	"cassiadeal.example/cassiadeal/internal/router"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	// crashReportTimeout bounds how long a request waits for its crash report to reach the other nodes before it is retried.
	crashReportTimeout = 500 * time.Millisecond
	// crashReportFor is the time for which heartbeats report each crash; it spans many heartbeats.
	crashReportFor = 10 * time.Second
)

// peerStatuses holds the last status of each peer.
type peerStatuses struct {
	mu       sync.Mutex
	sequence uint64
	byName   map[string]peerStatus
}

type peerStatus struct {
	sequence uint64 // Increases with each status that arrives from any peer.
	status   *schema.NodeStatus
}

func (p *peerStatuses) set(status *schema.NodeStatus) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byName == nil {
		p.byName = make(map[string]peerStatus)
	}
	p.sequence++
	p.byName[status.Name] = peerStatus{p.sequence, status}
}

func (p *peerStatuses) get(name string) peerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.byName[name]
}

// fillStatus adds what this node reports in heartbeats.
func (n *Node) fillStatus(status *schema.NodeStatus) {
	status.ConfigRevision = n.config.Revision()
	status.Pools = n.targets.Summary()
	status.Crashes, status.Answers = n.crashes.Reports(crashReportFor)
	status.Statements = n.statements.Reports(n.settings.Timing.Heartbeat)
	status.Accounts = n.admission.Demand()
	for _, takeover := range n.holders.Takeovers() {
		status.Takeovers = append(status.Takeovers, &schema.Takeover{
			Target: takeover.Target.ID, FailureDomain: takeover.Target.FailureDomain,
			Epoch: takeover.Entry.Epoch, TableEpoch: takeover.TableEpoch, Holder: takeover.Entry.Name, HolderIncarnation: takeover.Entry.Incarnation,
		})
	}
}

// onPeerStatus stores the status of a peer and passes its contents to the components concerned.
func (n *Node) onPeerStatus(status *schema.NodeStatus) {
	n.statuses.set(status)
	n.crashes.Merge(status.Crashes, status.Answers)
	n.statements.NoteNode(status.Name, status.Incarnation)
	n.statements.Merge(status.Statements)
	n.holders.NoteTakeovers(status.Name, reportedTakeovers(status))
	if address, ok := n.membership.PeerAddress(status.Name); ok {
		n.config.NoteRevision(context.Background(), status.Name, address, status.ConfigRevision)
	}
}

func reportedTakeovers(status *schema.NodeStatus) []holder.Takeover {
	list := make([]holder.Takeover, 0, len(status.Takeovers))
	for _, takeover := range status.Takeovers {
		list = append(list, holder.Takeover{
			Target:     holder.Target{ID: takeover.Target, FailureDomain: takeover.FailureDomain},
			Entry:      holder.Entry{Identity: holder.Identity{Name: takeover.Holder, Incarnation: takeover.HolderIncarnation}, Epoch: takeover.Epoch},
			TableEpoch: takeover.TableEpoch,
		})
	}
	return list
}

// updateAccountDemand passes the demand that the serving peers report to admission.
func (n *Node) updateAccountDemand() {
	demand := make(map[string][]*schema.AccountDemand)
	for _, info := range n.membership.Nodes() {
		if info.Record.Name == n.self.Name || info.LeaseLapsed || nodeState(info) != schema.NodeState_NODE_STATE_SERVING {
			continue
		}
		demand[info.Record.Name] = info.Status.GetAccounts()
	}
	n.admission.SetPeers(demand)
}

// liveNodes returns the names of this node and its live peers.
func (n *Node) liveNodes() []string {
	names := []string{n.self.Name}
	for _, info := range n.membership.Nodes() {
		if info.Live && info.Record.Name != n.self.Name {
			names = append(names, info.Record.Name)
		}
	}
	return names
}

// routableNodes lists the live nodes with the load summaries of their pools and services.
func (n *Node) routableNodes() []router.Node {
	nodes := []router.Node{{
		Name: n.self.Name, FailureDomain: n.self.FailureDomain, Self: true, StatusSequence: 0, Pools: n.targets.Summary(),
	}}
	for _, info := range n.membership.Nodes() {
		if info.Record.Name == n.self.Name || !info.Live {
			continue
		}
		peerStatus := n.statuses.get(info.Record.Name)
		nodes = append(nodes, router.Node{
			Name: info.Record.Name, PeerAddress: info.Record.PeerAddress, FailureDomain: info.Record.FailureDomain,
			StatusSequence: peerStatus.sequence, Pools: peerStatus.status.GetPools(),
		})
	}
	return nodes
}

func (n *Node) holdsTarget(id string) bool {
	_, ok := n.holders.Holds(id)
	return ok
}

// execute runs a request here or at another node.
func (n *Node) execute(ctx context.Context, node router.Node, req *schema.DispatchRequest, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd {
	if node.Self {
		return setShutdownCode(ctx, req, n.executor.Execute(ctx, req, sink))
	}
	release, ok := n.startForward(node.Name, req)
	if !ok {
		return noRoomEnd("too many large requests are under way from this node to " + node.Name)
	}
	defer release()
	return setShutdownCode(ctx, req, n.peers.Dispatch(ctx, node.PeerAddress, req, sink))
}

// reportCrash records a crash and reports it to the live peers before the request is retried.
func (n *Node) reportCrash(ctx context.Context, report *schema.CrashReport) {
	n.crashes.Record(crash.CrashOf(report))
	ctx, cancel := context.WithTimeout(ctx, crashReportTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, info := range n.membership.Nodes() {
		if info.Record.Name == n.self.Name || !info.Live {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer n.recoverer("crash report").Recover(logrus.Fields{"peer": info.Record.Name})
			// A node that misses the report gets the crash with the next heartbeat.
			_ = n.peers.ReportCrash(ctx, info.Record.PeerAddress, report)
		}()
	}
	wg.Wait()
}

// addresses returns the response to GET /v1/addresses. Nodes that don't serve are left out and overloaded ones come last. The
// seed determines the order otherwise, so that callers are spread over the nodes.
func (n *Node) addresses(seed string) gateway.Addresses {
	response := gateway.Addresses{Addresses: []gateway.Address{}, KeepSeconds: n.settings.Timing.AddressKeep.Seconds()}
	var names []string
	byName := make(map[string]gateway.Address)
	for _, info := range n.membership.Nodes() {
		if !n.usableByCallers(info.Record.Name) {
			continue
		}
		names = append(names, info.Record.Name)
		byName[info.Record.Name] = gateway.Address{Address: info.Record.CallerAddress, FailureDomain: info.Record.FailureDomain}
	}
	var overloaded []gateway.Address
	for _, name := range orderBySeed(names, seed) {
		if n.overloaded(name) {
			overloaded = append(overloaded, byName[name])
			continue
		}
		response.Addresses = append(response.Addresses, byName[name])
	}
	response.Addresses = append(response.Addresses, overloaded...)
	return response
}

// overloaded reports whether every pool and service of a node has queued requests and no free slot.
func (n *Node) overloaded(name string) bool {
	pools := n.statuses.get(name).status.GetPools()
	if name == n.self.Name {
		pools = n.targets.Summary()
	}
	for _, p := range pools {
		if p.FreeSlots > 0 || p.Queued == 0 {
			return false
		}
	}
	return len(pools) > 0
}

func (n *Node) usableByCallers(name string) bool {
	if name == n.self.Name {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.draining || !n.announced {
			return false
		}
		return n.membership.Right().Serve
	}
	for _, info := range n.membership.Nodes() {
		if info.Record.Name == name {
			return info.Live && nodeState(info) == schema.NodeState_NODE_STATE_SERVING
		}
	}
	return false
}

func orderBySeed(names []string, seed string) []string {
	sortBy(names, func(name string) uint64 { return xxhash.Sum64String(seed + "\x00" + name) })
	return names
}

func sortBy[T any, K cmp.Ordered](list []T, key func(T) K) {
	slices.SortFunc(list, func(a, b T) int { return cmp.Compare(key(a), key(b)) })
}

// handler answers the RPCs of other nodes.
type handler struct{ node *Node }

func (h handler) HandleHeartbeat(ctx context.Context, req *schema.HeartbeatRequest) (*schema.HeartbeatResponse, error) {
	return h.node.membership.HandleHeartbeat(ctx, req)
}

func (h handler) Config() *schema.Config {
	config, _ := h.node.config.Current()
	if config == nil {
		return &schema.Config{}
	}
	return config
}

func (h handler) OfferConfig(ctx context.Context, cfg *schema.Config) uint64 {
	return h.node.config.Offer(ctx, cfg)
}

func (h handler) Execute(ctx context.Context, req *schema.DispatchRequest, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd {
	h.node.forwardedInFlight.Add(1)
	defer h.node.forwardedInFlight.Add(-1)
	release, err := h.node.acceptForwarded(req)
	if err != nil {
		return noRoomEnd("node " + h.node.self.Name + ": " + err.Error())
	}
	defer release()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(h.node.requestContext, func() { cancel(context.Cause(h.node.requestContext)) })
	defer stop()
	return setShutdownCode(ctx, req, h.node.executor.Execute(ctx, req, sink))
}

func (h handler) RecordCrash(r *schema.CrashReport) {
	h.node.crashes.Record(crash.CrashOf(r))
}

func (h handler) ClaimStatus(_ context.Context, req *schema.ClaimStatusRequest) *schema.ClaimStatusResponse {
	if req.Incarnation != h.node.self.Incarnation {
		return &schema.ClaimStatusResponse{}
	}
	return h.node.claims.Status(req.Nonce)
}

// claimOwners queries the nodes that wrote claims.
type claimOwners struct{ node *Node }

// ClaimStatus implements claims.Owners.
func (c claimOwners) ClaimStatus(ctx context.Context, claim *schema.Claim) (*schema.ClaimStatusResponse, bool) {
	for _, info := range c.node.membership.Nodes() {
		if info.Record.Name != claim.Node || info.Record.Incarnation != claim.Incarnation {
			continue
		}
		resp, err := c.node.peers.ClaimStatus(ctx, info.Record.PeerAddress, &schema.ClaimStatusRequest{
			Key: claim.Key, Incarnation: claim.Incarnation, Nonce: claim.Nonce,
		})
		if err == nil {
			return resp, true
		}
	}
	return nil, !c.node.membership.LeaseEnded(claim.Node, claim.Incarnation)
}
