// Package retry limits the retries to each destination to a fraction of its requests, so that retries can't multiply the
// load when a destination fails.
package retry

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

// Default values of Options.
const (
	DefaultShare          = 0.1
	DefaultFloorPerSecond = 1.0
	DefaultBurst          = 10.0
)

// Reason is why a request is retried. It is a label of the retry counter.
type Reason string

// Reasons for a retry.
const (
	ReasonTargetUnreachable Reason = "target_unreachable"
	ReasonTargetFailed      Reason = "target_failed"
	ReasonNodeUnreachable   Reason = "node_unreachable"
	ReasonAnswerMismatch    Reason = "answer_mismatch"
	ReasonStreamIncomplete  Reason = "stream_incomplete"
	ReasonNoSlot            Reason = "no_slot"
)

// Options configures a Budget. Zero values are replaced by the defaults. A negative Share or FloorPerSecond disables that
// way of refilling the budget.
type Options struct {
	Share          float64              // Retries that each request adds to the budget.
	FloorPerSecond float64              // Retries per second that are added regardless of the number of requests.
	Burst          float64              // Maximum of accumulated retries.
	BurstNow       func() float64       // Returns the current maximum, if it isn't constant; replaces Burst. May be nil.
	Now            func() time.Duration // Monotonic clock. Default: time since New.
	Log            logrus.FieldLogger
	Meter          metric.Meter
}

// Budget holds a token bucket per destination. It is safe for concurrent use. Options.BurstNow and Options.Now are called
// with its mutex held, so they must not call the Budget; the meter is called without it.
type Budget struct {
	opt     Options
	retries metric.Int64Counter

	mu      sync.Mutex
	buckets map[string]*bucket
}

type bucket struct {
	tokens     float64
	refilledAt time.Duration // When the tokens of FloorPerSecond were last added.
}

// New returns a Budget. Each destination starts with a full bucket.
func New(opt Options) *Budget {
	if opt.Share == 0 {
		opt.Share = DefaultShare
	}
	if opt.FloorPerSecond == 0 {
		opt.FloorPerSecond = DefaultFloorPerSecond
	}
	if opt.Burst <= 0 {
		opt.Burst = DefaultBurst
	}
	if opt.Now == nil {
		start := time.Now()
		opt.Now = func() time.Duration { return time.Since(start) }
	}
	if opt.Meter == nil {
		opt.Meter = noop.NewMeterProvider().Meter("retry")
	}
	if opt.Log == nil {
		discard := logrus.New()
		discard.SetOutput(io.Discard)
		opt.Log = discard
	}
	counter, err := opt.Meter.Int64Counter("cassiadeal_retries_total", metric.WithDescription("Retries by destination, reason and whether the budget allowed them."))
	if err != nil {
		opt.Log.WithError(err).Error("cannot create the retry counter")
		counter, _ = noop.NewMeterProvider().Meter("retry").Int64Counter("cassiadeal_retries_total")
	}
	if opt.BurstNow == nil {
		opt.BurstNow = func() float64 { return opt.Burst }
	}
	return &Budget{opt: opt, retries: counter, buckets: map[string]*bucket{}}
}

// RecordRequest adds Options.Share to the budget of the destination. It is called once per request and not for its retries.
func (b *Budget) RecordRequest(destination string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bkt := b.refilledBucketLocked(destination)
	bkt.tokens = min(b.opt.BurstNow(), bkt.tokens+max(b.opt.Share, 0))
}

// Allow takes one retry from the budget of the destination and reports whether one was available. The reason is only a
// label of the counter: the caller has to decide whether the request may be retried at all.
func (b *Budget) Allow(destination string, reason Reason) bool {
	b.mu.Lock()
	bkt := b.refilledBucketLocked(destination)
	allowed := bkt.tokens >= 1
	if allowed {
		bkt.tokens--
	}
	b.mu.Unlock()
	b.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.String("destination", destination),
		attribute.String("reason", string(reason)), attribute.Bool("allowed", allowed)))
	return allowed
}

// refilledBucketLocked returns the bucket of the destination after adding the tokens of FloorPerSecond for the time since the
// last call. A new bucket is full.
func (b *Budget) refilledBucketLocked(destination string) *bucket {
	now := b.opt.Now()
	bkt := b.buckets[destination]
	if bkt == nil {
		bkt = &bucket{tokens: b.opt.BurstNow(), refilledAt: now}
		b.buckets[destination] = bkt
	}
	earned := (now - bkt.refilledAt).Seconds() * max(b.opt.FloorPerSecond, 0)
	bkt.tokens = min(b.opt.BurstNow(), bkt.tokens+earned)
	bkt.refilledAt = now
	return bkt
}

// Retain removes the buckets of all destinations except the given ones. It is meant for a change of the rules.
func (b *Budget) Retain(destinations map[string]bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.buckets {
		if !destinations[name] {
			delete(b.buckets, name)
		}
	}
}
