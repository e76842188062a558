package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/standin/endless"
)

// endlessGateway returns a gateway with the limits of a node, whose requests get an answer of equal parts without end, or of the given
// number of parts if it isn't negative.
func endlessGateway(t *testing.T, parts int, part func(n uint64) *schema.DispatchChunk) *testGateway {
	f := newTestGateway(t)
	f.gateway.opts.MaxAnswerBytes, f.gateway.opts.MaxInFlight = 8<<20, 1000
	f.execute = func(_ int64, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd {
		_ = sink(&schema.DispatchChunk{Part: &schema.DispatchChunk_Head{Head: &schema.DispatchHead{Status: 200}}})
		for n := 0; n != parts; n++ {
			if err := sink(part(uint64(n))); err != nil {
				return &schema.DispatchEnd{Code: int32(result.TargetFailed), Message: err.Error()}
			}
		}
		return &schema.DispatchEnd{}
	}
	return f
}

func bodyPart(uint64) *schema.DispatchChunk {
	return &schema.DispatchChunk{Part: &schema.DispatchChunk_Data{Data: make([]byte, 32<<10)}}
}

func tokenPart(n uint64) *schema.DispatchChunk {
	token := &schema.TokenEvent{Offset: n, Text: strings.Repeat("x", 32<<10)}
	return &schema.DispatchChunk{Part: &schema.DispatchChunk_Token{Token: token}}
}

func (f *testGateway) send(path string) (status, size int, err error) {
	req, err := http.NewRequest(http.MethodPost, f.URL+path, strings.NewReader(`{"prompt":"a","max_tokens":1}`))
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+testToken)
	resp, err := f.Client().Do(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, len(body), err
}

// Pattern: many targets send answers without end at once. Guards against a node that keeps them all and runs out of memory, and against an
// answer that is cut and passed on as complete.
func TestAnswersWithoutEndFitIntoMemory(t *testing.T) {
	const concurrent = 100
	for _, test := range []struct {
		path string
		part func(uint64) *schema.DispatchChunk
	}{{"/v1/services/s/safe/x", bodyPart}, {"/v1/pools/p/generate", tokenPart}} {
		t.Run(test.path, func(t *testing.T) {
			c := qt.New(t)
			f := endlessGateway(t, -1, test.part)
			peak := endless.PeakHeap(func() {
				var requests sync.WaitGroup
				for range concurrent {
					requests.Go(func() {
						status, _, err := f.send(test.path)
						c.Check(err, qt.IsNil)
						c.Check(status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("status %d", status))
					})
				}
				requests.Wait()
			})
			t.Logf("%d MB of heap in use at most", peak>>20)
			c.Check(peak < endless.SmallestHeap, qt.IsTrue, qt.Commentf("%d MB of heap in use", peak>>20))
		})
	}
}

// Guards against buffers that aren't given back: answers near the limit would be refused after some of them.
func TestLargeAnswersArePassedOnAgainAndAgain(t *testing.T) {
	const parts = 200 // 6.25 MB.
	for path, part := range map[string]func(uint64) *schema.DispatchChunk{"/v1/services/s/safe/x": bodyPart, "/v1/pools/p/generate": tokenPart} {
		f := endlessGateway(t, parts, part)
		for range 20 {
			status, size, err := f.send(path)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, status, qt.Equals, http.StatusOK)
			qt.Assert(t, size >= parts*(32<<10), qt.IsTrue)
		}
	}
}
