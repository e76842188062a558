package load

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cassiadeal.example/cassiadeal/internal/result"
)

// Histograms count microseconds up to an hour with three significant digits.
const (
	maxMicroseconds   = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxMicroseconds, significantDigits)}
}

func (h histogram) record(d time.Duration) {
	// The value is within the bounds of the histogram, so there is no error.
	_ = h.h.RecordValue(min(max(d.Microseconds(), 0), maxMicroseconds))
}

// resultKey names a result as it is counted.
type resultKey struct {
	code   result.Code
	name   string
	notRun bool
}

// recorder collects the measurements of one traffic section.
type recorder struct {
	warmUp time.Duration

	mu            sync.Mutex
	firstToken    histogram
	betweenTokens histogram
	whole         histogram
	startDelay    histogram
	totals        Counts
	seconds       []Counts // By intended start, warm-up included.
	results       map[resultKey]uint64
	resends       map[resultKey]uint64
	failovers     map[string]uint64
	wrong         uint64
	different     uint64
}

func newRecorder(e *Experiment) *recorder {
	return &recorder{
		warmUp:     e.WarmUp,
		firstToken: newHistogram(), betweenTokens: newHistogram(), whole: newHistogram(), startDelay: newHistogram(),
		seconds: make([]Counts, (e.total()+time.Second-1)/time.Second),
		results: map[resultKey]uint64{}, resends: map[resultKey]uint64{}, failovers: map[string]uint64{},
	}
}

// count changes the counters of the second of the intended start, and the totals after the warm-up.
func (r *recorder) count(at time.Duration, change func(c *Counts)) (measured bool) {
	change(&r.seconds[at/time.Second])
	if at < r.warmUp {
		return false
	}
	change(&r.totals)
	return true
}

func (r *recorder) due(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(at, func(c *Counts) { c.Due++ })
}

func (r *recorder) notStarted(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(at, func(c *Counts) { c.NotStarted++ })
}

func (r *recorder) sent(at, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count(at, func(c *Counts) { c.Sent++ }) {
		r.startDelay.record(delay)
	}
}

// done records the end of a request. Only answers that were whole and right count in the histograms of whole latency;
// tokens count in theirs even if the stream broke later.
func (r *recorder) done(at time.Duration, out *outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkWrong(out)
	measured := r.count(at, func(c *Counts) {
		switch {
		case out.served():
			c.Served++
		case out.refused():
			c.Refused++
		default:
			c.Failed++
		}
	})
	if !measured {
		return
	}
	r.results[resultKey{out.code, out.name, out.notRun}]++
	if out.firstToken > 0 {
		r.firstToken.record(out.firstToken)
	}
	for _, gap := range out.gaps {
		r.betweenTokens.record(gap)
	}
	if out.served() {
		r.whole.record(out.whole)
	}
}

// checkWrong counts wrong answers, during the warm-up too.
func (r *recorder) checkWrong(out *outcome) {
	if wrongNames[out.name] {
		r.wrong++
	}
}

// resent records the repeat of a request with the same key.
func (r *recorder) resent(first, second *outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checkWrong(second)
	r.resends[resultKey{second.code, second.name, second.notRun}]++
	if first.served() && second.served() && !sameAnswer(*first, *second) {
		r.different++
	}
}

func (r *recorder) failover(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failovers[name]++
}

func (r *recorder) result(t *Traffic) Section {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Section{
		Name: t.Name, Kind: t.Kind, Direct: t.Direct, Rate: t.Rate,
		Counts: r.totals.withShare(), Results: resultCounts(r.results), Resends: resultCounts(r.resends), Failovers: r.failovers,
		WrongAnswers: r.wrong, DifferentAnswers: r.different,
		FirstToken: summarise(r.firstToken), BetweenTokens: summarise(r.betweenTokens),
		Whole: summarise(r.whole), StartDelay: summarise(r.startDelay),
		Seconds: seconds(r.seconds),
	}
}

func resultCounts(m map[resultKey]uint64) []ResultCount {
	list := make([]ResultCount, 0, len(m))
	for _, k := range slices.SortedFunc(maps.Keys(m), func(a, b resultKey) int {
		return cmp.Or(cmp.Compare(m[b], m[a]), cmp.Compare(a.code, b.code), cmp.Compare(a.name, b.name))
	}) {
		list = append(list, ResultCount{Code: k.code, Name: k.name, NotRun: k.notRun, Count: m[k]})
	}
	return list
}

func summarise(h histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	q := h.h.ValueAtPercentiles([]float64{50, 90, 95, 99, 99.9})
	return Latency{
		Count: h.h.TotalCount(), MeanMS: h.h.Mean() / 1000, MaxMS: ms(h.h.Max()),
		P50MS: ms(q[50]), P90MS: ms(q[90]), P95MS: ms(q[95]), P99MS: ms(q[99]), P999MS: ms(q[99.9]),
	}
}

func seconds(list []Counts) []Counts {
	out := make([]Counts, len(list))
	for i, c := range list {
		out[i] = c.withShare()
	}
	return out
}
