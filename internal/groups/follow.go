package groups

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// followPlans lists the plans and then watches them until ctx ends. After an error it lists them again.
func (c *Controllers) followPlans(ctx context.Context) {
	since := uint64(0)
	for ctx.Err() == nil {
		var err error
		if since == 0 {
			since, err = c.listPlans(ctx)
		} else {
			since, err = c.watchPlans(ctx, since)
		}
		if err == nil {
			continue
		}
		since = 0
		select {
		case <-ctx.Done():
		case <-time.After(c.options.Interval + rand.N(c.options.Interval)):
		}
	}
}

// listPlans reads all plans and returns the version from which to watch them.
func (c *Controllers) listPlans(ctx context.Context) (uint64, error) {
	objects, v, err := c.options.Platform.List(ctx, Kind)
	if err != nil {
		return 0, eris.Wrapf(err, "list %s", Kind)
	}
	for _, o := range objects {
		c.cacheReadablePlan(o)
	}
	c.noteLostPlans(objects, v)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plansListed = true
	return v, nil
}

// watchPlans waits for changes after a version, caches them and returns the version from which to watch next.
func (c *Controllers) watchPlans(ctx context.Context, since uint64) (uint64, error) {
	events, v, err := c.options.Platform.Watch(ctx, Kind, since, watchWait)
	if err != nil {
		return 0, eris.Wrapf(err, "watch %s since %d", Kind, since)
	}
	for _, e := range events {
		if e.Deleted {
			c.removePlan(e.Object)
		} else {
			c.cacheReadablePlan(e.Object)
		}
	}
	return max(v, since), nil
}

// decodePlan decodes the plan in an object and ignores fields that this version of the program doesn't know.
func decodePlan(o Object) (*schema.FabricDomain, error) {
	plan := &schema.FabricDomain{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(o.Data, plan); err != nil {
		return nil, eris.Wrapf(err, "decode plan of fabric domain %q version %d", o.Name, o.Version)
	}
	return plan, nil
}

// storedPlan returns a plan that was read or written at a version of the store.
func storedPlan(version uint64, plan *schema.FabricDomain) cachedPlan {
	return cachedPlan{version: version, plan: plan, writtenAt: platform.VersionIn(plan.StoreEra, platform.StoreVersion(version))}
}

// over returns what is known after reading next: its plan, unless a restore of the store has taken a later one. Engines have carried out that
// one, so that orders by the older one would end what they run. Only the controller is that of the stored object.
func (known cachedPlan) over(next cachedPlan) cachedPlan {
	if known.writtenAt <= next.writtenAt {
		return next
	}
	plan := proto.CloneOf(known.plan)
	plan.Controller, plan.ControllerIncarnation = next.plan.Controller, next.plan.ControllerIncarnation
	return cachedPlan{version: next.version, plan: plan, writtenAt: known.writtenAt, unstored: true}
}

// cachePlan caches a plan unless the same or a later version is known, and calls the functions set by OnChange.
func (c *Controllers) cachePlan(o Object) error {
	d, err := decodePlan(o)
	if err != nil {
		return err
	}
	c.mu.Lock()
	if o.Version <= c.plans[o.Name].version {
		c.mu.Unlock()
		return nil
	}
	c.noteEraLocked(o.Version)
	c.plans[o.Name] = c.plans[o.Name].over(storedPlan(o.Version, d))
	changed := slices.Clone(c.onChange)
	c.mu.Unlock()
	for _, f := range changed {
		f()
	}
	return nil
}

// cacheReadablePlan caches a plan. If it can't be decoded, the last known one stays, and the plans of other fabric domains aren't affected.
func (c *Controllers) cacheReadablePlan(o Object) {
	if err := c.cachePlan(o); err != nil {
		c.options.Log.WithError(err).WithField("fabric_domain", o.Name).Warn("a plan can't be decoded")
	}
}

// knownEra returns the highest era of the store in which this node has read plans.
func (c *Controllers) knownEra() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

// noteEraLocked makes this node's controllers wait when a version is of a later era than those before. The restored plans may name a
// former controller, beside which the present one goes on until it has read them or its lease has ended. The caller holds c.mu.
func (c *Controllers) noteEraLocked(version uint64) {
	era := platform.EraOf(version)
	if era <= c.era {
		return
	}
	c.era, c.quietUntil = era, c.options.Now()+c.options.Term+c.options.Margin+c.options.OrderDelivery
	for _, state := range c.controlStates {
		state.activeFrom = max(state.activeFrom, c.quietUntil)
	}
}

// noteLostPlans notes the plans that a list of a later era lacks as not stored. Their controllers write them again.
func (c *Controllers) noteLostPlans(listed []Object, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteEraLocked(version)
	for name, d := range c.plans {
		isListed := slices.ContainsFunc(listed, func(o Object) bool { return o.Name == name })
		if !isListed && platform.EraOf(d.version) < platform.EraOf(version) {
			d.version, d.unstored = 0, true
			c.plans[name] = d
		}
	}
}

// removePlan removes a deleted plan from the cache and calls the functions set by OnChange.
func (c *Controllers) removePlan(o Object) {
	c.mu.Lock()
	delete(c.plans, o.Name)
	changed := slices.Clone(c.onChange)
	c.mu.Unlock()
	for _, f := range changed {
		f()
	}
}

// Groups returns all groups of all fabric domains, ordered by ID.
func (c *Controllers) Groups() []View {
	list, _ := c.vms()
	vms := make(map[string]VM, len(list))
	for _, vm := range list {
		vms[vm.Name] = vm
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var views []View
	for name, d := range c.plans {
		for _, g := range d.plan.Groups {
			v := View{
				ID: g.Id, Pool: g.Pool, Model: g.Model, Number: g.Number, Size: int(g.Size), State: g.State,
				FailureDomain: d.plan.FailureDomain, FabricDomain: name,
			}
			for _, vm := range members(d.plan, g) {
				v.Members = append(v.Members, Member{
					VM: vm, Address: vms[vm].Address, Incarnation: d.plan.Assignments[vm].GetIncarnation(),
					Leaving: vms[vm].Leaving,
				})
			}
			views = append(views, v)
		}
	}
	slices.SortFunc(views, func(a, b View) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return views
}
