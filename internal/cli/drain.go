package cli

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"

	"cassiadeal.example/cassiadeal/internal/operator"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// drainPlan is the output of drain-plan: what is lost if a failure domain, fabric domain or VM is taken out.
type drainPlan struct {
	Name         string            `json:"name"`
	Kind         string            `json:"kind"` // failure_domain, fabric_domain or vm.
	VMs          int               `json:"vms"`  // Live VMs that are taken out.
	EntryNodes   []string          `json:"entry_nodes"`
	Destinations []destinationLoss `json:"destinations"`
}

// destinationLoss is the effect on one pool or service. It counts replicas or targets; capacities are requests in flight
// at the full limits.
type destinationLoss struct {
	Kind              string `json:"kind"`
	Name              string `json:"name"`
	Wanted            int    `json:"wanted"`
	Serving           int    `json:"serving"`
	Lost              int    `json:"lost"`
	Remaining         int    `json:"remaining"`
	Capacity          int    `json:"capacity"`
	RemainingCapacity int    `json:"remaining_capacity"`
	// AfterRepair is the number of replicas that fit on the remaining VMs; for services, it equals Remaining.
	AfterRepair int `json:"after_repair"`
}

func (a *app) drainPlan(ctx context.Context, c *drainCommand) error {
	r, _, _, err := a.rulesInForce(ctx)
	if err != nil {
		return err
	}
	status, err := a.client.status(ctx)
	if err != nil {
		return err
	}
	vms, err := a.client.vms(ctx)
	if err != nil {
		return err
	}
	plan, found := planDrain(r, &status, vms, c.Name)
	if !found {
		return exitf(ExitNotFound, "no failure domain, fabric domain or VM is named %q", c.Name)
	}
	if c.JSON {
		return a.printJSON(plan)
	}
	a.printPlan(plan)
	return nil
}

func (a *app) printPlan(plan drainPlan) {
	fmt.Fprintf(a.Stdout, "taking out %s %s loses %s and entry nodes: %s\n", plan.Kind, plan.Name, plural(plan.VMs, "VM"), orNone(plan.EntryNodes))
	a.printTable("DESTINATION\tKIND\tWANTED\tSERVING\tLOST\tCAPACITY\tCAPACITY LEFT\tAFTER REPAIR\tREMAINING", func(w io.Writer) {
		for _, d := range plan.Destinations {
			colour := green
			if d.Remaining == 0 && d.Wanted > 0 {
				colour = red
			} else if d.Lost > 0 {
				colour = yellow
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", d.Name, d.Kind, d.Wanted, d.Serving, d.Lost,
				d.Capacity, d.RemainingCapacity, d.AfterRepair, a.colourText(colour, fmt.Sprint(d.Remaining)))
		}
	})
}

// planDrain computes the loss from the rules in force, one node's status and the VM list. Targets in failure domains that
// are already out count neither as serving nor as lost.
func planDrain(r *rules.Rules, status *operator.Status, vms []*schema.VM, name string) (drainPlan, bool) {
	plan := drainPlan{Name: name, EntryNodes: []string{}}
	drained, remaining := map[string]bool{}, []*schema.VM(nil)
	kind := drainKind(r, vms, name)
	if kind == "" {
		return plan, false
	}
	plan.Kind = kind
	for _, vm := range vms {
		switch {
		case vmMatches(kind, name, vm):
			drained[vm.GetName()] = true
			if vm.GetState() == schema.VMState_VM_STATE_LIVE {
				plan.VMs++
			}
		case !r.FailureDomains[vm.GetFailureDomain()].Out:
			remaining = append(remaining, vm)
		}
	}
	for _, node := range status.Nodes {
		if kind == kindFailureDomain && node.FailureDomain == name {
			plan.EntryNodes = append(plan.EntryNodes, node.Name)
		}
	}
	isLost := func(t operator.TargetStatus) bool {
		return (kind == kindFailureDomain && t.FailureDomain == name) || (kind == kindFabricDomain && t.FabricDomain == name) ||
			slices.ContainsFunc(t.VMs, func(vm string) bool { return drained[vm] })
	}
	plan.Destinations = destinationLosses(r, status, isLost, rules.FittingReplicas(r, remaining))
	return plan, true
}

// Kinds of units that can be taken out.
const (
	kindFailureDomain = "failure_domain"
	kindFabricDomain  = "fabric_domain"
	kindVM            = "vm"
)

// drainKind returns the kind of unit that has the name, or "" if there is none.
func drainKind(r *rules.Rules, vms []*schema.VM, name string) string {
	if _, ok := r.FailureDomains[name]; ok {
		return kindFailureDomain
	}
	for _, kind := range []string{kindFailureDomain, kindFabricDomain, kindVM} {
		if slices.ContainsFunc(vms, func(vm *schema.VM) bool { return vmMatches(kind, name, vm) }) {
			return kind
		}
	}
	return ""
}

// vmMatches reports whether the VM belongs to the named unit.
func vmMatches(kind, name string, vm *schema.VM) bool {
	switch kind {
	case kindFailureDomain:
		return vm.GetFailureDomain() == name
	case kindFabricDomain:
		return vm.GetFabricDomain() == name
	default:
		return vm.GetName() == name
	}
}

func destinationLosses(r *rules.Rules, status *operator.Status, isLost func(operator.TargetStatus) bool, placed map[string]int) []destinationLoss {
	var losses []destinationLoss
	for name, pool := range r.Pools {
		losses = append(losses, destinationLoss{Kind: "pool", Name: name, Wanted: pool.Replicas, AfterRepair: placed[name]})
	}
	for name, service := range r.Services {
		losses = append(losses, destinationLoss{Kind: "service", Name: name, Wanted: len(service.Targets)})
	}
	slices.SortFunc(losses, func(x, y destinationLoss) int {
		return cmp.Or(cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Name, y.Name))
	})
	for i := range losses {
		loss := &losses[i]
		full := r.Pools[loss.Name].Limits.Full
		if loss.Kind == "service" {
			full = r.Services[loss.Name].Limits.Full
		}
		for _, t := range status.Targets {
			if t.Kind != loss.Kind || t.Destination != loss.Name || !isServing(t) || r.FailureDomains[t.FailureDomain].Out {
				continue
			}
			loss.Serving++
			if isLost(t) {
				loss.Lost++
			}
		}
		loss.Remaining = loss.Serving - loss.Lost
		loss.Capacity, loss.RemainingCapacity = loss.Serving*full, loss.Remaining*full
		if loss.Kind == "service" {
			loss.AfterRepair = loss.Remaining
		}
	}
	return losses
}

// isServing reports whether the target takes requests.
func isServing(t operator.TargetStatus) bool {
	return t.State == "cold" || t.State == "warming" || t.State == "warm"
}
