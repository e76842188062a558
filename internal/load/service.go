package load

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/standin/service"
)

// newServiceRequest makes a call to a plain service.
func newServiceRequest(e *Experiment, t *Traffic, number uint64, start time.Time) (*request, error) {
	r := &request{t: t, number: number, start: start, rng: seededFor(e.Seed, t.Name, number), read: readService}
	n := strconv.FormatUint(number, 10)
	r.method, r.header = t.Method, callerHeader(t)
	r.path = "/v1/services/" + t.Service + strings.ReplaceAll(t.Path, "{n}", n)
	r.body = strings.ReplaceAll(t.Body, "{n}", n)
	if !t.RepeatNever {
		return r, nil
	}
	key, err := uuid.NewV7()
	if err != nil {
		return nil, err
	}
	r.key = key.String()
	r.header.Set("Idempotency-Key", r.key)
	r.resend = r.rng.Float64() < t.ResendShare
	return r, nil
}

func readService(r *request, resp *http.Response) (outcome, error) {
	data, err := readBounded(resp)
	if err != nil {
		return outcome{}, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		if body, ok := parseRefusal(data); ok {
			return refusal(body), nil
		}
		return statusOutcome(resp.StatusCode), nil
	}
	out := outcome{code: result.OK, name: result.OK.String(), status: resp.StatusCode}
	if r.key != "" {
		out.body = data
	}
	if r.t.CheckEcho {
		out.code, out.name = r.checkEcho(data)
	}
	return out, nil
}

// checkEcho compares the answer of the service stand-in with the request.
func (r *request) checkEcho(data []byte) (result.Code, string) {
	var answer service.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return clientCode, unreadable
	}
	sum := sha256.Sum256([]byte(r.body))
	path, _, _ := strings.Cut(strings.TrimPrefix(r.path, "/v1/services/"+r.t.Service), "?")
	sameBody := answer.BodySHA256 == hex.EncodeToString(sum[:])
	if !sameBody || answer.Path != path || answer.Method != r.method || answer.Key != r.key {
		return clientCode, foreignAnswer
	}
	return result.OK, result.OK.String()
}

// sameAnswer compares two answers to one key.
func sameAnswer(a, b outcome) bool { return a.status == b.status && string(a.body) == string(b.body) }
