// Package balance decides to which replica a request goes and whether it is sent at all. It needs no network: loads and
// clocks are passed in.
package balance

import (
	"math"
	"time"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Load is the work that a group has been sent and not finished.
type Load struct {
	Running int // Requests, those included whose prompt isn't read.
	Waiting int // Requests without a first event.
	Unread  int // Prompt tokens of the waiting requests that aren't read yet, as predicted.
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{l.Running + other.Running, l.Waiting + other.Waiting, l.Unread + other.Unread}
}

// pass returns the milliseconds of the token steps of one pass with the given number of writers.
func passMillis(e *fleet.Engine, generating int) float64 {
	return float64(e.Stride) * (e.Step + e.StepPerSeq*float64(generating))
}

// Gap returns the time between two events of a stream while the group has the load. An event holds the tokens of a pass.
func Gap(e *fleet.Engine, pace float64, load Load) time.Duration {
	promptMillis := math.Min(float64(load.Unread), float64(e.Chunk)) / max(e.ReadPerMs, 1e-9)
	return fromMillis(pace * (promptMillis + passMillis(e, load.Running)))
}

// read returns the milliseconds in which a group that runs the writers reads the tokens. Each step reads a chunk at most.
func readMillis(e *fleet.Engine, generating, tokens int) float64 {
	steps := math.Ceil(float64(tokens) / float64(e.Chunk))
	return float64(tokens)/max(e.ReadPerMs, 1e-9) + max(steps-1, 0)*passMillis(e, generating)/float64(e.Stride)
}

// FirstEvent predicts the time from the arrival of a request at the head until its first event, from the engine's published
// arithmetic. The prompts that aren't read yet are read first. Requests beyond the engine's slots wait for a slot, which frees
// when a request of the usual length ends.
func FirstEvent(e *fleet.Engine, pace float64, load Load, promptTokens int) time.Duration {
	generating := min(max(load.Running-load.Waiting, 0), e.Slots)
	// The request arrives in the middle of a pass, its prompt is read within the next, and its first event is full one pass later.
	total := readMillis(e, generating, load.Unread+promptTokens) + float64(promptTokens)*float64(promptTokens)/2e6*e.PairsPerM + 2.5*passMillis(e, generating)
	if excess := load.Running + 1 - e.Slots; excess > 0 && e.Slots > 0 {
		answerMillis := e.UsualAnswer / float64(e.Stride) * passMillis(e, e.Slots)
		total += answerMillis * float64(excess) / float64(e.Slots)
	}
	return fromMillis(pace * total)
}

// delayPerRequest returns what one more request of the usual size at a head adds to the first event of the next: its prompt is read first,
// and it lengthens each pass. It is the same at all heads of a model, so that a limit between chunks doesn't count.
func delayPerRequest(e *fleet.Engine, pace float64) time.Duration {
	return fromMillis(pace * (float64(e.UsualPrompt)/max(e.ReadPerMs, 1e-9) + 2.5*(passMillis(e, 1)-passMillis(e, 0))))
}

// ReadTime predicts the time from the arrival of a prompt at the head until it is read.
func ReadTime(e *fleet.Engine, pace float64, load Load, promptTokens int) time.Duration {
	generating := min(max(load.Running-load.Waiting, 0), e.Slots)
	return fromMillis(pace * (readMillis(e, generating, load.Unread+promptTokens) + passMillis(e, generating)/2))
}

func fromMillis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

const (
	// lateTolerance is the part of the target latency by which a prediction may exceed it: predictions are too high for half of
	// the requests, and a request that is refused comes back late.
	lateTolerance = 0.15
	// lateAdmissionShare is the part of the target latency up to which requests that are late anyway are admitted. It is below what
	// fresh requests may wait for, so that those go first when both press.
	lateAdmissionShare = 0.8
	// minRetryAfter and maxRetryAfter bound what a refused client is told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Admission tells whether a request should be refused, because its first event would come too late for full worth and its work
// would make others late, and when its client may return. Waited is what the client has waited so far, delay the part of the
// predicted time that is due to other requests, and usual the time that a request of the usual size takes alone. The size of
// this request doesn't count: otherwise the largest requests would be refused first under load, and never served.
func Admission(target, waited, delay, unloaded time.Duration) (retryAfter time.Duration, refuse bool) {
	if target <= 0 {
		return 0, false
	}
	onTimeLimit := time.Duration(float64(target)*(1+lateTolerance)) - unloaded - waited
	lateLimit := time.Duration(float64(target) * lateAdmissionShare)
	if delay <= max(onTimeLimit, lateLimit) {
		return 0, false
	}
	return min(max(delay-lateLimit, minRetryAfter), maxRetryAfter), true
}
