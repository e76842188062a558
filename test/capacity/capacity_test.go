//go:build capacity

// Package capacity measures what one node costs at several sizes and fits lines through the results, for
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
	windows      = flag.Int("windows", 2, "measurements at each size, one after the other")
)

const (
	// settle is longer than a lease term with its margin, the doubt after the first takeovers included.
	settle       = 8 * time.Second
	ticksPerSec  = 100    // USER_HZ of /proc/PID/stat on Linux.
	utime, stime = 11, 12 // Places of the processor time in that file after the name.
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// values are the results of one measurement, by name. Rates are per node and second unless the name says otherwise.
type values map[string]float64

// sweep collects measurements along one size.
type sweep struct {
	t    *testing.T
	x    string
	xs   []float64
	rows []values
}

func (s *sweep) add(x float64, v values) {
	fmt.Printf("POINT %s %s=%g", s.t.Name(), s.x, x)
	for _, k := range slices.Sorted(maps.Keys(v)) {
		fmt.Printf(" %s=%.4g", k, v[k])
	}
	fmt.Println()
	if v["failed_per_s"] == 0 { // Refusals cost less than answers and would flatten the line.
		s.xs, s.rows = append(s.xs, x), append(s.rows, v)
	}
}

// fit prints the least-squares line of each value over the size, with the largest deviation from it.
func (s *sweep) fit() {
	for _, k := range slices.Sorted(maps.Keys(s.rows[0])) {
		if k == "secs" || strings.HasPrefix(k, "cpu_s_node") {
			continue
		}
		var n, sx, sy, sxx, sxy float64
		for i, x := range s.xs {
			y := s.rows[i][k]
			n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
		}
		slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
		base := (sy - slope*sx) / n
		off := 0.0
		for i, x := range s.xs {
			off = max(off, s.rows[i][k]-base-slope*x, base+slope*x-s.rows[i][k])
		}
		fmt.Printf("SLOPE %s %s = %.4g + %.4g * %s (largest deviation %.3g)\n", s.t.Name(), k, base, slope, s.x, off)
	}
}

// snapshot is the state of all counters at a time.
type snapshot struct {
	at             time.Time
	cpu, rss       []float64 // Seconds and MB, by node.
	peer, plat, vm traffic
	calls          map[string]float64 // By method and kind, of all nodes.
	watches        float64
}

// traffic counts the bytes of both directions and the reads of data towards the server.
type traffic struct{ bytes, reads float64 }

func (t *traffic) add(proxies ...*faultproxy.Proxy) {
	for _, p := range proxies {
		n := p.Traffic()
		t.bytes += float64(n.Bytes[0] + n.Bytes[1])
		t.reads += float64(n.Reads[faultproxy.ToUpstream])
	}
}

func (t traffic) minus(o traffic) traffic { return traffic{t.bytes - o.bytes, t.reads - o.reads} }

func take(c *cluster.Cluster) snapshot {
	rec := c.Platform.Record()
	s := snapshot{at: time.Now(), calls: map[string]float64{}, watches: float64(rec.WaitingWatches)}
	for _, d := range c.Nodes {
		s.cpu = append(s.cpu, procFields(c.T, d.Pid(), "stat", ") ", utime, stime)/ticksPerSec)
		s.rss = append(s.rss, procFields(c.T, d.Pid(), "status", "VmRSS:", 0)/1024)
		s.peer.add(d.PeerProxy)
		s.plat.add(d.PlatformProxy)
	}
	s.vm.add(slices.Collect(maps.Values(c.VMProxy))...)
	s.vm.add(c.ServiceProxy...)
	for _, n := range rec.Calls {
		if strings.HasPrefix(n.Client, "node-") {
			s.calls[n.Method+" "+n.Kind] += float64(n.Count)
		}
	}
	return s
}

// procFields returns the sum of some fields of a file in /proc/PID after a mark.
func procFields(t testing.TB, pid int, file, mark string, fields ...int) (sum float64) {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	_, rest, ok := strings.Cut(string(data), mark)
	if err != nil || !ok {
		t.Fatalf("no %q in %s of process %d: %v", mark, file, pid, err)
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

// measure runs load for the window and returns the difference of the counters. Peer bytes count at both ends, so the
// sum over nodes is twice what the proxies relayed.
func measure(c *cluster.Cluster, load func(until time.Time)) values {
	before := take(c)
	until := before.at.Add(*windowLength)
	load(until)
	time.Sleep(time.Until(until)) // A rate needs a window of fixed length.
	after := take(c)
	secs, n := after.at.Sub(before.at).Seconds(), float64(len(c.Nodes))
	per := secs * n
	peer, plat, vm := after.peer.minus(before.peer), after.plat.minus(before.plat), after.vm.minus(before.vm)
	v := values{
		"peer_kB": 2 * peer.bytes / per / 1000, "peer_reads": peer.reads / per,
		"platform_kB": plat.bytes / per / 1000, "platform_waiting": after.watches / n,
		"vm_kB": vm.bytes / per / 1000, "vm_reads": vm.reads / per,
		"rss_MB": slices.Max(after.rss), "secs": secs, "peer_bytes_per_read": peer.bytes / max(peer.reads, 1),
	}
	for i := range c.Nodes {
		used := 100 * (after.cpu[i] - before.cpu[i]) / secs
		v["cpu_pct"] += used / n
		v["cpu_pct_max"] = max(v["cpu_pct_max"], used)
		v[fmt.Sprintf("cpu_s_node%d", i)] = after.cpu[i] - before.cpu[i]
	}
	for k, count := range after.calls {
		rate := (count - before.calls[k]) / per
		kind := "platform_reads"
		if strings.HasPrefix(k, "PUT ") || strings.HasPrefix(k, "DELETE ") {
			kind = "platform_writes"
		}
		v[kind] += rate
		if rate > 0.005 {
			fmt.Printf("CALLS %s per node and second: %s %.3f\n", c.T.Name(), k, rate)
		}
	}
	return v
}

// sizes adds the bytes of the platform's lists, which nodes read.
func sizes(c *cluster.Cluster, v values) {
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
		v[name] = float64(len(data))
	}
}

// start starts a cluster and lets the doubt after the first takeovers and the weight loads pass.
func start(t *testing.T, o cluster.Options) *cluster.Cluster {
	c := cluster.Start(t, o)
	time.Sleep(settle) // Moves of targets between nodes have no end that a node reports.
	return c
}

// idle measures clusters without requests.
func idle(t *testing.T, s *sweep, x float64, o cluster.Options) {
	t.Run(fmt.Sprintf("%s=%g", s.x, x), func(t *testing.T) {
		c := start(t, o)
		for range *windows {
			v := measure(c, func(time.Time) {})
			sizes(c, v)
			s.add(x, v)
		}
	})
}

// few returns a cluster with two replicas of one VM and two services, so that other sizes can vary.
func few(nodes int) cluster.Options {
	o := cluster.Defaults()
	o.Nodes = slices.Repeat(o.Domains, nodes)[:nodes]
	o.VMsPerDomain, o.VMsPerGroup, o.Replicas = 1, 1, 2
	return o
}

// Heartbeats, leases and platform calls over the number of nodes.
func TestMembership(t *testing.T) {
	s := &sweep{t: t, x: "nodes"}
	for _, n := range []int{3, 7, 12, 20} {
		idle(t, s, float64(n), few(n))
	}
	s.fit()
}

// Probes, holder tables and plans over the number of targets of one VM each, at three nodes; and 120 targets at more
// nodes, which tells the cost of a target that a node holds from that of one it knows.
func TestTargets(t *testing.T) {
	s := &sweep{t: t, x: "targets"}
	for i, size := range [][2]int{{10, 3}, {40, 3}, {120, 3}, {120, 6}, {120, 12}} { // Targets and nodes.
		o := few(size[1])
		o.Replicas, o.VMsPerDomain = size[0], size[0]/len(o.Domains)
		idle(t, s, float64(size[i/3]), o)
		if i == 2 { // The last point is also the first of the second sweep.
			s.fit()
			s = &sweep{t: t, x: "nodes", xs: []float64{3}, rows: s.rows[len(s.rows)-1:]}
		}
	}
	s.fit()
}

// Plans and the VM list over the number of VMs in groups of 16 in one fabric domain.
func TestPlans(t *testing.T) {
	s := &sweep{t: t, x: "vms"}
	for _, n := range []int{16, 64, 160} {
		o := few(3)
		o.Domains, o.Nodes = []string{"fd-a"}, []string{"fd-a", "fd-a", "fd-a"}
		o.VMsPerDomain, o.VMsPerGroup, o.Replicas, o.Services = n, 16, n/16, 1
		idle(t, s, float64(n), o)
	}
	s.fit()
}

// The size that is to run today: 7 nodes, 50 replicas of two VMs, 3 back ends, 3 failure domains.
func TestToday(t *testing.T) {
	s := &sweep{t: t, x: "nodes"}
	o := few(7)
	o.Domains = []string{"fd-a", "fd-b", "fd-c"}
	o.Nodes = slices.Repeat(o.Domains, 3)[:7]
	o.VMsPerDomain, o.VMsPerGroup, o.Replicas, o.Services = 36, 2, 50, 3
	idle(t, s, 7, o)
}

// One apply a second over the size of the rules file, at three and at nine nodes.
func TestConfiguration(t *testing.T) {
	for _, nodes := range []int{3, 9} {
		t.Run(fmt.Sprintf("nodes=%d", nodes), func(t *testing.T) {
			s := &sweep{t: t, x: "rules_kB"}
			c := start(t, few(nodes))
			for _, accounts := range []int{0, 100, 400, 1600} {
				text := c.Rules(nil)
				for i := range accounts {
					line := fmt.Sprintf("[accounts]\nextra-%d = token_sha256=%064x rate=20 burst=20 concurrency=5 # test\n", i, i+1)
					text = strings.Replace(text, "[accounts]\n", line, 1)
				}
				c.MustApply(text)
				s.add(float64(len(text))/1000, applies(c, text))
			}
			s.fit()
		})
	}
}

// applies measures a window without and one with applies, and returns the difference for each apply.
func applies(c *cluster.Cluster, text string) values {
	without := measure(c, func(time.Time) {})
	var count, slowest float64
	with := measure(c, func(until time.Time) {
		for next := time.Now(); time.Now().Before(until); time.Sleep(time.Until(next)) {
			began := time.Now()
			c.MustApply(text + fmt.Sprintf("# change %s\n", uuid.NewString()))
			slowest = max(slowest, time.Since(began).Seconds())
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

// path is a cluster with one replica and one back end, and a node that holds neither, at which callers enter.
type path struct {
	*cluster.Cluster
	entry          int
	pool, services int // Holders.
	client         *http.Client
}

func startPath(t *testing.T) *path {
	o := few(3)
	o.Domains, o.Nodes, o.Replicas, o.Services = []string{"fd-a"}, []string{"fd-a", "fd-a", "fd-a"}, 1, 1
	o.ColdLimit, o.FullLimit = 256, 256
	o.EngineArgs = []string{"--token-delay=33ms", "--load-time=200ms", "--bears-cold=256", "--slots-warm=256"}
	o.ServiceArgs = []string{"--bears-cold=256", "--bears-warm=256"}
	p := &path{Cluster: start(t, o), client: &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}}
	s, err := p.Status(p.Nodes[0])
	if err != nil {
		t.Fatal(err)
	}
	for _, target := range s.Targets {
		i := slices.IndexFunc(p.Nodes, func(d *cluster.Daemon) bool { return d.NodeName == target.Holder })
		if target.Kind == "pool" {
			p.pool = i
		} else {
			p.services = i
		}
	}
	for p.entry == p.pool || p.entry == p.services {
		p.entry++
	}
	return p
}

// call makes a request at the entry node over a kept connection and returns the number of lines of the answer.
func (p *path) call(method, target, body, key string) (lines int, err error) {
	req, err := http.NewRequest(method, "http://"+p.Nodes[p.entry].Caller+target, strings.NewReader(body))
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
	scan := bufio.NewScanner(resp.Body)
	for scan.Scan() {
		if strings.HasPrefix(scan.Text(), "data:") {
			lines++
		}
	}
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	return lines, scan.Err()
}

// each measures every size with its load and adds the processor time of the entry node and of a holder.
func (p *path) each(t *testing.T, x string, sizes []int, holder int, load func(size int, until time.Time, done values)) {
	s := &sweep{t: t, x: x}
	for range *windows {
		for _, size := range sizes {
			done := values{"failed": 0}
			v := measure(p.Cluster, func(until time.Time) { load(size, until, done) })
			v["entry_cpu_pct"] = 100 * v[fmt.Sprintf("cpu_s_node%d", p.entry)] / v["secs"]
			v["holder_cpu_pct"] = 100 * v[fmt.Sprintf("cpu_s_node%d", holder)] / v["secs"]
			for k, n := range done {
				v[k+"_per_s"] = n / v["secs"]
			}
			s.add(float64(size), v)
		}
	}
	s.fit()
}

// rates makes requests at fixed rates, whatever the answers take.
func (p *path) rates(t *testing.T, rates []int, method, target string, key func() string) {
	p.each(t, "rate", rates, p.services, func(rate int, until time.Time, done values) {
		var wg sync.WaitGroup
		var mu sync.Mutex
		for next := time.Now(); rate > 0 && next.Before(until); next = next.Add(time.Second / time.Duration(rate)) {
			time.Sleep(time.Until(next))
			wg.Go(func() {
				_, err := p.call(method, target, "{}", key())
				mu.Lock()
				defer mu.Unlock()
				done[map[bool]string{true: "ok", false: "failed"}[err == nil]]++
			})
		}
		wg.Wait()
	})
}

// Requests to a service that may be repeated, by rate.
func TestRequests(t *testing.T) {
	startPath(t).rates(t, []int{0, 50, 200, 800}, "GET", "/v1/services/bookings/stock/x", func() string { return "" })
}

// Requests that may not be repeated, by rate: one claim each.
func TestClaims(t *testing.T) {
	startPath(t).rates(t, []int{0, 1, 50, 150}, "POST", "/v1/services/bookings/confirm", func() string {
		return uuid.Must(uuid.NewV7()).String()
	})
}

// Concurrent streams with 33 ms between tokens.
func TestStreams(t *testing.T) {
	const body = `{"prompt":"a b c","max_tokens":100,"stream":true}`
	p := startPath(t)
	p.each(t, "streams", []int{0, 50, 200}, p.pool, func(streams int, until time.Time, done values) {
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
		done["tokens"], done["failed"] = float64(tokens.Load()), float64(failed.Load())
	})
}
