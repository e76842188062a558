package node

import (
	"context"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/groups"
	"cassiadeal.example/cassiadeal/internal/orders"
)

const (
	// reportInterest is how long a VM's engine is read after the controller last asked for its state. Only VMs of
	// fabric domains that this node controls are asked for.
	reportInterest  = 2 * time.Second
	reportReaders   = 32
	reportQueue     = 1024
	minReadInterval = 50 * time.Millisecond
)

// vmReports reads the state of the engines that the controllers ask for.
type vmReports struct {
	client   *orders.Client
	now      func() time.Duration
	address  func(vm string) (string, bool)
	interval time.Duration
	timeout  time.Duration
	work     chan string

	mu  sync.Mutex
	vms map[string]*vmReport
}

type vmReport struct {
	state   orders.State
	sent    time.Duration // When the read that gave state was sent; valid if known.
	known   bool
	since   time.Duration // When a controller first asked.
	asked   time.Duration // Last time that a controller asked.
	reading bool
	next    time.Duration // Earliest start of the next read.
}

func newVMReports(client *orders.Client, now func() time.Duration, address func(string) (string, bool), interval, timeout time.Duration) *vmReports {
	return &vmReports{
		client: client, now: now, address: address, interval: interval, timeout: timeout,
		work: make(chan string, reportQueue), vms: make(map[string]*vmReport),
	}
}

// get returns the last state of a VM and keeps it being read.
func (v *vmReports) get(vm string) groups.Report {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.vms[vm]
	if !ok {
		r = &vmReport{since: v.now()}
		v.vms[vm] = r
	}
	r.asked = v.now()
	if !r.known {
		return groups.Report{Age: v.now() - r.since}
	}
	return groups.Report{
		Incarnation: r.state.Incarnation, Group: r.state.Group, Number: r.state.Number, Rank: r.state.Rank, Size: r.state.Size,
		Model: r.state.Model, Loading: r.state.Loading, Ready: r.state.Ready, Weights: r.state.Weights,
		Age: v.now() - r.sent, Seen: true,
	}
}

// run schedules reads until ctx ends. A pool of readers bounds the concurrent reads; each VM has one at most.
func (v *vmReports) run(ctx context.Context) {
	var wg sync.WaitGroup
	for range reportReaders {
		wg.Go(func() { v.reader(ctx) })
	}
	ticker := time.NewTicker(min(v.interval, minReadInterval))
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
	for vm, r := range v.vms {
		switch {
		case r.reading:
		case now-r.asked > reportInterest:
			delete(v.vms, vm)
		case now >= r.next:
			select {
			case v.work <- vm:
				r.reading = true
				r.next = now + v.interval
			default: // The readers are behind; the next tick tries again.
			}
		}
	}
}

func (v *vmReports) reader(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-v.work:
			v.read(ctx, vm)
		}
	}
}

func (v *vmReports) read(ctx context.Context, vm string) {
	sent := v.now()
	var state orders.State
	address, ok := v.address(vm)
	if ok {
		ctx, cancel := context.WithTimeout(ctx, v.timeout)
		defer cancel()
		var err error
		state, err = v.client.State(ctx, address)
		ok = err == nil
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	r, present := v.vms[vm]
	if !present {
		return
	}
	r.reading = false
	if ok {
		r.state, r.sent, r.known = state, sent, true
	}
}
