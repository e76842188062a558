package load

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"cassiadeal.example/cassiadeal/internal/result"
)

// ResultVersion is the version of the JSON format of Result. It increases when a field changes its meaning or is removed.
const ResultVersion = 1

// Result is the result of a run. Counts and latencies leave out the warm-up unless stated.
type Result struct {
	Version        int       `json:"version"`
	Experiment     string    `json:"experiment"` // Content of the experiment file.
	Seed           uint64    `json:"seed"`
	Started        time.Time `json:"started"`
	ElapsedSeconds float64   `json:"elapsed_seconds"` // Until the last request has ended, including those of [faults].
	WarmUpSeconds  float64   `json:"warm_up_seconds"`
	Interrupted    bool      `json:"interrupted"`
	Sections       []Section `json:"sections"`
	// Seconds has the counts of all sections for each second of the run, warm-up included.
	Seconds []Counts      `json:"seconds"`
	Faults  []FaultResult `json:"faults"`
	// AddressFailures counts the refreshes in which no address gave a valid answer to GET /v1/addresses.
	AddressFailures uint64 `json:"address_failures"`
}

// Section has the measurements of one traffic section.
type Section struct {
	Name   string  `json:"name"`
	Kind   Kind    `json:"kind"`
	Direct bool    `json:"direct"`
	Rate   float64 `json:"rate"` // Intended requests/s.
	Counts
	Results []ResultCount `json:"results"`
	Resends []ResultCount `json:"resends"` // Of requests sent again with the same key, warm-up included.
	// Failovers counts the switches to another address by the name of the outcome that caused them, warm-up included.
	Failovers map[string]uint64 `json:"failovers"`
	// WrongAnswers counts answers with a wrong text or wrong offsets, answers to other requests, and answers that say that
	// the request did not run after tokens had arrived; warm-up included.
	WrongAnswers uint64 `json:"wrong_answers"`
	// DifferentAnswers counts idempotency keys with two successful answers that differ; warm-up included.
	DifferentAnswers uint64   `json:"different_answers"`
	FirstToken       Latency  `json:"first_token"`    // From the intended start.
	BetweenTokens    Latency  `json:"between_tokens"` // Between the arrivals of two tokens of a stream.
	WholeResponse    Latency  `json:"whole"`          // From the intended start to the end of a complete and correct answer.
	StartDelay       Latency  `json:"start_delay"`    // From the intended start to the sending: the load generator's delay.
	Seconds          []Counts `json:"seconds"`        // Warm-up included.
}

// Counts are numbers of requests, each counted in the second of its intended start.
type Counts struct {
	Due  uint64 `json:"due"`
	Sent uint64 `json:"sent"`
	// NotStarted counts requests that couldn't be built, or that waited for others in flight until start_limit had passed
	// or the run was interrupted.
	NotStarted  uint64  `json:"not_started"`
	Served      uint64  `json:"served"`  // Complete answer that passed all checks.
	Refused     uint64  `json:"refused"` // The answer says that the request did not run.
	Failed      uint64  `json:"failed"`
	ShareServed float64 `json:"share_served"` // Served divided by Due; 1 if no request was due.
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

// ResultCount is the number of requests with one result. Code is -1 for outcomes that are not results of the system.
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

// FaultResult is the outcome of one request of [faults]. Times are from the start of the run.
type FaultResult struct {
	Method  string  `json:"method"`
	URL     string  `json:"url"`
	AtMS    int64   `json:"at_ms"`
	SentMS  float64 `json:"sent_ms"`
	EndedMS float64 `json:"ended_ms"`
	Status  int     `json:"status"`
	Error   string  `json:"error,omitempty"`
}

// wrongAnswerCount counts the wrong and the different answers of all sections.
func (r *Result) wrongAnswerCount() (n uint64) {
	for _, s := range r.Sections {
		n += s.WrongAnswers + s.DifferentAnswers
	}
	return n
}

// incompleteReason returns why the run differs from the one that the experiment file describes, or an empty string if it
// doesn't.
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
		return fmt.Sprintf("%d requests of [faults] failed", failedFaults)
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
		return nil, fmt.Errorf("%s: result version %d, want %d", path, r.Version, ResultVersion)
	}
	return &r, nil
}
