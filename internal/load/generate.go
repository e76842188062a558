package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/standin/engine"
)

// callerBody is the body of POST /v1/pools/{pool}/generate.
type callerBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// engineGroup identifies the group in a request to an engine.
type engineGroup struct {
	name   string
	number uint64
}

// newGenerateRequest creates a generate request to an entry address or, for direct traffic, to an engine. group is nil
// unless the traffic is direct.
func newGenerateRequest(experiment *Experiment, traffic *Traffic, number uint64, intendedStart time.Time,
	group *engineGroup) (*request, error) {
	req := &request{traffic: traffic, number: number, intendedStart: intendedStart,
		rng: numberedRand(experiment.Seed, traffic.Name, number), method: http.MethodPost}
	req.prompt = req.makePrompt(experiment.Seed)
	var body any = callerBody{Prompt: req.prompt, MaxTokens: traffic.MaxTokens, Stream: traffic.Stream}
	req.path, req.readResponse = "/v1/pools/"+traffic.Pool+"/generate", readGatewayResponse
	switch {
	case traffic.Direct:
		// The start time keeps the IDs of two runs against the same engine distinct.
		req.header = http.Header{"X-Request-Id": {fmt.Sprintf("load-%s-%d-%d", traffic.Name, number, intendedStart.UnixNano())}}
		req.path, req.readResponse = "/v1/generate", readEngineResponse
		body = engine.GenerateRequest{Prompt: req.prompt, MaxTokens: traffic.MaxTokens, Group: group.name, Number: group.number}
	default:
		req.header = callerHeader(traffic)
	}
	data, err := json.Marshal(body)
	req.body = string(data)
	return req, err
}

// makePrompt joins one of the section's prefixes, if it has any, and random words.
func (r *request) makePrompt(seed uint64) string {
	traffic := r.traffic
	words := make([]string, 0, traffic.PromptWords.High)
	if traffic.Prefixes > 0 {
		prefixRand := numberedRand(seed, traffic.Name+"/prefix", uint64(r.rng.IntN(traffic.Prefixes)))
		for range traffic.PrefixWords {
			words = append(words, promptWord(prefixRand.Uint32()))
		}
	}
	total := traffic.PromptWords.Low + r.rng.IntN(traffic.PromptWords.High-traffic.PromptWords.Low+1)
	for len(words) < total {
		words = append(words, promptWord(r.rng.Uint32()))
	}
	return strings.Join(words, " ")
}

func promptWord(n uint32) string { return strconv.FormatUint(uint64(n%1_000_000), 36) }

// readGatewayResponse reads the gateway's answer, a stream or one JSON object.
func readGatewayResponse(r *request, resp *http.Response) (outcome, error) {
	if resp.StatusCode != http.StatusOK {
		data, err := readBody(resp)
		if err != nil {
			return outcome{}, err
		}
		if body, ok := parseRefusal(data); ok {
			return refusalOutcome(body), nil
		}
		return statusOutcome(resp.StatusCode), nil
	}
	if r.traffic.Stream {
		return readStream(r, resp, decodeGatewayEvent)
	}
	data, err := readBody(resp)
	if err != nil {
		return outcome{}, err
	}
	var answer struct {
		Text   string `json:"text"`
		Tokens uint64 `json:"tokens"`
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return clientOutcome(unreadable), nil
	}
	if r.traffic.Model != "" && answer.Text != strings.Join(engine.Text(r.traffic.Model, r.prompt, r.traffic.MaxTokens), "") {
		return clientOutcome(textMismatch), nil
	}
	return outcome{code: result.OK, name: result.OK.String(), status: resp.StatusCode}, nil
}

// readEngineResponse reads an engine's answer, which is a stream. An engine that refuses a request with status 409 has not
// run any part of it.
func readEngineResponse(r *request, resp *http.Response) (outcome, error) {
	if resp.StatusCode != http.StatusOK {
		out := statusOutcome(resp.StatusCode)
		out.notRun = resp.StatusCode == http.StatusConflict
		return out, nil
	}
	if resp.Header.Get("X-Request-Id") != r.header.Get("X-Request-Id") {
		return clientOutcome(foreignAnswer), nil
	}
	return readStream(r, resp, decodeEngineEvent)
}

const stateTimeout = 2 * time.Second

// readGroup returns the group in the experiment file or, without one, that of the engine's state.
func readGroup(ctx context.Context, client *http.Client, traffic *Traffic) (*engineGroup, error) {
	if traffic.Group != "" {
		return &engineGroup{traffic.Group, traffic.Number}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+traffic.Engine+"/v1/state", nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("[traffic %s]: %w", traffic.Name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var state engine.State
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		return nil, fmt.Errorf("[traffic %s]: state of engine %s: %w", traffic.Name, traffic.Engine, err)
	}
	if state.Group == "" || state.Rank != 0 {
		return nil, errors.New("[traffic " + traffic.Name + "]: engine " + traffic.Engine + " is not rank 0 of a group")
	}
	return &engineGroup{state.Group, state.Number}, nil
}
