package groups

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/orders"
)

// sendOrders sends the orders of a stored plan in the background, except to VMs whose last order is unanswered or not yet
// reflected in a report.
func (c *Controllers) sendOrders(ctx context.Context, fabric string, version uint64, state *controlState, list []Order) {
	now := c.options.Now()
	for _, o := range list {
		if !c.reserve(state, o, now) {
			continue
		}
		c.sends.Go(func() {
			c.sendSlots <- struct{}{}
			defer func() { <-c.sendSlots }()
			c.deliver(ctx, fabric, version, state, o)
		})
	}
}

// reserve marks a VM as having an unanswered order. It returns false if the VM must not get an order yet.
func (c *Controllers) reserve(state *controlState, o Order, now time.Duration) bool {
	reportedAt := now - c.options.Report(o.VM).Age
	c.mu.Lock()
	defer c.mu.Unlock()
	v := state.orderStates[o.VM]
	if v == nil {
		v = &orderState{}
		state.orderStates[o.VM] = v
	}
	if v.unanswered || reportedAt < v.settledAt {
		return false
	}
	v.unanswered = true
	return true
}

// mayStillSend reports whether this node may still send the orders of a version of a plan: it controls the fabric domain
// and knows no other version.
func (c *Controllers) mayStillSend(fabric string, version uint64) bool {
	if !c.mayControl() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.plans[fabric]
	return d.version == version && controllerOf(d.plan) == c.options.Self
}

// deliver sends one order. The next order to the same VM requires a report that was read after this order was answered
// or could no longer arrive.
func (c *Controllers) deliver(ctx context.Context, fabric string, version uint64, state *controlState, o Order) {
	ctx, cancel := context.WithTimeout(ctx, c.options.OrderDelivery)
	defer cancel()
	var err error
	attempted := c.mayStillSend(fabric, version)
	if attempted {
		err = c.options.Orders.Send(ctx, o.Address, orders.Order{
			Fence: version, Action: orders.Action(o.Action), Group: o.Group, Number: o.Number, Rank: o.Rank, Size: o.Size,
			Members: o.Members, Model: o.Model, Pool: o.Pool,
		})
	}
	if err != nil {
		c.options.Log.WithError(err).WithFields(logrus.Fields{"vm": o.VM, "group": o.Group, "fence": version}).
			Warn("order to engine failed")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := state.orderStates[o.VM]
	v.unanswered = false
	if !attempted {
		return
	}
	v.settledAt = c.options.Now()
	if err != nil && !errors.Is(err, orders.ErrNotSent) {
		v.settledAt += c.options.OrderDelivery
	}
}

// Release gives up control of all fabric domains at a graceful shutdown, so that another node takes over without waiting
// for the lease to end. It waits until no order is being sent. It keeps a fabric domain while an order of this node may
// still take effect, or while it waits for orders of the previous controller; another node takes that fabric domain over
// after the lease has ended.
func (c *Controllers) Release(ctx context.Context) {
	c.mu.Lock()
	c.released = true
	c.mu.Unlock()
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	c.sends.Wait()
	c.mu.Lock()
	settled := map[string]cachedPlan{}
	for name, d := range c.plans {
		if controllerOf(d.plan) == c.options.Self && c.ordersSettledLocked(name) {
			settled[name] = d
		}
	}
	c.mu.Unlock()
	for name, d := range settled {
		plan := proto.CloneOf(d.plan)
		plan.Controller, plan.ControllerIncarnation = "", ""
		if _, err := c.write(ctx, name, d.version, plan); err != nil {
			c.options.Log.WithError(err).WithField("fabric_domain", name).Warn("could not release control of the fabric domain")
		}
	}
}

// ordersSettledLocked reports whether this node no longer waits for orders of the previous controller and none of its own
// may still take effect. The caller holds c.mu.
func (c *Controllers) ordersSettledLocked(fabric string) bool {
	state := c.controlStates[fabric]
	if state == nil || c.options.Now() < state.activeFrom {
		return false
	}
	for _, v := range state.orderStates {
		if v.unanswered || c.options.Now() < v.settledAt {
			return false
		}
	}
	return true
}
