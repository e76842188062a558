package planner

import (
	"context"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

const (
	// observeEvery is the time between two reports that are read from a replica whose order is to take effect soon, and
	// observeSeldom where a weight load has to end first. Both replace the store's entries while the store is away.
	observeEvery  = 150 * time.Millisecond
	observeSeldom = time.Second
	// observeAgain is the time after which a replica that didn't answer is asked again.
	observeAgain = 400 * time.Millisecond
	// observesPerTick bounds the reports that are asked for in one tick.
	observesPerTick = 16
)

// unread returns the replicas to ask directly, as the store can't be read now or its entries may be older than orders that were
// carried out: those whose state the plan waits for, and all that weren't asked yet. The lock is held.
func (p *Planner) unread(replicas map[string]*fleet.Replica, unsure bool, now clock.Time) []*fleet.Replica {
	if !unsure {
		return nil
	}
	var list []*fleet.Replica
	add := func(l fleet.Life, every time.Duration) {
		r := replicas[l.ID]
		if r == nil || r.Born != l.Born || len(list) >= observesPerTick || now.Sub(p.asked[l]) < every {
			return
		}
		p.asked[l] = now
		list = append(list, r)
	}
	if p.opt.StoreAway() {
		soon, later := p.plan.Awaited(replicas)
		for _, l := range soon {
			add(l, observeEvery)
		}
		for _, l := range later {
			add(l, observeSeldom)
		}
	}
	for _, r := range replicas {
		if l := r.Life(); !p.confirmed[l] {
			add(l, observeAgain)
		}
	}
	return list
}

func (p *Planner) observeAll(ctx context.Context, list []*fleet.Replica) {
	for _, r := range list {
		go p.observe(ctx, r)
	}
}

// observe reads the report of a replica in place of its entry.
func (p *Planner) observe(ctx context.Context, r *fleet.Replica) {
	ctx, cancel := context.WithTimeout(ctx, probeCall)
	defer cancel()
	report, err := p.opt.Replicas.Report(ctx, r.ID, r.Address)
	if err != nil {
		p.opt.Log.WithField("replica", r.ID).WithError(err).Debug("a replica's report could not be read")
		return
	}
	if report.Born != r.Born || !p.Holds() {
		return
	}
	p.opt.Registry.Observe([]fleet.Observation{{Life: r.Life(), Group: report.Group, Models: report.Models, Staged: report.Staged}})
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirmed[r.Life()] = true
}
