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

// Histograms record microseconds up to an hour with three significant digits.
const (
	maxMicroseconds   = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

type histogram struct{ hdr *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxMicroseconds, significantDigits)}
}

func (h histogram) record(d time.Duration) {
	// RecordValue can't fail, as the value is clamped to the range of the histogram.
	_ = h.hdr.RecordValue(min(max(d.Microseconds(), 0), maxMicroseconds))
}

// resultKey identifies a result whose occurrences are counted.
type resultKey struct {
	code   result.Code
	name   string
	notRun bool
}

// recorder collects the measurements of one traffic section.
type recorder struct {
	warmUp time.Duration

	mu               sync.Mutex
	firstToken       histogram
	betweenTokens    histogram
	wholeResponse    histogram
	startDelay       histogram
	totals           Counts
	seconds          []Counts // By second of the intended start, warm-up included.
	results          map[resultKey]uint64
	resends          map[resultKey]uint64
	failovers        map[string]uint64
	wrongAnswers     uint64
	differentAnswers uint64
}

func newRecorder(experiment *Experiment) *recorder {
	return &recorder{
		warmUp:     experiment.WarmUp,
		firstToken: newHistogram(), betweenTokens: newHistogram(), wholeResponse: newHistogram(), startDelay: newHistogram(),
		seconds: make([]Counts, (experiment.totalTime()+time.Second-1)/time.Second),
		results: map[resultKey]uint64{}, resends: map[resultKey]uint64{}, failovers: map[string]uint64{},
	}
}

// count applies change to the counters of the second of the intended start and, after the warm-up, to the totals. It
// reports whether the warm-up was over at the intended start.
func (r *recorder) count(startOffset time.Duration, change func(c *Counts)) (measured bool) {
	change(&r.seconds[startOffset/time.Second])
	if startOffset < r.warmUp {
		return false
	}
	change(&r.totals)
	return true
}

func (r *recorder) countDue(startOffset time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(startOffset, func(c *Counts) { c.Due++ })
}

func (r *recorder) countNotStarted(startOffset time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count(startOffset, func(c *Counts) { c.NotStarted++ })
}

func (r *recorder) recordSent(startOffset, startDelay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count(startOffset, func(c *Counts) { c.Sent++ }) {
		r.startDelay.record(startDelay)
	}
}

// recordOutcome records the outcome of a request. Only complete and correct answers count in the histogram of the whole
// response; tokens count in their histograms even if the stream was interrupted later.
func (r *recorder) recordOutcome(startOffset time.Duration, out *outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countWrongAnswer(out)
	measured := r.count(startOffset, func(c *Counts) {
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
	for _, gap := range out.tokenGaps {
		r.betweenTokens.record(gap)
	}
	if out.served() {
		r.wholeResponse.record(out.wholeResponse)
	}
}

// countWrongAnswer counts the outcome if it is a wrong answer, also during the warm-up.
func (r *recorder) countWrongAnswer(out *outcome) {
	if wrongAnswerNames[out.name] {
		r.wrongAnswers++
	}
}

// recordResend records the second sending of a request with the same key.
func (r *recorder) recordResend(firstOutcome, resendOutcome *outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countWrongAnswer(resendOutcome)
	r.resends[resultKey{resendOutcome.code, resendOutcome.name, resendOutcome.notRun}]++
	if firstOutcome.served() && resendOutcome.served() && !sameAnswer(*firstOutcome, *resendOutcome) {
		r.differentAnswers++
	}
}

func (r *recorder) countFailover(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failovers[name]++
}

func (r *recorder) section(traffic *Traffic) Section {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Section{
		Name: traffic.Name, Kind: traffic.Kind, Direct: traffic.Direct, Rate: traffic.Rate,
		Counts: r.totals.withShareServed(), Results: resultCounts(r.results), Resends: resultCounts(r.resends), Failovers: r.failovers,
		WrongAnswers: r.wrongAnswers, DifferentAnswers: r.differentAnswers,
		FirstToken: summarise(r.firstToken), BetweenTokens: summarise(r.betweenTokens),
		WholeResponse: summarise(r.wholeResponse), StartDelay: summarise(r.startDelay),
		Seconds: secondsWithShare(r.seconds),
	}
}

func resultCounts(counts map[resultKey]uint64) []ResultCount {
	list := make([]ResultCount, 0, len(counts))
	for _, key := range slices.SortedFunc(maps.Keys(counts), func(a, b resultKey) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a.code, b.code), cmp.Compare(a.name, b.name))
	}) {
		list = append(list, ResultCount{Code: key.code, Name: key.name, NotRun: key.notRun, Count: counts[key]})
	}
	return list
}

func summarise(h histogram) Latency {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	percentiles := h.hdr.ValueAtPercentiles([]float64{50, 90, 95, 99, 99.9})
	return Latency{
		Count: h.hdr.TotalCount(), MeanMS: h.hdr.Mean() / 1000, MaxMS: ms(h.hdr.Max()),
		P50MS: ms(percentiles[50]), P90MS: ms(percentiles[90]), P95MS: ms(percentiles[95]),
		P99MS: ms(percentiles[99]), P999MS: ms(percentiles[99.9]),
	}
}

func secondsWithShare(counts []Counts) []Counts {
	out := make([]Counts, len(counts))
	for i, c := range counts {
		out[i] = c.withShareServed()
	}
	return out
}
