// Package balance selects the replica for each request and decides whether the request is admitted. A request for a model goes
// to the head of a group of replicas, the one with rank 0; other requests go to plain replicas. Both are called targets. The
// package does no network I/O: loads and clocks are passed in.
package balance

import (
	"math"
	"time"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Load is the work that was sent to a target and isn't finished.
type Load struct {
	Running      int // Requests, including those whose prompt isn't read yet.
	Waiting      int // Requests without a first event.
	UnreadTokens int // Prompt tokens of the waiting requests that are predicted not to be read yet.
	// Measured is the number of Running for which the following tokens are counted; nodes of earlier versions report none.
	Measured        int
	RemainingTokens int // Output tokens that are still expected.
	HeldTokens      int // Tokens of prompts and answers that are held in memory.
}

// Add returns the sum of two loads.
func (l Load) Add(other Load) Load {
	return Load{l.Running + other.Running, l.Waiting + other.Waiting, l.UnreadTokens + other.UnreadTokens, l.Measured + other.Measured,
		l.RemainingTokens + other.RemainingTokens, l.HeldTokens + other.HeldTokens}
}

// passMillis returns the milliseconds of the token steps of one pass while the given number of requests generate tokens.
func passMillis(e *fleet.Engine, generating int) float64 {
	return float64(e.Stride) * (e.StepMs + e.StepMsPerRequest*float64(generating))
}

// Gap returns the time between two events of a stream under the load. An event holds the tokens of one pass, which reads up to stride chunks
// of prompts while the generating requests wait. Here and in the
// other predictions, timeFactor is the factor of the model, times the slow factor of the target where that is considered.
func Gap(e *fleet.Engine, timeFactor float64, load Load) time.Duration {
	promptMillis := readMillis(e, min(load.UnreadTokens, e.Stride*e.Chunk))
	return fromMillis(timeFactor * (promptMillis + passMillis(e, load.Running)))
}

// readMillis returns the milliseconds that a group takes to read the tokens.
func readMillis(e *fleet.Engine, tokens int) float64 {
	return float64(tokens) / max(e.PromptTokensPerMs, 1e-9)
}

// chunksBefore returns the number of whole chunks that are read before the last of the tokens.
func chunksBefore(e *fleet.Engine, tokens int) float64 {
	return max(math.Ceil(float64(tokens)/float64(e.Chunk))-1, 0)
}

// FirstEvent predicts the time from the arrival of a request at the head to its first event, from the engine's published
// figures. Prompts that aren't read yet are read first. Requests beyond the engine's slots wait for a slot, which becomes free
// when a request ends; see answerTokens.
func FirstEvent(e *fleet.Engine, timeFactor float64, load Load, promptTokens int) time.Duration {
	generating := min(max(load.Running-load.Waiting, 0), e.Slots)
	// The request arrives in the middle of a pass, its prompt is read in the next one, and its first event is complete one pass
	// later. Each step of a pass reads a chunk, so that further passes are needed only beyond stride chunks.
	tokens := load.UnreadTokens + promptTokens
	passes := 2.5 + math.Floor(chunksBefore(e, tokens)/float64(e.Stride))
	total := readMillis(e, tokens) + float64(promptTokens)*float64(promptTokens)/2e6*e.MsPerMillionPairs + passes*passMillis(e, generating)
	if excess := load.Running + 1 - e.Slots; excess > 0 && e.Slots > 0 {
		answerMillis := answerTokens(e, load) / float64(e.Stride) * passMillis(e, e.Slots)
		total += answerMillis * float64(excess) / float64(e.Slots)
	}
	return fromMillis(timeFactor * total)
}

// delayPerRequest returns by how much one more request with the prompt at a head delays the first event of the next request:
// its prompt is read first, and it lengthens each pass. The value is the same for all heads of a model, so that chunk
// boundaries have no effect.
func delayPerRequest(e *fleet.Engine, timeFactor float64, promptTokens int) time.Duration {
	return fromMillis(timeFactor * (float64(promptTokens)/max(e.PromptTokensPerMs, 1e-9) + 2.5*(passMillis(e, 1)-passMillis(e, 0))))
}

// ReadTime predicts the time from the arrival of a prompt at the head until it is read.
func ReadTime(e *fleet.Engine, timeFactor float64, load Load, promptTokens int) time.Duration {
	generating := min(max(load.Running-load.Waiting, 0), e.Slots)
	tokens := load.UnreadTokens + promptTokens
	steps := chunksBefore(e, tokens) + float64(e.Stride)/2 // The request arrives in the middle of a pass.
	return fromMillis(timeFactor * (readMillis(e, tokens) + steps*passMillis(e, generating)/float64(e.Stride)))
}

func fromMillis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

const (
	// lateTolerance is the share of the target latency by which a prediction may exceed it: half of the predictions are too
	// high, and a refused request comes back late.
	lateTolerance = 0.15
	// lateAdmissionShare is the share of the target latency up to which the queue delay may grow for requests that are late
	// anyway. It is below what first attempts may wait for, so that those take precedence under load.
	lateAdmissionShare = 0.8
	// minRetryAfter and maxRetryAfter limit the delay after which a refused client is told to retry.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Admission tells whether a request should be refused, because its first event would miss the target latency and its work would
// delay other requests, and after which delay its client may retry. waited is the time since the request arrived at this node, delay
// the part of the predicted time that is due to other requests, and unloaded the predicted time for a request of the usual size
// on an idle group. The size of the request itself doesn't count: otherwise the largest requests would be refused first under
// load, and never served.
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
