// Package statement keeps what targets state about themselves in their responses: that they are leaving, how many requests they
// take, and for how long they want none. A statement applies to one start of a target.
package statement

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

const (
	// retention is the time after which a statement that no response has repeated is dropped. A target that leaves is gone by
	// then: it finishes its requests, but gets no new ones.
	retention = 5 * time.Minute
	// expiryInterval is the time between two searches for statements to drop.
	expiryInterval = time.Second
	// maxTargets bounds the memory used, about 300 bytes for each target. The target that was heard longest ago is dropped first.
	maxTargets = 4096
)

// Target identifies one start of a target.
type Target struct {
	ID          string
	Incarnation string
}

// Statement is what one response states about the target that sent it.
type Statement struct {
	Leaving bool // The target is about to stop and takes no new requests.
}

// Options configures a Table. Zero values are replaced by defaults.
type Options struct {
	Now   func() time.Duration // Monotonic clock. Default: time since New.
	Log   logrus.FieldLogger
	Meter metric.Meter
}

// Table holds the newest statements of all targets. It is safe for concurrent use. Its lock is the last one in every lock order:
// while it is held, only Options.Now is called.
type Table struct {
	options      Options
	heardCounter metric.Int64Counter

	mu        sync.Mutex
	targets   map[Target]*state
	onLeaving []func()
	expiredAt time.Duration // When statements were last searched for those to drop.
}

// state is what a target has stated. Times are readings of Options.Now.
type state struct {
	heardAt   time.Duration // When a response last stated something.
	leaving   bool
	leavingAt time.Duration // When the target was first heard to be leaving.
}

// New returns an empty table.
func New(options Options) *Table {
	if options.Now == nil {
		start := time.Now()
		options.Now = func() time.Duration { return time.Since(start) }
	}
	if options.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		options.Log = discard
	}
	if options.Meter == nil {
		options.Meter = noop.NewMeterProvider().Meter("statement")
	}
	t := &Table{options: options, targets: map[Target]*state{}}
	t.heardCounter = t.newCounter("cassiadeal_target_statements", "New statements of targets about themselves, by kind.")
	return t
}

func (t *Table) newCounter(name, description string) metric.Int64Counter {
	c, err := t.options.Meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		t.options.Log.WithError(err).WithField("metric", name).Error("cannot create counter")
		c, _ = noop.NewMeterProvider().Meter("statement").Int64Counter(name)
	}
	return c
}

// OnLeaving registers a function that is called after a target was first heard to be leaving. It must not block.
func (t *Table) OnLeaving(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onLeaving = append(t.onLeaving, f)
}

// Record records what a response of the target states.
func (t *Table) Record(target Target, s Statement) {
	t.mu.Lock()
	firstLeaving := t.recordLocked(target, s, t.options.Now())
	t.mu.Unlock()
	if firstLeaving {
		t.announceLeaving(target, "response")
	}
}

// announceLeaving logs that a target is leaving, as heard from a source, and calls the registered functions.
func (t *Table) announceLeaving(target Target, source string) {
	t.heardCounter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", "leaving"), attribute.String("source", source)))
	t.options.Log.WithFields(logrus.Fields{"target": target.ID, "incarnation": target.Incarnation, "source": source}).Info("target states that it is leaving")
	t.mu.Lock()
	listeners := t.onLeaving
	t.mu.Unlock()
	for _, f := range listeners {
		f()
	}
}

// recordLocked records a statement that was heard at the given time. It reports whether the target states for the first time that
// it is leaving.
func (t *Table) recordLocked(target Target, s Statement, at time.Duration) (firstLeaving bool) {
	if !s.Leaving {
		return false
	}
	known := t.stateLocked(target)
	known.heardAt = max(known.heardAt, at)
	if known.leaving {
		return false
	}
	known.leaving, known.leavingAt = true, at
	return true
}

// stateLocked returns the state of the target, which it adds if it is new.
func (t *Table) stateLocked(target Target) *state {
	known := t.targets[target]
	if known != nil {
		return known
	}
	t.expireLocked()
	if len(t.targets) >= maxTargets {
		t.dropOldestLocked()
	}
	known = &state{}
	t.targets[target] = known
	return known
}

func (t *Table) expireLocked() {
	now := t.options.Now()
	if now-t.expiredAt < expiryInterval {
		return
	}
	t.expiredAt = now
	for target, s := range t.targets {
		if now-s.heardAt > retention {
			delete(t.targets, target)
		}
	}
}

func (t *Table) dropOldestLocked() {
	var oldest Target
	first := true
	for target, s := range t.targets {
		if first || s.heardAt < t.targets[oldest].heardAt {
			oldest, first = target, false
		}
	}
	delete(t.targets, oldest)
}

// Leaving reports whether the target has stated that it is leaving.
func (t *Table) Leaving(target Target) bool {
	_, leaving := t.LeavingFor(target)
	return leaving
}

// LeavingFor returns the time since the target was first heard to be leaving, and whether it was.
func (t *Table) LeavingFor(target Target) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[target]
	if s == nil || !s.leaving {
		return 0, false
	}
	return t.options.Now() - s.leavingAt, true
}
