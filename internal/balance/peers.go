package balance

import (
	"slices"

	"cassiadeal.example/cassiadeal/internal/clock"
)

// peerReports holds the newest state that each other node reported, and the sums over them by target. The sums make a look-up
// independent of the number of nodes: choosing a head looks up each head of the model.
type peerReports struct {
	byNode map[string]peerReport
	sums   map[Key]*peerSum
	// arrivals lists the reports in order of arrival, the oldest first, so that those that are too old are found without
	// looking at all of them. It may hold reports that were replaced since.
	arrivals []arrival
}

// peerReport is the newest state that another node reported.
type peerReport struct {
	receivedAt clock.Time
	counted    bool // The state is in the sums.
	PeerState
}

type arrival struct {
	node string
	at   clock.Time
}

// peerSum is what the counted reports say of one target.
type peerSum struct {
	load        Load
	users       int                // Nodes that have requests at the target, or report it as slow.
	suspects    int                // Nodes that suspect it of having stalled.
	slowFactors map[string]float64 // By node; only nodes that report it as slow.
}

func newPeerReports() peerReports {
	return peerReports{byNode: map[string]peerReport{}, sums: map[Key]*peerSum{}}
}

// set replaces the report of a node.
func (p *peerReports) set(node string, state PeerState, now clock.Time) {
	p.expire(now)
	p.remove(node)
	p.add(node, state, +1)
	p.byNode[node] = peerReport{now, true, state}
	p.arrivals = append(p.arrivals, arrival{node, now})
}

// sum returns what the reports that aren't older than peerStateMaxAge say of a target.
func (p *peerReports) sum(k Key, now clock.Time) peerSum {
	p.expire(now)
	if s := p.sums[k]; s != nil {
		return *s
	}
	return peerSum{}
}

// expire takes reports that have reached peerStateMaxAge out of the sums.
func (p *peerReports) expire(now clock.Time) {
	expired := 0
	for _, a := range p.arrivals {
		if now.Sub(a.at) < peerStateMaxAge {
			break
		}
		if p.byNode[a.node].receivedAt == a.at {
			p.remove(a.node)
		}
		expired++
	}
	p.arrivals = slices.Delete(p.arrivals, 0, expired)
}

// remove takes the report of a node out of the sums.
func (p *peerReports) remove(node string) {
	r, known := p.byNode[node]
	if !known || !r.counted {
		return
	}
	p.add(node, r.PeerState, -1)
	r.counted = false
	p.byNode[node] = r
}

// add adds a report to the sums, or subtracts it if sign is -1.
func (p *peerReports) add(node string, state PeerState, sign int) {
	for k, load := range state.Loads {
		s := p.sumOf(k)
		s.load = s.load.Add(load.times(sign))
		if load.Running > 0 || state.SlowFactors[k] > 0 {
			s.users += sign
		}
	}
	for k, factor := range state.SlowFactors {
		s := p.sumOf(k)
		if _, counted := state.Loads[k]; !counted && factor > 0 {
			s.users += sign
		}
		if sign > 0 && factor > 0 {
			s.slowFactors[node] = factor
		} else {
			delete(s.slowFactors, node)
		}
	}
	for k, suspected := range state.Suspected {
		if suspected {
			p.sumOf(k).suspects += sign
		}
	}
	if sign < 0 {
		p.dropEmpty(state)
	}
}

func (p *peerReports) sumOf(k Key) *peerSum {
	s := p.sums[k]
	if s == nil {
		s = &peerSum{slowFactors: map[string]float64{}}
		p.sums[k] = s
	}
	return s
}

// dropEmpty removes the sums of the targets in a state to which no report contributes any more.
func (p *peerReports) dropEmpty(state PeerState) {
	drop := func(k Key) {
		if s := p.sums[k]; s != nil && s.load == (Load{}) && s.users == 0 && s.suspects == 0 && len(s.slowFactors) == 0 {
			delete(p.sums, k)
		}
	}
	for k := range state.Loads {
		drop(k)
	}
	for k := range state.SlowFactors {
		drop(k)
	}
	for k := range state.Suspected {
		drop(k)
	}
}
