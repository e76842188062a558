package planner

import (
	"context"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

const (
	// reportInterval is the time between two reports that are read from a replica whose order is to take effect soon, and
	// loadingReportInterval where a weight load has to end first. Both replace the store's entries while the store is away.
	reportInterval        = 150 * time.Millisecond
	loadingReportInterval = time.Second
	// reportRetryInterval is the time after which a replica that didn't answer is asked again.
	reportRetryInterval = 400 * time.Millisecond
	// maxReportsPerTick bounds the reports that are asked for in one tick.
	maxReportsPerTick = 16
)

// unread returns the replicas to ask directly, as the store can't be read now or its entries may be older than orders that were
// carried out: those whose state the plan waits for, and all that weren't asked yet. The lock is held.
func (p *Planner) replicasToQuery(replicas map[string]*fleet.Replica, uncertain bool, now clock.Time) []*fleet.Replica {
	if !uncertain {
		return nil
	}
	var due []*fleet.Replica
	addIfDue := func(l fleet.Life, interval time.Duration) {
		r := replicas[l.ID]
		if r == nil || r.Born != l.Born || len(due) >= maxReportsPerTick || now.Sub(p.queriedAt[l]) < interval {
			return
		}
		p.queriedAt[l] = now
		due = append(due, r)
	}
	if p.opt.StoreAway() {
		soon, later := p.plan.Awaited(replicas)
		for _, l := range soon {
			addIfDue(l, reportInterval)
		}
		for _, l := range later {
			addIfDue(l, loadingReportInterval)
		}
	}
	for _, r := range replicas {
		if l := r.Life(); !p.confirmed[l] {
			addIfDue(l, reportRetryInterval)
		}
	}
	return due
}

func (p *Planner) queryReports(ctx context.Context, replicas []*fleet.Replica) {
	for _, r := range replicas {
		go p.queryReport(ctx, r)
	}
}

// observe reads the report of a replica in place of its entry.
func (p *Planner) queryReport(ctx context.Context, r *fleet.Replica) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
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
