package cluster

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Stream is the result of a streamed generate request.
type Stream struct {
	Answer             // Status and error; the rest is set if the request was refused before the stream began.
	Tokens    []string // In order of arrival; their offsets count from 0 without a gap, or Err is set.
	Ended     bool     // The end event arrived.
	ErrorCode int      // Result code of the error event; 0 without one.
}

// String formats the stream without the text of its tokens.
func (s Stream) String() string {
	return fmt.Sprintf("%d tokens, ended %t, error event %d, %v", len(s.Tokens), s.Ended, s.ErrorCode, s.Answer)
}

// SendHeader is Send with request headers in place of an idempotency key.
func (c *Cluster) SendHeader(d *Daemon, method, path, body string, header http.Header) Answer {
	resp, err := c.sendRequest(d, method, path, body, header)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	return readAnswer(resp)
}

// sendRequest sends a request and returns as soon as the response headers have arrived.
func (c *Cluster) sendRequest(d *Daemon, method, path, body string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequest(method, "http://"+d.CallerAddr+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+Token)
	req.GetBody = nil // Without it, and on a new connection, the HTTP client does not resend a request.
	client := http.Client{Timeout: c.Client.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Do(req)
}

// readAnswer reads the whole body, and the code and not_run of a refusal.
func readAnswer(resp *http.Response) Answer {
	data, err := io.ReadAll(resp.Body)
	a := Answer{Status: resp.StatusCode, Body: string(bytes.TrimSpace(data)), Err: err}
	var refusal struct {
		Code   int  `json:"code"`
		NotRun bool `json:"not_run"`
	}
	if a.Status != http.StatusOK && json.Unmarshal(data, &refusal) == nil {
		a.Code, a.NotRun = refusal.Code, refusal.NotRun
	}
	return a
}

// GenerateStream sends a streamed generate request to pool drafts and reads the stream to its end.
func (c *Cluster) GenerateStream(d *Daemon, prompt string, tokens int) (s Stream) {
	body, err := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": tokens, "stream": true})
	if err != nil {
		return Stream{Answer: Answer{Err: err}}
	}
	resp, err := c.sendRequest(d, http.MethodPost, "/v1/pools/drafts/generate", string(body), nil)
	if err != nil {
		return Stream{Answer: Answer{Err: err}}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Stream{Answer: readAnswer(resp)}
	}
	s.Status = resp.StatusCode
	s.Err = s.readEvents(bufio.NewScanner(resp.Body))
	return s
}

// readEvents reads the events up to the end of the body. It fails at a token whose offset is not the number of tokens so
// far, at an end event with another number of tokens, and at any event after an end or error event.
func (s *Stream) readEvents(lines *bufio.Scanner) error {
	name := ""
	for lines.Scan() {
		line := lines.Text()
		if event, ok := strings.CutPrefix(line, "event: "); ok {
			name = event
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if s.Ended || s.ErrorCode != 0 {
			return fmt.Errorf("event %q after the end or error event", line)
		}
		var event struct {
			Offset, Tokens, Code int
			Token                string
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return fmt.Errorf("event %q: %w", line, err)
		}
		switch {
		case name == "error":
			s.ErrorCode = event.Code
		case name == "end" && event.Tokens == len(s.Tokens):
			s.Ended = true
		case name == "" && event.Offset == len(s.Tokens):
			s.Tokens = append(s.Tokens, event.Token)
		default:
			return fmt.Errorf("event %q %s after %d tokens", name, data, len(s.Tokens))
		}
		name = ""
	}
	return lines.Err()
}

// Addresses returns the caller addresses that a node returns, and how long a client may keep them.
func (c *Cluster) Addresses(d *Daemon) (addresses []string, keep time.Duration, err error) {
	resp, err := c.sendRequest(d, http.MethodGet, "/v1/addresses", "", nil)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses   []struct{ Address string }
		KeepSeconds float64 `json:"keep_seconds"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, 0, err
	}
	for _, a := range answer.Addresses {
		addresses = append(addresses, a.Address)
	}
	return addresses, time.Duration(answer.KeepSeconds * float64(time.Second)), nil
}
