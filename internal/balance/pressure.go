package balance

import "time"

// Pressure returns the number of open heads of the model, and the mean over them of the predicted delay by other requests of a request of
// the usual size. Suspected heads don't count.
func (t *Table) Pressure(q Query) (heads int, meanDelay time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, e := t.clock.Now(), q.Service.Engine
	unloaded := FirstEvent(e, q.Model.TimeFactor, Load{}, e.MeanPromptTokens)
	var sum time.Duration
	for _, r := range q.View.ByService[q.Service.Name] {
		if !r.Head() || r.Models[0] != q.Model.Name {
			continue
		}
		k := KeyOf(r)
		if t.suspectedLocked(k, now) {
			continue
		}
		heads++
		sum += FirstEvent(e, q.Model.TimeFactor, t.loadLocked(k, now), e.MeanPromptTokens) - unloaded
	}
	if heads == 0 {
		return 0, 0
	}
	return heads, sum / time.Duration(heads)
}
