package fleet

import (
	"net/http"
	"time"

	"cassiadeal.example/cassiadeal/internal/statement"
)

// Request is one attempt of a client, as it was received.
type Request struct {
	ID           string
	Method       string
	URI          string // As the client sent it.
	Host         string
	Path         string
	Header       http.Header // Headers to forward: without the key and without hop-by-hop headers.
	Body         []byte
	Key          string        // API key.
	Deadline     time.Duration // Time for which the client waits; 0 if it stated none.
	Model        string
	PromptTokens int
	// PromptParts holds the IDs of the parts of the prompt in order. Requests share parts, except the last one.
	PromptParts []string
	MaxOutput   int // Limit of the output tokens.
	LengthHint  int // The client's estimate of the output tokens; 0 if it gave none.
	LastEventID string
}

// SendOptions holds what is added to the request when it is sent to a replica.
type SendOptions struct {
	Replica     string        // ID of the replica that must answer.
	Tenant      string        // Empty on public routes.
	TimeLeft    time.Duration // Time left until the client's deadline.
	LastEventID string
	Urgency     int // 0 is the most urgent; valid if HasUrgency is set.
	HasUrgency  bool
}

// Answer holds what the headers of a replica's answer state besides the status.
type Answer struct {
	RequestID     string
	Sealed        bool   // The replica confirms by its seal that status and body are its own.
	NotRun        bool   // The replica states that it has not executed the request and never will.
	FaultyReplica string // Address or ID of the replica that caused a status 421 or 503; empty if none is stated.
	// ColdFor is the time for which the replica states that it stays cold.
	ColdFor time.Duration
	// Statement is what the replica that sent the answer states about itself.
	Statement statement.Statement
}

// IsFrom reports whether the answer to a request that was sent to the replica with the ID comes from that replica. An address may be
// in use by another replica, which answers with status 421; so does the replica itself if it isn't the head of its group.
func (a Answer) IsFrom(id string, status int) bool {
	return status != http.StatusMisdirectedRequest || a.FaultyReplica == id
}
