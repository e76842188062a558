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
	Unread  int // Prompt tokens of the waiting requests.
}

// Add returns the sum of two loads.
func (l Load) Add(m Load) Load {
	return Load{l.Running + m.Running, l.Waiting + m.Waiting, l.Unread + m.Unread}
}

// pass returns the milliseconds of the token steps of one pass with the given number of writers.
func pass(e *fleet.Engine, writers int) float64 {
	return float64(e.Stride) * (e.Step + e.StepPerSeq*float64(writers))
}

// Gap returns the time between two events of a stream while the group has the load. An event holds the tokens of a pass.
func Gap(e *fleet.Engine, pace float64, l Load) time.Duration {
	read := math.Min(float64(l.Unread), float64(e.Chunk)) / max(e.ReadPerMs, 1e-9)
	return millis(pace * (read + pass(e, l.Running)))
}

// FirstEvent predicts the time from the arrival of a request at the head until its first event, from the engine's published
// arithmetic. The prompts that were sent before it are read first. Requests beyond the engine's slots wait for a slot, which
// frees when a request of the usual length ends.
func FirstEvent(e *fleet.Engine, pace float64, l Load, prompt int) time.Duration {
	writers := min(max(l.Running-l.Waiting, 0), e.Slots)
	tokens := float64(l.Unread + prompt)
	passes := math.Ceil(tokens / float64(e.Chunk))
	read := tokens/max(e.ReadPerMs, 1e-9) + float64(prompt)*float64(prompt)/2e6*e.PairsPerM
	// The request arrives in the middle of a pass, and its first event is full one pass after its prompt is read.
	total := read + (passes+1.5)*pass(e, writers)
	if beyond := l.Running + 1 - e.Slots; beyond > 0 && e.Slots > 0 {
		answer := e.UsualAnswer / float64(e.Stride) * pass(e, e.Slots)
		total += answer * float64(beyond) / float64(e.Slots)
	}
	return millis(pace * total)
}

func millis(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
