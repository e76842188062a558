package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// run is one run of an experiment.
type run struct {
	e       *Experiment
	client  *http.Client
	book    *addressBook
	start   time.Time
	places  chan struct{} // Has one element for each request in flight.
	groups  []*engineGroup
	records []*recorder
}

// Run performs the experiment. When ctx ends, requests in flight are given up and the result is marked as interrupted.
func Run(ctx context.Context, e *Experiment) (*Result, error) {
	r := &run{e: e, client: newClient(e), places: make(chan struct{}, e.MaxInFlight)}
	defer r.client.CloseIdleConnections()
	r.book = newAddressBook(e, r.client)
	for _, t := range e.Traffic {
		r.records = append(r.records, newRecorder(e))
		var group *engineGroup
		if t.Direct {
			var err error
			if group, err = readGroup(ctx, r.client, t); err != nil {
				return nil, err
			}
		}
		r.groups = append(r.groups, group)
	}
	inner, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	stop := context.AfterFunc(ctx, func() { cancel(errInterrupted) })
	defer stop()

	r.start = time.Now()
	var faults []FaultResult
	var tasks sync.WaitGroup
	tasks.Go(func() { faults = runFaults(inner, r.start, e.Faults) })
	r.arrivals(inner, &tasks)
	tasks.Wait()
	return r.result(faults, inner.Err() != nil), nil
}

// arrivals starts every request at its time and waits for none.
func (r *run) arrivals(ctx context.Context, tasks *sync.WaitGroup) {
	s := newSchedule(r.e)
	for a, ok := s.next(); ok && waitUntil(ctx, r.start.Add(a.at)); a, ok = s.next() {
		r.records[a.section].due(a.at)
		tasks.Go(func() { r.request(ctx, a) })
	}
}

// request waits for a place in flight, performs one request and records it.
func (r *run) request(ctx context.Context, a arrival) {
	record := r.records[a.section]
	intended := r.start.Add(a.at)
	if !r.enter(ctx, intended) {
		record.notStarted(a.at)
		return
	}
	defer func() { <-r.places }()
	req, err := r.prepare(a, intended)
	if err != nil {
		record.notStarted(a.at)
		return
	}
	record.sent(a.at, time.Since(intended))
	out := req.send(ctx, r.client, r.book, record.failover)
	record.done(a.at, &out)
	if req.resend {
		again := req.send(ctx, r.client, r.book, record.failover)
		record.resent(&out, &again)
	}
}

// enter takes a place, up to start_limit after the intended start.
func (r *run) enter(ctx context.Context, intended time.Time) bool {
	select {
	case r.places <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(time.Until(intended.Add(r.e.StartLimit)))
	defer timer.Stop()
	select {
	case r.places <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (r *run) prepare(a arrival, intended time.Time) (*request, error) {
	t := r.e.Traffic[a.section]
	if t.Kind == Service {
		return newServiceRequest(r.e, t, a.number, intended)
	}
	return newGenerateRequest(r.e, t, a.number, intended, r.groups[a.section])
}

func (r *run) result(faults []FaultResult, stopped bool) *Result {
	res := &Result{
		Version: ResultVersion, Experiment: r.e.Text, Seed: r.e.Seed, Started: r.start,
		ElapsedSeconds: time.Since(r.start).Seconds(), WarmUpSeconds: r.e.WarmUp.Seconds(), Interrupted: stopped,
		Faults: faults, AddressFailures: r.book.failureCount(),
	}
	for i, t := range r.e.Traffic {
		section := r.records[i].result(t)
		res.Sections = append(res.Sections, section)
		if res.Seconds == nil {
			res.Seconds = make([]Counts, len(section.Seconds))
		}
		for s, counts := range section.Seconds {
			res.Seconds[s] = res.Seconds[s].plus(counts)
		}
	}
	return res
}
