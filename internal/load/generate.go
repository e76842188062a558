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

// engineGroup is the group that direct traffic names.
type engineGroup struct {
	group  string
	number uint64
}

// newGenerateRequest makes a generate request to the entry or, with a group, to an engine.
func newGenerateRequest(e *Experiment, t *Traffic, number uint64, start time.Time, group *engineGroup) (*request, error) {
	r := &request{t: t, number: number, start: start, rng: seededFor(e.Seed, t.Name, number), method: http.MethodPost}
	r.prompt = r.makePrompt(e.Seed)
	var body any = callerBody{Prompt: r.prompt, MaxTokens: t.MaxTokens, Stream: t.Stream}
	r.path, r.read = "/v1/pools/"+t.Pool+"/generate", readGenerate
	switch {
	case t.Direct:
		// The start tells the requests of two runs against one engine apart.
		r.header = http.Header{"X-Request-Id": {fmt.Sprintf("load-%s-%d-%d", t.Name, number, start.UnixNano())}}
		r.path, r.read = "/v1/generate", readDirect
		body = engine.GenerateRequest{Prompt: r.prompt, MaxTokens: t.MaxTokens, Group: group.group, Number: group.number}
	default:
		r.header = callerHeader(t)
	}
	data, err := json.Marshal(body)
	r.body = string(data)
	return r, err
}

// makePrompt joins one of the section's prefixes and words of the request's own.
func (r *request) makePrompt(seed uint64) string {
	t := r.t
	words := make([]string, 0, t.PromptWords.High)
	if t.Prefixes > 0 {
		prefix := seededFor(seed, t.Name+"/prefix", uint64(r.rng.IntN(t.Prefixes)))
		for range t.PrefixWords {
			words = append(words, word(prefix.Uint32()))
		}
	}
	total := t.PromptWords.Low + r.rng.IntN(t.PromptWords.High-t.PromptWords.Low+1)
	for len(words) < total {
		words = append(words, word(r.rng.Uint32()))
	}
	return strings.Join(words, " ")
}

func word(n uint32) string { return strconv.FormatUint(uint64(n%1_000_000), 36) }

// readGenerate reads the gateway's answer, a stream or one JSON object.
func readGenerate(r *request, resp *http.Response) (outcome, error) {
	if resp.StatusCode != http.StatusOK {
		data, err := readBounded(resp)
		if err != nil {
			return outcome{}, err
		}
		if body, ok := parseRefusal(data); ok {
			return refusal(body), nil
		}
		return statusOutcome(resp.StatusCode), nil
	}
	if r.t.Stream {
		return readStream(r, resp, gatewayEvents)
	}
	data, err := readBounded(resp)
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
	if r.t.Model != "" && answer.Text != strings.Join(engine.Text(r.t.Model, r.prompt, r.t.MaxTokens), "") {
		return clientOutcome(textMismatch), nil
	}
	return outcome{code: result.OK, name: result.OK.String(), status: resp.StatusCode}, nil
}

// readDirect reads an engine's answer. An engine refuses with 409 before anything runs.
func readDirect(r *request, resp *http.Response) (outcome, error) {
	if resp.StatusCode != http.StatusOK {
		out := statusOutcome(resp.StatusCode)
		out.notRun = resp.StatusCode == http.StatusConflict
		return out, nil
	}
	if resp.Header.Get("X-Request-Id") != r.header.Get("X-Request-Id") {
		return clientOutcome(foreignAnswer), nil
	}
	return readStream(r, resp, engineEvents)
}

const stateTimeout = 2 * time.Second

// readGroup returns the group in the file or else asks the engine.
func readGroup(ctx context.Context, client *http.Client, t *Traffic) (*engineGroup, error) {
	if t.Group != "" {
		return &engineGroup{t.Group, t.Number}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Engine+"/v1/state", nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("[traffic %s]: %w", t.Name, err)
	}
	defer func() { _ = resp.Body.Close() }()
	var state engine.State
	if err := json.NewDecoder(resp.Body).Decode(&state); err != nil {
		return nil, fmt.Errorf("[traffic %s]: state of engine %s: %w", t.Name, t.Engine, err)
	}
	if state.Group == "" || state.Rank != 0 {
		return nil, errors.New("[traffic " + t.Name + "]: engine " + t.Engine + " is not rank 0 of a group")
	}
	return &engineGroup{state.Group, state.Number}, nil
}
