package demand

import "cassiadeal.example/cassiadeal/internal/clock"

// Arrivals is what is known of the requests for one model that arrive at all nodes.
type Arrivals struct {
	PerSecond        float64
	MeanPromptTokens float64 // 0 if no request has arrived.
}

// arrivalsCache holds the arrivals by model. Each choice of a head asks for them, and a sum over hundreds of nodes would cost more than the rest of
// the choice.
type arrivalsCache struct {
	byModel  map[string]Arrivals
	formedAt clock.Time
}

// Arrivals returns the requests for the model that arrive at all nodes, as of the last slotTime.
func (t *Table) Arrivals(model string) Arrivals {
	t.mu.Lock()
	cached := t.arrivals
	t.mu.Unlock()
	if now := t.clock.Now(); cached.byModel == nil || now.Sub(cached.formedAt) >= slotTime {
		cached = arrivalsCache{map[string]Arrivals{}, now}
		read := map[string]float64{}
		for class, w := range t.Total() {
			a := cached.byModel[class.Model]
			a.PerSecond += w.Requests
			read[class.Model] += w.ReadTokens
			a.MeanPromptTokens = read[class.Model] / max(a.PerSecond, 1e-9)
			cached.byModel[class.Model] = a
		}
		t.mu.Lock()
		t.arrivals = cached
		t.mu.Unlock()
	}
	return cached.byModel[model]
}
