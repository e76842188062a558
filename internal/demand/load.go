package demand

import "cassiadeal.example/cassiadeal/internal/fleet"

// GroupLoad returns how many groups of the model the work keeps busy if their slots are full: tokens are read one after the other, and each
// step writes one token of each running request.
func GroupLoad(e *fleet.Engine, m *fleet.Model, w Work) float64 {
	slots := float64(max(e.Slots, 1))
	readMs := w.ReadTokens / max(e.PromptTokensPerMs, 1e-9)
	writeMs := w.WriteTokens / slots * (e.StepMs + e.StepMsPerRequest*slots)
	return m.TimeFactor * (readMs + writeMs) / 1000
}

// Exchange returns the smallest number of groups that one model gives and the other gets when replicas change the model.
func Exchange(from, to *fleet.Model) (given, got int) {
	if from.Size >= to.Size {
		return 1, from.Size / max(to.Size, 1)
	}
	return (to.Size + from.Size - 1) / max(from.Size, 1), 1
}

// loads returns the demand of each model in groups.
func loads(e *fleet.Engine, total map[Class]Work) map[string]float64 {
	byModel := map[string]Work{}
	for class, w := range total {
		byModel[class.Model] = byModel[class.Model].Add(w)
	}
	all := map[string]float64{}
	for i := range e.Models {
		m := &e.Models[i]
		all[m.Name] = GroupLoad(e, m, byModel[m.Name])
	}
	return all
}
