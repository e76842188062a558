package load

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// run is one run of an experiment.
type run struct {
	experiment   *Experiment
	client       *http.Client
	resolver     *addressResolver
	start        time.Time
	inFlight     chan struct{} // Semaphore with one element for each request in flight.
	engineGroups []*engineGroup
	recorders    []*recorder
}

// Run performs the experiment. When ctx ends, requests in flight are cancelled and the result is marked as interrupted.
func Run(ctx context.Context, experiment *Experiment) (*Result, error) {
	r := &run{experiment: experiment, client: newClient(experiment), inFlight: make(chan struct{}, experiment.MaxInFlight)}
	defer r.client.CloseIdleConnections()
	r.resolver = newAddressResolver(experiment, r.client)
	for _, traffic := range experiment.Traffic {
		r.recorders = append(r.recorders, newRecorder(experiment))
		var group *engineGroup
		if traffic.Direct {
			var err error
			if group, err = readGroup(ctx, r.client, traffic); err != nil {
				return nil, err
			}
		}
		r.engineGroups = append(r.engineGroups, group)
	}
	runCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	stop := context.AfterFunc(ctx, func() { cancel(errInterrupted) })
	defer stop()

	r.start = time.Now()
	var faults []FaultResult
	var tasks sync.WaitGroup
	tasks.Go(func() { faults = runFaults(runCtx, r.start, experiment.Faults) })
	r.startArrivals(runCtx, &tasks)
	tasks.Wait()
	return r.buildResult(faults, runCtx.Err() != nil), nil
}

// startArrivals starts every request at its intended start, without waiting for earlier ones.
func (r *run) startArrivals(ctx context.Context, tasks *sync.WaitGroup) {
	s := newSchedule(r.experiment)
	for a, ok := s.next(); ok && waitUntil(ctx, r.start.Add(a.startOffset)); a, ok = s.next() {
		r.recorders[a.section].countDue(a.startOffset)
		tasks.Go(func() { r.performRequest(ctx, a) })
	}
}

// performRequest waits until a further request may be in flight, sends the request and records its outcome.
func (r *run) performRequest(ctx context.Context, a arrival) {
	sectionRecorder := r.recorders[a.section]
	intendedStart := r.start.Add(a.startOffset)
	if !r.acquireSlot(ctx, intendedStart) {
		sectionRecorder.countNotStarted(a.startOffset)
		return
	}
	defer func() { <-r.inFlight }()
	req, err := r.newRequest(a, intendedStart)
	if err != nil {
		sectionRecorder.countNotStarted(a.startOffset)
		return
	}
	sectionRecorder.recordSent(a.startOffset, time.Since(intendedStart))
	firstOutcome := req.send(ctx, r.client, r.resolver, sectionRecorder.countFailover)
	sectionRecorder.recordOutcome(a.startOffset, &firstOutcome)
	if req.resendAfterAnswer {
		resendOutcome := req.send(ctx, r.client, r.resolver, sectionRecorder.countFailover)
		sectionRecorder.recordResend(&firstOutcome, &resendOutcome)
	}
}

// acquireSlot waits up to start_limit after the intended start until a further request may be in flight. It returns false
// if the time is over or ctx ends.
func (r *run) acquireSlot(ctx context.Context, intendedStart time.Time) bool {
	select {
	case r.inFlight <- struct{}{}:
		return true
	default:
	}
	timer := time.NewTimer(time.Until(intendedStart.Add(r.experiment.StartLimit)))
	defer timer.Stop()
	select {
	case r.inFlight <- struct{}{}:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (r *run) newRequest(a arrival, intendedStart time.Time) (*request, error) {
	traffic := r.experiment.Traffic[a.section]
	if traffic.Kind == Service {
		return newServiceRequest(r.experiment, traffic, a.number, intendedStart)
	}
	return newGenerateRequest(r.experiment, traffic, a.number, intendedStart, r.engineGroups[a.section])
}

func (r *run) buildResult(faults []FaultResult, interrupted bool) *Result {
	res := &Result{
		Version: ResultVersion, Experiment: r.experiment.Text, Seed: r.experiment.Seed, Started: r.start,
		ElapsedSeconds: time.Since(r.start).Seconds(), WarmUpSeconds: r.experiment.WarmUp.Seconds(), Interrupted: interrupted,
		Faults: faults, AddressFailures: r.resolver.failureCount(),
	}
	for i, traffic := range r.experiment.Traffic {
		section := r.recorders[i].section(traffic)
		res.Sections = append(res.Sections, section)
		if res.Seconds == nil {
			res.Seconds = make([]Counts, len(section.Seconds))
		}
		for second, counts := range section.Seconds {
			res.Seconds[second] = res.Seconds[second].plus(counts)
		}
	}
	return res
}
