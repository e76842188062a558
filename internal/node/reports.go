package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"cassiadeal.example/cassiadeal/internal/groups"
	"cassiadeal.example/cassiadeal/internal/orders"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/statement"
)

const (
	// reportExpiry is how long a VM's engine is read after a controller last requested its state. Controllers request only
	// VMs of fabric domains that this node controls.
	reportExpiry        = 2 * time.Second
	maxScheduleInterval = 50 * time.Millisecond // Between two checks for due reads.
	maxReads            = 4                     // Reads of one engine at a time.
	// unconfirmedLimit is the silence of an engine after which reads count as missed although no other node has confirmed that it can't be
	// reached. The others may be of a version that can't be asked.
	unconfirmedLimit = 30 * time.Second
)

// vmReports reads the states of engines for the group controllers. It reads an engine repeatedly while controllers request its
// state.
type vmReports struct {
	client       *orders.Client
	statements   *statement.Table
	now          func() time.Duration
	address      func(vm string) (string, bool)
	readInterval time.Duration
	readTimeout  time.Duration
	reads        sync.WaitGroup

	mu  sync.Mutex
	vms map[string]*vmReport
}

type vmReport struct {
	state          orders.State
	readSentAt     time.Duration // When the read that returned state was sent; valid if hasState.
	hasState       bool
	firstRequested time.Duration // When a controller first requested the state.
	lastRequested  time.Duration // When a controller last requested the state.
	reads          int           // In progress.
	nextRead       time.Duration // Earliest start of the next read.
	missed         int           // Reads that were sent after readSentAt and have failed, unless only this node's own path may be at fault.
}

func newVMReports(client *orders.Client, statements *statement.Table, now func() time.Duration, address func(string) (string, bool), freshness time.Duration) *vmReports {
	return &vmReports{
		client: client, statements: statements, now: now, address: address, vms: make(map[string]*vmReport),
		// Two reads within the freshness bound tolerate one late read. A sound engine may be silent for longer than the bound.
		readInterval: freshness / 2, readTimeout: freshness * 3 / 2,
	}
}

// get returns the last state read from a VM's engine. Further reads of this engine are scheduled for the next reportExpiry.
func (v *vmReports) get(vm string) groups.Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	report, ok := v.vms[vm]
	if !ok {
		report = &vmReport{firstRequested: v.now()}
		v.vms[vm] = report
	}
	report.lastRequested = v.now()
	if !report.hasState {
		return groups.Report{Age: v.now() - report.firstRequested, Missed: report.missed}
	}
	address, _ := v.address(vm)
	engine := statement.Target{ID: address, Incarnation: report.state.Incarnation}
	_, limited := v.statements.Rate(engine, 1)
	return groups.Report{
		Leaving: v.statements.Leaving(engine), Limited: limited,
		Incarnation: report.state.Incarnation, Group: report.state.Group, Number: report.state.Number,
		Rank: report.state.Rank, Size: report.state.Size,
		Model: report.state.Model, Loading: report.state.Loading, Ready: report.state.Ready, Weights: report.state.Weights,
		Running: report.state.Running, Waiting: report.state.Waiting,
		Age: v.now() - report.readSentAt, Seen: true, Missed: report.missed,
	}
}

// lastKnown returns when the state was last known, or when it was first requested.
func (r *vmReport) lastKnown() time.Duration {
	if r.hasState {
		return r.readSentAt
	}
	return r.firstRequested
}

// run schedules reads until ctx ends. Each read has its own goroutine, so that reads of silent engines don't delay those of others.
func (v *vmReports) run(ctx context.Context) {
	ticker := time.NewTicker(min(v.readInterval, maxScheduleInterval))
	defer ticker.Stop()
	for ctx.Err() == nil {
		v.schedule(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	v.reads.Wait()
}

func (v *vmReports) schedule(ctx context.Context) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	for vm, report := range v.vms {
		switch {
		case now-report.lastRequested > reportExpiry:
			delete(v.vms, vm)
		case now >= report.nextRead && report.reads < maxReads:
			report.reads++
			report.nextRead = now + v.readInterval
			v.reads.Go(func() { v.read(ctx, vm, report) })
		}
	}
}

// read reads the state of a VM's engine once and stores it, unless the state of a later read has arrived before.
func (v *vmReports) read(ctx context.Context, vm string, report *vmReport) {
	sentAt := v.now()
	state, err := v.readState(ctx, vm)
	v.mu.Lock()
	defer v.mu.Unlock()
	report.reads--
	if report.hasState && sentAt < report.readSentAt || ctx.Err() != nil {
		return
	}
	switch {
	case errors.Is(err, reach.ErrUnconfirmed) && v.now()-report.lastKnown() < unconfirmedLimit:
		return
	case err != nil:
		report.missed++
		return
	}
	report.state, report.readSentAt, report.hasState, report.missed = state, sentAt, true, 0
}

func (v *vmReports) readState(ctx context.Context, vm string) (orders.State, error) {
	address, ok := v.address(vm)
	if !ok {
		return orders.State{}, eris.Errorf("VM %q is not listed", vm)
	}
	ctx, cancel := context.WithTimeout(ctx, v.readTimeout)
	defer cancel()
	return v.client.State(ctx, address)
}
