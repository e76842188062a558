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

var errNoEnd = errors.New("the stream has no end event")

// event is one event of a stream, of the gateway or of an engine.
type event struct {
	RequestID string  `json:"request_id"`
	Offset    *uint64 `json:"offset"`
	Token     string  `json:"token"`
	End       bool    `json:"end"`
	Tokens    *uint64 `json:"tokens"`

	failure *result.Body // Set for the gateway's error event.
}

// dialect decodes the data of one event with its name.
type dialect func(name string, data []byte) (event, error)

func gatewayEvents(name string, data []byte) (e event, err error) {
	if name == "error" {
		e.failure = &result.Body{}
		return e, json.Unmarshal(data, e.failure)
	}
	err = json.Unmarshal(data, &e)
	e.End = name == "end"
	return e, err
}

func engineEvents(_ string, data []byte) (e event, err error) {
	return e, json.Unmarshal(data, &e)
}

// streamCheck follows one stream and judges it.
type streamCheck struct {
	r       *request
	id      string
	want    []string // Empty if the text is not compared.
	next    uint64
	last    time.Time // Arrival of the last token.
	out     outcome
	wrong   string // First fault found, empty if none.
	ended   bool
	failure *result.Body
}

// readStream returns an error if the connection broke or the stream has no end event.
func readStream(r *request, resp *http.Response, decode dialect) (outcome, error) {
	c := &streamCheck{r: r, id: resp.Header.Get("X-Request-Id"), out: outcome{status: resp.StatusCode}}
	if r.t.Model != "" {
		c.want = engine.Text(r.t.Model, r.prompt, r.t.MaxTokens)
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
			c.event(e)
		}
		if field, ok := strings.CutPrefix(line, "event:"); ok {
			name = strings.TrimSpace(field)
		}
		if line == "" {
			name = ""
		}
	}
	return c.verdict(lines.Err())
}

func (c *streamCheck) event(e event) {
	switch {
	case e.RequestID != "" && e.RequestID != c.id:
		c.fault(foreignAnswer)
	case e.failure != nil:
		c.failure = e.failure
		if c.next > 0 && e.failure.NotRun {
			c.fault(falseNotRun)
		}
	case c.ended:
		c.fault(offsetMismatch)
	case e.End:
		c.ended = true
		if e.Tokens == nil || *e.Tokens != c.next {
			c.fault(offsetMismatch)
		}
		if c.want != nil && c.next < uint64(len(c.want)) {
			c.fault(textMismatch)
		}
	default:
		c.token(e)
	}
}

func (c *streamCheck) token(e event) {
	now := time.Now()
	if c.next == 0 {
		c.out.firstToken = now.Sub(c.r.start)
	} else {
		c.out.gaps = append(c.out.gaps, now.Sub(c.last))
	}
	c.last = now
	if e.Offset == nil || *e.Offset != c.next {
		c.fault(offsetMismatch)
	}
	if c.want != nil && (c.next >= uint64(len(c.want)) || e.Token != c.want[c.next]) {
		c.fault(textMismatch)
	}
	c.next++
}

func (c *streamCheck) fault(name string) {
	if c.wrong == "" {
		c.wrong = name
	}
}

// verdict prefers a wrong answer to an incomplete one: no fault of the surroundings excuses it.
func (c *streamCheck) verdict(err error) (outcome, error) {
	out := &c.out
	switch {
	case c.wrong != "":
		out.code, out.name = clientCode, c.wrong
	case c.failure != nil:
		out.code, out.name, out.notRun = c.failure.Code, c.failure.Name, c.failure.NotRun
	case err != nil:
		return *out, err
	case !c.ended:
		return *out, errNoEnd
	default:
		out.code, out.name = result.OK, result.OK.String()
	}
	return *out, nil
}
