package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"
	"github.com/go-chi/chi/v5"

	"cassiadeal.example/cassiadeal/internal/buffer"
	"cassiadeal.example/cassiadeal/internal/crash"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	maxTokensLimit = 1 << 16
	// prefixBytes is the length of the prompt prefix that cache affinity uses: long enough to tell system prompts apart,
	// short enough that requests with a common beginning are sent to the same target.
	prefixBytes = 256
)

// generateBody is the body of POST /v1/pools/{pool}/generate.
type generateBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// engineBody is the body of the request to the engine, with the values that the caller chose.
type engineBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

func (g *Gateway) handleGenerate(w http.ResponseWriter, req *http.Request) {
	poolName := chi.URLParam(req, "pool")
	c, release, err := g.admit(req, "pool/"+poolName)
	if err != nil {
		g.refuse(w, req, c, err)
		return
	}
	defer release()
	g.describePanic(w, c)
	stream, releaseBody, err := g.prepareGenerate(w, req, c, poolName)
	if err != nil {
		g.refuse(w, req, c, err)
		return
	}
	defer releaseBody()
	if err := g.checkShutdown(c); err != nil {
		g.refuse(w, req, c, err)
		return
	}
	g.opts.Budget.RecordRequest(c.destination)
	if stream {
		g.answerStream(w, req, c)
		return
	}
	g.answerJSON(w, req, c)
}

func (g *Gateway) prepareGenerate(w http.ResponseWriter, req *http.Request, c *callerRequest, poolName string) (stream bool, releaseBody func(), err *result.Error) {
	pool, ok := c.rules.Pools[poolName]
	if !ok {
		c.setUnknownDestination()
		return false, nil, result.New(result.UnknownPool, "pool %.100q does not exist", poolName)
	}
	if err := c.setDeadline(pool.Deadline, req); err != nil {
		return false, nil, err
	}
	data, releaseBody, err := g.readBody(w, req)
	if err != nil {
		return false, nil, err
	}
	if err := parseGenerate(c, data, &stream); err != nil {
		releaseBody()
		return false, nil, err
	}
	return stream || strings.Contains(req.Header.Get("Accept"), "text/event-stream"), releaseBody, nil
}

// parseGenerate fills in the dispatch request from the caller's body, and sets stream if the body requests a stream.
func parseGenerate(c *callerRequest, data []byte, stream *bool) *result.Error {
	var body generateBody
	if jsonErr := json.Unmarshal(data, &body); jsonErr != nil {
		return result.New(result.BadRequest, "the body is not valid JSON: %v", jsonErr)
	}
	if body.Prompt == "" || body.MaxTokens < 1 || body.MaxTokens > maxTokensLimit {
		return result.New(result.BadRequest, "prompt must not be empty and max_tokens must be from 1 to %d", maxTokensLimit)
	}
	engine, jsonErr := json.Marshal(engineBody{Prompt: body.Prompt, MaxTokens: body.MaxTokens})
	if jsonErr != nil {
		return result.New(result.Internal, "encoding the engine's request: %v", jsonErr)
	}
	c.dispatch.Body = engine
	c.dispatch.Path = "/v1/generate"
	c.dispatch.Generate = true
	c.dispatch.Repeatable = true
	c.dispatch.PrefixHash = xxhash.Sum64String(body.Prompt[:min(prefixBytes, len(body.Prompt))])
	c.dispatch.Fingerprint = crash.Fingerprint(c.account.Name, c.destination, engine)
	c.affinity = c.dispatch.PrefixHash
	*stream = body.Stream
	return nil
}

// writeGenerateAnswer writes the JSON answer to a generate request. The text, which may have megabytes, is encoded in parts.
func writeGenerateAnswer(w io.Writer, requestID string, text [][]byte, tokens uint64) error {
	if _, err := fmt.Fprintf(w, `{"request_id":%s,"text":"`, jsonString([]byte(requestID))); err != nil {
		return err
	}
	var rest []byte // The start of a character that goes on in the next part.
	for i, part := range text {
		part = append(rest, part...)
		whole := len(part)
		if i < len(text)-1 {
			whole = endOfCharacters(part)
		}
		encoded := jsonString(part[:whole])
		if _, err := w.Write(encoded[1 : len(encoded)-1]); err != nil {
			return err
		}
		rest = append([]byte(nil), part[whole:]...)
	}
	_, err := fmt.Fprintf(w, `","tokens":%d}`+"\n", tokens)
	return err
}

// endOfCharacters returns the length of the text without a character that is incomplete at its end.
func endOfCharacters(text []byte) int {
	for start := len(text) - 1; start >= 0 && start >= len(text)-utf8.UTFMax; start-- {
		if utf8.RuneStart(text[start]) {
			if !utf8.FullRune(text[start:]) {
				return start
			}
			break
		}
	}
	return len(text)
}

// jsonString returns the text as a JSON string.
func jsonString(text []byte) []byte {
	encoded, err := json.Marshal(string(text))
	if err != nil {
		return []byte(`""`) // A string can always be encoded.
	}
	return encoded
}

func (g *Gateway) answerJSON(w http.ResponseWriter, req *http.Request, c *callerRequest) {
	tokens := &tokenCollector{text: g.opts.Answers.NewBuffer(g.opts.MaxAnswerBytes)}
	defer tokens.text.Release()
	end := g.runWithRetries(req.Context(), c, tokens)
	if end.Code != int32(result.OK) {
		g.refuse(w, req, c, errorFromEnd(end))
		return
	}
	g.extendWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", c.id)
	// An error means that the caller has disconnected.
	_ = writeGenerateAnswer(w, c.id, tokens.text.Chunks(), tokens.tokenCount)
	g.recordOutcome(c, result.OK, end.Target)
}

// tokenCollector joins the tokens of an answer that is sent as one JSON document.
type tokenCollector struct {
	text       *buffer.Buffer
	tokenCount uint64
}

func (t *tokenCollector) addPart(chunk *schema.DispatchChunk) error {
	token := chunk.GetToken()
	if token == nil {
		return nil
	}
	if token.Offset != t.tokenCount {
		return result.New(result.AnswerMismatch, "token %d arrived in place of token %d", token.Offset, t.tokenCount)
	}
	if err := t.text.Append([]byte(token.Text)); err != nil {
		return result.New(result.StreamIncomplete, "the answer can't be buffered: %v", err)
	}
	t.tokenCount++
	return nil
}

func (t *tokenCollector) started() bool { return false }

func (t *tokenCollector) reset() {
	t.text.Release()
	t.tokenCount = 0
}

func (g *Gateway) answerStream(w http.ResponseWriter, req *http.Request, c *callerRequest) {
	events := &eventStream{w: w, requestID: c.id, flush: http.NewResponseController(w).Flush, extendDeadline: func() { g.extendWriteDeadline(w) }}
	end := g.runWithRetries(req.Context(), c, events)
	if end.Code == int32(result.OK) {
		if err := events.writeEvent("end", streamEnd{RequestID: c.id, Tokens: events.tokenCount}); err != nil {
			g.recordOutcome(c, result.StreamIncomplete, end.Target)
			return
		}
		g.recordOutcome(c, result.OK, end.Target)
		return
	}
	failure := errorFromEnd(end)
	if !events.started() {
		g.refuse(w, req, c, failure)
		return
	}
	// The status line was already sent, so the failure is reported as an error event. The stream has no end event then.
	_ = events.writeEvent("error", failure.Body())
	g.opts.Metrics.Refusal(failure.Code)
	g.recordOutcome(c, failure.Code, end.Target)
}

// streamEnd is the data of the event that marks a stream as complete.
type streamEnd struct {
	RequestID string `json:"request_id"`
	Tokens    uint64 `json:"tokens"`
}

// streamToken is the data of one token's event.
type streamToken struct {
	Offset uint64 `json:"offset"`
	Token  string `json:"token"`
}

// eventStream writes an answer as server-sent events.
type eventStream struct {
	w              http.ResponseWriter
	requestID      string
	flush          func() error
	extendDeadline func() // Extends the time limit for sending the next event.
	tokenCount     uint64
	headersSet     bool
}

func (s *eventStream) addPart(chunk *schema.DispatchChunk) error {
	token := chunk.GetToken()
	if token == nil {
		return nil
	}
	if token.Offset != s.tokenCount {
		return result.New(result.AnswerMismatch, "token %d arrived in place of token %d", token.Offset, s.tokenCount)
	}
	s.tokenCount++
	return s.writeEvent("", streamToken{Offset: token.Offset, Token: token.Text})
}

func (s *eventStream) started() bool { return s.headersSet }

func (s *eventStream) reset() {}

// writeEvent writes one event; an empty name is the default event type.
func (s *eventStream) writeEvent(name string, data any) error {
	if !s.headersSet {
		s.headersSet = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.Header().Set("X-Request-Id", s.requestID)
	}
	payload, err := json.Marshal(data)
	if err != nil {
		return err
	}
	s.extendDeadline()
	if name != "" {
		name = "event: " + name + "\n"
	}
	if _, err := fmt.Fprintf(s.w, "%sdata: %s\n\n", name, payload); err != nil {
		return err
	}
	return s.flush()
}

var (
	_ output = (*tokenCollector)(nil)
	_ output = (*eventStream)(nil)
)
