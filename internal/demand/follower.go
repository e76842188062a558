package demand

import (
	"fmt"
	"maps"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

const (
	// lackUse is the part of what its groups can do from which a model lacks capacity: above it, queues grow with each burst.
	lackUse = 0.85
	// riseUse is that part for a model whose demand is risenBy times the usual one, while the other's use is at most idleRatio of its
	// own. Latency suffers there before queues do, and moves cost the other model little.
	riseUse   = 0.65
	risenBy   = 1.3
	idleRatio = 0.5
	// aimUse is the use of the receiving model at which no further replicas are moved.
	aimUse = 0.7
	// giverUse bounds the present use of the giving model after a move. giverUsualUse bounds its usual use: it gets replicas back only
	// after a load.
	giverUse      = 0.65
	giverUsualUse = 0.9
	// lackTime is the time for which a lack must last. The smoothing of demand has delayed it already.
	lackTime = 1500 * time.Millisecond
	// usualTime is the time constant of the usual demand. historyTime is the time from which on it is known well enough; it is longer
	// than the rise of demand after a start.
	usualTime   = time.Minute
	historyTime = 10 * time.Second
	// observeInterval is the time between two readings of the demand.
	observeInterval = 250 * time.Millisecond
	// maxWaitFactor bounds the multiple of a load for which the opposite change waits after short peaks. calmTime is the time
	// without a change that halves it.
	maxWaitFactor = 8
	calmTime      = time.Minute
	// minLoadTime replaces the load time of models that state none.
	minLoadTime = 5 * time.Second
)

// Reasons why the need isn't changed although a model lacks capacity.
const (
	BlockedNoReports = "no_reports" // Most nodes report no demand, or the store is away.
	BlockedNoHistory = "no_history" // The usual demand isn't known yet.
	BlockedWait      = "wait"       // The opposite change was made less than a load ago.
	BlockedNoRoom    = "no_room"    // The other model can't do without a group.
)

// State is what a Follower decides on.
type State struct {
	Now    clock.Time
	Engine *fleet.Engine
	Total  map[Class]Work
	// Groups is the number of groups by model, as if all moves had been completed.
	Groups map[string]int
	// Trusted tells whether most nodes that are alive report their demand and the store answers.
	Trusted bool
}

// Change is a decision to move replicas between two models.
type Change struct {
	From, To string
	Units    int // As returned by Exchange.
	// Use is the demand in relation to what the groups can do, by model, before the change, Usual that of the usual demand.
	Use, Usual map[string]float64
}

// String describes the figures that led to the change.
func (c Change) String() string {
	return fmt.Sprintf("model %s uses %.2f of its groups, %s %.2f (usually %.2f and %.2f)", c.To, c.Use[c.To], c.From, c.Use[c.From],
		c.Usual[c.To], c.Usual[c.From])
}

// Follower decides which part of the replicas each of two models needs. It is not safe for concurrent use.
type Follower struct {
	usual      map[string]float64 // Demand in groups, by model.
	observedAt clock.Time         // 0 before the first reading.
	observed   time.Duration      // Time covered by usual.

	lacking   string // The model that lacks capacity; empty if none does.
	lackSince clock.Time
	blocked   string // Why the lack leads to no change.

	last       Change // Its From is empty if there was none.
	changedAt  clock.Time
	lackBegan  clock.Time // Of the last change.
	lackEnded  clock.Time // 0 while the lack lasts.
	waitFactor int
	// groupsBefore is the number of groups that the receiving model had before the last change; 0 if it isn't known.
	groupsBefore int
	target       map[string]int // Groups by model after the last change.
	pending      bool           // The last change isn't carried out completely yet.
}

// NewFollower returns a Follower without history.
func NewFollower() *Follower { return &Follower{usual: map[string]float64{}, waitFactor: 1} }

// Observe updates the usual demand. It must also be called while nothing is decided, at least every few seconds.
func (f *Follower) Observe(now clock.Time, e *fleet.Engine, total map[Class]Work) {
	if f.observedAt != 0 && now.Sub(f.observedAt) < observeInterval {
		return
	}
	var elapsed time.Duration
	if f.observedAt != 0 {
		elapsed = min(now.Sub(f.observedAt), time.Second)
	}
	f.observedAt = now
	f.observed += elapsed
	present := loads(e, total)
	busy := false
	for _, load := range present {
		busy = busy || load > 0
	}
	if !busy {
		f.observed = 0 // Before the first request there is no usual demand.
		clear(f.usual)
		return
	}
	// The mean of all readings, until these cover the time constant.
	weight := 1.0
	if f.observed > 0 {
		weight = min(elapsed.Seconds()/min(f.observed, usualTime).Seconds(), 1)
	}
	for model, load := range present {
		f.usual[model] += weight * (load - f.usual[model])
	}
}

// Resume makes the opposite of an earlier planner's changes wait as if the last one had been made now.
func (f *Follower) Resume(now clock.Time, from, to string) {
	f.last, f.changedAt, f.groupsBefore, f.pending = Change{From: from, To: to}, now, 0, false
}

// Need returns the number of groups that each model needs, or nil if they are to stay as they are. The change is set if it was decided
// now.
func (f *Follower) Need(s State) (groups map[string]int, decided *Change) {
	use, usual, known := f.uses(s)
	if !known {
		f.lacking, f.blocked = "", ""
		return f.pendingNeed(), nil
	}
	if !s.Trusted {
		f.lacking, f.blocked = "", BlockedNoReports
		return f.pendingNeed(), nil
	}
	f.calm(s.Now)
	lacking := f.findLack(s.Engine, use, usual)
	f.followLack(s, lacking)
	if f.pending && maps.Equal(f.target, s.Groups) {
		f.pending = false
	}
	if lacking == "" {
		f.blocked = ""
		return f.pendingNeed(), nil
	}
	if f.pending || s.Now.Sub(f.lackSince) < lackTime {
		return f.pendingNeed(), nil
	}
	change := Change{To: lacking, Use: use, Usual: usual}
	if change.From = other(s.Engine, lacking); !f.allow(s, &change) {
		return nil, nil
	}
	f.begin(s, change)
	return f.pendingNeed(), &change
}

// Blocked returns why the present lack leads to no change, or "".
func (f *Follower) Blocked() string { return f.blocked }

// pendingNeed returns the groups that a change which isn't complete leads to, or nil.
func (f *Follower) pendingNeed() map[string]int {
	if !f.pending {
		return nil
	}
	return f.target
}

// uses returns the present and the usual demand of each model in relation to its groups. It isn't known unless there are two models with
// groups.
func (f *Follower) uses(s State) (use, usual map[string]float64, known bool) {
	if len(s.Engine.Models) != 2 {
		return nil, nil, false
	}
	use, usual = map[string]float64{}, map[string]float64{}
	for model, load := range loads(s.Engine, s.Total) {
		if s.Groups[model] == 0 {
			return nil, nil, false
		}
		use[model] = load / float64(s.Groups[model])
		usual[model] = f.usual[model] / float64(s.Groups[model])
	}
	return use, usual, true
}

// findLack returns the model that lacks capacity, or "". If both do, it is the one with the higher use.
func (f *Follower) findLack(e *fleet.Engine, use, usual map[string]float64) string {
	found := ""
	for i := range e.Models {
		model := e.Models[i].Name
		risen := f.observed >= historyTime && use[model] >= riseUse && use[model] >= risenBy*usual[model] && use[other(e, model)] <= idleRatio*use[model]
		if (use[model] >= lackUse || risen) && (found == "" || use[model] > use[found]) {
			found = model
		}
	}
	return found
}

func other(e *fleet.Engine, model string) string {
	if e.Models[0].Name == model {
		return e.Models[1].Name
	}
	return e.Models[0].Name
}

// followLack records since when a model lacks capacity, and when the lack that led to the last change ended. A change that isn't complete by
// then ends with it.
func (f *Follower) followLack(s State, lacking string) {
	if lacking != f.lacking {
		f.lacking, f.lackSince = lacking, s.Now
	}
	if f.groupsBefore == 0 || f.lackEnded != 0 {
		return
	}
	// Whether the lack would last without the change is judged by the groups before it.
	demand := loads(s.Engine, s.Total)[f.last.To]
	if demand < lackUse*float64(f.groupsBefore) && demand < risenBy*f.usual[f.last.To] {
		f.lackEnded, f.pending = s.Now, false
	}
}

// calm halves the factor of the wait after each calmTime without a change.
func (f *Follower) calm(now clock.Time) {
	if f.waitFactor > 1 && now.Sub(f.changedAt) > calmTime {
		f.waitFactor /= 2
		f.changedAt = now
	}
}

// allow sets the number of units of a change, and reports false if it can't be made now.
func (f *Follower) allow(s State, change *Change) bool {
	f.blocked = ""
	switch {
	case f.observed < historyTime:
		f.blocked = BlockedNoHistory
	case f.last.From == change.To && s.Now.Sub(f.changedAt) < time.Duration(f.waitFactor)*loadTime(s.Engine):
		f.blocked = BlockedWait
	default:
		if change.Units = f.units(s, change); change.Units == 0 {
			f.blocked = BlockedNoRoom
		}
	}
	return f.blocked == ""
}

// units returns how many units the giving model can do without, up to what the receiving one needs.
func (f *Follower) units(s State, c *Change) int {
	given, got := Exchange(s.Engine.Model(c.From), s.Engine.Model(c.To))
	fromGroups, toGroups := float64(s.Groups[c.From]), float64(s.Groups[c.To])
	units := 0
	for {
		if c.Use[c.To]*toGroups/(toGroups+float64(units*got)) <= aimUse {
			return units
		}
		next := float64(units + 1)
		left := fromGroups - next*float64(given)
		if left < 1 {
			return units
		}
		gave := fromGroups / left
		received := c.Use[c.To] * toGroups / (toGroups + next*float64(got))
		if c.Use[c.From]*gave > min(giverUse, received) || c.Usual[c.From]*gave > giverUsualUse {
			return units
		}
		units++
	}
}

// begin makes a change the one in force.
func (f *Follower) begin(s State, change Change) {
	if f.last.From == change.To && f.lackEnded != 0 && f.lackEnded.Sub(f.lackBegan) < loadTime(s.Engine) {
		f.waitFactor = min(2*f.waitFactor, maxWaitFactor)
	}
	given, got := Exchange(s.Engine.Model(change.From), s.Engine.Model(change.To))
	f.target = map[string]int{change.From: s.Groups[change.From] - change.Units*given, change.To: s.Groups[change.To] + change.Units*got}
	f.groupsBefore = s.Groups[change.To]
	f.last, f.changedAt, f.lackBegan, f.lackEnded, f.pending = change, s.Now, f.lackSince, 0, true
}

// loadTime returns the shorter load time of the models.
func loadTime(e *fleet.Engine) time.Duration {
	shortest := e.Models[0].LoadTime
	for _, m := range e.Models[1:] {
		shortest = min(shortest, m.LoadTime)
	}
	return max(shortest, minLoadTime)
}
