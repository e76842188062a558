// Package demand measures the work that clients offer for each model and priority, and derives from it how the replicas should be
// divided among the models. It does no I/O.
package demand

import (
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
)

const (
	// window is the time over which Local averages: long enough that some hundred requests a second vary by a few percent, short
	// against demand peaks of 14 s. It is counted in slots of slotTime.
	window    = 2 * time.Second
	slotTime  = 250 * time.Millisecond
	slotCount = int64(window / slotTime)
	// minReportAge is the shortest age above which a report of another node doesn't count. reportIntervals is the number of intervals
	// between two reports that it spans at least, since some are lost.
	minReportAge    = 5 * time.Second
	reportIntervals = 5
	// maxClasses bounds the classes that are kept for one node. A configuration has a few models and at most ten priorities in use.
	maxClasses = 64
)

// Class is a kind of request, as far as demand distinguishes them.
type Class struct {
	Model    string
	Priority int // 0 is the highest.
}

// Work is offered work per second.
type Work struct{ Requests, ReadTokens, WriteTokens float64 }

// Add returns the sum of two rates of work.
func (w Work) Add(other Work) Work {
	return Work{w.Requests + other.Requests, w.ReadTokens + other.ReadTokens, w.WriteTokens + other.WriteTokens}
}

func (w Work) scaled(f float64) Work {
	return Work{w.Requests * f, w.ReadTokens * f, w.WriteTokens * f}
}

// slots holds the work that arrived in the present slot and in those of the window before it, by number of the slot modulo their
// count.
type slots struct {
	work   [slotCount + 1]Work
	newest int64 // Number of the present slot.
}

// advance clears the slots between the newest one and the given one.
func (s *slots) advance(slot int64) {
	for n := max(s.newest+1, slot-slotCount); n <= slot; n++ {
		s.work[n%(slotCount+1)] = Work{}
	}
	s.newest = max(s.newest, slot)
}

func (s *slots) sum() (total Work) {
	for _, w := range s.work {
		total = total.Add(w)
	}
	return total
}

// report is what another node has reported of its clients.
type report struct {
	work       map[Class]Work
	receivedAt clock.Time
}

// Table counts the requests that arrive at this node and sums the reports of all nodes. It may be used concurrently.
type Table struct {
	clock clock.Clock

	mu       sync.Mutex
	started  clock.Time
	interval func() time.Duration // Longest usual time between two reports of a node; nil if not known.
	local    map[Class]*slots
	peers    map[string]report // By node.
	arrivals arrivalsCache
}

// New returns an empty table.
func New(c clock.Clock) *Table {
	return &Table{clock: c, started: c.Now(), local: map[Class]*slots{}, peers: map[string]report{}}
}

// SetReportInterval sets the function that returns the longest usual time between two reports of a node. It must not call the table.
func (t *Table) SetReportInterval(interval func() time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.interval = interval
}

func slotOf(now clock.Time) int64 { return int64(now) / int64(slotTime) }

// Offer records that one request has arrived at this node, whether or not it will be served.
func (t *Table) Offer(class Class, promptTokens, outputTokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.local[class]
	if s == nil {
		if len(t.local) >= maxClasses {
			return
		}
		s = &slots{}
		t.local[class] = s
	}
	slot := slotOf(t.clock.Now())
	s.advance(slot)
	w := &s.work[slot%(slotCount+1)]
	*w = w.Add(Work{1, float64(max(promptTokens, 0)), float64(max(outputTokens, 0))})
}

// Local returns the work that arrives at this node per second, averaged over the last two seconds or so.
func (t *Table) Local() map[Class]Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.localWork(t.clock.Now())
}

// localWork implements Local. The lock is held.
func (t *Table) localWork(now clock.Time) map[Class]Work {
	slot := slotOf(now)
	covered := now.Sub(max(clock.Time((slot-slotCount)*int64(slotTime)), t.started))
	perSecond := 1 / max(covered, slotTime).Seconds()
	all := map[Class]Work{}
	for class, s := range t.local {
		s.advance(slot)
		total := s.sum()
		if total.Requests == 0 {
			delete(t.local, class)
			continue
		}
		all[class] = total.scaled(perSecond)
	}
	return all
}

// SetPeer replaces what another node has reported. The map must not be modified afterwards. Classes beyond a bound are left out.
func (t *Table) SetPeer(node string, work map[Class]Work) {
	if len(work) > maxClasses {
		bounded := map[Class]Work{}
		for class, w := range work {
			if len(bounded) < maxClasses {
				bounded[class] = w
			}
		}
		work = bounded
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[node] = report{work, t.clock.Now()}
}

// Total returns the work that arrives at all nodes per second. Reports that are too old don't count.
func (t *Table) Total() map[Class]Work {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	total := t.localWork(now)
	t.expire(now)
	for _, r := range t.peers {
		for class, w := range r.work {
			total[class] = total[class].Add(w)
		}
	}
	return total
}

// Reporting returns the number of other nodes whose reports count.
func (t *Table) Reporting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(t.clock.Now())
	return len(t.peers)
}

// expire removes reports that are too old. The lock is held.
func (t *Table) expire(now clock.Time) {
	limit := minReportAge
	if t.interval != nil {
		limit = max(limit, reportIntervals*t.interval())
	}
	for node, r := range t.peers {
		if now.Sub(r.receivedAt) > limit {
			delete(t.peers, node)
		}
	}
}
