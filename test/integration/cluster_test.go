// Package integration tests the system as separate processes behind fault-injecting proxies. The stand-ins' own records
// decide what happened, not what the system says.
package integration

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/internal/operator"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/test/faultproxy"
	"cassiadeal.example/cassiadeal/test/harness"
)

const (
	model      = "loan-assistant"
	token      = "integration-token"
	startLimit = 40 * time.Second // Covers the start on a busy machine; no promise of the system.
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// options describes a cluster.
type options struct {
	domains      []string // Failure domains; each has one fabric domain.
	nodes        []string // Failure domain of each node.
	vmsPerDomain int
	vmsPerGroup  int
	replicas     int
	services     int // Back ends, spread over the domains.
	fenced       bool
	coldLimit    int
	fullLimit    int
	engineArgs   []string
	serviceArgs  []string
	timing       string // Lines for [timing].
}

func defaults() options {
	return options{
		domains: []string{"fd-a", "fd-b"}, nodes: []string{"fd-a", "fd-a", "fd-b"},
		vmsPerDomain: 5, vmsPerGroup: 2, replicas: 4, services: 2, fenced: true, coldLimit: 2, fullLimit: 8,
		engineArgs: []string{"--token-delay=2ms", "--load-time=200ms"},
	}
}

// cluster is a running system with its outside systems.
type cluster struct {
	t        *testing.T
	options  options
	platform *harness.Platform
	engines  map[string]*harness.Engine // By failure domain.
	vms      map[string]*schema.VM
	vmProxy  map[string]*faultproxy.Proxy // By VM.
	services []*harness.Service
	svcProxy []*faultproxy.Proxy
	nodes    []*daemon
	dir      string
	client   *http.Client
}

// daemon is one node process. Other nodes and callers reach it through proxies, and it reaches the platform through one.
type daemon struct {
	*harness.Process
	name, domain, ip         string
	caller, peer, operator   string // Listen addresses.
	peerProxy, platformProxy *faultproxy.Proxy
	settings                 string
}

func start(t *testing.T, o options) *cluster {
	t.Helper()
	c := &cluster{
		t: t, options: o, platform: harness.StartPlatform(t), engines: map[string]*harness.Engine{}, vms: map[string]*schema.VM{},
		vmProxy: map[string]*faultproxy.Proxy{}, dir: t.TempDir(), client: &http.Client{Timeout: 30 * time.Second},
	}
	for _, domain := range o.domains {
		c.startEngines(domain)
	}
	for range o.services {
		s := harness.StartService(t, "bookings", o.serviceArgs...)
		c.services = append(c.services, s)
		c.svcProxy = append(c.svcProxy, c.proxy(s.Address))
	}
	c.setVMs()
	for i, domain := range o.nodes {
		c.nodes = append(c.nodes, c.startNode(i, domain))
	}
	c.waitMembers()
	c.mustApply(c.rules(nil))
	c.waitServing(o.replicas)
	return c
}

func (c *cluster) proxy(upstream string) *faultproxy.Proxy {
	c.t.Helper()
	p, err := faultproxy.New(upstream)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(p.Close)
	return p
}

func (c *cluster) startEngines(domain string) {
	var names []string
	for i := range c.options.vmsPerDomain {
		names = append(names, fmt.Sprintf("%s-vm-%d", domain, i))
	}
	args := append([]string{fmt.Sprintf("--fenced=%t", c.options.fenced)}, c.options.engineArgs...)
	e := harness.StartEngine(c.t, names, args...)
	c.engines[domain] = e
	for name, address := range e.VMs {
		c.vmProxy[name] = c.proxy(address)
		c.vms[name] = &schema.VM{
			Name: name, Address: c.vmProxy[name].Addr(), FabricDomain: "fabric-" + domain, FailureDomain: domain,
			State: schema.VMState_VM_STATE_LIVE,
		}
	}
}

// setVMs writes the platform's VM list.
func (c *cluster) setVMs() {
	var list []*schema.VM
	for _, vm := range c.vms {
		list = append(list, vm)
	}
	c.platform.SetVMs(0, list...)
}

// startNode starts a node with an IP of its own, so that a proxy can tell the nodes apart.
func (c *cluster) startNode(i int, domain string) *daemon {
	d := &daemon{name: fmt.Sprintf("node-%d", i), domain: domain, ip: fmt.Sprintf("127.0.%d.%d", 10+os.Getpid()%200, i+1)}
	d.caller, d.peer, d.operator = c.freeAddr(d.ip), c.freeAddr(d.ip), c.freeAddr(d.ip)
	d.peerProxy, d.platformProxy = c.proxy(d.peer), c.proxy(c.platform.Address)
	d.settings = filepath.Join(c.dir, d.name+".ini")
	text := fmt.Sprintf(`[node]
name = %s
failure_domain = %s
[listen]
caller = %s
peer = %s
operator = %s
[advertise]
peer = %s
[platform]
url = http://%s
timeout = 1s
[timing]
%s
`, d.name, domain, d.caller, d.peer, d.operator, d.peerProxy.Addr(), d.platformProxy.Addr(), c.options.timing)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	c.launch(d)
	return d
}

// launch starts the process of a node, also after it was killed.
func (c *cluster) launch(d *daemon) {
	d.Process = harness.Start(c.t, "cassiadeald", "--config", d.settings)
}

func (c *cluster) freeAddr(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		c.t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// rules returns the rules file. out names the failure domains that are out.
func (c *cluster) rules(out []string) string {
	o := c.options
	var b strings.Builder
	if o.replicas > 0 {
		fmt.Fprintf(&b, "[pools]\ndrafts = model=%s vms=%d replicas=%d cold_limit=%d full_limit=%d deadline=20s fenced_orders=%s # test\n",
			model, o.vmsPerGroup, o.replicas, o.coldLimit, o.fullLimit, map[bool]string{true: "yes", false: "no"}[o.fenced])
	}
	if o.services > 0 {
		var targets []string
		for i, p := range c.svcProxy {
			targets = append(targets, p.Addr()+"@"+o.domains[i%len(o.domains)])
		}
		fmt.Fprintf(&b, "[services]\nbookings = targets=%s cold_limit=%d full_limit=%d deadline=10s # test\n", strings.Join(targets, ","), o.coldLimit, o.fullLimit)
		b.WriteString("[routes]\nconfirm = service=bookings method=POST path=/confirm repeat=never # test\n" +
			"stock = service=bookings method=GET path=/stock/* repeat=safe # test\n")
	}
	sum := sha256.Sum256([]byte(token))
	fmt.Fprintf(&b, "[accounts]\nschools = token_sha256=%s rate=2000 burst=2000 concurrency=500 # test\n", hex.EncodeToString(sum[:]))
	b.WriteString("[failure_domains]\n")
	for _, domain := range o.domains {
		state := "in"
		for _, name := range out {
			if name == domain {
				state = "out"
			}
		}
		fmt.Fprintf(&b, "%s = state=%s # test\n", domain, state)
	}
	b.WriteString("[weights]\nloads = at_once=20 per_minute=1000 # test\n")
	return b.String()
}

// mustApply puts rules into force through the command line.
func (c *cluster) mustApply(text string) {
	c.t.Helper()
	file := filepath.Join(c.dir, "rules.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		c.t.Fatal(err)
	}
	if code, out := c.cli("apply", "--author", "test", "--base", "current", file); code != 0 {
		c.t.Fatalf("apply exited with %d: %s", code, out)
	}
}

// waitMembers waits until every node has both bases of its right to serve and sees all others.
func (c *cluster) waitMembers() {
	c.t.Helper()
	harness.Eventually(c.t, startLimit, func() error {
		for _, d := range c.nodes {
			if s, err := c.status(d); err != nil || s.Basis != "both" || len(s.Nodes) != len(c.nodes) {
				return fmt.Errorf("%s: basis %q, %d nodes, error %v", d.name, s.Basis, len(s.Nodes), err)
			}
		}
		return nil
	})
}

// cli runs the command line and returns its exit code and output.
func (c *cluster) cli(args ...string) (int, string) {
	c.t.Helper()
	var operators []string
	for _, d := range c.nodes {
		operators = append(operators, d.operator)
	}
	p := harness.Start(c.t, "cassiadeal", append([]string{"--node", strings.Join(operators, ",")}, args...)...)
	code := p.WaitExit(startLimit)
	return code, p.Output()
}

func (c *cluster) status(d *daemon) (s operator.Status, err error) {
	resp, err := c.client.Get("http://" + d.operator + "/v1/status")
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// waitServing waits until every node serves and sees the pool with that many replicas and all service targets.
func (c *cluster) waitServing(replicas int) {
	c.t.Helper()
	harness.Eventually(c.t, startLimit, func() error {
		for _, d := range c.nodes {
			s, err := c.status(d)
			if err != nil {
				return err
			}
			for _, dest := range s.Destinations {
				want := replicas
				if dest.Kind == "service" {
					want = c.options.services
				}
				if !s.RightToServe || s.InDoubt || dest.Serving < want || dest.Limit < want*c.options.coldLimit {
					return fmt.Errorf("%s: not ready: serve=%t doubt=%t %+v", d.name, s.RightToServe, s.InDoubt, dest)
				}
			}
		}
		return nil
	})
}

// answer is what a caller gets.
type answer struct {
	status int
	body   string
	code   int  // Result code of a refusal.
	notRun bool // As stated in a refusal.
	err    error
}

func (a answer) String() string {
	return fmt.Sprintf("status %d, code %d, not_run %t, err %v, body %.200s", a.status, a.code, a.notRun, a.err, a.body)
}

// send makes a request at a node.
func (c *cluster) send(d *daemon, method, path, body, key string) answer {
	req, err := http.NewRequest(method, "http://"+d.caller+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	// A fresh connection each time, so that the test's own client never repeats a request.
	client := http.Client{Timeout: c.client.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, body: string(bytes.TrimSpace(data)), err: err}
	if a.status != http.StatusOK {
		var refusal struct {
			Code   int  `json:"code"`
			NotRun bool `json:"not_run"`
		}
		if json.Unmarshal(data, &refusal) == nil {
			a.code, a.notRun = refusal.Code, refusal.NotRun
		}
	}
	return a
}

func (c *cluster) generate(d *daemon, prompt string, tokens int) answer {
	body, _ := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": tokens})
	return c.send(d, http.MethodPost, "/v1/pools/drafts/generate", string(body), "")
}
