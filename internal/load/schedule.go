package load

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// arrival is one request of the schedule.
type arrival struct {
	section     int // Index in Experiment.Traffic.
	number      uint64
	startOffset time.Duration // Intended start, from the start of the run.
}

// schedule generates the arrivals of all sections in time order. It depends only on the experiment file, never on answers.
type schedule struct {
	processes []*arrivalProcess
	end       time.Duration
}

// arrivalProcess generates the arrivals of one section.
type arrivalProcess struct {
	rng         *rand.Rand
	rate        float64 // Requests/s.
	constant    bool
	number      uint64
	nextSeconds float64 // Next arrival, in seconds from the start of the run.
}

func newSchedule(experiment *Experiment) *schedule {
	s := &schedule{end: experiment.totalTime()}
	for _, traffic := range experiment.Traffic {
		process := &arrivalProcess{rng: seededRand(experiment.Seed, traffic.Name), rate: traffic.Rate, constant: experiment.Constant}
		process.advance()
		s.processes = append(s.processes, process)
	}
	return s
}

// seededRand returns a random number generator for one purpose, independent of those for other purposes.
func seededRand(seed uint64, purpose string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(purpose)))
}

// numberedRand returns the random number generator for one request or prompt prefix. It depends only on the arguments, so
// the content is the same in whatever order requests are sent.
func numberedRand(seed uint64, name string, number uint64) *rand.Rand {
	return seededRand(seed, name+"/"+strconv.FormatUint(number, 10))
}

func (p *arrivalProcess) advance() {
	if p.constant {
		// Computed from the number instead of adding up, so that rounding errors don't accumulate.
		p.nextSeconds = (float64(p.number) + 0.5) / p.rate
		return
	}
	p.nextSeconds += p.rng.ExpFloat64() / p.rate
}

// next returns the next arrival, or false after the end.
func (s *schedule) next() (arrival, bool) {
	first := 0
	for i, process := range s.processes {
		if process.nextSeconds < s.processes[first].nextSeconds {
			first = i
		}
	}
	process := s.processes[first]
	startOffset := time.Duration(process.nextSeconds * float64(time.Second))
	if startOffset >= s.end {
		return arrival{}, false
	}
	a := arrival{section: first, number: process.number, startOffset: startOffset}
	process.number++
	process.advance()
	return a, true
}
