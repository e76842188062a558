package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/groups"
	"cassiadeal.example/cassiadeal/internal/holder"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/statement"
	"cassiadeal.example/cassiadeal/internal/target"
)

const (
	reconcileInterval = 100 * time.Millisecond
	// vmWatchWait is the longest wait of one watch. It bounds, with the platform timeout, how long a connection that no
	// longer delivers data goes unnoticed.
	vmWatchWait     = time.Second
	vmRetryInterval = 500 * time.Millisecond
	// leavingGrace is how long the group of a leaving VM keeps taking work while its replacement is built. A leaving target
	// must take no new work after 5 s; the remaining 2 s cover the reading of the list and one dispatch.
	leavingGrace = 3 * time.Second
)

// vmList is the last VM list that was read.
type vmList struct {
	mu           sync.Mutex
	vms          []*schema.VM
	everRead     bool
	readAt       time.Duration            // Last successful read.
	readFailed   bool                     // The last read failed.
	leavingSince map[string]time.Duration // By VM: the earliest time at which the platform may have listed it as leaving.
}

func (v *vmList) get() []*schema.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.vms
}

// getIfRead returns the list and when it was last read, or false if it never was.
func (v *vmList) getIfRead() ([]*schema.VM, time.Duration, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.vms, v.readAt, v.everRead
}

// set stores the result of a successful read. If vms is nil, the stored list is kept.
func (v *vmList) set(vms []*schema.VM, now time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	since := now
	if v.readFailed {
		since = v.readAt
	}
	v.readAt, v.readFailed = now, false
	if vms == nil {
		return
	}
	if !v.everRead {
		since = now - leavingGrace // The VM may have been listed as leaving long before this node started.
	}
	leavingSince := map[string]time.Duration{}
	for _, vm := range vms {
		if vm.State != schema.VMState_VM_STATE_LEAVING {
			continue
		}
		leavingSince[vm.Name] = since
		if earlier, ok := v.leavingSince[vm.Name]; ok {
			leavingSince[vm.Name] = earlier
		}
	}
	v.vms, v.everRead, v.leavingSince = vms, true, leavingSince
}

func (v *vmList) setFailed() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.readFailed = true
}

// leavingGraceOver reports whether the group of a leaving VM must take no more new work, whether or not a replacement is ready.
func (v *vmList) leavingGraceOver(vm string, now time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	since, leaving := v.leavingSince[vm]
	return leaving && now-since >= leavingGrace
}

// address returns the engine address of a VM.
func (v *vmList) address(name string) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, vm := range v.vms {
		if vm.Name == name {
			return vm.Address, true
		}
	}
	return "", false
}

// plannedVMs returns the VM list for the planners of groups.
func (n *Node) plannedVMs() ([]groups.VM, time.Duration, bool) {
	vms, readAt, known := n.vms.getIfRead()
	list := make([]groups.VM, 0, len(vms))
	for _, vm := range vms {
		list = append(list, groups.VM{
			Name: vm.Name, Address: vm.Address, FabricDomain: vm.FabricDomain, FailureDomain: vm.FailureDomain,
			Leaving: vm.State == schema.VMState_VM_STATE_LEAVING,
		})
	}
	return list, n.now() - readAt, known
}

// followVMs keeps the VM list current by long polling.
func (n *Node) followVMs(ctx context.Context) {
	var since uint64
	for ctx.Err() == nil {
		vms, version, err := n.platform.WatchVMs(ctx, since, vmWatchWait)
		if err != nil {
			n.log.WithError(err).Debug("VM list could not be read")
			n.vms.setFailed()
			sleepFor(ctx, vmRetryInterval)
			continue
		}
		since = version
		n.vms.set(vms, n.now())
	}
}

func sleepFor(ctx context.Context, d time.Duration) { sleepUntil(ctx, time.Now().Add(d)) }

// reconcileLoop updates the target table periodically from the rules, the groups and the holder table.
func (n *Node) reconcileLoop(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		n.reconcile()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (n *Node) reconcile() {
	_, current := n.config.Current()
	if current == nil {
		return
	}
	if n.config.Ready() {
		n.announceServing()
	}
	right := n.membership.Right()
	n.drains.update(current.FailureDomains, right.Serve, n.now())
	specs := n.allSpecs(current)
	targets := make([]holder.Target, 0, len(specs))
	for _, spec := range specs {
		targets = append(targets, holder.Target{ID: spec.ID, FailureDomain: spec.FailureDomain})
	}
	n.holders.SetTargets(targets)
	var held []target.Spec
	for _, spec := range specs {
		if holding, ok := n.holders.Holds(spec.ID); ok {
			spec.InDoubt = holding.InDoubt || right.InDoubt
			held = append(held, spec)
		}
	}
	n.targets.SetSpecs(held)
	n.updateAccountDemand()
}

// announceServing sets this node's state to serving once, unless it is draining. It is called when this node has the
// configuration in force.
func (n *Node) announceServing() {
	n.mu.Lock()
	first := !n.announced && !n.draining
	n.announced = true
	n.mu.Unlock()
	if first {
		n.membership.SetState(schema.NodeState_NODE_STATE_SERVING)
	}
}

// allSpecs lists the targets of all nodes and limits those in failure domains that are out.
func (n *Node) allSpecs(current *rules.Rules) []target.Spec {
	specs := n.plannedSpecs(current)
	for i := range specs {
		spec := &specs[i]
		if !current.FailureDomains[spec.FailureDomain].Out {
			continue
		}
		share := n.drains.remainingShare(spec.FailureDomain, n.now())
		spec.InFlightCap = int(share * float64(spec.Limits.Full))
		spec.Draining = spec.Draining || spec.InFlightCap == 0
	}
	return specs
}

// plannedSpecs lists the targets of all nodes without applying the draining of failure domains that are out.
func (n *Node) plannedSpecs(current *rules.Rules) []target.Spec {
	var specs []target.Spec
	for _, g := range n.groups.Groups() {
		if spec, ok := groupSpec(current, g); ok {
			spec.Draining = spec.Draining || n.mustStopForLeaving(g)
			specs = append(specs, spec)
		}
	}
	for _, s := range current.Services {
		for _, t := range s.Targets {
			specs = append(specs, target.Spec{
				ID: "service/" + s.Name + "/" + t.Address, Destination: "service/" + s.Name, FailureDomain: t.FailureDomain,
				Address: t.Address, Limits: s.Limits, MaxQueue: s.MaxQueue,
			})
		}
	}
	return specs
}

// groupSpec returns the target for a group, or false if the group is still being built or its pool is not in the rules.
func groupSpec(current *rules.Rules, g groups.View) (target.Spec, bool) {
	pool, ok := current.Pools[g.Pool]
	if !ok || g.State == schema.GroupState_GROUP_STATE_PLANNED || len(g.Members) == 0 {
		return target.Spec{}, false
	}
	spec := target.Spec{
		ID: "group/" + g.FabricDomain + "/" + g.ID, Destination: "pool/" + g.Pool, FailureDomain: g.FailureDomain,
		Address: g.Members[0].Address, Group: g.ID, Number: g.Number, Limits: pool.Limits, MaxQueue: pool.MaxQueue,
		Draining: g.State == schema.GroupState_GROUP_STATE_RETIRING,
	}
	for _, m := range g.Members {
		spec.Members = append(spec.Members, target.Member{VM: m.VM, Address: m.Address, Incarnation: m.Incarnation})
	}
	return spec, true
}

// mustStopForLeaving reports whether a group must take no more new work because a member has been leaving for leavingGrace, by the
// VM list or as it has stated itself. Until then it serves while its replacement is built; the controller retires it when the
// replacement is ready.
func (n *Node) mustStopForLeaving(g groups.View) bool {
	now := n.now()
	return slices.ContainsFunc(g.Members, func(m groups.Member) bool {
		age, stated := n.statements.LeavingFor(statement.Target{ID: m.Address, Incarnation: m.Incarnation})
		return stated && age >= leavingGrace || n.vms.leavingGraceOver(m.VM, now)
	})
}

// onRules applies new rules to the components that the reconcile loop doesn't update.
func (n *Node) onRules(r *rules.Rules, revision uint64) {
	n.admission.SetAccounts(r.Accounts)
	n.log.WithField("revision", revision).Info("configuration in force at this node")
}
