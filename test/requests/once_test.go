package requests

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"

	"cassiadeal.example/cassiadeal/internal/operator"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/standin/platform"
	"cassiadeal.example/cassiadeal/internal/standin/service"
	"cassiadeal.example/cassiadeal/test/cluster"
	"cassiadeal.example/cassiadeal/test/harness"
)

const (
	faultSeed      = 7
	keysPerFault   = 100
	keyInterval    = 20 * time.Millisecond
	keyDeadline    = 25 * time.Second // For one key with all its repeats.
	callTimeoutMS  = "3000"           // Value of the header X-Timeout-Ms.
	repeatInterval = 100 * time.Millisecond
	// maxUnknownAnswers is the number of outcome_unknown answers after which a caller gives up. It is above 1 because the
	// first can come from a lost connection between nodes, after which a repeat still gets the stored answer.
	maxUnknownAnswers = 4
	minAnsweredShare  = 0.9 // Share of keys that must be answered under each fault.
)

// confirmation is one idempotency key and all answers that its callers got.
type confirmation struct {
	key, body string
	answers   []cluster.Answer
	// earliestRun is the start of the first attempt that got any answer other than a refusal with not_run. An execution
	// before this time contradicts those refusals.
	earliestRun time.Time
}

func (k *confirmation) count(matches func(cluster.Answer) bool) (n int) {
	for _, a := range k.answers {
		if matches(a) {
			n++
		}
	}
	return n
}

func isAnswered(a cluster.Answer) bool       { return a.Status == http.StatusOK && a.Err == nil }
func isOutcomeUnknown(a cluster.Answer) bool { return a.Code == int(result.OutcomeUnknown) }
func isNotRun(a cluster.Answer) bool         { return a.Err == nil && a.Status != http.StatusOK && a.NotRun }

func sendConfirm(c *cluster.Cluster, d *cluster.Daemon, key, body string) cluster.Answer {
	return c.SendHeader(d, http.MethodPost, "/v1/services/bookings/confirm", body,
		http.Header{"Idempotency-Key": {key}, "X-Timeout-Ms": {callTimeoutMS}})
}

// send makes one attempt. A third of the keys each is sent to the same node at every attempt, to the next node at every
// attempt, and to two nodes at once; keyIndex decides. From the fifth attempt on, every key is sent to the next node.
func (k *confirmation) send(c *cluster.Cluster, keyIndex, attempt int) {
	nodes := []*cluster.Daemon{c.Nodes[keyIndex%len(c.Nodes)]} // The same node at every attempt.
	switch {
	case keyIndex/len(c.Nodes)%3 == 1 || attempt > 3:
		nodes[0] = c.Nodes[(keyIndex+attempt)%len(c.Nodes)]
	case keyIndex/len(c.Nodes)%3 == 2:
		nodes = append(nodes, c.Nodes[(keyIndex+1+attempt%2)%len(c.Nodes)])
	}
	answers := make([]cluster.Answer, len(nodes))
	startTime := time.Now()
	var wg sync.WaitGroup
	for i, d := range nodes {
		wg.Go(func() { answers[i] = sendConfirm(c, d, k.key, k.body) })
	}
	wg.Wait()
	k.answers = append(k.answers, answers...)
	if k.earliestRun.IsZero() && k.count(isNotRun) < len(k.answers) {
		k.earliestRun = startTime
	}
}

// sendUntilSettled sends a key until it was answered twice, got maxUnknownAnswers or keyDeadline has passed.
func (k *confirmation) sendUntilSettled(c *cluster.Cluster, keyIndex int) {
	ticker := time.NewTicker(repeatInterval)
	defer ticker.Stop()
	for end, attempt := time.Now().Add(keyDeadline), 0; time.Now().Before(end); attempt++ {
		k.send(c, keyIndex, attempt)
		if k.count(isAnswered) > 1 || k.count(isOutcomeUnknown) >= maxUnknownAnswers {
			return
		}
		<-ticker.C
	}
}

// sendKeys starts a new key every keyInterval, through all nodes, and sends each until it is settled. inject runs
// concurrently from key faultIndex on.
func sendKeys(c *cluster.Cluster, faultIndex int, inject func()) []*confirmation {
	keys := make([]*confirmation, keysPerFault)
	faultIndexReached := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		ticker := time.NewTicker(keyInterval)
		defer ticker.Stop()
		for i := range keys {
			k := &confirmation{key: uuid.Must(uuid.NewV7()).String(), body: fmt.Sprintf(`{"booking":%d}`, i)}
			keys[i] = k
			wg.Go(func() { k.sendUntilSettled(c, i) })
			if i == faultIndex {
				close(faultIndexReached)
			}
			<-ticker.C
		}
	})
	<-faultIndexReached
	inject()
	wg.Wait()
	return keys
}

// checkExecutions compares the answers that callers got with the services' records of executions, and returns the share of
// answered keys.
func checkExecutions(t *testing.T, c *cluster.Cluster, keys []*confirmation) float64 {
	t.Helper()
	executionCounts, firstExecutions := map[string]int{}, map[string]service.Execution{}
	for _, s := range c.Services {
		record := s.Record()
		if record.Dropped > 0 {
			t.Fatalf("the service dropped %d entries of its record", record.Dropped)
		}
		for _, e := range record.Executions {
			if executionCounts[e.Key]++; executionCounts[e.Key] == 1 || e.TimeUnixMS < firstExecutions[e.Key].TimeUnixMS {
				firstExecutions[e.Key] = e
			}
		}
	}
	answeredKeys, answerCounts := 0, map[string]int{}
	for _, k := range keys {
		n := executionCounts[k.key]
		if n > 1 {
			t.Errorf("key %s ran %d times: %v", k.key, n, k.answers)
		}
		if n > 0 && (k.earliestRun.IsZero() || firstExecutions[k.key].TimeUnixMS < k.earliestRun.UnixMilli()) {
			t.Errorf("key %s ran while all its answers so far were refusals with not_run: %v", k.key, k.answers)
		}
		var firstAnswer *cluster.Answer
		for _, a := range k.answers {
			answerCounts[fmt.Sprintf("%d/%d/%t", a.Status, a.Code, a.Err != nil)]++
			if !isAnswered(a) {
				continue
			}
			if firstAnswer == nil {
				firstAnswer = &a
				answeredKeys++
				checkAnswer(t, k, a, firstExecutions[k.key])
			} else if a.Body != firstAnswer.Body {
				t.Errorf("key %s got two different answers: %s and %s", k.key, firstAnswer.Body, a.Body)
			}
		}
	}
	share := float64(answeredKeys) / float64(len(keys))
	t.Logf("%d of %d keys answered; answers by status/code/transport error: %v", answeredKeys, len(keys), answerCounts)
	return share
}

// checkAnswer compares an answer with the execution that the service recorded for the key.
func checkAnswer(t *testing.T, k *confirmation, a cluster.Answer, execution service.Execution) {
	t.Helper()
	bodyHash := sha256.Sum256([]byte(k.body))
	want, err := json.Marshal(service.Answer{
		Service: "bookings", Execution: execution.Execution, Key: k.key, Method: http.MethodPost, Path: "/confirm", RequestID: execution.RequestID,
		BodySHA256: hex.EncodeToString(bodyHash[:]),
	})
	if err != nil {
		t.Fatal(err)
	}
	if a.Body != string(want) {
		t.Errorf("key %s was answered %s; the service produced %s", k.key, a.Body, want)
	}
}

// runConfirmFaults sends keys under each fault, and waits until the cluster serves again before the next one.
func runConfirmFaults(t *testing.T, c *cluster.Cluster, faults []confirmFault) {
	rng := rand.New(rand.NewPCG(faultSeed, 0))
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			setServiceFaults(c, service.Faults{DelayMS: new(f.delayMS)})
			keys := sendKeys(c, 10+rng.IntN(keysPerFault/2), func() { f.inject(t, c, rng) })
			c.Platform.SetFaults(platform.Faults{Mode: platform.ModeOK})
			for _, d := range c.Nodes {
				if err := d.PlatformProxy.Restore(); err != nil {
					t.Fatal(err)
				}
			}
			c.WaitMembers()
			c.WaitServing(0)
			if share := checkExecutions(t, c, keys); share < minAnsweredShare {
				t.Errorf("only %.0f%% of the keys were answered under one fault", 100*share)
			}
		})
	}
}

type confirmFault struct {
	name    string
	delayMS int64 // Duration of each execution.
	inject  func(t *testing.T, c *cluster.Cluster, rng *rand.Rand)
}

func setServiceFaults(c *cluster.Cluster, f service.Faults) {
	for _, s := range c.Services {
		s.SetFaults(f)
	}
}

// faultedRequestsPerService is the number of requests per back end whose answer a fault loses or falsifies. The outcome of
// as many keys can't be known.
const faultedRequestsPerService = 3

// Guards against a second execution after a service's answer is lost, late, truncated or has another request's ID, and
// against answers that the service did not give.
func TestInvariantAtMostOnceServiceFaults(t *testing.T) {
	parallel(t)
	c := startServiceCluster(t)
	injectServiceFaults := func(f service.Faults) func(*testing.T, *cluster.Cluster, *rand.Rand) {
		return func(_ *testing.T, c *cluster.Cluster, _ *rand.Rand) { setServiceFaults(c, f) }
	}
	runConfirmFaults(t, c, []confirmFault{
		{"reply dropped", 10, injectServiceFaults(service.Faults{DropReply: new(faultedRequestsPerService)})},
		{"closed before the run", 10, injectServiceFaults(service.Faults{CloseBeforeRun: new(faultedRequestsPerService)})},
		{"reply truncated", 10, injectServiceFaults(service.Faults{TruncateReply: new(faultedRequestsPerService)})},
		{"reply late", 10, injectServiceFaults(service.Faults{ReplyDelayOnceMS: new(int64(4000))})},
		{"wrong request ID", 10, injectServiceFaults(service.Faults{WrongRequestID: new(faultedRequestsPerService)})},
		{"restarted", 20, func(t *testing.T, c *cluster.Cluster, _ *rand.Rand) {
			c.Services[0].SetFaults(service.Faults{Restart: true})
		}},
		{"down and up", 20, func(t *testing.T, c *cluster.Cluster, _ *rand.Rand) {
			c.Services[1].SetFaults(service.Faults{Down: new(true)})
			harness.Eventually(t, keyDeadline, func() error {
				for _, d := range c.Nodes {
					s, err := c.Status(d)
					if err == nil && slices.ContainsFunc(s.Targets, func(target operator.TargetStatus) bool { return target.State == "lost" }) {
						return nil
					}
				}
				return errors.New("no node reports a lost target")
			})
			c.Services[1].SetFaults(service.Faults{Down: new(false)})
		}},
		{"service connections frozen", 50, func(t *testing.T, c *cluster.Cluster, _ *rand.Rand) {
			for _, p := range c.ServiceProxy {
				p.FreezeExisting()
			}
		}},
	})
}

// Guards against a second execution, and against a refusal with not_run of a key that ran, when nodes are killed or frozen
// or the connections between them stop carrying data without closing.
func TestInvariantAtMostOnceNodeFaults(t *testing.T) {
	parallel(t)
	c := startServiceCluster(t)
	killAndRelaunch := func(d *cluster.Daemon) {
		d.Kill()
		relaunch(c, d)
	}
	runConfirmFaults(t, c, []confirmFault{
		{"entry node killed", 60, func(t *testing.T, c *cluster.Cluster, rng *rand.Rand) {
			killAndRelaunch(c.Nodes[rng.IntN(len(c.Nodes))])
		}},
		{"holder killed", 60, func(t *testing.T, c *cluster.Cluster, _ *rand.Rand) {
			d := holderOf(c, "service")
			waitInFlight(t, c, d)
			killAndRelaunch(d)
		}},
		{"holder frozen past its lease", 60, func(t *testing.T, c *cluster.Cluster, _ *rand.Rand) {
			frozen := holderOf(c, "service")
			observer := c.Nodes[0]
			if observer == frozen {
				observer = c.Nodes[1]
			}
			waitInFlight(t, c, frozen)
			frozen.Freeze()
			harness.Eventually(t, keyDeadline, func() error {
				holderByTarget := targetHolders(c, observer, "service")
				for _, name := range holderByTarget {
					if name == frozen.NodeName || name == "" {
						return fmt.Errorf("%v: a target has no holder or still the frozen one", holderByTarget)
					}
				}
				return nil
			})
			frozen.Thaw()
		}},
		{"peer connections frozen", 50, func(t *testing.T, c *cluster.Cluster, _ *rand.Rand) {
			for _, d := range c.Nodes {
				d.PeerProxy.FreezeExisting()
			}
		}},
	})
}

// waitInFlight waits until a node has a request in flight at a target that it holds, so that the fault affects a request.
func waitInFlight(t *testing.T, c *cluster.Cluster, d *cluster.Daemon) {
	t.Helper()
	harness.Eventually(t, keyDeadline, func() error {
		s, err := c.Status(d)
		busy := func(target operator.TargetStatus) bool { return target.Holder == d.NodeName && target.InFlight > 0 }
		if err != nil || !slices.ContainsFunc(s.Targets, busy) {
			return fmt.Errorf("%s has nothing in flight, error %v", d.NodeName, err)
		}
		return nil
	})
}

// Guards against an execution without a claim that is in force at the platform, and against a refusal with not_run of a key
// that ran, when platform calls are slow, fail or lose their replies.
func TestInvariantAtMostOncePlatformFaults(t *testing.T) {
	parallel(t)
	c := startServiceCluster(t)
	claims := []string{"claims"}
	runConfirmFaults(t, c, []confirmFault{
		{"slow", 10, func(t *testing.T, c *cluster.Cluster, _ *rand.Rand) {
			c.Platform.SetFaults(platform.Faults{Mode: platform.ModeSlow, DelayMS: 300})
		}},
		{"replies lost after the write", 10, func(t *testing.T, c *cluster.Cluster, _ *rand.Rand) {
			c.Platform.SetFaults(platform.Faults{Mode: platform.ModeLoseReplies, Probability: 0.3, Kinds: claims})
		}},
		{"delayed and reset at the holder", 10, func(t *testing.T, c *cluster.Cluster, _ *rand.Rand) {
			d := holderOf(c, "service")
			d.PlatformProxy.SetDelay(100*time.Millisecond, 100*time.Millisecond)
			d.PlatformProxy.ResetAll()
		}},
	})
	t.Run("down", func(t *testing.T) { testPlatformOutage(t, c) })
	t.Run("refused keys", func(t *testing.T) { testRefusedKeys(t, c) })
}

// testPlatformOutage sends each key once while the platform is down, when all must be refused with not_run. Afterwards it
// sends them until they are settled.
func testPlatformOutage(t *testing.T, c *cluster.Cluster) {
	c.Platform.SetFaults(platform.Faults{Mode: platform.ModeDown})
	keys := make([]*confirmation, 30)
	var wg sync.WaitGroup
	for i := range keys {
		keys[i] = &confirmation{key: uuid.Must(uuid.NewV7()).String(), body: fmt.Sprint(i)}
		wg.Go(func() { keys[i].send(c, i, 0) })
	}
	wg.Wait()
	for _, k := range keys {
		if k.count(isNotRun) != len(k.answers) {
			t.Errorf("key %s was not refused with not_run during the outage: %v", k.key, k.answers)
		}
	}
	checkExecutions(t, c, keys)
	c.Platform.SetFaults(platform.Faults{Mode: platform.ModeOK})
	for i, k := range keys {
		wg.Go(func() { k.sendUntilSettled(c, i) })
	}
	wg.Wait()
	if share := checkExecutions(t, c, keys); share < minAnsweredShare {
		t.Errorf("only %.0f%% of the keys were answered after the outage", 100*share)
	}
}

// testRefusedKeys sends keys that must be refused without an execution.
func testRefusedKeys(t *testing.T, c *cluster.Cluster) {
	countExecutions := func() (n int) {
		for _, s := range c.Services {
			n += len(s.Record().Executions)
		}
		return n
	}
	usedKey := &confirmation{key: uuid.Must(uuid.NewV7()).String(), body: "first"}
	usedKey.sendUntilSettled(c, 0)
	before := countExecutions()
	for _, tc := range []struct {
		name, key string
		code      result.Code
	}{
		{"missing", "", result.KeyMissing},
		{"malformed", "booking-17", result.KeyMalformed},
		{"not time-ordered", "9b2d7f0e-5a53-4c43-8f0a-0d2ac9d9a3b1", result.KeyMalformed},
		{"old", newKeyAt(time.Now().Add(-11 * time.Minute)), result.KeyTooOld},
		{"from the future", newKeyAt(time.Now().Add(2 * time.Minute)), result.KeyInFuture},
		{"other content", usedKey.key, result.KeyReused},
	} {
		for _, d := range c.Nodes {
			if a := sendConfirm(c, d, tc.key, "second"); a.Code != int(tc.code) || !a.NotRun {
				t.Errorf("%s key at %s: %v; want code %d", tc.name, d.NodeName, a, tc.code)
			}
		}
	}
	if after := countExecutions(); after != before {
		t.Errorf("%d refused requests ran", after-before)
	}
}

// newKeyAt returns a UUIDv7 with the given timestamp.
func newKeyAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	return id.String()
}
