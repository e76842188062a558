package node

import (
	"context"
	"sort"
	"strings"

	"cassiadeal.example/cassiadeal/internal/membership"
	"cassiadeal.example/cassiadeal/internal/operator"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/target"
)

// backend provides the state and the operations of a node to the operators' listener.
type backend struct{ node *Node }

// Healthy implements operator.Backend. A node without the right to serve is healthy: a replacement wouldn't have it either.
func (b backend) Healthy() error { return nil }

// Ready implements operator.Backend.
func (b backend) Ready() error {
	if err := b.node.mayAccept(); err != nil {
		return err
	}
	return nil
}

// Config implements operator.Backend.
func (b backend) Config(context.Context) (operator.Config, error) {
	config, _ := b.node.config.Current()
	return operator.Config{Revision: config.GetRevision(), Rules: config.GetRules(), Author: config.GetAuthor()}, nil
}

// VMs implements operator.Backend.
func (b backend) VMs(context.Context) ([]*schema.VM, error) {
	vms, _, known := b.node.vms.getIfRead()
	if !known {
		return nil, result.New(result.PlatformUnavailable, "the VM list has not been read yet")
	}
	return vms, nil
}

// Apply implements operator.Backend.
func (b backend) Apply(ctx context.Context, change operator.Change) (operator.Applied, error) {
	applied, err := b.node.config.Apply(ctx, change.BaseRevision, change.Text, change.Author)
	return operator.Applied{Revision: applied.Revision, Missing: applied.Missing}, err
}

// Status implements operator.Backend.
func (b backend) Status(context.Context) (operator.Status, error) {
	n := b.node
	right := n.membership.Right()
	status := operator.Status{
		Node: n.self.Name, Incarnation: n.self.Incarnation, FailureDomain: n.self.FailureDomain, State: n.stateName(),
		RightToServe: right.Serve, Basis: servingBasis(right), InDoubt: right.InDoubt, ConfigRevision: n.config.Revision(),
		PlatformContactMS: n.platformAge(),
	}
	for _, info := range n.membership.Nodes() {
		peerNode := nodeStatus(info)
		peerNode.Stopped = info.LeaseLapsed && n.membership.ConfirmedSilent(info.Record.Name)
		status.Nodes = append(status.Nodes, peerNode)
	}
	status.Targets = n.targetStatuses()
	if _, current := n.config.Current(); current != nil {
		status.Destinations = destinationStatuses(current, status.Targets, n.routableNodes())
	}
	status.StrandedVMs = n.strandedVMs()
	return status, nil
}

func (n *Node) stateName() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.draining:
		return "draining"
	case n.announced:
		return "serving"
	}
	return "starting"
}

func servingBasis(r membership.Right) string {
	switch {
	case r.PlatformLease && r.Majority:
		return "both"
	case r.PlatformLease:
		return "platform"
	case r.Majority:
		return "majority"
	}
	return "none"
}

func nodeStatus(info membership.NodeInfo) operator.NodeStatus {
	status := operator.NodeStatus{
		Name: info.Record.Name, FailureDomain: info.Record.FailureDomain, OperatorAddress: info.Record.OperatorAddress,
		State: strings.ToLower(strings.TrimPrefix(nodeState(info).String(), "NODE_STATE_")), ConfigRevision: info.Record.ConfigRevision,
		LastContactMS: info.ContactAge.Milliseconds(),
	}
	if info.Status != nil {
		status.ConfigRevision = max(status.ConfigRevision, info.Status.ConfigRevision)
	}
	return status
}

// targetStatuses lists all targets. Load, limit and detailed state are known only for those that this node holds.
func (n *Node) targetStatuses() []operator.TargetStatus {
	_, current := n.config.Current()
	if current == nil {
		return nil
	}
	held := make(map[string]target.Status)
	for _, s := range n.targets.Status() {
		held[s.ID] = s
	}
	var list []operator.TargetStatus
	for _, spec := range n.allSpecs(current) {
		kind, name, _ := strings.Cut(spec.Destination, "/")
		status := operator.TargetStatus{ID: spec.ID, Kind: kind, Destination: name, FailureDomain: spec.FailureDomain, State: "unknown"}
		status.Holder, _ = n.holders.HolderOf(spec.ID)
		for _, m := range spec.Members {
			status.VMs = append(status.VMs, m.VM)
		}
		if local, ok := held[spec.ID]; ok {
			status.State, status.InFlight, status.Limit, status.InDoubt = targetState(local), local.InFlight, local.Limit, local.InDoubt
			status.PausedMS = local.PausedFor.Milliseconds()
			if local.Limited {
				status.RatePerSecond = &local.PerSecond
			}
		} else if spec.Draining {
			status.State = "draining"
		}
		list = append(list, status)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

func targetState(s target.Status) string {
	switch {
	case s.Draining || s.Leaving:
		return "draining"
	case s.UnusableReason != "":
		return "lost"
	case s.Warm:
		return "warm"
	case s.Limit > s.Limits.Cold:
		return "warming"
	}
	return "cold"
}

// strandedVMs lists live VMs in no ready group.
func (n *Node) strandedVMs() []string {
	serving := make(map[string]bool)
	for _, g := range n.groups.Groups() {
		if g.State != schema.GroupState_GROUP_STATE_READY {
			continue
		}
		for _, m := range g.Members {
			serving[m.VM] = true
		}
	}
	stranded := []string{}
	for _, vm := range n.vms.get() {
		if vm.State == schema.VMState_VM_STATE_LIVE && !serving[vm.Name] {
			stranded = append(stranded, vm.Name)
		}
	}
	sort.Strings(stranded)
	return stranded
}

// platformAge returns the milliseconds since the latest time at which the node list from the platform is known to have been
// current, or -1 if there is no such time.
func (n *Node) platformAge() int64 {
	currentAt, ok := n.membership.ListCurrentAt()
	if !ok {
		return -1
	}
	return n.clock.Now().Sub(currentAt).Milliseconds()
}
