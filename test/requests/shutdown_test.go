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

	"github.com/google/uuid"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/internal/standin/service"
	"cassiadeal.example/cassiadeal/test/cluster"
	"cassiadeal.example/cassiadeal/test/harness"
)

const (
	streamsPerNode  = 3
	confirmsPerNode = 2
	// addressRemovalBound is the time within which all other nodes must stop listing the address of a leaving node.
	addressRemovalBound = 5 * time.Second
)

// longRequests collects the results of long requests through all nodes.
type longRequests struct {
	wg       sync.WaitGroup
	mu       sync.Mutex
	wantText map[string]string         // Expected text by prompt.
	streams  map[string]cluster.Stream // By prompt, "NODE stream N".
	answers  map[string]cluster.Answer // By prompt, "NODE json N".
	keys     []*confirmation
}

// startLongRequests sends long streams, JSON requests and confirmations through all nodes and waits until targets run them
// all. Requests through later nodes have more tokens, so that a first node that leaves still runs requests of other nodes
// after its own callers have their answers.
func startLongRequests(t *testing.T, c *cluster.Cluster, tokens int) *longRequests {
	requests := &longRequests{wantText: map[string]string{}, streams: map[string]cluster.Stream{}, answers: map[string]cluster.Answer{}}
	before := countGenerates(c)
	for n, d := range c.Nodes {
		tokens := tokens + 50*n
		for i := range streamsPerNode {
			streamPrompt, jsonPrompt := fmt.Sprintf("%s stream %d", d.NodeName, i), fmt.Sprintf("%s json %d", d.NodeName, i)
			for _, p := range []string{streamPrompt, jsonPrompt} {
				requests.wantText[p] = strings.Join(engine.Text(cluster.Model, p, tokens), "")
			}
			requests.wg.Go(func() {
				s := c.GenerateStream(d, streamPrompt, tokens)
				requests.mu.Lock()
				defer requests.mu.Unlock()
				requests.streams[streamPrompt] = s
			})
			requests.wg.Go(func() {
				a := c.Generate(d, jsonPrompt, tokens)
				requests.mu.Lock()
				defer requests.mu.Unlock()
				requests.answers[jsonPrompt] = a
			})
		}
		for i := range confirmsPerNode {
			k := &confirmation{key: uuid.Must(uuid.NewV7()).String(), body: fmt.Sprintf("%s %d", d.NodeName, i)}
			requests.keys = append(requests.keys, k)
			requests.wg.Go(func() {
				k.earliestRun = time.Now()
				k.answers = []cluster.Answer{c.SendHeader(d, http.MethodPost, "/v1/services/bookings/confirm", k.body,
					http.Header{"Idempotency-Key": {k.key}})}
			})
		}
	}
	harness.Eventually(t, requestDeadline, func() error {
		executions := 0
		for _, s := range c.Services {
			executions += len(s.Record().Executions)
		}
		if n := countGenerates(c) - before; n < 2*streamsPerNode*len(c.Nodes) || executions < len(requests.keys) {
			return fmt.Errorf("engines run %d requests, services %d", n, executions)
		}
		return nil
	})
	return requests
}

// busyHolder returns a node that has requests in flight at targets of both kinds.
func busyHolder(t *testing.T, c *cluster.Cluster) *cluster.Daemon {
	t.Helper()
	for _, d := range c.Nodes {
		s, err := c.Status(d)
		if err != nil {
			t.Fatal(err)
		}
		busy := map[string]bool{}
		for _, target := range s.Targets {
			busy[target.Kind] = busy[target.Kind] || target.Holder == d.NodeName && target.InFlight > 0
		}
		if busy["pool"] && busy["service"] {
			return d
		}
	}
	t.Fatal("no node has requests in flight at targets of both kinds")
	return nil
}

func startShutdownCluster(t *testing.T, timing string, serviceDelay int64) *cluster.Cluster {
	o := cluster.Defaults()
	// All targets are in the failure domain of one node, which therefore holds them and runs the other nodes' requests.
	o.Domains, o.Nodes, o.VMsPerDomain = []string{"fd-a"}, []string{"fd-a", "fd-b", "fd-b"}, 9
	o.ColdLimit, o.FullLimit = 8, 16
	o.EngineArgs = []string{"--token-delay=15ms", "--load-time=200ms", "--bears-cold=8", "--slots-warm=16"}
	o.ServiceArgs = []string{"--bears-cold=8"}
	o.Timing = timing
	c := cluster.Start(t, o)
	setServiceFaults(c, service.Faults{DelayMS: new(serviceDelay)})
	return c
}

// Guards against a graceful shutdown that cuts off requests at the entry node or at the holder, that closes the caller
// address while callers may still use it, or that doesn't end.
func TestInvariantGracefulShutdown(t *testing.T) {
	parallel(t)
	c := startShutdownCluster(t, "address_keep = 2s\nshutdown_limit = 30s", 7000)
	requests := startLongRequests(t, c, 450) // Streams of 7 to 8 s, longer than address_keep.
	leaving := busyHolder(t, c)
	others := slices.DeleteFunc(slices.Clone(c.Nodes), func(d *cluster.Daemon) bool { return d == leaving })
	setServiceFaults(c, service.Faults{DelayMS: new(int64(10))}) // For calls after the shutdown begins.
	leaving.Terminate()
	lastListed, keep := waitAddressRemoved(t, c, leaving, others)
	sendUntil(t, c, leaving, lastListed.Add(keep))
	if code := leaving.WaitExit(time.Minute); code != 0 {
		t.Errorf("the node exited with %d", code)
	}
	requests.wg.Wait()
	for prompt, s := range requests.streams {
		if !s.Ended || s.Err != nil || strings.Join(s.Tokens, "") != requests.wantText[prompt] {
			t.Errorf("%s was cut off: %v", prompt, s)
		}
	}
	for prompt, a := range requests.answers {
		if !isAnswered(a) || !strings.Contains(a.Body, requests.wantText[prompt]) {
			t.Errorf("%s was cut off: %v", prompt, a)
		}
	}
	if share := checkExecutions(t, c, requests.keys); share < 1 {
		t.Error("confirmations were cut off")
	}
	if n := countOverloads(c); n > 0 {
		t.Errorf("%d overloads of cold targets under the requests of the old and the new holder", n)
	}
}

func countOverloads(c *cluster.Cluster) (n int) {
	for _, s := range c.Services {
		n += len(s.Record().Overloads)
	}
	for _, e := range c.Engines {
		for _, vm := range e.Record() {
			n += len(vm.Overloads)
		}
	}
	return n
}

// waitAddressRemoved polls the other nodes until none lists the address of the leaving one. It returns when the address was
// last listed and for how long callers may keep a list.
func waitAddressRemoved(t *testing.T, c *cluster.Cluster, leaving *cluster.Daemon, others []*cluster.Daemon) (lastListed time.Time, keep time.Duration) {
	t.Helper()
	harness.Eventually(t, addressRemovalBound, func() error {
		for _, d := range others {
			requestTime := time.Now() // A caller may have received the list at any time after this.
			addresses, answerKeep, err := c.Addresses(d)
			if err != nil {
				return err
			}
			keep = answerKeep
			if slices.Contains(addresses, leaving.CallerAddr) {
				lastListed = requestTime
				return fmt.Errorf("%s still lists the address of %s", d.NodeName, leaving.NodeName)
			}
		}
		return nil
	})
	if lastListed.IsZero() {
		lastListed = time.Now()
	}
	return lastListed, keep
}

// sendUntil sends requests to a leaving node until the given time, up to which callers may use its address. Each must be
// served or refused with not_run.
func sendUntil(t *testing.T, c *cluster.Cluster, leaving *cluster.Daemon, until time.Time) {
	t.Helper()
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	var wg sync.WaitGroup
	results := &outcomes{}
	for i := 0; time.Now().Before(until); i++ {
		wg.Go(func() {
			remaining := time.Until(until)
			a := cluster.Answer{}
			if i%2 == 0 {
				a = c.Generate(leaving, fmt.Sprintf("late caller %d", i), 2)
			} else {
				a = sendConfirm(c, leaving, uuid.Must(uuid.NewV7()).String(), "late")
			}
			switch {
			case isAnswered(a):
				results.add(&results.complete)
			case isNotRun(a):
				results.add(&results.refused)
			default:
				t.Errorf("late caller %d, %s before the address may be closed: %v", i, remaining, a)
			}
		})
		<-ticker.C
	}
	wg.Wait()
	t.Logf("late callers: %d served, %d refused with not_run", results.complete, results.refused)
}

// Guards against streams that end without an error event when the shutdown limit passes, and against a second execution of
// a confirmation that was cut off at that time.
func TestInvariantShutdownLimit(t *testing.T) {
	parallel(t)
	c := startShutdownCluster(t, "address_keep = 1s\nshutdown_limit = 3s", 6000)
	requests := startLongRequests(t, c, 600) // Streams of 9 to 11 s, longer than shutdown_limit.
	leaving := busyHolder(t, c)
	leaving.Terminate()
	leaving.WaitExit(20 * time.Second)
	requests.wg.Wait()
	endedByLimit, complete := 0, 0
	for prompt, s := range requests.streams {
		want := requests.wantText[prompt]
		enteredAtLeaving := strings.HasPrefix(prompt, leaving.NodeName)
		switch got := strings.Join(s.Tokens, ""); {
		case !strings.HasPrefix(want, got):
			t.Errorf("%s: wrong tokens: %v", prompt, s)
		case s.Ended && got == want && !enteredAtLeaving:
			complete++
		case s.ErrorCode == int(result.ShutdownLimit) && s.Err == nil && !s.Ended:
			endedByLimit++
		default:
			t.Errorf("%s ended without the expected end or error event: %v", prompt, s)
		}
	}
	for prompt, a := range requests.answers {
		var got struct{ Text string }
		correct := isAnswered(a) && json.Unmarshal([]byte(a.Body), &got) == nil && got.Text == requests.wantText[prompt]
		if !correct && a.Code != int(result.ShutdownLimit) {
			t.Errorf("%s: %v", prompt, a)
		}
	}
	t.Logf("streams: %d complete, %d ended by the limit", complete, endedByLimit)
	if endedByLimit <= streamsPerNode {
		t.Errorf("only %d streams ended by the limit, so none of those that the leaving node ran for other nodes", endedByLimit)
	}
	c.Nodes = slices.DeleteFunc(c.Nodes, func(d *cluster.Daemon) bool { return d == leaving })
	for i, k := range requests.keys {
		requests.wg.Go(func() { k.sendUntilSettled(c, i) })
	}
	requests.wg.Wait()
	checkExecutions(t, c, requests.keys)
	for _, k := range requests.keys {
		if first := k.answers[0]; !isAnswered(first) && !isOutcomeUnknown(first) && first.Code != int(result.ShutdownLimit) {
			t.Errorf("key %s: %v", k.key, first)
		}
	}
}

// Guards against requests that come late in a graceful shutdown, are passed on and then cancelled at the shutdown limit, so that nobody
// knows whether those that may not be repeated have run.
func TestLateRequestsThatOutlastAShutdownAreNotPassedOn(t *testing.T) {
	parallel(t)
	c := startShutdownCluster(t, "address_keep = 2s\nshutdown_limit = 4s", 10) // The time limit of confirmations is 10 s.
	leaving, holder := c.Nodes[1], c.Nodes[0]                                  // The leaving one runs all requests at the holder.
	confirm := func(d *cluster.Daemon, key string) cluster.Answer {
		return c.SendHeader(d, http.MethodPost, "/v1/services/bookings/confirm", "late", http.Header{"Idempotency-Key": {key}})
	}
	setServiceFaults(c, service.Faults{DelayMS: new(int64(10))})
	harness.Eventually(t, requestDeadline, func() error {
		if a := confirm(holder, uuid.Must(uuid.NewV7()).String()); !isAnswered(a) {
			return fmt.Errorf("the targets don't serve yet: %v", a)
		}
		return nil
	})
	time.Sleep(time.Second) // The leaving node has heard that they serve.
	setServiceFaults(c, service.Faults{DelayMS: new(int64(5000))})
	before := countExecutions(c)
	leaving.Terminate()
	time.Sleep(200 * time.Millisecond)
	key := uuid.Must(uuid.NewV7()).String()
	sent := time.Now()
	late := confirm(leaving, key)
	if !isNotRun(late) || late.Code != int(result.NodeStopping) || time.Since(sent) > time.Second {
		t.Errorf("the late request ended after %v with %v", time.Since(sent), late)
	}
	if a := confirm(holder, key); !isAnswered(a) {
		t.Errorf("the request was refused elsewhere: %v", a)
	}
	if n := countExecutions(c) - before; n != 1 {
		t.Errorf("the confirmation ran %d times, want once", n)
	}
}

func countExecutions(c *cluster.Cluster) (n int) {
	for _, s := range c.Services {
		n += len(s.Record().Executions)
	}
	return n
}
