package load

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"cassiadeal.example/cassiadeal/internal/result"
)

// ResultVersion is the version of the JSON form of Result. It grows when a field changes its meaning or goes.
const ResultVersion = 1

// Result is the outcome of a run. Counts and latencies are those after the warm-up unless stated.
type Result struct {
	Version        int       `json:"version"`
	Experiment     string    `json:"experiment"` // Content of the file.
	Seed           uint64    `json:"seed"`
	Started        time.Time `json:"started"`
	ElapsedSeconds float64   `json:"elapsed_seconds"` // Up to the end of the last request.
	WarmUpSeconds  float64   `json:"warm_up_seconds"`
	Interrupted    bool      `json:"interrupted"`
	Sections       []Section `json:"sections"`
	// Seconds adds up all sections, warm-up included.
	Seconds []Counts      `json:"seconds"`
	Faults  []FaultResult `json:"faults"`
	// AddressFailures counts the times that no address answered GET /v1/addresses.
	AddressFailures uint64 `json:"address_failures"`
}

// Section has the measurements of one traffic section.
type Section struct {
	Name   string  `json:"name"`
	Kind   Kind    `json:"kind"`
	Direct bool    `json:"direct"`
	Rate   float64 `json:"rate"` // Intended requests/s.
	Counts
	Results   []ResultCount     `json:"results"`
	Resends   []ResultCount     `json:"resends"`   // Of repeats with the same key, warm-up included.
	Failovers map[string]uint64 `json:"failovers"` // Uses of another address by result name, warm-up included.
	// WrongAnswers counts foreign or wrong text, offsets and requests, and false claims of not run; warm-up included.
	WrongAnswers uint64 `json:"wrong_answers"`
	// DifferentAnswers counts keys with two different answers; warm-up included.
	DifferentAnswers uint64   `json:"different_answers"`
	FirstToken       Latency  `json:"first_token"`    // From the intended start.
	BetweenTokens    Latency  `json:"between_tokens"` // Between the arrivals of two tokens of a stream.
	WholeResponse    Latency  `json:"whole"`          // From the intended start to the end of a whole and right answer.
	StartDelay       Latency  `json:"start_delay"`    // From the intended start to the sending: the tool's own delay.
	Seconds          []Counts `json:"seconds"`        // Warm-up included.
}

// Counts are numbers of requests, each counted at its intended start.
type Counts struct {
	Due         uint64  `json:"due"`
	Sent        uint64  `json:"sent"`
	NotStarted  uint64  `json:"not_started"` // No place in flight was free within start_limit.
	Served      uint64  `json:"served"`      // Whole and right answer.
	Refused     uint64  `json:"refused"`     // The answer says not run.
	Failed      uint64  `json:"failed"`
	ShareServed float64 `json:"share_served"` // Of Due; 1 if nothing was due.
}

func (c Counts) withShareServed() Counts {
	c.ShareServed = 1
	if c.Due > 0 {
		c.ShareServed = float64(c.Served) / float64(c.Due)
	}
	return c
}

func (c Counts) plus(other Counts) Counts {
	return Counts{
		Due: c.Due + other.Due, Sent: c.Sent + other.Sent, NotStarted: c.NotStarted + other.NotStarted,
		Served: c.Served + other.Served, Refused: c.Refused + other.Refused, Failed: c.Failed + other.Failed,
	}.withShareServed()
}

// ResultCount counts one result. Code -1 stands for results that the tool itself found.
type ResultCount struct {
	Code   result.Code `json:"code"`
	Name   string      `json:"name"`
	NotRun bool        `json:"not_run"`
	Count  uint64      `json:"count"`
}

// Latency summarises a histogram in milliseconds.
type Latency struct {
	Count  int64   `json:"count"`
	MeanMS float64 `json:"mean_ms"`
	P50MS  float64 `json:"p50_ms"`
	P90MS  float64 `json:"p90_ms"`
	P95MS  float64 `json:"p95_ms"`
	P99MS  float64 `json:"p99_ms"`
	P999MS float64 `json:"p99_9_ms"`
	MaxMS  float64 `json:"max_ms"`
}

// FaultResult tells what became of one line of [faults]. Times are from the start of the run.
type FaultResult struct {
	Method  string  `json:"method"`
	URL     string  `json:"url"`
	AtMS    int64   `json:"at_ms"`
	SentMS  float64 `json:"sent_ms"`
	EndedMS float64 `json:"ended_ms"`
	Status  int     `json:"status"`
	Error   string  `json:"error,omitempty"`
}

// wrong counts the answers that no fault excuses.
func (r *Result) wrongAnswerCount() (n uint64) {
	for _, s := range r.Sections {
		n += s.WrongAnswers + s.DifferentAnswers
	}
	return n
}

// incomplete returns the reason why the run isn't the one that the file describes, empty if it is.
func (r *Result) incompleteReason() string {
	var notStarted, failedFaults uint64
	for _, s := range r.Sections {
		notStarted += s.NotStarted
	}
	for _, f := range r.Faults {
		if f.Error != "" {
			failedFaults++
		}
	}
	switch {
	case r.Interrupted:
		return "the run was interrupted"
	case failedFaults > 0:
		return fmt.Sprintf("%d lines of [faults] failed", failedFaults)
	case notStarted > 0:
		return fmt.Sprintf("%d requests were not started within start_limit", notStarted)
	}
	return ""
}

func (r *Result) write(path string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(data, '\n'), 0o644)
}

func readResult(path string) (*Result, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Result
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Version != ResultVersion {
		return nil, fmt.Errorf("%s: result version %d in place of %d", path, r.Version, ResultVersion)
	}
	return &r, nil
}
