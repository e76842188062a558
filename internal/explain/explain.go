// Package explain holds the answer of a node that tells where it would send a request now, and why. Nothing is sent or counted for it.
package explain

// Path is where the metrics listener of a node answers.
const Path = "/explain"

// Parameters of the request to Path. Host and RequestPath select the route.
const (
	Host        = "host"
	RequestPath = "path"
	Account     = "account" // Name of the client account; empty for none.
	Model       = "model"
	Prompt      = "prompt"     // Prompt tokens.
	MaxOutput   = "max_output" // Limit of the output tokens.
	Hint        = "hint"       // The client's estimate of them.
	Part        = "part"       // ID of the first part of the prompt.
)

// Trials is the number of requests with different IDs for which the verdict is computed.
const Trials = 20

// Answer tells where a request would go. Times are in milliseconds.
type Answer struct {
	Route          string `json:"route"`
	Service        string `json:"service"`
	Priority       int    `json:"priority"`
	Urgency        *int   `json:"urgency,omitempty"` // As stated to replicas; nil if they are told none.
	ExpectedTokens int    `json:"expected_tokens,omitempty"`
	Target         string `json:"target,omitempty"` // Empty if there is none.
	Why            string `json:"why"`
	RetryAfterMs   int64  `json:"retry_after_ms,omitempty"`
	// Refused is the number of Trials that would be refused: which requests give way depends on their IDs.
	Refused int    `json:"refused"`
	Heads   []Head `json:"heads,omitempty"` // The cheapest one first.
}

// Head is a target that was considered for a model.
type Head struct {
	Target          string  `json:"target"`
	Zone            string  `json:"zone"`
	LeftOut         string  `json:"left_out,omitempty"` // Why it can't be chosen.
	CostMs          float64 `json:"cost_ms"`
	FirstEventMs    float64 `json:"first_event_ms"`
	QueueDelayMs    float64 `json:"queue_delay_ms"`
	Running         int     `json:"running"`
	Waiting         int     `json:"waiting"`
	UnreadTokens    int     `json:"unread_tokens"`
	RemainingTokens int     `json:"remaining_tokens"`
	HeldTokens      int     `json:"held_tokens"`
	SlowFactor      float64 `json:"slow_factor"`
}
