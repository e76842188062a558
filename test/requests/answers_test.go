package requests

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/test/cluster"
	"cassiadeal.example/cassiadeal/test/harness"
)

const (
	requestsPerFault = 36
	answerTokens     = 50
	requestInterval  = 15 * time.Millisecond
	requestDeadline  = 20 * time.Second // For one caller, including its retries after refusals with not_run.
)

// outcomes counts requests by result: a complete answer, an error, or a refusal with not_run.
type outcomes struct {
	mu                        sync.Mutex
	complete, failed, refused int
}

func (o *outcomes) add(counter *int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*counter++
}

// sendRequests sends distinct prompts through all nodes, alternating between streams and JSON at each node, and checks each
// answer against the text that the engine must produce. inject runs once engines have received a third of the requests.
func sendRequests(t *testing.T, c *cluster.Cluster, label string, inject func()) *outcomes {
	results := &outcomes{}
	before := countGenerates(c)
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(requestInterval)
		defer ticker.Stop()
		for i := range requestsPerFault {
			prompt := fmt.Sprintf("%s: draft %d", label, i)
			d := c.Nodes[i%len(c.Nodes)]
			wg.Go(func() {
				if i/len(c.Nodes)%2 == 0 {
					results.sendStream(t, c, d, prompt)
				} else {
					results.sendJSON(t, c, d, prompt)
				}
			})
			<-ticker.C
		}
	})
	harness.Eventually(t, requestDeadline, func() error {
		if n := countGenerates(c) - before; n < requestsPerFault/3 {
			return fmt.Errorf("engines received %d requests", n)
		}
		return nil
	})
	inject()
	wg.Wait()
	t.Logf("%d complete, %d ended with an error, %d refused with not_run", results.complete, results.failed, results.refused)
	return results
}

// countGenerates returns the number of generate calls that the engines received.
func countGenerates(c *cluster.Cluster) (n int) {
	for _, e := range c.Engines {
		for _, vm := range e.Record() {
			n += len(vm.Generates)
		}
	}
	return n
}

func (o *outcomes) sendStream(t *testing.T, c *cluster.Cluster, d *cluster.Daemon, prompt string) {
	want := engine.Text(cluster.Model, prompt, answerTokens)
	var s cluster.Stream
	for end := time.Now().Add(requestDeadline); time.Now().Before(end); {
		if s = c.GenerateStream(d, prompt, answerTokens); !isNotRun(s.Answer) {
			break
		}
	}
	complete := len(s.Tokens) == len(want)
	switch {
	case len(s.Tokens) > len(want) || !slices.Equal(s.Tokens, want[:len(s.Tokens)]):
		t.Errorf("prompt %q at %s: %v: wrong tokens %.80q; want %.80q", prompt, d.NodeName, s, s.Tokens, want)
	case s.Ended && (!complete || s.ErrorCode != 0 || s.Err != nil):
		t.Errorf("prompt %q at %s: an end event without a complete answer: %v", prompt, d.NodeName, s)
	case s.Status == http.StatusOK && !s.Ended && s.ErrorCode == 0 && s.Err == nil:
		t.Errorf("prompt %q at %s: the stream ended without an end or error event: %v", prompt, d.NodeName, s)
	case s.Ended:
		o.add(&o.complete)
	case isNotRun(s.Answer):
		o.add(&o.refused)
	default:
		o.add(&o.failed)
	}
}

func (o *outcomes) sendJSON(t *testing.T, c *cluster.Cluster, d *cluster.Daemon, prompt string) {
	var a cluster.Answer
	for end := time.Now().Add(requestDeadline); time.Now().Before(end); {
		if a = c.Generate(d, prompt, answerTokens); !isNotRun(a) {
			break
		}
	}
	var got struct {
		Text   string
		Tokens int
	}
	switch {
	case isNotRun(a):
		o.add(&o.refused)
	case !isAnswered(a):
		o.add(&o.failed)
	case json.Unmarshal([]byte(a.Body), &got) != nil || got.Tokens != answerTokens ||
		got.Text != strings.Join(engine.Text(cluster.Model, prompt, answerTokens), ""):
		t.Errorf("prompt %q at %s: %v; the text differs from the one that the engine produces", prompt, d.NodeName, a)
	default:
		o.add(&o.complete)
	}
}

type answerFault struct {
	name string
	// recoverable means that the fault breaks connections or streams, not engines or nodes, so that resuming must give every
	// caller a complete answer.
	recoverable bool
	// invalidAnswers faults make every engine return a wrong request ID or no end marker: no answer may be passed on as
	// complete.
	invalidAnswers bool
	initial        engine.Faults // Set before the first request.
	inject         func(t *testing.T, c *cluster.Cluster)
}

func runAnswerFaults(t *testing.T, c *cluster.Cluster, faults []answerFault) {
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			setEngineFaults(c, f.initial)
			results := sendRequests(t, c, f.name, func() {
				if f.inject != nil {
					f.inject(t, c)
				}
			})
			if f.recoverable && results.complete != requestsPerFault {
				t.Errorf("%d of %d callers got a complete answer", results.complete, requestsPerFault)
			}
			if f.invalidAnswers && results.complete != 0 {
				t.Errorf("%d answers were passed on as complete although engines returned wrong request IDs or no end marker", results.complete)
			}
			setEngineFaults(c, engine.Faults{
				CutStreamAfter: new(0), SilentStreams: new(0), WrongRequestID: new(false), NoEndMarker: new(false), DuplicateTokens: new(false),
			})
			c.WaitMembers()
			c.WaitServing(c.Options.Replicas)
			after := &outcomes{}
			after.sendJSON(t, c, c.Nodes[0], f.name+": after the fault")
			if after.complete != 1 {
				t.Errorf("no complete answer after the fault")
			}
		})
	}
}

func setEngineFaults(c *cluster.Cluster, f engine.Faults) {
	for _, e := range c.Engines {
		e.SetFaults(f)
	}
}

func startPoolCluster(t *testing.T) *cluster.Cluster {
	o := cluster.Defaults()
	o.Services, o.ColdLimit = 0, 8
	o.EngineArgs = []string{"--token-delay=8ms", "--load-time=200ms", "--bears-cold=8"}
	o.Timing = "stream_idle = 1s"
	return cluster.Start(t, o)
}

// Guards against answers with tokens of another request, with repeated or lost tokens, and against truncated answers that
// are passed on as complete, when engines or their streams fail.
func TestInvariantWholeAnswersEngineFaults(t *testing.T) {
	parallel(t)
	c := startPoolCluster(t)
	runAnswerFaults(t, c, []answerFault{
		{name: "no fault", recoverable: true},
		{name: "streams cut after 7 tokens", recoverable: true, initial: engine.Faults{CutStreamAfter: new(7)}},
		{name: "silent streams", recoverable: true, initial: engine.Faults{SilentStreams: new(2)}},
		{name: "duplicate tokens", recoverable: true, initial: engine.Faults{DuplicateTokens: new(true)}},
		{name: "wrong request ID", invalidAnswers: true, initial: engine.Faults{WrongRequestID: new(true)}},
		{name: "wrong request ID on new streams", inject: func(_ *testing.T, c *cluster.Cluster) {
			setEngineFaults(c, engine.Faults{WrongRequestID: new(true)})
		}},
		{name: "cut, then wrong request ID", initial: engine.Faults{CutStreamAfter: new(30)}, inject: func(_ *testing.T, c *cluster.Cluster) {
			setEngineFaults(c, engine.Faults{WrongRequestID: new(true)})
		}},
		{name: "no end marker", invalidAnswers: true, initial: engine.Faults{NoEndMarker: new(true)}},
		{name: "engines restarted", inject: func(_ *testing.T, c *cluster.Cluster) {
			e := c.Engines["fd-a"]
			for vm := range e.VMs {
				e.SetFaults(engine.Faults{VM: vm, Restart: true})
			}
		}},
	})
}

// Guards against truncated answers that are passed on as complete, answers of another request and requests that never end
// when connections stop carrying data without closing, are reset, or a node is killed.
func TestInvariantWholeAnswersNetworkFaults(t *testing.T) {
	parallel(t)
	c := startPoolCluster(t)
	runAnswerFaults(t, c, []answerFault{
		{name: "engine connections frozen", recoverable: true, inject: func(_ *testing.T, c *cluster.Cluster) {
			for _, p := range c.VMProxy {
				p.FreezeExisting()
			}
		}},
		{name: "engine connections reset", recoverable: true, inject: func(_ *testing.T, c *cluster.Cluster) {
			for _, p := range c.VMProxy {
				p.ResetAll()
			}
		}},
		{name: "peer connections frozen", inject: func(_ *testing.T, c *cluster.Cluster) {
			for _, d := range c.Nodes {
				d.PeerProxy.FreezeExisting()
			}
		}},
		{name: "forwarding node killed", inject: func(_ *testing.T, c *cluster.Cluster) {
			d := holderOf(c, "pool")
			d.Kill()
			relaunch(c, d)
		}},
	})
}
