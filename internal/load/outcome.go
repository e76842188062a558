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

// clientCode is the number of the results that the tool itself finds; the system's own are those of package result.
const clientCode result.Code = -1

// Names of the results that the tool itself finds.
const (
	connectionFailed = "client_connection_failed"
	timedOut         = "client_timeout"
	truncated        = "client_truncated"       // The answer ended early, or the stream has no end event.
	interrupted      = "client_interrupted"     // The run was stopped.
	textMismatch     = "client_text_mismatch"   // The text is not that of the request's prompt and model.
	offsetMismatch   = "client_offset_mismatch" // Token offsets are not contiguous, or the end states another number.
	foreignAnswer    = "client_foreign_answer"  // The answer names another request.
	falseNotRun      = "client_false_not_run"   // The answer says not run after tokens of it had arrived.
	unreadable       = "client_unreadable"      // The answer does not have the documented form.
)

// wrongAnswerNames are answers that no fault excuses.
var wrongAnswerNames = map[string]bool{textMismatch: true, offsetMismatch: true, foreignAnswer: true, falseNotRun: true}

// outcome is the result of one request. Times are counted from its intended start.
type outcome struct {
	code   result.Code
	name   string
	notRun bool

	wholeResponse time.Duration
	firstToken    time.Duration   // 0 if no token arrived.
	tokenGaps     []time.Duration // Between tokens.

	retryElsewhere bool   // Another address may serve the request.
	status         int    // HTTP status of an answer that is no refusal.
	body           []byte // Kept for repeat=never only.
}

func (o *outcome) served() bool  { return o.code == result.OK }
func (o *outcome) refused() bool { return o.code != result.OK && o.notRun }

func clientOutcome(name string) outcome { return outcome{code: clientCode, name: name} }

// retryElsewhereCodes has the refusals whose remedy is another address.
var retryElsewhereCodes = map[result.Code]bool{
	result.NodeStopping: true, result.NoRightToServe: true, result.NodeUnreachable: true,
}

func refusalOutcome(body result.Body) outcome {
	return outcome{code: body.Code, name: body.Name, notRun: body.NotRun, retryElsewhere: body.NotRun && retryElsewhereCodes[body.Code]}
}

// parseRefusal recognises the system's refusals; back ends of services may use the same status codes.
func parseRefusal(data []byte) (result.Body, bool) {
	var body result.Body
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil || body.Code == result.OK || body.Name == "" {
		return result.Body{}, false
	}
	return body, true
}

// transportOutcome classifies an error of the connection. begun tells whether a part of the answer had arrived.
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

// statusOutcome describes an answer with an error status that is no refusal of the system.
func statusOutcome(status int) outcome {
	return outcome{code: clientCode, name: fmt.Sprintf("http_%d", status), status: status}
}
