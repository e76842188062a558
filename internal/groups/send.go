package groups

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/orders"
)

// send starts the orders of a written plan, except to VMs whose last order is not settled.
func (c *Controllers) send(ctx context.Context, fabric string, version uint64, ctl *control, list []Order) {
	now := c.o.Now()
	for _, o := range list {
		if !c.reserve(ctl, o, now) {
			continue
		}
		c.sending.Go(func() {
			c.slots <- struct{}{}
			defer func() { <-c.slots }()
			c.deliver(ctx, fabric, version, ctl, o)
		})
	}
}

// reserve marks a VM as having an order under way.
func (c *Controllers) reserve(ctl *control, o Order, now time.Duration) bool {
	sent := now - c.o.Report(o.VM).Age
	c.mu.Lock()
	defer c.mu.Unlock()
	v := ctl.vms[o.VM]
	if v == nil {
		v = &vmOrders{}
		ctl.vms[o.VM] = v
	}
	if v.busy || sent < v.settled {
		return false
	}
	v.busy = true
	if o.Load {
		ctl.starts = append(ctl.starts, now)
	}
	return true
}

// current tells whether this node may still send orders that follow from a version of a plan.
func (c *Controllers) current(fabric string, version uint64) bool {
	if !c.mayControl() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.domains[fabric]
	return d.version == version && controllerOf(d.plan) == c.o.Self
}

// deliver sends one order. The next one to the same VM needs a report that was read after this one was answered or can
// no longer arrive.
func (c *Controllers) deliver(ctx context.Context, fabric string, version uint64, ctl *control, o Order) {
	ctx, cancel := context.WithTimeout(ctx, c.o.OrderDelivery)
	defer cancel()
	var err error
	sent := c.current(fabric, version)
	if sent {
		err = c.o.Orders.Send(ctx, o.Address, orders.Order{
			Fence: version, Action: orders.Action(o.Action), Group: o.Group, Number: o.Number, Rank: o.Rank, Size: o.Size,
			Members: o.Members, Model: o.Model, Pool: o.Pool,
		})
	}
	if err != nil {
		c.o.Log.WithError(err).WithFields(logrus.Fields{"vm": o.VM, "group": o.Group, "fence": version}).Warn("order failed")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	v := ctl.vms[o.VM]
	v.busy = false
	if !sent {
		return
	}
	v.settled = c.o.Now()
	if err != nil && !errors.Is(err, orders.ErrNotSent) {
		v.settled += c.o.OrderDelivery
	}
}

// Release gives up all fabric domains at a graceful shutdown, so that another node takes them without waiting for the
// lease. It waits for orders under way; if one is without an answer, the lease has to run out.
func (c *Controllers) Release(ctx context.Context) {
	c.mu.Lock()
	c.released = true
	c.mu.Unlock()
	c.stepping.Lock()
	defer c.stepping.Unlock()
	c.sending.Wait()
	c.mu.Lock()
	own := map[string]domain{}
	for name, d := range c.domains {
		if controllerOf(d.plan) == c.o.Self && c.settledLocked(name) {
			own[name] = d
		}
	}
	c.mu.Unlock()
	for name, d := range own {
		plan := proto.CloneOf(d.plan)
		plan.Controller, plan.ControllerIncarnation = "", ""
		if _, err := c.write(ctx, name, d.version, plan); err != nil {
			c.o.Log.WithError(err).WithField("fabric_domain", name).Warn("control was not released")
		}
	}
}

func (c *Controllers) settledLocked(fabric string) bool {
	ctl := c.controls[fabric]
	if ctl == nil || c.o.Now() < ctl.since {
		return false
	}
	for _, v := range ctl.vms {
		if v.busy || c.o.Now() < v.settled {
			return false
		}
	}
	return true
}
