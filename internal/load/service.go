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

// newServiceRequest creates a request to a plain service.
func newServiceRequest(experiment *Experiment, traffic *Traffic, number uint64, intendedStart time.Time) (*request, error) {
	req := &request{traffic: traffic, number: number, intendedStart: intendedStart,
		rng: numberedRand(experiment.Seed, traffic.Name, number), readResponse: readServiceResponse}
	numberText := strconv.FormatUint(number, 10)
	req.method, req.header = traffic.Method, callerHeader(traffic)
	req.path = "/v1/services/" + traffic.Service + strings.ReplaceAll(traffic.Path, "{n}", numberText)
	req.body = strings.ReplaceAll(traffic.Body, "{n}", numberText)
	if !traffic.RepeatNever {
		return req, nil
	}
	key, err := uuid.NewV7()
	if err != nil {
		return nil, err
	}
	req.key = key.String()
	req.header.Set("Idempotency-Key", req.key)
	req.resendAfterAnswer = req.rng.Float64() < traffic.ResendShare
	return req, nil
}

func readServiceResponse(r *request, resp *http.Response) (outcome, error) {
	data, err := readBody(resp)
	if err != nil {
		return outcome{}, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		if body, ok := parseRefusal(data); ok {
			return refusalOutcome(body), nil
		}
		return statusOutcome(resp.StatusCode), nil
	}
	out := outcome{code: result.OK, name: result.OK.String(), status: resp.StatusCode}
	if r.key != "" {
		out.body = data
	}
	if r.traffic.CheckEcho {
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
	path, _, _ := strings.Cut(strings.TrimPrefix(r.path, "/v1/services/"+r.traffic.Service), "?")
	sameBody := answer.BodySHA256 == hex.EncodeToString(sum[:])
	if !sameBody || answer.Path != path || answer.Method != r.method || answer.Key != r.key {
		return clientCode, foreignAnswer
	}
	return result.OK, result.OK.String()
}

// sameAnswer reports whether two answers to one idempotency key have the same status and body.
func sameAnswer(a, b outcome) bool { return a.status == b.status && string(a.body) == string(b.body) }
