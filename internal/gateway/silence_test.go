package gateway

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Guards against a request that is refused because the targets were silent for a second: the nodes that hold them refuse it meanwhile, but
// their summaries still list them. If no target comes back, it is refused after noTargetWait, without many attempts.
func TestRequestOutlastsASilentSecondOfTheTargets(t *testing.T) {
	for _, test := range []struct {
		name    string
		queued  time.Duration // The first attempt waits in a queue for so long, and is then refused.
		silence time.Duration // After that.
		served  bool
		within  time.Duration
	}{
		{"new request", 0, 1200 * time.Millisecond, true, 2 * time.Second},
		{"queued for longer than a request waits for a target", noTargetWait + 500*time.Millisecond, 1200 * time.Millisecond, true, noTargetWait + 2500*time.Millisecond},
		{"targets don't come back", 0, time.Minute, false, noTargetWait + time.Second},
		{"queued, targets don't come back", noTargetWait, time.Minute, false, noTargetWait + minNoTargetWait + time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newTestGateway(t)
			current, _ := f.gateway.opts.Rules()
			service := current.Services["s"]
			service.Deadline = 20 * time.Second
			current.Services["s"] = service
			succeed, begin := f.execute, time.Now()
			f.execute = func(attempt int64, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd {
				if attempt == 1 {
					time.Sleep(test.queued)
				}
				if time.Since(begin) < test.queued+test.silence {
					return &schema.DispatchEnd{Code: int32(result.NoTarget), NotRun: true}
				}
				return succeed(attempt, sink)
			}
			req, err := http.NewRequest(http.MethodGet, f.URL+"/v1/services/s/safe/x", nil)
			c.Assert(err, qt.IsNil)
			req.Header.Set("Authorization", "Bearer "+testToken)
			resp, err := http.DefaultClient.Do(req)
			c.Assert(err, qt.IsNil)
			_ = resp.Body.Close()
			took := time.Since(begin)
			c.Check(resp.StatusCode == http.StatusOK, qt.Equals, test.served, qt.Commentf("status %d after %v", resp.StatusCode, took))
			c.Check(took < test.within, qt.IsTrue, qt.Commentf("took %v", took))
			c.Check(f.executed.Load() <= maxVainAttempts, qt.IsTrue)
			t.Logf("status %d after %v and %d attempts", resp.StatusCode, took, f.executed.Load())
		})
	}
}
