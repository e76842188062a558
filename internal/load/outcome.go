package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"cassiadeal.example/cassiadeal/internal/result"
)

// clientCode is the code of all outcomes that are not results of the system; those have the codes of package result.
const clientCode result.Code = -1

// Names of outcomes that the load generator itself detects.
const (
	connectionFailed = "client_connection_failed" // No response arrived, or no entry address is known.
	timedOut         = "client_timeout"
	truncated        = "client_truncated"       // The answer ended early, or the stream has no end event.
	interrupted      = "client_interrupted"     // The run was stopped.
	textMismatch     = "client_text_mismatch"   // The text differs from that expected for the prompt and the model.
	offsetMismatch   = "client_offset_mismatch" // Wrong token offset or token count, or an event after the end event.
	foreignAnswer    = "client_foreign_answer"  // The answer belongs to another request.
	falseNotRun      = "client_false_not_run"   // The answer says that the request did not run, after tokens had arrived.
	unreadable       = "client_unreadable"      // The answer does not have the documented format.
)

// wrongAnswerNames are the names of outcomes that are errors even while faults are injected.
var wrongAnswerNames = map[string]bool{textMismatch: true, offsetMismatch: true, foreignAnswer: true, falseNotRun: true}

// outcome is the result of one request. wholeResponse and firstToken are measured from the intended start.
type outcome struct {
	code   result.Code
	name   string
	notRun bool

	wholeResponse time.Duration
	firstToken    time.Duration   // 0 if no token arrived.
	tokenGaps     []time.Duration // Between tokens.

	retryElsewhere bool   // The request may succeed at another address.
	status         int    // HTTP status; 0 if not known and for a refusal of the system.
	body           []byte // Only kept for repeat=never, to compare the answers to one key.
}

func (o *outcome) served() bool  { return o.code == result.OK }
func (o *outcome) refused() bool { return o.code != result.OK && o.notRun }

func clientOutcome(name string) outcome { return outcome{code: clientCode, name: name} }

// retryElsewhereCodes are the refusals after which the request is sent to another address.
var retryElsewhereCodes = map[result.Code]bool{
	result.NodeStopping: true, result.NoRightToServe: true, result.NodeUnreachable: true,
}

func refusalOutcome(body result.Body) outcome {
	return outcome{code: body.Code, name: body.Name, notRun: body.NotRun, retryElsewhere: body.NotRun && retryElsewhereCodes[body.Code]}
}

// parseRefusal decodes a refusal of the system. It checks the body because back ends of services may use the same status
// codes.
func parseRefusal(data []byte) (result.Body, bool) {
	var body result.Body
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil || body.Code == result.OK || body.Name == "" {
		return result.Body{}, false
	}
	return body, true
}

// transportOutcome classifies a failed request. responseStarted is true if the response headers had arrived.
func transportOutcome(ctx context.Context, responseStarted bool) outcome {
	switch {
	case errors.Is(context.Cause(ctx), errInterrupted):
		return clientOutcome(interrupted)
	case ctx.Err() != nil:
		return clientOutcome(timedOut)
	case responseStarted:
		return clientOutcome(truncated)
	default:
		out := clientOutcome(connectionFailed)
		out.retryElsewhere = true
		return out
	}
}

var errInterrupted = errors.New("interrupted")

// statusOutcome returns the outcome of a response with an error status that is not a refusal of the system.
func statusOutcome(status int) outcome {
	return outcome{code: clientCode, name: fmt.Sprintf("http_%d", status), status: status}
}
