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
// while it is held, only Options.Now and metric counters are called.
type Table struct {
	options      Options
	heardCounter metric.Int64Counter

	mu      sync.Mutex
	targets map[Target]*state
}

// state is what a target has stated. Times are readings of Options.Now.
type state struct {
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

// Now returns the reading of the table's clock.
func (t *Table) Now() time.Duration { return t.options.Now() }

// Record records what a response of the target states.
func (t *Table) Record(target Target, s Statement) {
	if t.record(target, s) {
		t.heardCounter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", "leaving")))
		t.options.Log.WithFields(logrus.Fields{"target": target.ID, "incarnation": target.Incarnation}).Info("target states that it is leaving")
	}
}

// record reports whether the target states for the first time that it is leaving.
func (t *Table) record(target Target, s Statement) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.targets[target]
	if !s.Leaving || known != nil && known.leaving {
		return false
	}
	if known == nil {
		known = &state{}
		t.targets[target] = known
	}
	known.leaving, known.leavingAt = true, t.options.Now()
	return true
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
