package statement

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Refusal tells why a target gets no request now.
type Refusal string

// Refusals. NotRefused is none.
const (
	NotRefused  Refusal = ""
	IsLeaving   Refusal = "leaving"
	Paused      Refusal = "paused"
	RateLimited Refusal = "rate_limited" // This node's part of the limit that the target has stated is used up.
)

const (
	// bucketSize is the number of requests that a node may send at once to a target that has stated a limit.
	bucketSize = 1
	// minPerSecond is the rate at which all nodes together send to a target with a lower limit, also one of 0: only its responses
	// tell that the limit has ended.
	minPerSecond = 0.1
)

// bucket is the token bucket by which a node keeps to its part of a limit.
type bucket struct {
	tokens     float64
	refilledAt time.Duration
}

// available returns the tokens at the given time, if the bucket is refilled at a rate per second.
func (b bucket) available(perSecond float64, now time.Duration) float64 {
	return min(bucketSize, b.tokens+perSecond*(now-b.refilledAt).Seconds())
}

// Check returns why the target gets no request now. part is the part of this node's rate that the caller may use: 1, or less while
// another node may use the same rate.
func (t *Table) Check(target Target, part float64) Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.checkLocked(target, part)
}

// Admit is Check for a request that is sent right after it if it isn't refused: it counts towards the target's limit.
func (t *Table) Admit(target Target, part float64) Refusal {
	t.mu.Lock()
	refusal := t.checkLocked(target, part)
	if s := t.targets[target]; refusal == NotRefused && s != nil && s.limit.Stated {
		now := t.options.Now()
		s.bucket = bucket{s.bucket.available(part*t.rateLocked(target, s), now) - 1, now}
	}
	t.mu.Unlock()
	if refusal != NotRefused {
		t.countRefusal(refusal)
	}
	return refusal
}

// Barred returns why the target gets no request now, even one that was admitted before: it has stated meanwhile that it is leaving, or
// has asked for a pause.
func (t *Table) Barred(target Target) Refusal {
	t.mu.Lock()
	refusal := t.checkLocked(target, 1)
	t.mu.Unlock()
	if refusal != IsLeaving && refusal != Paused {
		return NotRefused
	}
	t.countRefusal(refusal)
	return refusal
}

func (t *Table) countRefusal(r Refusal) {
	t.refusalCounter.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(r))))
}

func (t *Table) checkLocked(target Target, part float64) Refusal {
	s := t.targets[target]
	switch {
	case s == nil:
		return NotRefused
	case s.leaving:
		return IsLeaving
	case t.options.Now() < s.pausedUntil:
		return Paused
	case s.limit.Stated && s.bucket.available(part*t.rateLocked(target, s), t.options.Now()) < 1:
		return RateLimited
	}
	return NotRefused
}

// PausedFor returns the time for which the target still wants no request from this node.
func (t *Table) PausedFor(target Target) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.targets[target]; s != nil {
		return max(0, s.pausedUntil-t.options.Now())
	}
	return 0
}

// Rate returns the requests per second that this node may send to the target, and whether the target has stated a limit.
func (t *Table) Rate(target Target, part float64) (perSecond float64, limited bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.targets[target]
	if s == nil || !s.limit.Stated {
		return 0, false
	}
	return part * t.rateLocked(target, s), true
}

// rateLocked returns the part of the target's limit that this node may use, in requests per second.
func (t *Table) rateLocked(target Target, s *state) float64 {
	if t.nodes == nil && t.options.Divided {
		return 0
	}
	if t.nodes == nil {
		return max(s.limit.PerSecond, minPerSecond)
	}
	if s.share.nodesVersion != t.nodes.version || s.share.limit != s.limit.PerSecond {
		s.share = share{t.nodes.version, s.limit.PerSecond, t.nodes.rate(target, max(s.limit.PerSecond, minPerSecond))}
	}
	return s.share.perSecond
}

// Promise returns the time after which a caller may come back because none of the targets takes a request now. ok is false if one
// does, or if none will. Callers that ask one after the other get times that are apart by what the limits allow, so that they don't all
// come back at once.
func (t *Table) Promise(targets []Target) (wait time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.options.Now()
	var first *state
	var firstAt, interval time.Duration
	for _, target := range targets {
		s := t.targets[target]
		switch t.checkLocked(target, 1) {
		case NotRefused:
			return 0, false
		case IsLeaving:
			continue
		}
		at, perSecond := max(now, s.pausedUntil), 0.0
		if s.limit.Stated {
			if perSecond = t.rateLocked(target, s); perSecond <= 0 {
				continue
			}
			at = max(at, now+seconds(max(0, 1-s.bucket.available(perSecond, now))/perSecond), s.promisedUntil)
		}
		if first == nil || at < firstAt {
			first, firstAt, interval = s, at, 0
			if perSecond > 0 {
				interval = seconds(1 / perSecond)
			}
		}
	}
	if first == nil {
		return 0, false
	}
	first.promisedUntil = firstAt + interval
	return firstAt - now, true
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
