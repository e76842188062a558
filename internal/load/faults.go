package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// faultTimeout is long enough to apply a rules file, which waits for all nodes, and to restart a stand-in.
const faultTimeout = 30 * time.Second

// runFaults sends each request of [faults] at its time, without waiting for the answers to earlier ones, and returns when
// all have ended. It uses a separate HTTP client, so that these requests never wait for a connection of the traffic.
func runFaults(ctx context.Context, start time.Time, faults []Fault) []FaultResult {
	client := &http.Client{Transport: &http.Transport{}, Timeout: faultTimeout}
	defer client.CloseIdleConnections()
	results := make([]FaultResult, len(faults))
	ended := make(chan struct{})
	for i, fault := range faults {
		go func() {
			results[i] = runFault(ctx, client, start, fault)
			ended <- struct{}{}
		}()
	}
	for range faults {
		<-ended
	}
	return results
}

func runFault(ctx context.Context, client *http.Client, start time.Time, fault Fault) FaultResult {
	faultResult := FaultResult{Method: fault.Method, URL: fault.URL, AtMS: fault.At.Milliseconds()}
	if !waitUntil(ctx, start.Add(fault.At)) {
		faultResult.Error = errInterrupted.Error()
		return faultResult
	}
	faultResult.SentMS = millisecondsSince(start)
	status, err := sendFaultRequest(ctx, client, fault)
	faultResult.Status, faultResult.EndedMS = status, millisecondsSince(start)
	if err != nil {
		faultResult.Error = err.Error()
	}
	return faultResult
}

func sendFaultRequest(ctx context.Context, client *http.Client, fault Fault) (status int, err error) {
	req, err := http.NewRequestWithContext(ctx, fault.Method, fault.URL, strings.NewReader(fault.Body))
	if err != nil {
		return 0, err
	}
	if fault.Body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	// The first 1 KiB of an error message is enough to find the reason.
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if err == nil && resp.StatusCode >= http.StatusMultipleChoices {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, strings.TrimSpace(string(text)))
	}
	return resp.StatusCode, err
}

func millisecondsSince(start time.Time) float64 {
	return float64(time.Since(start).Microseconds()) / 1000
}

// waitUntil returns true at the deadline, or false if the context ends before it.
func waitUntil(ctx context.Context, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
