//go:build capacity

// Package capacity measures the resource use of one node at several system sizes and fits lines through the results, for
// docs/CAPACITY.md. Run one test at a time; each prints its points and slopes:
//
//	go test -tags capacity -count=1 -v -timeout 10m -run 'TestMembership$' ./test/capacity
package capacity

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"cassiadeal.example/cassiadeal/test/cluster"
	"cassiadeal.example/cassiadeal/test/faultproxy"
	"cassiadeal.example/cassiadeal/test/harness"
)

var (
	windowLength = flag.Duration("window", 10*time.Second, "length of a measurement")
	windows      = flag.Int("windows", 2, "measurements at each size, in sequence")
)

const (
	// settleTime is longer than a lease term plus its margin and the period of reduced limits after the first
	// takeovers.
	settleTime   = 8 * time.Second
	ticksPerSec  = 100    // USER_HZ of /proc/PID/stat on Linux.
	utime, stime = 11, 12 // Indexes of the processor times in that file, counted from the field after the name.
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// values are the results of one measurement, by name. Rates are per node and second unless the name says otherwise.
type values map[string]float64

// sweep collects measurements while one size varies.
type sweep struct {
	t        *testing.T
	sizeName string
	sizes    []float64
	results  []values
}

func (s *sweep) add(size float64, result values) {
	fmt.Printf("POINT %s %s=%g", s.t.Name(), s.sizeName, size)
	for _, name := range slices.Sorted(maps.Keys(result)) {
		fmt.Printf(" %s=%.4g", name, result[name])
	}
	fmt.Println()
	if result["failed_per_s"] == 0 { // A refusal costs less than an answer and would make the fitted line too flat.
		s.sizes, s.results = append(s.sizes, size), append(s.results, result)
	}
}

// fit prints the least-squares line of each value as a function of the size, with the largest deviation from it.
func (s *sweep) fit() {
	for _, name := range slices.Sorted(maps.Keys(s.results[0])) {
		if name == "secs" || strings.HasPrefix(name, "cpu_s_node") {
			continue
		}
		var n, sx, sy, sxx, sxy float64
		for i, x := range s.sizes {
			y := s.results[i][name]
			n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
		}
		slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
		intercept := (sy - slope*sx) / n
		maxDeviation := 0.0
		for i, x := range s.sizes {
			maxDeviation = max(maxDeviation, s.results[i][name]-intercept-slope*x, intercept+slope*x-s.results[i][name])
		}
		fmt.Printf("SLOPE %s %s = %.4g + %.4g * %s (largest deviation %.3g)\n", s.t.Name(), name, intercept, slope, s.sizeName, maxDeviation)
	}
}

// snapshot holds the values of all counters at one time.
type snapshot struct {
	at                 time.Time
	cpu, rss           []float64 // Processor seconds and resident MB, by node.
	peer, platform, vm traffic
	calls              map[string]float64 // Platform calls of all nodes, by method and kind.
	watches            float64
}

// traffic counts the bytes in both directions and the reads that returned data sent to the server.
type traffic struct{ bytes, reads float64 }

func (t *traffic) add(proxies ...*faultproxy.Proxy) {
	for _, p := range proxies {
		n := p.Traffic()
		t.bytes += float64(n.Bytes[0] + n.Bytes[1])
		t.reads += float64(n.Reads[faultproxy.ToUpstream])
	}
}

func (t traffic) minus(o traffic) traffic { return traffic{t.bytes - o.bytes, t.reads - o.reads} }

func takeSnapshot(c *cluster.Cluster) snapshot {
	record := c.Platform.Record()
	s := snapshot{at: time.Now(), calls: map[string]float64{}, watches: float64(record.WaitingWatches)}
	for _, d := range c.Nodes {
		s.cpu = append(s.cpu, procFields(c.T, d.Pid(), "stat", ") ", utime, stime)/ticksPerSec)
		s.rss = append(s.rss, procFields(c.T, d.Pid(), "status", "VmRSS:", 0)/1024)
		s.peer.add(d.PeerProxy)
		s.platform.add(d.PlatformProxy)
	}
	s.vm.add(slices.Collect(maps.Values(c.VMProxy))...)
	s.vm.add(c.ServiceProxy...)
	for _, n := range record.Calls {
		if strings.HasPrefix(n.Client, "node-") {
			s.calls[n.Method+" "+n.Kind] += float64(n.Count)
		}
	}
	return s
}

// procFields returns the sum of some fields of a file in /proc/PID, counted after a marker string.
func procFields(t testing.TB, pid int, file, marker string, fields ...int) (sum float64) {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	_, rest, ok := strings.Cut(string(data), marker)
	if err != nil || !ok {
		t.Fatalf("no %q in %s of process %d: %v", marker, file, pid, err)
	}
	for _, i := range fields {
		n, err := strconv.ParseFloat(strings.Fields(rest)[i], 64)
		if err != nil {
			t.Fatal(err)
		}
		sum += n
	}
	return sum
}

// measure runs load for windowLength and returns the change of the counters as rates. Peer bytes count at both nodes, so
// their sum is twice what the proxies relayed.
func measure(c *cluster.Cluster, load func(until time.Time)) values {
	before := takeSnapshot(c)
	until := before.at.Add(*windowLength)
	load(until)
	time.Sleep(time.Until(until)) // All rates are taken over the same length of time.
	after := takeSnapshot(c)
	secs, nodes := after.at.Sub(before.at).Seconds(), float64(len(c.Nodes))
	nodeSeconds := secs * nodes
	peer, platform, vm := after.peer.minus(before.peer), after.platform.minus(before.platform), after.vm.minus(before.vm)
	result := values{
		"peer_kB": 2 * peer.bytes / nodeSeconds / 1000, "peer_reads": peer.reads / nodeSeconds,
		"platform_kB": platform.bytes / nodeSeconds / 1000, "platform_waiting": after.watches / nodes,
		"vm_kB": vm.bytes / nodeSeconds / 1000, "vm_reads": vm.reads / nodeSeconds,
		"rss_MB": slices.Max(after.rss), "secs": secs, "peer_bytes_per_read": peer.bytes / max(peer.reads, 1),
	}
	for i := range c.Nodes {
		cpuPercent := 100 * (after.cpu[i] - before.cpu[i]) / secs
		result["cpu_pct"] += cpuPercent / nodes
		result["cpu_pct_max"] = max(result["cpu_pct_max"], cpuPercent)
		result[fmt.Sprintf("cpu_s_node%d", i)] = after.cpu[i] - before.cpu[i]
	}
	for k, count := range after.calls {
		rate := (count - before.calls[k]) / nodeSeconds
		kind := "platform_reads"
		if strings.HasPrefix(k, "PUT ") || strings.HasPrefix(k, "DELETE ") {
			kind = "platform_writes"
		}
		result[kind] += rate
		if rate > 0.005 {
			fmt.Printf("CALLS %s per node and second: %s %.3f\n", c.T.Name(), k, rate)
		}
	}
	return result
}

// addListSizes adds the sizes in bytes of the platform's lists, which nodes read.
func addListSizes(c *cluster.Cluster, result values) {
	for name, path := range map[string]string{
		"bytes_nodes": "objects/nodes", "bytes_holders": "objects/holders", "bytes_plans": "objects/domains",
		"bytes_config": "objects/config", "bytes_vms": "vms",
	} {
		resp, err := c.Client.Get("http://" + c.Platform.Address + "/v1/" + path)
		if err != nil {
			c.T.Fatal(err)
		}
		data, err := io.ReadAll(resp.Body)
		if err = errors.Join(err, resp.Body.Close()); err != nil {
			c.T.Fatal(err)
		}
		result[name] = float64(len(data))
	}
}

// startSettled starts a cluster and waits until the model weights are loaded and the reduced limits after the first
// takeovers have ended.
func startSettled(t *testing.T, o cluster.Options) *cluster.Cluster {
	c := cluster.Start(t, o)
	time.Sleep(settleTime) // No node reports when the moves of targets between nodes are complete.
	return c
}

// measureIdle measures a cluster without requests.
func measureIdle(t *testing.T, s *sweep, size float64, o cluster.Options) {
	t.Run(fmt.Sprintf("%s=%g", s.sizeName, size), func(t *testing.T) {
		c := startSettled(t, o)
		for range *windows {
			result := measure(c, func(time.Time) {})
			addListSizes(c, result)
			s.add(size, result)
		}
	})
}

// smallCluster returns a cluster with the given nodes, two replicas of one VM each and two service back ends. Tests change
// the size that they measure.
func smallCluster(nodes int) cluster.Options {
	o := cluster.Defaults()
	o.Nodes = slices.Repeat(o.Domains, nodes)[:nodes]
	o.VMsPerDomain, o.VMsPerGroup, o.Replicas = 1, 1, 2
	return o
}

// TestMembership measures heartbeats, leases and platform calls by the number of nodes.
func TestMembership(t *testing.T) {
	s := &sweep{t: t, sizeName: "nodes"}
	for _, n := range []int{3, 7, 12, 20} {
		measureIdle(t, s, float64(n), smallCluster(n))
	}
	s.fit()
}

// TestTargets measures probes, holder tables and plans by the number of targets of one VM each at three nodes. It also
// measures 120 targets at more nodes, which separates the cost of a target that a node holds from that of one held elsewhere.
func TestTargets(t *testing.T) {
	s := &sweep{t: t, sizeName: "targets"}
	for i, size := range [][2]int{{10, 3}, {40, 3}, {120, 3}, {120, 6}, {120, 12}} { // Targets and nodes.
		o := smallCluster(size[1])
		o.Replicas, o.VMsPerDomain = size[0], size[0]/len(o.Domains)
		// The first three points vary the targets, size[0], the others the nodes, size[1].
		measureIdle(t, s, float64(size[i/3]), o)
		if i == 2 { // The last point is also the first of the second sweep.
			s.fit()
			s = &sweep{t: t, sizeName: "nodes", sizes: []float64{3}, results: s.results[len(s.results)-1:]}
		}
	}
	s.fit()
}

// TestPlans measures plans and the VM list by the number of VMs, in groups of 16 in one fabric domain.
func TestPlans(t *testing.T) {
	s := &sweep{t: t, sizeName: "vms"}
	for _, n := range []int{16, 64, 160} {
		o := smallCluster(3)
		o.Domains, o.Nodes = []string{"fd-a"}, []string{"fd-a", "fd-a", "fd-a"}
		o.VMsPerDomain, o.VMsPerGroup, o.Replicas, o.Services = n, 16, n/16, 1
		measureIdle(t, s, float64(n), o)
	}
	s.fit()
}

// TestToday measures the size that the system must currently support: 7 nodes, 50 replicas of two VMs, 3 back ends and 3 failure
// domains.
func TestToday(t *testing.T) {
	s := &sweep{t: t, sizeName: "nodes"}
	o := smallCluster(7)
	o.Domains = []string{"fd-a", "fd-b", "fd-c"}
	o.Nodes = slices.Repeat(o.Domains, 3)[:7]
	o.VMsPerDomain, o.VMsPerGroup, o.Replicas, o.Services = 36, 2, 50, 3
	measureIdle(t, s, 7, o)
}

// TestConfiguration measures one apply per second by the size of the rules file, at three and at nine nodes.
func TestConfiguration(t *testing.T) {
	for _, nodes := range []int{3, 9} {
		t.Run(fmt.Sprintf("nodes=%d", nodes), func(t *testing.T) {
			s := &sweep{t: t, sizeName: "rules_kB"}
			c := startSettled(t, smallCluster(nodes))
			for _, accounts := range []int{0, 100, 400, 1600} {
				text := c.Rules(nil)
				for i := range accounts {
					line := fmt.Sprintf("[accounts]\nextra-%d = token_sha256=%064x rate=20 burst=20 concurrency=5 # test\n", i, i+1)
					text = strings.Replace(text, "[accounts]\n", line, 1)
				}
				c.MustApply(text)
				s.add(float64(len(text))/1000, measureApplies(c, text))
			}
			s.fit()
		})
	}
}

// measureApplies measures one window without and one with applies, and returns the difference per apply.
func measureApplies(c *cluster.Cluster, text string) values {
	without := measure(c, func(time.Time) {})
	var count, slowest float64
	with := measure(c, func(until time.Time) {
		for next := time.Now(); time.Now().Before(until); time.Sleep(time.Until(next)) {
			startTime := time.Now()
			c.MustApply(text + fmt.Sprintf("# change %s\n", uuid.NewString()))
			slowest = max(slowest, time.Since(startTime).Seconds())
			count++
			next = next.Add(time.Second)
		}
	})
	perApply := func(k string) float64 { return (with[k] - without[k]) * with["secs"] / count }
	return values{
		"cpu_ms_per_apply_and_node": perApply("cpu_pct") * 10, "peer_kB_per_apply_and_node": perApply("peer_kB"),
		"platform_kB_per_apply_and_node": perApply("platform_kB"), "platform_reads_per_apply_and_node": perApply("platform_reads"),
		"platform_writes_per_apply_and_node": perApply("platform_writes"), "seconds_slowest": slowest, "applies": count,
	}
}

// requestPath is a cluster with one replica and one back end. Requests enter at a node that holds neither of them.
type requestPath struct {
	*cluster.Cluster
	entryNode                 int
	poolHolder, serviceHolder int // Indexes in Nodes.
	client                    *http.Client
}

func startRequestPath(t *testing.T) *requestPath {
	o := smallCluster(3)
	o.Domains, o.Nodes, o.Replicas, o.Services = []string{"fd-a"}, []string{"fd-a", "fd-a", "fd-a"}, 1, 1
	o.ColdLimit, o.FullLimit = 256, 256
	o.EngineArgs = []string{"--token-delay=33ms", "--load-time=200ms", "--bears-cold=256", "--slots-warm=256"}
	o.ServiceArgs = []string{"--bears-cold=256", "--bears-warm=256"}
	p := &requestPath{Cluster: startSettled(t, o), client: &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	s, err := p.Status(p.Nodes[0])
	if err != nil {
		t.Fatal(err)
	}
	for _, target := range s.Targets {
		i := slices.IndexFunc(p.Nodes, func(d *cluster.Daemon) bool { return d.NodeName == target.Holder })
		if target.Kind == "pool" {
			p.poolHolder = i
		} else {
			p.serviceHolder = i
		}
	}
	for p.entryNode == p.poolHolder || p.entryNode == p.serviceHolder {
		p.entryNode++
	}
	return p
}

// call makes a request at the entry node over a connection that is kept open, and returns the number of events with data in
// the answer.
func (p *requestPath) call(method, path, body, key string) (events int, err error) {
	req, err := http.NewRequest(method, "http://"+p.Nodes[p.entryNode].CallerAddr+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+cluster.Token)
	req.Header.Set("Accept", "text/event-stream")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "data:") {
			events++
		}
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	return events, scanner.Err()
}

// measureSizes measures every size under its load and adds the processor use of the entry node and of a holder.
func (p *requestPath) measureSizes(t *testing.T, sizeName string, sizes []int, holder int, load func(size int, until time.Time, counts values)) {
	s := &sweep{t: t, sizeName: sizeName}
	for range *windows {
		for _, size := range sizes {
			counts := values{"failed": 0}
			result := measure(p.Cluster, func(until time.Time) { load(size, until, counts) })
			result["entry_cpu_pct"] = 100 * result[fmt.Sprintf("cpu_s_node%d", p.entryNode)] / result["secs"]
			result["holder_cpu_pct"] = 100 * result[fmt.Sprintf("cpu_s_node%d", holder)] / result["secs"]
			for k, n := range counts {
				result[k+"_per_s"] = n / result["secs"]
			}
			s.add(float64(size), result)
		}
	}
	s.fit()
}

// measureRates sends requests at fixed rates, independent of the response times.
func (p *requestPath) measureRates(t *testing.T, rates []int, method, path string, key func() string) {
	p.measureSizes(t, "rate", rates, p.serviceHolder, func(rate int, until time.Time, counts values) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		for next := time.Now(); rate > 0 && next.Before(until); next = next.Add(time.Second / time.Duration(rate)) {
			time.Sleep(time.Until(next))
			wg.Go(func() {
				_, err := p.call(method, path, "{}", key())
				mu.Lock()
				defer mu.Unlock()
				counts[map[bool]string{true: "ok", false: "failed"}[err == nil]]++
			})
		}
		wg.Wait()
	})
}

// TestRequests measures requests to a service that may be repeated, by rate.
func TestRequests(t *testing.T) {
	startRequestPath(t).measureRates(t, []int{0, 50, 200, 800}, "GET", "/v1/services/bookings/stock/x", func() string { return "" })
}

// TestClaims measures requests that may not be repeated, by rate. Each needs one claim.
func TestClaims(t *testing.T) {
	startRequestPath(t).measureRates(t, []int{0, 1, 50, 150}, "POST", "/v1/services/bookings/confirm", func() string {
		return uuid.Must(uuid.NewV7()).String()
	})
}

// TestStreams measures concurrent streams with 33 ms between tokens, by their number.
func TestStreams(t *testing.T) {
	const body = `{"prompt":"a b c","max_tokens":100,"stream":true}`
	p := startRequestPath(t)
	p.measureSizes(t, "streams", []int{0, 50, 200}, p.poolHolder, func(streams int, until time.Time, counts values) {
		var wg sync.WaitGroup
		var tokens, failed atomic.Int64
		for range streams {
			wg.Go(func() {
				for time.Now().Before(until) && failed.Load() == 0 {
					n, err := p.call("POST", "/v1/pools/drafts/generate", body, "")
					tokens.Add(int64(n))
					if err != nil {
						failed.Add(1)
					}
				}
			})
		}
		wg.Wait()
		counts["tokens"], counts["failed"] = float64(tokens.Load()), float64(failed.Load())
	})
}
