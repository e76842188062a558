package precedence

import (
	"math"
	"slices"
	"time"

	"cassiadeal.example/cassiadeal/internal/fleet"
)

const (
	// usableShare is the share of the groups' time that can be used. At three quarters, requests wait for one and a half times as long as one
	// occupies a group (0.75 / (2 * 0.25)): about 100 ms for the usual large request, a third of a target of 300 ms.
	usableShare = 0.75
	// floorShare is the share of the usable capacity that each priority keeps.
	floorShare = 0.1
	// pressedShare is the share of the guarded target from which on the mean queue delay of all groups shows that a model lacks capacity. On a played
	// load of the large model the mean reached 61 ms in calm and 91 ms at 1.5 times that; at 2.5 times, more than the groups can do, its median
	// was 667 ms. The shortest target there is 250 ms, which gives 150 ms.
	pressedShare = 0.6
	// pressedLoad is the least load in groups' time that a model is taken to be offered while its groups have queues everywhere: the published
	// figures may promise more than the groups do.
	pressedLoad = 1.0
	// proportionalShare is the part of the proportional share that an account above the level keeps: a large account may be one with
	// many users, none of whom should be starved.
	proportionalShare = 0.5
	// classDeviations and accountDeviations are the number of standard deviations by which the count of requests must exceed a bound before it
	// counts as exceeded. Shares of priorities change little where a model is just short; an account that is wrongly held to its share loses half.
	classDeviations   = 1
	accountDeviations = 2
)

// Millis returns the milliseconds of a group's time that the work of one second takes: prompts are read one after the other, and output
// tokens are generated for as many requests as there are slots.
func (w Work) Millis(e *fleet.Engine, timeFactor float64) float64 {
	slots := float64(max(e.Slots, 1))
	perToken := (e.StepMs + e.StepMsPerRequest*slots) / slots
	read := 0.0
	if e.PromptTokensPerMs > 0 { // Otherwise the configuration states no speed, and reading can't be weighed.
		read = w.ReadTokens / e.PromptTokensPerMs
	}
	return timeFactor * (read + w.WriteTokens*perToken)
}

// classShare is what the priorities of a model get of its capacity.
type classShare struct {
	short bool    // The model is offered more than it can do.
	first bool    // The request's priority is the most urgent one that is offered, or the only one.
	share float64 // Share of the offered work of the request's priority that is given to it.
	floor float64 // The part of share that the priority keeps in any case.
	// urgentLoad is the part of the usable capacity that more urgent work takes.
	urgentLoad float64
}

// classShare divides the capacity among the priorities.
func (m Model) classShare(r Request) classShare {
	loads, requests := m.loads(r.Class.Model)
	total := 0.0
	for _, load := range loads {
		total += load
	}
	pressed := float64(m.MeanDelay) > pressedShare*float64(r.guardTarget())
	capacity := usableShare * float64(m.Groups) * 1000
	if total <= 0 || capacity <= 0 || !pressed && total*lowerBound(requests, classDeviations) <= capacity {
		return classShare{}
	}
	if least := pressedLoad * float64(m.Groups) * 1000; pressed && total < least {
		for p := range loads {
			loads[p] *= least / total
		}
		total = least
	}
	if total <= capacity {
		return classShare{}
	}
	priority := r.Class.Priority
	if m.OnePriority {
		priority = 0
	}
	own := loads[priority]
	if own <= 0 { // Not counted yet.
		own = 1e-9
	}
	given := divide(loads, capacity)
	result := classShare{short: true, first: true, share: min(given[priority]/own, 1), floor: min(floorShare*capacity/own, 1)}
	for p, load := range loads {
		if p < priority && load > 0 {
			result.first = false
			result.urgentLoad += given[p] / capacity
		}
	}
	return result
}

// loads returns the milliseconds of groups' time that are offered in a second by priority, and the number of requests from which they were
// measured.
func (m Model) loads(model string) (byPriority map[int]float64, requests float64) {
	byPriority = map[int]float64{}
	for class, work := range m.Offered.Work {
		if class.Model != model {
			continue
		}
		priority := class.Priority
		if m.OnePriority {
			priority = 0
		}
		byPriority[priority] += m.Offered.Scale * work.Millis(m.Engine, m.TimeFactor)
		requests += work.Requests * classMemory.Seconds()
	}
	return byPriority, requests
}

// lowerBound returns the factor to a rate measured from the number of requests that gives the rate which is exceeded by
// that number of standard deviations.
func lowerBound(requests, deviations float64) float64 {
	return max(1-deviations/math.Sqrt(max(requests, 1)), 0)
}

// divide gives each priority its floor, and the rest of the capacity in the order of priority.
func divide(loads map[int]float64, capacity float64) map[int]float64 {
	given, rest := map[int]float64{}, capacity
	var order []int
	for p, load := range loads {
		given[p] = min(load, floorShare*capacity)
		rest -= given[p]
		order = append(order, p)
	}
	slices.Sort(order)
	for _, p := range order {
		more := min(loads[p]-given[p], max(rest, 0))
		given[p] += more
		rest -= more
	}
	return given
}

// AccountWork is what an account has offered lately in one class.
type AccountWork struct {
	Account  string
	Requests float64 // Number of requests, the newest counted in full.
	Millis   float64 // Their groups' time.
}

// accountShare returns the share of the account's requests that the capacity of its class is for, and whether the account offers more than
// its fair share.
func accountShare(account string, accounts []AccountWork, class classShare) (share float64, over bool) {
	unaffected := class.share
	if class.first {
		unaffected = 1 // The most urgent priority gives way to none, so that only the accounts above the level do.
	}
	total, own := 0.0, AccountWork{}
	for _, a := range accounts {
		total += a.Millis
		if a.Account == account {
			own = a
		}
	}
	if account == "" || own.Millis <= 0 { // Requests on public routes belong to no account.
		return unaffected, false
	}
	level := fairLevel(accounts, class.share*total)
	fair := min(max(level/own.Millis, proportionalShare*class.share), 1)
	certain := own.Millis * lowerBound(own.Requests, accountDeviations)
	if certain > level && certain > total/float64(len(accounts)) {
		return fair, true
	}
	return max(fair, unaffected), false
}

// fairLevel returns the level at which the accounts' work is cut so that the rest is the capacity.
func fairLevel(accounts []AccountWork, capacity float64) float64 {
	sorted := slices.Clone(accounts)
	slices.SortFunc(sorted, func(a, b AccountWork) int { return compare(a.Millis, b.Millis) })
	for i, a := range sorted {
		equal := capacity / float64(len(sorted)-i)
		if a.Millis >= equal {
			return equal
		}
		capacity -= a.Millis
	}
	return math.Inf(1)
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

const (
	// classMemory is the time in which the count of a class falls to 1/e, and accountMemory that of an account, which sends fewer requests.
	classMemory   = 5 * time.Second
	accountMemory = 30 * time.Second
)
