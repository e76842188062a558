package load

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// arrival is one request that is due.
type arrival struct {
	section int // Index in Experiment.Traffic.
	number  uint64
	at      time.Duration // Intended start, from the start of the run.
}

// schedule yields the arrivals of all sections in the order of time. It depends on the file alone, never on answers.
type schedule struct {
	sources []*source
	end     time.Duration
}

// source yields the arrivals of one section.
type source struct {
	rng      *rand.Rand
	rate     float64 // Requests/s.
	constant bool
	number   uint64
	next     float64 // Seconds from the start.
}

func newSchedule(e *Experiment) *schedule {
	s := &schedule{end: e.total()}
	for _, t := range e.Traffic {
		src := &source{rng: seeded(e.Seed, t.Name), rate: t.Rate, constant: e.Constant}
		src.advance()
		s.sources = append(s.sources, src)
	}
	return s
}

// seeded returns a generator for one purpose, independent of those for other purposes.
func seeded(seed uint64, purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(purpose)))
}

// seededFor returns the generator for the content of one request, whatever order requests are sent in.
func seededFor(seed uint64, name string, number uint64) *rand.Rand {
	return seeded(seed, name+"/"+strconv.FormatUint(number, 10))
}

func (s *source) advance() {
	if s.constant {
		// Not added up, so that rounding doesn't accumulate.
		s.next = (float64(s.number) + 0.5) / s.rate
		return
	}
	s.next += s.rng.ExpFloat64() / s.rate
}

// next returns the next arrival, or false after the end.
func (s *schedule) next() (arrival, bool) {
	first := 0
	for i, src := range s.sources {
		if src.next < s.sources[first].next {
			first = i
		}
	}
	src := s.sources[first]
	at := time.Duration(src.next * float64(time.Second))
	if at >= s.end {
		return arrival{}, false
	}
	a := arrival{section: first, number: src.number, at: at}
	src.number++
	src.advance()
	return a, true
}
