package groups

import (
	"slices"
	"time"
)

// memberVM is what this node knows of a member's VM.
type memberVM struct {
	VM // As listed last.
	// readAt is when the last list that had the VM was read, or the first one that this node has read since it knows the member.
	readAt time.Duration
}

// vms returns the VM list with the members that recent lists lack; ok is false until the list is known. One list is no evidence of a
// member's end: lists are late, differ between nodes, and may have entries that can't be read. A member counts as listed until the lists
// that were read for Timing.Lost have lacked it, or its reports are missed as well.
func (c *Controllers) vms() (list []VM, ok bool) {
	list, age, ok := c.options.VMs()
	if !ok {
		return nil, false
	}
	listed := make(map[string]VM, len(list))
	for _, vm := range list {
		listed[vm.Name] = vm
	}
	list = slices.Clip(list)
	c.mu.Lock()
	defer c.mu.Unlock()
	readAt, known := c.options.Now()-age, map[string]memberVM{}
	for fabric, d := range c.plans {
		for name := range d.plan.Assignments {
			member, isKnown := c.memberVMs[name]
			if vm, isListed := listed[name]; isListed {
				member = memberVM{vm, readAt}
			} else if !isKnown {
				member = memberVM{VM{Name: name, FabricDomain: fabric, FailureDomain: d.plan.FailureDomain}, readAt}
			}
			known[name] = member
			if _, isListed := listed[name]; !isListed && readAt-member.readAt < c.options.Timing.Lost {
				member.Unlisted = true
				list = append(list, member.VM)
			}
		}
	}
	c.memberVMs = known
	return list, true
}
