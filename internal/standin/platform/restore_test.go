package platform_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/standin/platform"
)

// era sends a request with the given condition of era, if any, and returns the status and the era that the answer states.
func (cl client) era(method, path, condition, era, body string) (int, string) {
	r, err := http.NewRequest(method, cl.base+path, strings.NewReader(body))
	cl.c.Assert(err, qt.IsNil)
	if name, value, ok := strings.Cut(condition, ": "); ok {
		r.Header.Set(name, value)
	}
	if era != "" {
		r.Header.Set(platform.EraHeader, era)
	}
	resp, err := http.DefaultClient.Do(r)
	cl.c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	cl.c.Assert(err, qt.IsNil)
	return resp.StatusCode, resp.Header.Get(platform.EraHeader)
}

// Guards against a restore that keeps a lost write, gives out no version again, or lets a write for a former era pass.
func TestRestoreBringsAnOlderCopyBack(t *testing.T) {
	cl, s := start(t, platform.Options{})
	cl.do("PUT", "/v1/objects/a/kept", "If-None-Match: *", `{"n":1}`)
	cl.do("PUT", "/v1/objects/a/deleted", "If-None-Match: *", `{}`)
	const age = 50 * time.Millisecond
	time.Sleep(2 * age) // The copy is made in this time.
	cl.do("PUT", "/v1/objects/a/kept", "If-Match: 1", `{"n":2}`)
	cl.do("DELETE", "/v1/objects/a/deleted", "If-Match: 2", "")
	cl.do("PUT", "/v1/objects/a/new", "If-None-Match: *", `{}`)
	_, era := cl.era("GET", "/v1/objects/a", "", "", "")
	cl.c.Check(era, qt.Equals, "0")
	cl.c.Assert(s.Restore(platform.Restore{AgeMS: age.Milliseconds()}), qt.IsNil)

	_, _, list := cl.do("GET", "/v1/objects/a", "", "")
	cl.c.Check(strings.TrimSpace(list), qt.Equals,
		`{"items":[{"name":"deleted","version":2,"data":{}},{"name":"kept","version":1,"data":{"n":1}}],"version":2}`)
	for since, want := range map[int]int{0: 200, 2: 200, 3: 410, 5: 410} {
		status, _, _ := cl.do("GET", fmt.Sprintf("/v1/objects/a?watch=1&since=%d&timeout_ms=1", since), "", "")
		cl.c.Check(status, qt.Equals, want, qt.Commentf("since %d", since))
	}
	status, era := cl.era("PUT", "/v1/objects/a/kept", "If-Match: 1", "0", `{"n":3}`)
	cl.c.Check([]any{status, era}, qt.DeepEquals, []any{412, "1"})
	status, era = cl.era("DELETE", "/v1/objects/a/kept", "If-Match: 1", "0", "")
	cl.c.Check([]any{status, era}, qt.DeepEquals, []any{412, "1"})
	status, _ = cl.era("PUT", "/v1/objects/a/other", "If-None-Match: *", "0", `{}`)
	cl.c.Check(status, qt.Equals, 412)
	status, _ = cl.era("PUT", "/v1/objects/a/kept", "If-Match: 1", "1", `{"n":3}`)
	cl.c.Check(status, qt.Equals, 200)
	_, version, _ := cl.do("GET", "/v1/objects/a/kept", "", "")
	cl.c.Check(version, qt.Equals, "3")
	_, _, events := cl.do("GET", "/v1/objects/a?watch=1&since=2&timeout_ms=1", "", "")
	cl.c.Check(strings.TrimSpace(events), qt.Equals,
		`{"events":[{"name":"kept","version":3,"deleted":false,"data":{"n":3}}],"version":3}`)
	cl.c.Check(s.Record().Writes, qt.HasLen, 6)
}

// Guards against a store that answers while it is away, and against a watch that waits through the restore.
func TestRestoreTakesTheStoreAway(t *testing.T) {
	cl, s := start(t, platform.Options{})
	status := make(chan int)
	go func() {
		code, _, _ := cl.do("GET", "/v1/objects/a?watch=1&since=0&timeout_ms=10000", "", "")
		status <- code
	}()
	for s.Record().WaitingWatches == 0 {
		time.Sleep(time.Millisecond)
	}
	done := make(chan error)
	go func() { done <- s.Restore(platform.Restore{DownMS: 200}) }()
	cl.c.Check(<-status, qt.Equals, 503)
	code, _, _ := cl.do("PUT", "/v1/objects/a/x", "If-None-Match: *", `{}`)
	cl.c.Check(code, qt.Equals, 503)
	cl.c.Check(<-done, qt.IsNil)
	code, _, _ = cl.do("PUT", "/v1/objects/a/x", "If-None-Match: *", `{}`)
	cl.c.Check(code, qt.Equals, 200)
}
