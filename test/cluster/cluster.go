// Package cluster starts nodes and stand-ins as separate processes behind fault-injecting proxies, for integration tests.
// Tests check the guarantees by the records of the stand-ins instead of the status that nodes report.
package cluster

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
	"sync"
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/internal/operator"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/test/faultproxy"
	"cassiadeal.example/cassiadeal/test/harness"
)

const (
	// Model is the model of pool drafts.
	Model = "loan-assistant"
	// Token is the bearer token of the account schools.
	Token        = "integration-token"
	startTimeout = 40 * time.Second // Allows for a start on a busy machine; not a stated limit of the system.
)

// Options describes a cluster.
type Options struct {
	Domains      []string // Failure domains; each has one fabric domain.
	Nodes        []string // Failure domain of each node.
	VMsPerDomain int
	VMsPerGroup  int
	Replicas     int
	Services     int // Back ends of service bookings, spread over the domains.
	Fenced       bool
	ColdLimit    int
	FullLimit    int
	EngineArgs   []string
	ServiceArgs  []string
	Timing       string // Lines of section [timing] in the settings of each node.
}

// Defaults returns a small cluster of two failure domains, three nodes and four replicas.
func Defaults() Options {
	return Options{
		Domains: []string{"fd-a", "fd-b"}, Nodes: []string{"fd-a", "fd-a", "fd-b"},
		VMsPerDomain: 5, VMsPerGroup: 2, Replicas: 4, Services: 2, Fenced: true, ColdLimit: 2, FullLimit: 8,
		EngineArgs: []string{"--token-delay=2ms", "--load-time=200ms"},
	}
}

// Cluster is a running system: nodes, platform, engines and services. Nodes reach each other, the platform and the
// targets through proxies; callers connect to the nodes directly.
type Cluster struct {
	T            testing.TB
	Options      Options
	Platform     *harness.Platform
	Engines      map[string]*harness.Engine   // By failure domain; by VM name after StartEnginePerVM.
	VMs          map[string]*schema.VM        // By name; addresses are those of the proxies.
	VMProxy      map[string]*faultproxy.Proxy // By VM.
	Services     []*harness.Service
	ServiceProxy []*faultproxy.Proxy // By index in Services.
	Nodes        []*Daemon
	Dir          string
	Client       *http.Client
}

// Daemon is one node process. Other nodes reach it through PeerProxy, and it reaches the platform through PlatformProxy.
// It calls other nodes from IP, so that PeerProxy.CutClient can cut a pair of nodes.
type Daemon struct {
	*harness.Process
	NodeName, Domain, IP               string
	CallerAddr, PeerAddr, OperatorAddr string // Listen addresses.
	PeerProxy, PlatformProxy           *faultproxy.Proxy
	SettingsFile                       string // Path.
}

// Start starts a cluster and waits until every node can send requests to all replicas and services.
func Start(t testing.TB, o Options) *Cluster {
	t.Helper()
	c := &Cluster{
		T: t, Options: o, Platform: harness.StartPlatform(t), Engines: map[string]*harness.Engine{}, VMs: map[string]*schema.VM{},
		VMProxy: map[string]*faultproxy.Proxy{}, Dir: t.TempDir(), Client: &http.Client{Timeout: 30 * time.Second},
	}
	for _, domain := range o.Domains {
		c.startEngines(domain)
	}
	for range o.Services {
		s := harness.StartService(t, "bookings", o.ServiceArgs...)
		c.Services = append(c.Services, s)
		c.ServiceProxy = append(c.ServiceProxy, c.Proxy(s.Address))
	}
	c.SetVMs()
	for i, domain := range o.Nodes {
		c.Nodes = append(c.Nodes, c.StartNode(i, domain))
	}
	c.WaitMembers()
	c.MustApply(c.Rules(nil))
	c.WaitServing(o.Replicas)
	return c
}

// Proxy starts a proxy that is closed at the end of the test.
func (c *Cluster) Proxy(upstream string) *faultproxy.Proxy {
	c.T.Helper()
	p, err := faultproxy.New(upstream)
	if err != nil {
		c.T.Fatal(err)
	}
	c.T.Cleanup(p.Close)
	return p
}

func (c *Cluster) startEngines(domain string) {
	var names []string
	for i := range c.Options.VMsPerDomain {
		names = append(names, fmt.Sprintf("%s-vm-%d", domain, i))
	}
	args := append([]string{fmt.Sprintf("--fenced=%t", c.Options.Fenced)}, c.Options.EngineArgs...)
	e := harness.StartEngine(c.T, names, args...)
	c.Engines[domain] = e
	for name, address := range e.VMs {
		c.VMProxy[name] = c.Proxy(address)
		c.VMs[name] = &schema.VM{
			Name: name, Address: c.VMProxy[name].Addr(), FabricDomain: "fabric-" + domain, FailureDomain: domain,
			State: schema.VMState_VM_STATE_LIVE,
		}
	}
}

// SetVMs writes the platform's VM list.
func (c *Cluster) SetVMs() {
	var list []*schema.VM
	for _, vm := range c.VMs {
		list = append(list, vm)
	}
	c.Platform.SetVMs(0, list...)
}

// StartNode starts a node with an IP of its own, by which a proxy distinguishes the nodes.
func (c *Cluster) StartNode(i int, domain string) *Daemon {
	d := &Daemon{NodeName: fmt.Sprintf("node-%d", i), Domain: domain, IP: fmt.Sprintf("127.0.%d.%d", 10+os.Getpid()%200, i+1)}
	d.CallerAddr, d.PeerAddr, d.OperatorAddr = c.newListenAddr(d.IP), c.newListenAddr(d.IP), c.newListenAddr(d.IP)
	d.PeerProxy, d.PlatformProxy = c.Proxy(d.PeerAddr), c.Proxy(c.Platform.Address)
	d.SettingsFile = filepath.Join(c.Dir, d.NodeName+".ini")
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
`, d.NodeName, domain, d.CallerAddr, d.PeerAddr, d.OperatorAddr, d.PeerProxy.Addr(), d.PlatformProxy.Addr(), c.Options.Timing)
	if err := os.WriteFile(d.SettingsFile, []byte(text), 0o600); err != nil {
		c.T.Fatal(err)
	}
	c.Launch(d)
	return d
}

// Launch starts the process of a node, for the first time or again after it was killed.
func (c *Cluster) Launch(d *Daemon) {
	d.Process = harness.Start(c.T, "cassiadeald", "--config", d.SettingsFile)
}

// returnedAddrs holds the addresses that newListenAddr has returned. The kernel may assign a port a second time before the
// first process that was given it listens.
var returnedAddrs sync.Map

// newListenAddr returns an address with a free port, a different one at each call.
func (c *Cluster) newListenAddr(ip string) string {
	for {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			c.T.Fatal(err)
		}
		addr := l.Addr().String()
		_ = l.Close() // Nothing was accepted.
		if _, taken := returnedAddrs.LoadOrStore(addr, true); !taken {
			return addr
		}
	}
}

// Rules returns the text of a rules file that takes the removed failure domains out.
func (c *Cluster) Rules(removed []string) string {
	o := c.Options
	var b strings.Builder
	if o.Replicas > 0 {
		fmt.Fprintf(&b, "[pools]\ndrafts = model=%s vms=%d replicas=%d cold_limit=%d full_limit=%d deadline=20s fenced_orders=%s # test\n",
			Model, o.VMsPerGroup, o.Replicas, o.ColdLimit, o.FullLimit, map[bool]string{true: "yes", false: "no"}[o.Fenced])
	}
	if o.Services > 0 {
		var targets []string
		for i, p := range c.ServiceProxy {
			targets = append(targets, p.Addr()+"@"+o.Domains[i%len(o.Domains)])
		}
		fmt.Fprintf(&b, "[services]\nbookings = targets=%s cold_limit=%d full_limit=%d deadline=10s # test\n", strings.Join(targets, ","), o.ColdLimit, o.FullLimit)
		b.WriteString("[routes]\nconfirm = service=bookings method=POST path=/confirm repeat=never # test\n" +
			"stock = service=bookings method=GET path=/stock/* repeat=safe # test\n")
	}
	sum := sha256.Sum256([]byte(Token))
	fmt.Fprintf(&b, "[accounts]\nschools = token_sha256=%s rate=2000 burst=2000 concurrency=500 # test\n", hex.EncodeToString(sum[:]))
	b.WriteString("[failure_domains]\n")
	for _, domain := range o.Domains {
		state := "in"
		for _, name := range removed {
			if name == domain {
				state = "out"
			}
		}
		fmt.Fprintf(&b, "%s = state=%s # test\n", domain, state)
	}
	b.WriteString("[weights]\nloads = at_once=20 per_minute=1000 # test\n")
	return b.String()
}

// MustApply puts rules into force with the command-line client; a failure fails the test.
func (c *Cluster) MustApply(text string) {
	c.T.Helper()
	file := filepath.Join(c.Dir, "rules.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		c.T.Fatal(err)
	}
	if code, out := c.CLI("apply", "--author", "test", "--base", "current", file); code != 0 {
		c.T.Fatalf("apply exited with %d: %s", code, out)
	}
}

// WaitMembers waits until every node lists all nodes and has its right to serve on both bases: a lease in the
// platform and contact with a majority of the listed nodes.
func (c *Cluster) WaitMembers() {
	c.T.Helper()
	harness.Eventually(c.T, startTimeout, func() error {
		for _, d := range c.Nodes {
			if s, err := c.Status(d); err != nil || s.Basis != "both" || len(s.Nodes) != len(c.Nodes) {
				return fmt.Errorf("%s: basis %q, %d nodes, error %v", d.NodeName, s.Basis, len(s.Nodes), err)
			}
		}
		return nil
	})
}

// CLI runs the command-line client and returns its exit code and output.
func (c *Cluster) CLI(args ...string) (int, string) {
	c.T.Helper()
	var operators []string
	for _, d := range c.Nodes {
		operators = append(operators, d.OperatorAddr)
	}
	p := harness.Start(c.T, "cassiadeal", append([]string{"--node", strings.Join(operators, ",")}, args...)...)
	code := p.WaitExit(startTimeout)
	return code, p.Output()
}

// Status returns the status that a node reports.
func (c *Cluster) Status(d *Daemon) (s operator.Status, err error) {
	resp, err := c.Client.Get("http://" + d.OperatorAddr + "/v1/status")
	if err != nil {
		return s, err
	}
	defer func() { _ = resp.Body.Close() }()
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// WaitServing waits until every node has the right to serve and reports at least the given number of serving replicas of the
// pool and all service targets as serving, with a request limit of at least the sum of their cold limits.
func (c *Cluster) WaitServing(replicas int) {
	c.T.Helper()
	harness.Eventually(c.T, startTimeout, func() error {
		for _, d := range c.Nodes {
			s, err := c.Status(d)
			if err != nil {
				return err
			}
			for _, dest := range s.Destinations {
				want := replicas
				if dest.Kind == "service" {
					want = c.Options.Services
				}
				if !s.RightToServe || s.InDoubt || dest.Serving < want || dest.Limit < want*c.Options.ColdLimit {
					return fmt.Errorf("%s is not ready: right to serve %t, in doubt %t, destination %+v", d.NodeName, s.RightToServe, s.InDoubt, dest)
				}
			}
		}
		return nil
	})
}

// Answer is the result of one request of a caller.
type Answer struct {
	Status int
	Body   string
	Code   int  // Result code of a refusal.
	NotRun bool // Whether a refusal states that the request did not run.
	Err    error
}

// String formats the answer with a bounded part of the body.
func (a Answer) String() string {
	return fmt.Sprintf("status %d, code %d, not_run %t, err %v, body %.200s", a.Status, a.Code, a.NotRun, a.Err, a.Body)
}

// Send sends a request to a node, with an Idempotency-Key header unless key is empty.
func (c *Cluster) Send(d *Daemon, method, path, body, key string) Answer {
	req, err := http.NewRequest(method, "http://"+d.CallerAddr+path, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+Token)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	// The HTTP client may resend a request on a reused connection, so each request has a new one.
	client := http.Client{Timeout: c.Client.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	a := Answer{Status: resp.StatusCode, Body: string(bytes.TrimSpace(data)), Err: err}
	if a.Status != http.StatusOK {
		var refusal struct {
			Code   int  `json:"code"`
			NotRun bool `json:"not_run"`
		}
		if json.Unmarshal(data, &refusal) == nil {
			a.Code, a.NotRun = refusal.Code, refusal.NotRun
		}
	}
	return a
}

// Generate sends a generate request to pool drafts and waits for the whole answer.
func (c *Cluster) Generate(d *Daemon, prompt string, tokens int) Answer {
	body, _ := json.Marshal(map[string]any{"prompt": prompt, "max_tokens": tokens})
	return c.Send(d, http.MethodPost, "/v1/pools/drafts/generate", string(body), "")
}
