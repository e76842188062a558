package load

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/internal/standin/service"
)

// startServer starts a server that is closed after the test, and returns its address.
func startServer(t *testing.T, h http.HandlerFunc) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// runTraffic runs an experiment with one traffic section for a second.
func runTraffic(t *testing.T, rate int, entryKeys, trafficKeys, experimentKeys string) *Result {
	const format = "[experiment]\nduration = 1s\n%s\n[entry]\n%s\n[traffic a]\ntoken = t\nrate = %d\n%s\n"
	text := fmt.Sprintf(format, experimentKeys, entryKeys, rate, trafficKeys)
	e, err := Parse("test.ini", text)
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := Run(ctx, e)
	qt.Assert(t, err, qt.IsNil)
	return r
}

const (
	stockTraffic     = "kind = service\nservice = s\n"
	confirmTraffic   = stockTraffic + "method = POST\npath = /confirm\nbody = {\"n\":{n}}\nrepeat = never\nresend_share = 1\ncheck_echo = yes\n"
	streamTraffic    = "kind = generate\npool = p\nstream = yes\nmodel = m\nmax_tokens = 2\n"
	constantArrivals = "arrivals = constant\n"
)

// Guards against a closed loop: a slow server must not delay later arrivals.
func TestSlowServerDoesNotSlowArrivals(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	var arrived atomic.Int64
	address := startServer(t, func(_ http.ResponseWriter, req *http.Request) {
		if arrived.Add(1) == 100 {
			close(release) // No request is answered before all requests of the schedule have arrived.
		}
		select {
		case <-release:
		case <-req.Context().Done():
		}
	})
	s := runTraffic(t, 100, "addresses = "+address, stockTraffic, constantArrivals).Sections[0]
	qt.Assert(t, s.Served, qt.Equals, uint64(100))
	qt.Assert(t, s.WholeResponse.MaxMS > 900, qt.IsTrue, qt.Commentf("%+v", s.WholeResponse))
}

// Guards against coordinated omission: the time that a request waits because max_in_flight is reached is part of its
// latency, and requests that don't start within start_limit are counted.
func TestLatencyCountsFromIntendedStart(t *testing.T) {
	t.Parallel()
	address := startServer(t, func(http.ResponseWriter, *http.Request) { time.Sleep(50 * time.Millisecond) })
	s := runTraffic(t, 100, "addresses = "+address, stockTraffic, constantArrivals+"max_in_flight = 1\nstart_limit = 400ms").Sections[0]
	qt.Assert(t, s.Due, qt.Equals, uint64(100))
	qt.Assert(t, s.Sent+s.NotStarted, qt.Equals, s.Due)
	qt.Assert(t, s.NotStarted > 0, qt.IsTrue)
	// The server takes 50 ms; a latency above 100 ms must include the wait since the intended start.
	qt.Assert(t, s.WholeResponse.P90MS > 100, qt.IsTrue, qt.Commentf("%+v", s.WholeResponse))
}

// streamServer answers every generate request with the events that the function returns for its prompt.
func streamServer(t *testing.T, events func(prompt string) string) string {
	return startServer(t, func(w http.ResponseWriter, req *http.Request) {
		var body callerBody
		_ = json.NewDecoder(req.Body).Decode(&body)
		w.Header().Set("X-Request-Id", "r1")
		_, _ = w.Write([]byte(events(body.Prompt)))
	})
}

// Guards against counting incomplete or wrong streams, or streams of other requests, as served.
func TestStreamChecks(t *testing.T) {
	token := func(offset int, text string) string {
		return fmt.Sprintf("data: {\"offset\":%d,\"token\":%q}\n\n", offset, text)
	}
	const end = "event: end\ndata: {\"request_id\":\"r1\",\"tokens\":2}\n\n"
	for _, test := range []struct {
		want   string
		events func(text []string) string
	}{
		{"ok", func(x []string) string { return token(0, x[0]) + token(1, x[1]) + end }},
		{truncated, func(x []string) string { return token(0, x[0]) + token(1, x[1]) }},
		{offsetMismatch, func(x []string) string { return token(0, x[0]) + token(2, x[1]) + end }},
		{offsetMismatch, func(x []string) string { return token(0, x[0]) + end }},
		{textMismatch, func(x []string) string { return token(0, x[0]) + token(1, x[0]) + end }},
		{foreignAnswer, func(x []string) string {
			return token(0, x[0]) + token(1, x[1]) + strings.Replace(end, "r1", "r2", 1)
		}},
		{"stream_incomplete", func(x []string) string {
			return token(0, x[0]) + "event: error\ndata: {\"code\":3003,\"name\":\"stream_incomplete\"}\n\n"
		}},
		{falseNotRun, func(x []string) string {
			return token(0, x[0]) + "event: error\ndata: {\"code\":2005,\"name\":\"no_target\",\"not_run\":true}\n\n"
		}},
	} {
		t.Run(test.want, func(t *testing.T) {
			t.Parallel()
			address := streamServer(t, func(prompt string) string { return test.events(engine.Text("m", prompt, 2)) })
			s := runTraffic(t, 5, "addresses = "+address, streamTraffic, constantArrivals).Sections[0]
			qt.Assert(t, len(s.Results), qt.Equals, 1)
			qt.Assert(t, s.Results[0].Name, qt.Equals, test.want)
			qt.Assert(t, s.WrongAnswers > 0, qt.Equals, wrongAnswerNames[test.want])
			qt.Assert(t, s.Served > 0, qt.Equals, test.want == "ok")
		})
	}
}

// Guards against sending only to an address that refuses connections or answers node_stopping while another one works.
func TestFailover(t *testing.T) {
	t.Parallel()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, closed.Close(), qt.IsNil)
	serving := startServer(t, func(http.ResponseWriter, *http.Request) {})
	stopping := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		result.Write(w, result.New(result.NodeStopping, "stopping"))
	})
	discovery := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		const format = `{"addresses":[{"address":%q},{"address":%q},{"address":%q}],"keep_seconds":0.1}`
		_, _ = fmt.Fprintf(w, format, closed.Addr().String(), stopping, serving)
	})
	s := runTraffic(t, 50, "ask = "+discovery, stockTraffic, constantArrivals).Sections[0]
	qt.Assert(t, s.Served, qt.Equals, uint64(50))
	qt.Assert(t, s.Failovers["node_stopping"] > 0 && s.Failovers[connectionFailed] > 0, qt.IsTrue, qt.Commentf("%v", s.Failovers))
}

// Guards against second executions and answers to other requests that go undetected, and against keys that two requests
// share.
func TestRepeatNever(t *testing.T) {
	for _, test := range []struct {
		name             string
		keepsAnswers     bool
		key              string // Returned instead of the request's own key; empty for the own key.
		different, wrong uint64
	}{{"kept answer", true, "", 0, 0}, {"second execution", false, "", 20, 0}, {"foreign answer", true, "other", 0, 40}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			runs, kept := 0, map[string][]byte{}
			address := startServer(t, func(w http.ResponseWriter, req *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				key := req.Header.Get("Idempotency-Key")
				if answer := kept[key]; test.keepsAnswers && answer != nil {
					_, _ = w.Write(answer)
					return
				}
				body, _ := io.ReadAll(req.Body)
				sum := sha256.Sum256(body)
				runs++
				answer := service.Answer{
					Execution: runs, Key: cmp.Or(test.key, key), Method: "POST", Path: "/confirm", BodySHA256: hex.EncodeToString(sum[:]),
				}
				kept[key], _ = json.Marshal(answer)
				_, _ = w.Write(kept[key])
			})
			s := runTraffic(t, 20, "addresses = "+address, confirmTraffic, constantArrivals).Sections[0]
			qt.Assert(t, s.Sent, qt.Equals, uint64(20))
			qt.Assert(t, s.Resends[0].Count, qt.Equals, uint64(20))
			qt.Assert(t, len(kept), qt.Equals, 20)
			qt.Assert(t, s.DifferentAnswers, qt.Equals, test.different)
			qt.Assert(t, s.WrongAnswers, qt.Equals, test.wrong)
		})
	}
}

// Guards against a result file that can't be read back, faults that are not sent, and an exit code that hides wrong
// answers.
func TestMainWritesResult(t *testing.T) {
	t.Parallel()
	var faultRequests atomic.Int64
	engineStandin := engine.New(engine.Options{
		VMs: []engine.VM{{Name: "v", Listen: "127.0.0.1:0"}}, Weights: []string{"m"}, ColdLimit: 50, TokenDelay: time.Millisecond,
	})
	qt.Assert(t, engineStandin.Start(), qt.IsNil)
	t.Cleanup(engineStandin.Close)
	joinGroupAndWait(t, "http://"+engineStandin.Addrs()["v"])
	faultAddress := startServer(t, func(http.ResponseWriter, *http.Request) { faultRequests.Add(1) })
	dir := t.TempDir()
	file, out := filepath.Join(dir, "x.ini"), filepath.Join(dir, "x.json")
	text := "[experiment]\nduration = 1s\nwarm_up = 200ms\n[traffic a]\nkind = generate\nmode = direct\nrate = 30\n" +
		"max_tokens = 4\nmodel = m\nengine = " + engineStandin.Addrs()["v"] +
		"\n[faults]\n100ms = POST http://" + faultAddress + "/a {}\n100ms = POST http://" + faultAddress + "/b {}\n"
	qt.Assert(t, os.WriteFile(file, []byte(text), 0o600), qt.IsNil)
	var stdout, stderr bytes.Buffer
	qt.Assert(t, Main(t.Context(), []string{file, "--json", out}, &stdout, &stderr), qt.IsNil)
	r, err := readResult(out)
	qt.Assert(t, err, qt.IsNil)
	s := r.Sections[0]
	qt.Assert(t, r.Experiment, qt.Equals, text)
	qt.Assert(t, s.Served > 0 && s.Served == s.Due, qt.IsTrue, qt.Commentf("%s", stdout.String()))
	qt.Assert(t, uint64(s.BetweenTokens.Count), qt.Equals, 3*s.Served)
	qt.Assert(t, faultRequests.Load(), qt.Equals, int64(2))
	stdout.Reset()
	qt.Assert(t, Main(t.Context(), []string{"--compare", out, out}, &stdout, &stderr), qt.IsNil)
	qt.Assert(t, stdout.String(), qt.Contains, "+0.0%")

	bad := strings.Replace(text, "model = m", "model = other", 1)
	qt.Assert(t, os.WriteFile(file, []byte(bad), 0o600), qt.IsNil)
	var exit *ExitError
	qt.Assert(t, Main(t.Context(), []string{file}, &stdout, &stderr), qt.ErrorAs, &exit)
	qt.Assert(t, exit.Code, qt.Equals, ExitWrong)
}

func joinGroupAndWait(t *testing.T, address string) {
	order, err := json.Marshal(engine.Order{Fence: 1, Action: "join", Group: "g", Number: 1, Size: 1, Model: "m", Pool: "p"})
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.Post(address+"/v1/orders", "application/json", bytes.NewReader(order))
	qt.Assert(t, err, qt.IsNil)
	_ = resp.Body.Close()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		var state engine.State
		if resp, err := http.Get(address + "/v1/state"); err == nil {
			_ = json.NewDecoder(resp.Body).Decode(&state)
			_ = resp.Body.Close()
		}
		if state.Ready {
			return
		}
		if time.Now().After(end) {
			t.Fatal("the engine is not ready after 10 s")
		}
	}
}

// Guards against an interrupted run that hangs or is reported as complete.
func TestInterrupt(t *testing.T) {
	t.Parallel()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	address := startServer(t, func(_ http.ResponseWriter, req *http.Request) {
		cancel()
		<-req.Context().Done()
	})
	e, err := Parse("f.ini", strings.Replace(validFile, "127.0.0.1:1,127.0.0.1:2", address, 1))
	qt.Assert(t, err, qt.IsNil)
	e.Constant = true
	r, err := Run(ctx, e)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.incompleteReason(), qt.Equals, "the run was interrupted")
	qt.Assert(t, r.Sections[0].Results[0].Name, qt.Equals, interrupted)
	// The full run has 20 arrivals; on a slow machine some more may start before the cancellation takes effect.
	qt.Assert(t, r.Sections[0].Due < 20, qt.IsTrue)
}
