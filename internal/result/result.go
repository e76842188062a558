// Package result defines the numbered result codes that callers and operators receive.
package result

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Code is a numbered result. docs/result-codes.md lists them all.
type Code int32

// Result codes. 1xxx: invalid input, nothing ran. 2xxx: refused, nothing ran. 3xxx: the request may have reached a target
// and the answer is missing, incomplete or not available yet. 4xxx: configuration. 5xxx: internal.
const (
	OK Code = 0

	BadRequest       Code = 1001
	UnknownAccount   Code = 1002
	UnknownPool      Code = 1003
	UnknownService   Code = 1004
	MethodNotAllowed Code = 1005
	BodyTooLarge     Code = 1006
	BodyIncomplete   Code = 1007
	HeadersTooLarge  Code = 1008
	KeyMissing       Code = 1009
	KeyMalformed     Code = 1010
	KeyTooOld        Code = 1011
	KeyInFuture      Code = 1012
	KeyReused        Code = 1013
	NotFound         Code = 1014

	AccountRate         Code = 2001
	AccountConcurrency  Code = 2002
	QueueFull           Code = 2003
	DeadlineUnreachable Code = 2004
	NoTarget            Code = 2005
	NodeStopping        Code = 2006
	NoRightToServe      Code = 2007
	CrashingRequest     Code = 2008
	PlatformUnavailable Code = 2009
	TargetUnreachable   Code = 2010
	NodeUnreachable     Code = 2011
	TargetsLimited      Code = 2012
	TargetRefused       Code = 2013
	NoRoom              Code = 2014

	OutcomeUnknown    Code = 3001
	AnswerNotKept     Code = 3002
	StreamIncomplete  Code = 3003
	TargetFailed      Code = 3004
	DeadlineExceeded  Code = 3005
	ShutdownLimit     Code = 3006
	AnswerMismatch    Code = 3007
	RequestInProgress Code = 3008

	RevisionConflict Code = 4001
	RulesInvalid     Code = 4002
	NotInForce       Code = 4003
	ApplyUnknown     Code = 4004

	Internal Code = 5001
)

type codeInfo struct {
	name   string
	status int
	notRun bool
}

var codes = map[Code]codeInfo{
	OK: {"ok", http.StatusOK, false},

	BadRequest:       {"bad_request", http.StatusBadRequest, true},
	UnknownAccount:   {"unknown_account", http.StatusUnauthorized, true},
	UnknownPool:      {"unknown_pool", http.StatusNotFound, true},
	UnknownService:   {"unknown_service", http.StatusNotFound, true},
	MethodNotAllowed: {"method_not_allowed", http.StatusMethodNotAllowed, true},
	BodyTooLarge:     {"body_too_large", http.StatusRequestEntityTooLarge, true},
	BodyIncomplete:   {"body_incomplete", http.StatusRequestTimeout, true},
	HeadersTooLarge:  {"headers_too_large", http.StatusRequestHeaderFieldsTooLarge, true},
	KeyMissing:       {"key_missing", http.StatusBadRequest, true},
	KeyMalformed:     {"key_malformed", http.StatusBadRequest, true},
	KeyTooOld:        {"key_too_old", http.StatusUnprocessableEntity, true},
	KeyInFuture:      {"key_in_future", http.StatusUnprocessableEntity, true},
	KeyReused:        {"key_reused", http.StatusUnprocessableEntity, true},
	NotFound:         {"not_found", http.StatusNotFound, true},

	AccountRate:         {"account_rate", http.StatusTooManyRequests, true},
	AccountConcurrency:  {"account_concurrency", http.StatusTooManyRequests, true},
	QueueFull:           {"queue_full", http.StatusServiceUnavailable, true},
	DeadlineUnreachable: {"deadline_unreachable", http.StatusServiceUnavailable, true},
	NoTarget:            {"no_target", http.StatusServiceUnavailable, true},
	NodeStopping:        {"node_stopping", http.StatusServiceUnavailable, true},
	NoRightToServe:      {"no_right_to_serve", http.StatusServiceUnavailable, true},
	CrashingRequest:     {"crashing_request", http.StatusUnprocessableEntity, true},
	PlatformUnavailable: {"platform_unavailable", http.StatusServiceUnavailable, true},
	TargetUnreachable:   {"target_unreachable", http.StatusBadGateway, true},
	NodeUnreachable:     {"node_unreachable", http.StatusBadGateway, true},
	TargetsLimited:      {"targets_limited", http.StatusServiceUnavailable, true},
	TargetRefused:       {"target_refused", http.StatusServiceUnavailable, true},
	NoRoom:              {"no_room", http.StatusServiceUnavailable, true},

	OutcomeUnknown:   {"outcome_unknown", http.StatusBadGateway, false},
	AnswerNotKept:    {"answer_not_kept", http.StatusConflict, false},
	StreamIncomplete: {"stream_incomplete", http.StatusBadGateway, false},
	TargetFailed:     {"target_failed", http.StatusBadGateway, false},
	DeadlineExceeded: {"deadline_exceeded", http.StatusGatewayTimeout, false},
	ShutdownLimit:    {"shutdown_limit", http.StatusServiceUnavailable, false},
	AnswerMismatch:   {"answer_mismatch", http.StatusBadGateway, false},

	RequestInProgress: {"request_in_progress", http.StatusConflict, false},

	RevisionConflict: {"revision_conflict", http.StatusConflict, true},
	RulesInvalid:     {"rules_invalid", http.StatusUnprocessableEntity, true},
	NotInForce:       {"not_in_force", http.StatusGatewayTimeout, false},
	ApplyUnknown:     {"apply_unknown", http.StatusBadGateway, false},

	Internal: {"internal", http.StatusInternalServerError, false},
}

// All returns every code.
func All() []Code {
	all := make([]Code, 0, len(codes))
	for c := range codes {
		all = append(all, c)
	}
	return all
}

// String returns the name of the code that response bodies and metric labels contain.
func (c Code) String() string {
	if info, ok := codes[c]; ok {
		return info.name
	}
	return "code_" + strconv.Itoa(int(c))
}

// HTTPStatus returns the HTTP status of a response with the code, or 500 for an undefined code.
func (c Code) HTTPStatus() int {
	if info, ok := codes[c]; ok {
		return info.status
	}
	return http.StatusInternalServerError
}

// NotRun reports whether the code alone guarantees that the request did not run.
func (c Code) NotRun() bool { return codes[c].notRun }

// Error is a refusal or failure with its code. NotRun is true only if the request certainly did not run: no byte of it was
// sent to a target, or the target refused it explicitly.
type Error struct {
	Code       Code
	NotRun     bool
	Message    string
	RetryAfter time.Duration
	Cause      error
}

// New returns an Error whose NotRun follows from the code.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, NotRun: code.NotRun(), Message: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s (%d): %s: %v", e.Code, e.Code, e.Message, e.Cause)
	}
	return fmt.Sprintf("%s (%d): %s", e.Code, e.Code, e.Message)
}

// Unwrap returns the underlying error, or nil if there is none.
func (e *Error) Unwrap() error { return e.Cause }

// WithRetryAfter sets the time after which the caller may retry, and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// WithCause sets the underlying error, and returns e.
func (e *Error) WithCause(err error) *Error {
	e.Cause = err
	return e
}

// From returns the *Error that err wraps. Any other error becomes an Internal error with NotRun false.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}

// Body is the JSON body of an error response.
type Body struct {
	Code    Code   `json:"code"`
	Name    string `json:"name"`
	NotRun  bool   `json:"not_run"`
	Message string `json:"message"`
}

// Body returns the JSON form of the error.
func (e *Error) Body() Body {
	return Body{Code: e.Code, Name: e.Code.String(), NotRun: e.NotRun, Message: e.Message}
}

// Write sends the error as the HTTP response. Retry-After is rounded up to whole seconds.
func Write(w http.ResponseWriter, e *Error) {
	if e.RetryAfter > 0 {
		seconds := int((e.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	WriteBody(w, e.Code.HTTPStatus(), e)
}

// WriteBody sends the error as the HTTP response with the status, for callers that set Retry-After and the status themselves.
func WriteBody(w http.ResponseWriter, status int, e *Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(e.Body()) // The client has disconnected, so the error can't be reported to it.
}
