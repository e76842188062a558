package balance

import "cassiadeal.example/cassiadeal/internal/fleet"

// overrunShare is the part of its length for which an answer is taken to go on that is longer than expected. Long answers among short ones
// look alike until then.
const overrunShare = 0.25

// answer is what is known of the length of the answer to one request.
type answer struct {
	expected  int // Output tokens; 0 if no expectation is known.
	maxOutput int // 0 for no bound.
	written   int
}

// remaining returns the output tokens that are still expected, at least 1.
func (a answer) remaining() int {
	left := max(a.expected-a.written, int(overrunShare*float64(a.written)))
	if a.maxOutput > 0 {
		left = min(left, a.maxOutput-a.written)
	}
	return max(left, 1)
}

// ExpectOutput sets the number of output tokens that the request is expected to have, and their maximum, 0 for none.
func (k *Ticket) ExpectOutput(expected, maxOutput int) {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	k.answer.expected, k.answer.maxOutput = expected, maxOutput
}

// addWork adds the tokens of the request, which is part of the load, to it.
func (k *Ticket) addWork(l *Load) {
	if k.answer.expected <= 0 {
		return
	}
	l.Measured++
	l.RemainingTokens += k.answer.remaining()
	l.HeldTokens += k.promptTokens + k.answer.written
}

// times returns the load multiplied by a factor.
func (l Load) times(factor int) Load {
	return Load{factor * l.Running, factor * l.Waiting, factor * l.UnreadTokens, factor * l.Measured, factor * l.RemainingTokens, factor * l.HeldTokens}
}

// answerTokens estimates the mean length of the answers at a target: requests that generate tokens are half done on average. Requests
// of which no tokens are known count with the engine's mean.
func answerTokens(e *fleet.Engine, load Load) float64 {
	if load.Measured <= 0 || load.RemainingTokens <= 0 || load.Running <= 0 {
		return e.MeanOutputTokens
	}
	running := float64(load.Running)
	waiting := float64(min(max(load.Waiting, 0), load.Running))
	left := waiting + (running-waiting)/2 // In whole answers.
	unmeasured := max(1-float64(load.Measured)/running, 0)
	return float64(load.RemainingTokens)/left + unmeasured*e.MeanOutputTokens
}

// exceedsMemory tells whether a request with the given tokens would exceed the memory of a group (KV cache), whose requests in slots hold
// their prompts and what they have written, and half of what is left on average until others end.
func exceedsMemory(e *fleet.Engine, load Load, promptTokens, outputTokens int) bool {
	if e.KVCapacityTokens <= 0 || load.Running <= 0 {
		return false
	}
	unmeasured := float64(max(load.Running-load.Measured, 0)) * (float64(e.MeanPromptTokens) + e.MeanOutputTokens)
	held := float64(load.HeldTokens) + float64(load.RemainingTokens)/2 + unmeasured
	if e.Slots > 0 && load.Running > e.Slots {
		held *= float64(e.Slots) / float64(load.Running) // The others wait in the queue.
	}
	return held+float64(promptTokens+outputTokens) > float64(e.KVCapacityTokens)
}

// withRoom returns the candidates whose memory has room for the request, or all if none has: the group then preempts a request, which is less bad
// than a refusal.
func withRoom(candidates []candidate) []candidate {
	var room []candidate
	for _, c := range candidates {
		if !c.memoryFull {
			room = append(room, c)
		}
	}
	if len(room) == 0 {
		return candidates
	}
	return room
}

// ReportedTokens returns the tokens that nodes report of the load. Those of the requests of earlier versions' nodes are added as the mean of the
// others. The remaining ones are 0 only if nothing is known of any request.
func (l Load) ReportedTokens() (remaining, held int) {
	if l.Measured <= 0 || l.Running <= 0 {
		return 0, 0
	}
	return max(l.RemainingTokens*l.Running/l.Measured, 1), max(l.HeldTokens*l.Running/l.Measured, 0)
}

// WithReported returns the load with the tokens that a node has reported of it; see ReportedTokens.
func (l Load) WithReported(remaining, held int) Load {
	if remaining > 0 {
		l.Measured, l.RemainingTokens, l.HeldTokens = l.Running, remaining, held
	}
	return l
}
