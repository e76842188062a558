package planner

import (
	"context"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

const (
	// reportInterval is the time between two reads of the report of a replica whose order should take effect soon, and
	// loadingReportInterval applies where a weight load has to end first. The reports replace the store's entries while the store
	// doesn't answer.
	reportInterval        = 150 * time.Millisecond
	loadingReportInterval = time.Second
	// reportRetryInterval is the time after which a replica that hasn't answered is queried again.
	reportRetryInterval = 400 * time.Millisecond
	// maxReportsPerTick bounds the reports that are requested in one tick.
	maxReportsPerTick = 16
)

// replicasToQuery returns the replicas whose reports to read because the store can't be read now, or because its entries may be
// older than orders that were carried out: while the store doesn't answer, those whose state the plan waits for, and at any time
// those that haven't answered a query yet. The caller holds the lock.
func (p *Planner) replicasToQuery(replicas map[string]*fleet.Replica, uncertain bool, now clock.Time) []*fleet.Replica {
	if !uncertain {
		return nil
	}
	var due []*fleet.Replica
	addIfDue := func(incarnation fleet.Incarnation, interval time.Duration) {
		r := replicas[incarnation.ID]
		if r == nil || r.StartedUnixMs != incarnation.StartedUnixMs || len(due) >= maxReportsPerTick || now.Sub(p.queriedAt[incarnation]) < interval {
			return
		}
		p.queriedAt[incarnation] = now
		due = append(due, r)
	}
	if p.opt.StoreFailing() {
		soon, later := p.plan.Awaited(replicas)
		for _, incarnation := range soon {
			addIfDue(incarnation, reportInterval)
		}
		for _, incarnation := range later {
			addIfDue(incarnation, loadingReportInterval)
		}
	}
	for _, r := range replicas {
		incarnation := r.Incarnation()
		if _, confirmed := p.confirmed[incarnation]; !confirmed {
			addIfDue(incarnation, reportRetryInterval)
		}
	}
	return due
}

func (p *Planner) queryReports(ctx context.Context, replicas []*fleet.Replica) {
	for _, r := range replicas {
		go p.queryReport(ctx, r)
	}
}

// queryReport reads a replica's report, which replaces its entry in the store.
func (p *Planner) queryReport(ctx context.Context, r *fleet.Replica) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	incarnation, askedAt := r.Incarnation(), p.opt.Clock.Now()
	report, err := p.opt.Replicas.Report(ctx, incarnation, r.Address)
	if err != nil {
		p.opt.Log.WithField("replica", r.ID).WithError(err).Debug("a replica's report could not be read")
		return
	}
	if report.StartedUnixMs != r.StartedUnixMs || !p.Active() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if askedAt < p.reportAskedAt[incarnation] {
		return // A later report has overtaken this one.
	}
	p.reportAskedAt[incarnation] = askedAt
	p.opt.Registry.Observe([]fleet.Observation{{Incarnation: incarnation, Group: report.Group, Models: report.Models, Staged: report.Staged}})
	p.confirmed[incarnation] = epochOf(report.Group)
	if _, known := p.counts.count(r); !known {
		p.counts.reported(incarnation, report.OrderCount)
	}
}

func epochOf(m *fleet.Membership) int64 {
	if m == nil {
		return 0
	}
	return m.Epoch
}

// StoreRestored tells the planner that the store has come back from an older copy. What replicas confirmed before is forgotten.
func (p *Planner) StoreRestored() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restoredAt = p.opt.Clock.Now()
	if p.recorder != nil {
		p.recorder.storeRestored()
	}
	clear(p.queriedAt)
	clear(p.confirmed)
}

// restoredLately reports whether the store came back from an older copy within the time that replicas take to write their entries again.
// Until then entries may be older than what was known of the replicas before, and those of some replicas may be missing. The caller
// holds the lock.
func (p *Planner) restoredLately(now clock.Time) bool {
	return p.restoredAt != 0 && now.Sub(p.restoredAt) < p.opt.EntryTTL+settleTime
}

// confirmedReplicas returns the replicas that have answered a query and are known as they answered, or by a newer state. The others are
// queried again: an older copy of the store has replaced their answers. The caller holds the lock.
func (p *Planner) confirmedReplicas(replicas map[string]*fleet.Replica) map[fleet.Incarnation]bool {
	list := map[fleet.Incarnation]bool{}
	for incarnation, epoch := range p.confirmed {
		r := replicas[incarnation.ID]
		if r != nil && r.Incarnation() == incarnation && epochOf(r.Group) < epoch {
			delete(p.confirmed, incarnation)
			continue
		}
		list[incarnation] = true
	}
	return list
}
