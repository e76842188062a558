// Package clock provides a monotonic clock that advances during suspend, and the lease arithmetic built on it.
package clock

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Time is a reading of a monotonic clock, counted from an arbitrary origin. Readings of two hosts, or of one host before
// and after a reboot, can't be compared.
type Time time.Duration

// Add returns t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Clock is a monotonic clock.
type Clock interface {
	// Now returns the current reading. It never decreases.
	Now() Time
	// After returns a channel that is closed once d has passed, and a function that releases the timer.
	After(d time.Duration) (<-chan struct{}, func())
}

// Sleep waits for d or until ctx is done, and then returns the context's error.
func Sleep(ctx context.Context, c Clock, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	done, stop := c.After(d)
	defer stop()
	select {
	case <-done:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

type boottime struct{}

// Boottime returns the clock CLOCK_BOOTTIME. Unlike CLOCK_MONOTONIC, on which Go's time package relies, it advances while
// the VM is suspended, so a lease that ended during suspend isn't considered valid after the resume.
func Boottime() Clock { return boottime{} }

// Now implements Clock.
func (boottime) Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39. Without it the validity of a lease can't be determined.
		panic(fmt.Sprintf("clock_gettime(CLOCK_BOOTTIME): %v", err))
	}
	return Time(ts.Nano())
}

// After implements Clock. The timer stops during suspend, so it may fire late; callers read Now again when it fires.
func (boottime) After(d time.Duration) (<-chan struct{}, func()) {
	done := make(chan struct{})
	timer := time.AfterFunc(d, func() { close(done) })
	return done, func() { timer.Stop() }
}

// Manual is a clock for tests that moves only when Advance is called.
type Manual struct {
	mu     sync.Mutex
	now    Time
	timers map[*manualTimer]struct{}
}

type manualTimer struct {
	at   Time
	done chan struct{}
}

// NewManual returns a manual clock whose reading is start.
func NewManual(start time.Duration) *Manual {
	return &Manual{now: Time(start), timers: map[*manualTimer]struct{}{}}
}

// Now implements Clock.
func (m *Manual) Now() Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// After implements Clock.
func (m *Manual) After(d time.Duration) (<-chan struct{}, func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := &manualTimer{at: m.now.Add(d), done: make(chan struct{})}
	if d <= 0 {
		close(t.done)
		return t.done, func() {}
	}
	m.timers[t] = struct{}{}
	return t.done, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.timers, t)
	}
}

// Advance moves the clock forward by d and fires the timers that are due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	for t := range m.timers {
		if t.at <= m.now {
			close(t.done)
			delete(m.timers, t)
		}
	}
}

// PendingTimers returns the number of timers that have neither fired nor been released.
func (m *Manual) PendingTimers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.timers)
}
