package clock

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a lease that starts at the reply instead of the sending, or that is still valid at the moment it ends.
func TestLease(t *testing.T) {
	c := qt.New(t)
	clk := NewManual(time.Hour)
	r := StartRenewal(clk)
	clk.Advance(time.Second) // Slow reply.
	lease := r.Lease(3 * time.Second)
	c.Assert(lease.Remaining(clk.Now()), qt.Equals, 2*time.Second)
	clk.Advance(2*time.Second - 1)
	c.Assert(lease.ValidAt(clk.Now()), qt.IsTrue)
	clk.Advance(1)
	c.Assert(lease.ValidAt(clk.Now()), qt.IsFalse)
	c.Assert(Lease{}.ValidAt(0), qt.IsFalse)
	c.Assert(LeaseLapsed(0, Time(3499*time.Millisecond), 3*time.Second, 500*time.Millisecond), qt.IsFalse)
	c.Assert(LeaseLapsed(0, Time(3500*time.Millisecond), 3*time.Second, 500*time.Millisecond), qt.IsTrue)
}

// Guards against a Sleep that doesn't return when the clock advances or when its context is done.
func TestSleep(t *testing.T) {
	c := qt.New(t)
	clk := NewManual(0)
	done := make(chan error, 1)
	go func() { done <- Sleep(context.Background(), clk, time.Second) }()
	for clk.PendingTimers() == 0 {
		time.Sleep(time.Millisecond)
	}
	clk.Advance(time.Second)
	c.Assert(<-done, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(Sleep(ctx, clk, time.Second), qt.ErrorIs, context.Canceled)
	c.Assert(clk.PendingTimers(), qt.Equals, 0)

	before := Boottime().Now()
	c.Assert(Sleep(context.Background(), Boottime(), time.Millisecond), qt.IsNil)
	c.Assert(Boottime().Now().Sub(before) >= time.Millisecond, qt.IsTrue)
}
