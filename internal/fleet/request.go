package fleet

import (
	"net/http"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	ID           string
	Method       string
	URI          string // As the client sent it.
	Host         string
	Path         string
	Header       http.Header // What is passed on: without the key, and without headers that concern one channel.
	Body         []byte
	Key          string
	Deadline     time.Duration // What the client waits; 0 if it didn't say.
	Model        string
	PromptTokens int
	MaxOutput    int // Most output tokens.
	LengthHint   int // The client's estimate of the output tokens; 0 if it gave none.
	LastEventID  string
}

// Send is what one send to a replica adds to the request.
type Send struct {
	Replica     string // ID that must answer.
	Tenant      string // Empty on public routes.
	Left        time.Duration
	LastEventID string
}

// Answer is what the header of a replica's answer says beyond its status.
type Answer struct {
	RequestID string
	Sealed    bool // The replica vouches for status and body.
	NotRun    bool // The replica states that the request has not run and never will.
	Fault     string
	// ColdFor is how long the replica says it stays cold.
	ColdFor time.Duration
}
