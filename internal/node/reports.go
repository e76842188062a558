package node

import (
	"context"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/groups"
	"cassiadeal.example/cassiadeal/internal/orders"
	"cassiadeal.example/cassiadeal/internal/statement"
)

const (
	// reportExpiry is how long a VM's engine is read after a controller last requested its state. Controllers request only
	// VMs of fabric domains that this node controls.
	reportExpiry        = 2 * time.Second
	reportReaders       = 32
	reportQueueSize     = 1024
	maxScheduleInterval = 50 * time.Millisecond // Between two checks for due reads.
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
	readQueue    chan string

	mu  sync.Mutex
	vms map[string]*vmReport
}

type vmReport struct {
	state          orders.State
	readSentAt     time.Duration // When the read that returned state was sent; valid if hasState.
	hasState       bool
	firstRequested time.Duration // When a controller first requested the state.
	lastRequested  time.Duration // When a controller last requested the state.
	reading        bool          // A read is queued or in progress.
	nextRead       time.Duration // Earliest start of the next read.
}

func newVMReports(client *orders.Client, statements *statement.Table, now func() time.Duration, address func(string) (string, bool), interval, timeout time.Duration) *vmReports {
	return &vmReports{
		client: client, statements: statements, now: now, address: address, readInterval: interval, readTimeout: timeout,
		readQueue: make(chan string, reportQueueSize), vms: make(map[string]*vmReport),
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
		return groups.Report{Age: v.now() - report.firstRequested}
	}
	address, _ := v.address(vm)
	engine := statement.Target{ID: address, Incarnation: report.state.Incarnation}
	_, limited := v.statements.Rate(engine, 1)
	return groups.Report{
		Leaving: v.statements.Leaving(engine), Limited: limited,
		Incarnation: report.state.Incarnation, Group: report.state.Group, Number: report.state.Number,
		Rank: report.state.Rank, Size: report.state.Size,
		Model: report.state.Model, Loading: report.state.Loading, Ready: report.state.Ready, Weights: report.state.Weights,
		Age: v.now() - report.readSentAt, Seen: true,
	}
}

// run schedules reads until ctx ends. A pool of readers bounds the concurrent reads; there is at most one for each VM.
func (v *vmReports) run(ctx context.Context) {
	var wg sync.WaitGroup
	for range reportReaders {
		wg.Go(func() { v.readLoop(ctx) })
	}
	ticker := time.NewTicker(min(v.readInterval, maxScheduleInterval))
	defer ticker.Stop()
	for ctx.Err() == nil {
		v.schedule()
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	wg.Wait()
}

func (v *vmReports) schedule() {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.now()
	for vm, report := range v.vms {
		switch {
		case report.reading:
		case now-report.lastRequested > reportExpiry:
			delete(v.vms, vm)
		case now >= report.nextRead:
			select {
			case v.readQueue <- vm:
				report.reading = true
				report.nextRead = now + v.readInterval
			default: // The queue is full; the next tick tries again.
			}
		}
	}
}

func (v *vmReports) readLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-v.readQueue:
			v.read(ctx, vm)
		}
	}
}

func (v *vmReports) read(ctx context.Context, vm string) {
	sentAt := v.now()
	var state orders.State
	address, ok := v.address(vm)
	if ok {
		ctx, cancel := context.WithTimeout(ctx, v.readTimeout)
		defer cancel()
		var err error
		state, err = v.client.State(ctx, address)
		ok = err == nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	report, stillRequested := v.vms[vm]
	if !stillRequested {
		return
	}
	report.reading = false
	if ok {
		report.state, report.readSentAt, report.hasState = state, sentAt, true
	}
}
