package platform_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/standin/platform"
)

type client struct {
	c    *qt.C
	base string
}

func start(t *testing.T, opts platform.Options) (client, *platform.Server) {
	s := platform.New(opts)
	addr, err := s.Start("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(s.Close)
	return client{qt.New(t), "http://" + addr}, s
}

// do sends a request and returns the status, the object version and the body. The status is 0 if the connection broke.
func (cl client) do(method, path, condition, body string) (int, string, string) {
	r, err := http.NewRequest(method, cl.base+path, strings.NewReader(body))
	cl.c.Assert(err, qt.IsNil)
	r.Header.Set("X-Client", "test")
	if name, value, ok := strings.Cut(condition, ": "); ok {
		r.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	cl.c.Assert(err, qt.IsNil)
	return resp.StatusCode, resp.Header.Get("X-Object-Version"), string(data)
}

// Guards against a condition that is not checked and against versions that do not increase across all kinds.
func TestConditionalWrites(t *testing.T) {
	cl, _ := start(t, platform.Options{})
	for i, step := range []struct {
		method, path, condition, body string
		status                        int
		version                       string
	}{
		{"PUT", "/v1/objects/a/x", "", `{}`, 400, ""},
		{"PUT", "/v1/objects/a/x", "If-Match: 1", `{}`, 412, ""},
		{"PUT", "/v1/objects/a/x", "If-None-Match: *", `{"n":1}`, 200, "1"},
		{"PUT", "/v1/objects/a/x", "If-None-Match: *", `{"n":2}`, 412, ""},
		{"PUT", "/v1/objects/b/y", "If-None-Match: *", `{}`, 200, "2"},
		{"PUT", "/v1/objects/a/x", "If-Match: 1", `{"n":3}`, 200, "3"},
		{"PUT", "/v1/objects/a/x", "If-Match: 1", `{"n":4}`, 412, ""},
		{"GET", "/v1/objects/a/x", "", "", 200, "3"},
		{"PUT", "/v1/objects/a/x", "If-Match: 3", fmt.Sprintf("%q", bytes.Repeat([]byte("x"), 1<<20)), 413, ""},
		{"DELETE", "/v1/objects/a/x", "If-Match: 2", "", 412, ""},
		{"DELETE", "/v1/objects/a/x", "If-Match: 3", "", 204, ""},
		{"DELETE", "/v1/objects/a/x", "If-Match: 3", "", 404, ""},
		{"GET", "/v1/objects/a/x", "", "", 404, ""},
	} {
		status, version, _ := cl.do(step.method, step.path, step.condition, step.body)
		cl.c.Check([]any{status, version}, qt.DeepEquals, []any{step.status, step.version}, qt.Commentf("step %d: %+v", i, step.method))
	}
	_, _, list := cl.do("GET", "/v1/objects/b", "", "")
	cl.c.Check(strings.TrimSpace(list), qt.Equals, `{"items":[{"name":"y","version":2,"data":{}}],"version":4}`)
}

// Guards against a watch that misses an event, answers without one before its timeout, or does not report that the events after a
// version are no longer all kept.
func TestWatch(t *testing.T) {
	cl, s := start(t, platform.Options{HistoryLimit: 2})
	answer := make(chan string)
	go func() {
		_, _, body := cl.do("GET", "/v1/objects/a?watch=1&since=0&timeout_ms=10000", "", "")
		answer <- body
	}()
	for s.Record().WaitingWatches == 0 {
		time.Sleep(time.Millisecond)
	}
	cl.do("PUT", "/v1/objects/b/other", "If-None-Match: *", `{}`)
	cl.do("PUT", "/v1/objects/a/x", "If-None-Match: *", `{}`)
	cl.c.Check(strings.TrimSpace(<-answer), qt.Equals,
		`{"events":[{"name":"x","version":2,"deleted":false,"data":{}}],"version":2}`)
	cl.do("PUT", "/v1/objects/a/x", "If-Match: 2", `{}`)
	cl.do("DELETE", "/v1/objects/a/x", "If-Match: 3", "")
	for since, want := range map[int]int{0: 410, 1: 410, 2: 200, 4: 200, 9: 410} {
		status, _, _ := cl.do("GET", fmt.Sprintf("/v1/objects/a?watch=1&since=%d&timeout_ms=1", since), "", "")
		cl.c.Check(status, qt.Equals, want, qt.Commentf("since %d", since))
	}
}

// Guards against fault switches that do not do what integration tests rely on.
func TestFaultModes(t *testing.T) {
	cl, s := start(t, platform.Options{})
	setFaults := func(f platform.Faults) { cl.c.Assert(s.SetFaults(f), qt.IsNil) }

	setFaults(platform.Faults{Mode: platform.ModeLoseReplies})
	status, _, _ := cl.do("PUT", "/v1/objects/a/x", "If-None-Match: *", `{"n":1}`)
	cl.c.Check(status, qt.Equals, 0)
	status, version, _ := cl.do("GET", "/v1/objects/a/x", "", "")
	cl.c.Check([]any{status, version}, qt.DeepEquals, []any{200, "1"})

	setFaults(platform.Faults{Mode: platform.ModeStaleReads})
	status, version, _ = cl.do("PUT", "/v1/objects/a/x", "If-Match: 1", `{"n":2}`)
	cl.c.Check([]any{status, version}, qt.DeepEquals, []any{200, "2"})
	_, version, _ = cl.do("GET", "/v1/objects/a/x", "", "")
	cl.c.Check(version, qt.Equals, "1")

	setFaults(platform.Faults{Mode: platform.ModeDown, Kinds: []string{"a"}, Clients: []string{"test"}})
	status, _, _ = cl.do("GET", "/v1/objects/a/x", "", "")
	cl.c.Check(status, qt.Equals, 503)
	status, _, _ = cl.do("GET", "/v1/objects/b", "", "")
	cl.c.Check(status, qt.Equals, 200)

	setFaults(platform.Faults{})
	_, version, _ = cl.do("GET", "/v1/objects/a/x", "", "")
	cl.c.Check(version, qt.Equals, "2")
	cl.c.Check(s.Record().Writes, qt.HasLen, 2)
}

// Guards against a VM list that shows a change before its lag has passed, or never.
func TestVMListLags(t *testing.T) {
	cl, _ := start(t, platform.Options{})
	const lag = 50 * time.Millisecond
	begin := time.Now()
	status, _, _ := cl.do("PUT", "/admin/vms", "", `{"list_lag_ms":50,"vms":[{"name":"v1","state":"VM_STATE_LIVE"}]}`)
	cl.c.Assert(status, qt.Equals, 204)
	_, _, body := cl.do("GET", "/v1/vms?watch=1&since=0&timeout_ms=10000", "", "")
	cl.c.Check(time.Since(begin) >= lag, qt.IsTrue)
	var list struct{ VMs []json.RawMessage }
	cl.c.Assert(json.Unmarshal([]byte(body), &list), qt.IsNil)
	cl.c.Check(list.VMs, qt.HasLen, 1)
	status, _, _ = cl.do("PUT", "/admin/vms", "", `{"vms":[{"name":"v1","state":"BROKEN"}]}`)
	cl.c.Check(status, qt.Equals, 400)
}

// Guards against a slow write that is dropped when its client gives up, and against a rate limit without effect.
func TestSlowWriteAndRateLimit(t *testing.T) {
	cl, s := start(t, platform.Options{ReadsPerSec: 1})
	cl.c.Assert(s.SetFaults(platform.Faults{Mode: platform.ModeSlow, DelayMS: 100}), qt.IsNil)
	r, err := http.NewRequest("PUT", cl.base+"/v1/objects/a/x", strings.NewReader(`{}`))
	cl.c.Assert(err, qt.IsNil)
	r.Header.Set("If-None-Match", "*")
	_, err = (&http.Client{Timeout: 20 * time.Millisecond}).Do(r)
	cl.c.Check(err, qt.IsNotNil)
	for end := time.Now().Add(10 * time.Second); len(s.Record().Writes) == 0; time.Sleep(time.Millisecond) {
		cl.c.Assert(time.Now().Before(end), qt.IsTrue)
	}
	cl.c.Assert(s.SetFaults(platform.Faults{}), qt.IsNil)
	first, _, _ := cl.do("GET", "/v1/objects/a/x", "", "")
	second, _, _ := cl.do("GET", "/v1/objects/a/x", "", "")
	cl.c.Check([]int{first, second}, qt.DeepEquals, []int{200, 429})
}
