// Package statement keeps what targets state about themselves in their responses: that they are leaving, how many requests they
// take, and for how long they want none. A statement applies to one start of a target.
package statement

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
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
	// Limit is how many requests the target takes, as long as its responses state so.
	Limit Limit
	// Pause is the time for which the target wants no request from this node, after it has refused one; 0 for none. Other nodes aren't
	// concerned.
	Pause time.Duration
}

// maxPause limits Pause, since a statement may be wrong. After it, one refused request shows whether the pause goes on.
const maxPause = 10 * time.Minute

// ParsePause returns the pause that a refusal with the status asks for by a header with the text: seconds, or a date (RFC 9110). now is
// the time of day. Status 429 asks for none: it refuses a single request, and the target takes others meanwhile.
func ParsePause(status int, text string, now time.Time) time.Duration {
	if status != http.StatusServiceUnavailable {
		return 0
	}
	text = strings.TrimSpace(text)
	if at, err := http.ParseTime(text); err == nil {
		return min(max(at.Sub(now), 0), maxPause)
	}
	wait, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(wait) || wait < 0 {
		return 0
	}
	return seconds(min(wait, maxPause.Seconds()))
}

// Limit is a limit on the rate of requests, from all nodes together.
type Limit struct {
	Stated    bool
	PerSecond float64
	// Unreadable is set if the response states a limit that can't be read. An earlier limit then stays.
	Unreadable bool
}

// maxLimit is the rate from which on a stated limit has no effect. It keeps calculations with limits finite.
const maxLimit = 1e6

// ParseLimit returns the limit that a header with the text states. Without the header the text is empty.
func ParseLimit(text string) Limit {
	if text == "" {
		return Limit{}
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(perSecond) || perSecond < 0 {
		return Limit{Unreadable: true}
	}
	return Limit{Stated: true, PerSecond: min(perSecond, maxLimit)}
}

// Options configures a Table. Zero values are replaced by defaults.
type Options struct {
	Now func() time.Duration // Monotonic clock. Default: time since New.
	// Divided is set if several nodes send to the same targets. This node's part of each limit is then 0 until DivideAmong is called.
	Divided bool
	Log     logrus.FieldLogger
	Meter   metric.Meter
}

// Table holds the newest statements of all targets. It is safe for concurrent use. Its lock is the last one in every lock order:
// while it is held, only Options.Now is called.
type Table struct {
	options        Options
	heardCounter   metric.Int64Counter
	refusalCounter metric.Int64Counter

	mu        sync.Mutex
	targets   map[Target]*state
	nodes     *nodeSet // Nil as long as limits aren't divided.
	onLeaving []func()
	expiredAt time.Duration // When statements were last searched for those to drop.

	nodeStarts    map[string]string // The start of each other node that was seen last, by name.
	nodeStartedAt time.Duration     // When another node was last seen for the first time since it started; 0 for never.
}

// state is what a target has stated. Times are readings of Options.Now.
type state struct {
	heardAt   time.Duration // When a response last stated something.
	changedAt time.Duration // When leaving or limit last changed here.
	limit     Limit
	limitAt   time.Duration // When a response last stated the limit, or showed that there is none any more; 0 for never.
	leaving   bool
	leavingAt time.Duration // When the target was first heard to be leaving.

	pausedUntil time.Duration // Until when the target wants no request from this node.

	bucket bucket // Of this node's sends while there is a limit.
	share  share
	// promisedUntil is the time up to which this node's rate has been promised to callers that were refused.
	promisedUntil time.Duration
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
	t := &Table{options: options, targets: map[Target]*state{}, nodeStarts: map[string]string{}}
	t.heardCounter = t.newCounter("cassiadeal_target_statements", "New statements of targets about themselves, by kind.")
	t.refusalCounter = t.newCounter("cassiadeal_target_statement_refusals", "Sends withheld because of what a target has stated, by reason.")
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

// OnLeaving registers a function that is called after a target was first heard to be leaving. It must not block.
func (t *Table) OnLeaving(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onLeaving = append(t.onLeaving, f)
}

// Record records what a response of the target states. A limit that the response doesn't state stays in force.
func (t *Table) Record(target Target, s Statement) {
	t.mu.Lock()
	news := t.recordLocked(target, s, t.options.Now())
	t.noteChangeLocked(target, news)
	t.mu.Unlock()
	t.announce(target, news, "response")
}

// RecordSuccess records what a successful response of the target to a request that was sent at the given time states. If it states
// no limit, an earlier limit is lifted, unless it was heard after the request was sent: responses may overtake each other.
func (t *Table) RecordSuccess(target Target, s Statement, sentAt time.Duration) {
	t.mu.Lock()
	news := t.recordLocked(target, s, t.options.Now())
	if known := t.targets[target]; known != nil && known.limit.Stated && !s.Limit.Stated && !s.Limit.Unreadable && sentAt > known.limitAt {
		known.setLimit(Limit{}, t.options.Now())
		news.limit = &known.limit
	}
	t.noteChangeLocked(target, news)
	t.mu.Unlock()
	t.announce(target, news, "response")
}

// RecordAnswer is RecordSuccess or Record, depending on the status of the response.
func (t *Table) RecordAnswer(target Target, s Statement, status int, sentAt time.Duration) {
	if status >= http.StatusOK && status < http.StatusMultipleChoices {
		t.RecordSuccess(target, s, sentAt)
	} else {
		t.Record(target, s)
	}
}

// news is what changed by a statement.
type news struct {
	leaving    bool   // The target states for the first time that it is leaving.
	limit      *Limit // The new limit, or one that isn't stated if it was lifted; nil if it hasn't changed.
	unreadable bool
	pause      time.Duration
}

// noteChangeLocked records when what other nodes are told of the target has changed.
func (t *Table) noteChangeLocked(target Target, n news) {
	if n.leaving || n.limit != nil {
		t.targets[target].changedAt = t.options.Now()
	}
}

// announce logs and counts what changed, as heard from a source, and calls the functions registered with OnLeaving.
func (t *Table) announce(target Target, n news, source string) {
	log := t.options.Log.WithFields(logrus.Fields{"target": target.ID, "incarnation": target.Incarnation, "source": source})
	if n.unreadable {
		t.count("unreadable", source)
		log.Warning("target states a limit that can't be read")
	}
	if n.pause > 0 {
		t.count("pause", source)
		log.WithField("pause_ms", n.pause.Milliseconds()).Info("target refuses requests and asks for a pause")
	}
	if n.limit != nil {
		kind := "limit"
		if !n.limit.Stated {
			kind = "limit_lifted"
		}
		t.count(kind, source)
		log.WithFields(logrus.Fields{"limited": n.limit.Stated, "requests_per_second": n.limit.PerSecond}).Info("the limit that a target states has changed")
	}
	if !n.leaving {
		return
	}
	t.count("leaving", source)
	log.Info("target states that it is leaving")
	t.mu.Lock()
	listeners := t.onLeaving
	t.mu.Unlock()
	for _, f := range listeners {
		f()
	}
}

func (t *Table) count(kind, source string) {
	t.heardCounter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind), attribute.String("source", source)))
}

// recordLocked records a statement that was heard at the given time.
func (t *Table) recordLocked(target Target, s Statement, at time.Duration) (n news) {
	n.unreadable = s.Limit.Unreadable
	if !s.Leaving && !s.Limit.Stated && s.Pause <= 0 {
		return n
	}
	known := t.stateLocked(target)
	known.heardAt = max(known.heardAt, at)
	if s.Pause > 0 {
		n.pause = s.Pause
		known.pausedUntil = max(known.pausedUntil, at+s.Pause)
	}
	if s.Leaving && !known.leaving {
		known.leaving, known.leavingAt, n.leaving = true, at, true
	}
	if s.Limit.Stated && at >= known.limitAt {
		if changed := known.limit != s.Limit; changed {
			n.limit = &s.Limit
		}
		known.setLimit(s.Limit, at)
	}
	return n
}

// setLimit records a limit that was heard at the given time. A target that had none before starts with an empty bucket, as this node
// doesn't know how much others have just sent.
func (s *state) setLimit(l Limit, at time.Duration) {
	if !s.limit.Stated {
		s.bucket, s.promisedUntil = bucket{refilledAt: at}, at
	}
	s.limit, s.limitAt, s.heardAt = l, at, max(s.heardAt, at)
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
