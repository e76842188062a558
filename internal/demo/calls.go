package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"cassiadeal.example/cassiadeal/internal/operator"
)

// callerURL returns the URL of a path at the next node in round-robin order, so that the requests use all nodes.
func (d *demo) callerURL(path string) string {
	d.nextNode++
	return "http://" + d.nodes[d.nextNode%len(d.nodes)].CallerAddress() + path
}

func (d *demo) doRequest(ctx context.Context, method, url, body string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+callerToken)
	return d.client.Do(req)
}

func (d *demo) callGateway(ctx context.Context, method, path, body string, header http.Header) ([]byte, error) {
	resp, err := d.doRequest(ctx, method, d.callerURL(path), body, header)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, eris.Errorf("%s %s: %s: %s", method, path, resp.Status, bytes.TrimSpace(answer))
	}
	return bytes.TrimSpace(answer), nil
}

const prompt = `"prompt":"Draft a loan agreement for twelve hoops."`

func (d *demo) generateJSON(ctx context.Context) (string, error) {
	body, err := d.callGateway(ctx, http.MethodPost, "/v1/pools/drafts/generate", `{`+prompt+`,"max_tokens":8}`, nil)
	return shorten(body), err
}

func (d *demo) generateStream(ctx context.Context) (string, error) {
	resp, err := d.doRequest(ctx, http.MethodPost, d.callerURL("/v1/pools/drafts/generate"), `{`+prompt+`,"max_tokens":8,"stream":true}`, nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	events, ended := 0, false
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		ended = ended || lines.Text() == "event: end"
		if strings.HasPrefix(lines.Text(), "data: ") {
			events++
		}
	}
	if resp.StatusCode != http.StatusOK || !ended {
		return "", eris.Errorf("incomplete stream: status %s, %d events", resp.Status, events)
	}
	return fmt.Sprintf("%d tokens, then the end event", events-1), lines.Err()
}

func (d *demo) callOperator(ctx context.Context, method, path string, body, response any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	resp, err := d.doRequest(ctx, method, "http://"+d.nodes[0].OperatorAddress()+path, string(data), nil)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	responseBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s: %s", resp.Status, bytes.TrimSpace(responseBody))
	}
	return json.Unmarshal(responseBody, response)
}

func (d *demo) status(ctx context.Context) (s operator.Status, err error) {
	err = d.callOperator(ctx, http.MethodGet, "/v1/status", nil, &s)
	return s, err
}

// applyRules applies the rules with the given state of fd-a, in or out. It retries until the operator API accepts them.
func (d *demo) applyRules(ctx context.Context, domainState string) (string, error) {
	text := fmt.Sprintf(rulesTemplate, d.standins.serviceAddresses[0], d.standins.serviceAddresses[1], callerTokenHash(), domainState)
	var answer operator.ApplyAnswer
	err := poll(ctx, readyTimeout, func() error {
		base := d.revision
		return d.callOperator(ctx, http.MethodPost, "/v1/config", operator.ApplyRequest{BaseRevision: &base, Rules: text, Author: "demo"}, &answer)
	})
	if err != nil {
		return "", err
	}
	d.revision = answer.Revision
	return fmt.Sprintf("revision %d accepted by all nodes", answer.Revision), nil
}
