package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/standin/engine"
)

// maxEventLine bounds one line of a stream in bytes.
const maxEventLine = 1 << 20

var errNoEndEvent = errors.New("the stream has no end event")

// event is one event of a stream of the gateway or of an engine.
type event struct {
	RequestID string  `json:"request_id"`
	Offset    *uint64 `json:"offset"`
	Token     string  `json:"token"`
	End       bool    `json:"end"`
	Tokens    *uint64 `json:"tokens"`

	errorBody *result.Body // Only set for the gateway's error event.
}

// eventDecoder decodes the data of an event with the given name. The formats of the gateway and of engines differ.
type eventDecoder func(name string, data []byte) (event, error)

func decodeGatewayEvent(name string, data []byte) (e event, err error) {
	if name == "error" {
		e.errorBody = &result.Body{}
		return e, json.Unmarshal(data, e.errorBody)
	}
	err = json.Unmarshal(data, &e)
	e.End = name == "end"
	return e, err
}

func decodeEngineEvent(_ string, data []byte) (e event, err error) {
	return e, json.Unmarshal(data, &e)
}

// streamCheck checks the events of one stream and measures its latency.
type streamCheck struct {
	request        *request
	requestID      string
	expectedTokens []string // Empty if the text is not compared.
	nextOffset     uint64
	lastTokenAt    time.Time // Arrival of the last token.
	outcome        outcome
	wrongName      string // First error found, empty if none.
	ended          bool
	errorBody      *result.Body
}

// readStream reads and checks a stream. It returns an error if the connection failed or the stream has no end event,
// unless an error event or a wrong answer was found before.
func readStream(r *request, resp *http.Response, decode eventDecoder) (outcome, error) {
	c := &streamCheck{request: r, requestID: resp.Header.Get("X-Request-Id"), outcome: outcome{status: resp.StatusCode}}
	if r.traffic.Model != "" {
		c.expectedTokens = engine.Text(r.traffic.Model, r.prompt, r.traffic.MaxTokens)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, maxEventLine)
	name := ""
	for lines.Scan() {
		line := lines.Text()
		if data, ok := strings.CutPrefix(line, "data:"); ok {
			e, err := decode(name, []byte(data))
			if err != nil {
				return clientOutcome(unreadable), nil
			}
			c.handleEvent(e)
		}
		if field, ok := strings.CutPrefix(line, "event:"); ok {
			name = strings.TrimSpace(field)
		}
		if line == "" {
			name = ""
		}
	}
	return c.finish(lines.Err())
}

func (c *streamCheck) handleEvent(e event) {
	switch {
	case e.RequestID != "" && e.RequestID != c.requestID:
		c.markWrong(foreignAnswer)
	case e.errorBody != nil:
		c.errorBody = e.errorBody
		if c.nextOffset > 0 && e.errorBody.NotRun {
			c.markWrong(falseNotRun)
		}
	case c.ended:
		c.markWrong(offsetMismatch)
	case e.End:
		c.ended = true
		if e.Tokens == nil || *e.Tokens != c.nextOffset {
			c.markWrong(offsetMismatch)
		}
		if c.expectedTokens != nil && c.nextOffset < uint64(len(c.expectedTokens)) {
			c.markWrong(textMismatch)
		}
	default:
		c.handleToken(e)
	}
}

func (c *streamCheck) handleToken(e event) {
	now := time.Now()
	if c.nextOffset == 0 {
		c.outcome.firstToken = now.Sub(c.request.intendedStart)
	} else {
		c.outcome.tokenGaps = append(c.outcome.tokenGaps, now.Sub(c.lastTokenAt))
	}
	c.lastTokenAt = now
	if e.Offset == nil || *e.Offset != c.nextOffset {
		c.markWrong(offsetMismatch)
	}
	if c.expectedTokens != nil && (c.nextOffset >= uint64(len(c.expectedTokens)) ||
		e.Token != c.expectedTokens[c.nextOffset]) {
		c.markWrong(textMismatch)
	}
	c.nextOffset++
}

func (c *streamCheck) markWrong(name string) {
	if c.wrongName == "" {
		c.wrongName = name
	}
}

// finish returns the outcome of the stream. A wrong answer takes precedence over an incomplete one, because an injected fault
// can explain only the latter.
func (c *streamCheck) finish(err error) (outcome, error) {
	out := &c.outcome
	switch {
	case c.wrongName != "":
		out.code, out.name = clientCode, c.wrongName
	case c.errorBody != nil:
		out.code, out.name, out.notRun = c.errorBody.Code, c.errorBody.Name, c.errorBody.NotRun
	case err != nil:
		return *out, err
	case !c.ended:
		return *out, errNoEndEvent
	default:
		out.code, out.name = result.OK, result.OK.String()
	}
	return *out, nil
}
