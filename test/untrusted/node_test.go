package untrusted

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/test/cluster"
	"cassiadeal.example/cassiadeal/test/harness"
)

const (
	// platformMemoryMB is the memory that the settings of the platform front end state: that of the smallest machine.
	platformMemoryMB = 136
	// ownMemoryMB is the memory of a machine of the product's own interface whose settings state none.
	ownMemoryMB = 256
	// platformMaxFDs is the descriptor limit that the settings state. smallMaxFDs is the one of the test of descriptors, below its number
	// of clients.
	platformMaxFDs = 4100
	smallMaxFDs    = 300
	// Limits of the platform's configuration, as in the measurements of docs/demand-and-clients.md.
	platformHeadBytes = 16384
	platformBodyBytes = 4194304
	// Defaults of the product's own settings.
	ownHeadBytes = 64 << 10
	ownBodyBytes = 1 << 20

	heartbeat = 500 * time.Millisecond
	workTime  = 100 * time.Millisecond
	// slowWorkTime is longer than the requests' deadlines. largeAnswerBytes is a legal size on both front ends.
	slowWorkTime     = 15 * time.Second
	largeAnswerBytes = 2 << 20
	startTimeout     = 60 * time.Second // Allows for a start on a busy machine.
	callTimeout      = 10 * time.Second

	clientHost = "untrusted.example"
	clientKey  = "key-of-the-ordinary-client"
	service    = "shop"
	headerName = "X-Cassiadeal-"
)

// node is a process of the system under test.
type node struct {
	processes  []*harness.Process
	listeners  []string // Addresses that clients may reach; the first one takes requests for replicas.
	method     string   // Of requests that a service takes with a body.
	path       string   // Of ordinary requests.
	headBytes  int      // Configured limit.
	bodyBytes  int      // Configured limit.
	memoryMB   int      // Memory of its machine.
	maxFDs     int      // Descriptor limit of its machine; 0 if the settings state none.
	ordinary   func() error
	headerText string // Header lines that identify the client.
	// unknownPrefix begins paths that lead nowhere.
	unknownPrefix string
	store         *store // Of the platform; nil on the own interface.
}

// startPlatformNode starts cassiadeald --platform with a store and one replica.
func startPlatformNode(t *testing.T, maxFDs int) *node {
	t.Helper()
	return startPlatformNodeWith(t, maxFDs, newStore(), platformConfig(1))
}

// startPlatformNodeWith is startPlatformNode with objects that the store has already, and a configuration.
func startPlatformNodeWith(t *testing.T, maxFDs int, s *store, config map[string]any) *node {
	t.Helper()
	storeServer := httptest.NewServer(s)
	t.Cleanup(storeServer.CloseClientConnections)
	s.put("config", "main", config)
	startReplica(t, s)
	base := freePorts(t)
	address := func(offset int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(base+offset)) }
	settings := platformSettings(base, storeServer.Listener.Addr().String(), maxFDs)
	settings["bind"] = map[string]string{"front": address(0), "readiness": address(1), "control": address(2), "directory": address(3)}
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "boot.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("CASSIADEAL_BOOT", file)
	n := &node{processes: []*harness.Process{harness.Start(t, "cassiadeald", "--platform")}, store: s, unknownPrefix: "/nowhere/", listeners: []string{address(0), address(3), address(1)}, method: http.MethodPost, path: "/look/1",
		headBytes: platformHeadBytes, bodyBytes: platformBodyBytes, memoryMB: platformMemoryMB, maxFDs: maxFDs,
		headerText: "X-Api-Key: " + clientKey + "\r\n" + headerName + "Deadline-Ms: 4000\r\n"}
	n.ordinary = func() error {
		return errorsOf(get(address(1), "/cassiadeal/ready"), get(address(3), "/cassiadeal/resolve?name="+clientHost), n.call())
	}
	return n
}

// platformSettings returns the settings file of the platform without its addresses.
func platformSettings(base int, storeAddress string, maxFDs int) map[string]any {
	return map[string]any{
		"node_name": "front-1", "ip": "127.0.0.1", "zone": "zone-a", "zones": map[string]string{"zone-a": "region-a"},
		"internal_ports": []int{base + 4, base + 8}, "bootstrap": true, "heartbeat_ms": heartbeat.Milliseconds(),
		"limits": map[string]any{"cpu_share": 1, "memory_mb": platformMemoryMB, "max_fds": maxFDs},
		"bounds": map[string]any{"drain_ms": 2000, "grace_s": 8, "stall_ms": 4000, "ttl_max_s": 5, "retry_budget_ratio": 0.2, "retry_budget_slack": 20,
			"budget_window_s": 10, "ceiling_window_s": 5, "config_apply_ms": 2000, "evacuate_ms": 5000},
		"provider": map[string]any{"address": storeAddress},
	}
}

func platformConfig(version int) map[string]any {
	return map[string]any{"version": version,
		"routes": []any{map[string]any{"name": "look", "host": clientHost, "path_prefix": "/look/", "type": "safe", "timeout_ms": 4000, "target_latency_ms": 300,
			"priority": 1, "service": service, "max_attempts": 2}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_connections": 384, "protocol": "h1"}},
		"limits":   map[string]any{"max_header_bytes": platformHeadBytes, "max_body_bytes": platformBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "account-a", "api_keys": []string{clientKey}, "priority": 1}}}
}

// startReplica starts a replica of the service that answers each request after workTime, and its check-ins.
func startReplica(t *testing.T, s *store) {
	t.Helper()
	const id = "replica-1"
	born, done := time.Now().UnixMilli(), make(chan struct{})
	var entry func() map[string]any
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/cassiadeal/report" {
			reply(w, http.StatusOK, entry())
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		body := work(r)
		request := r.Header.Get(headerName + "Request-Id")
		w.Header().Set(headerName+"Request-Id", request)
		w.Header().Set(headerName+"Instance-Id", id)
		w.Header().Set(headerName+"Response-Seal", "seal."+request)
		_, _ = w.Write(body) // A caller that has left gets no answer.
	}))
	sequence := 0
	entry = func() map[string]any {
		return map[string]any{"service": service, "address": server.Listener.Addr().String(), "zone": "zone-a", "version": "v1", "slots": 16, "state": "ready",
			"sequence": sequence, "born": born}
	}
	s.put("servers", id, entry())
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				s.put("servers", id, entry())
			}
		}
	}()
	t.Cleanup(func() { close(done); server.CloseClientConnections() })
}

// work waits for as long as a request takes that asks for a slow or an ordinary target, and returns the body of its answer.
func work(r *http.Request) []byte {
	wait, body := workTime, []byte("done")
	switch path := r.URL.Path; {
	case strings.HasSuffix(path, "/slow"):
		wait = slowWorkTime
	case strings.HasSuffix(path, "/large"):
		body = make([]byte, largeAnswerBytes)
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
	}
	return body
}

// startOwnNode starts cassiadeald --config with one service.
func startOwnNode(t *testing.T) *node {
	t.Helper()
	return ownNode(cluster.Start(t, ownOptions(1, 0)))
}

// startOwnNodes starts nodes like startOwnNode, with a descriptor limit in their settings unless it is 0, and a service that also has slow
// and large answers.
func startOwnNodes(t *testing.T, nodes, maxFDs int) *node {
	t.Helper()
	c := cluster.Start(t, ownOptions(nodes, maxFDs))
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Incarnation", "incarnation-1")
		if r.URL.Path == "/healthz" {
			reply(w, http.StatusOK, map[string]any{"incarnation": "incarnation-1", "cold": false})
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		body := work(r)
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = w.Write(body) // A caller that has left gets no answer.
	}))
	t.Cleanup(backend.CloseClientConnections)
	c.MustApply(strings.ReplaceAll(c.Rules(nil), c.ServiceProxy[0].Addr(), backend.Listener.Addr().String()))
	n := ownNode(c)
	n.maxFDs = maxFDs
	return n
}

func ownOptions(nodes, maxFDs int) cluster.Options {
	o := cluster.Defaults()
	o.Domains, o.Nodes, o.Replicas, o.Services = []string{"fd-a"}, slices.Repeat([]string{"fd-a"}, nodes), 0, 1
	if maxFDs > 0 {
		o.Timing = fmt.Sprintf("[limits]\nmax_fds = %d", maxFDs)
	}
	return o
}

func ownNode(c *cluster.Cluster) *node {
	d := c.Nodes[0]
	n := &node{listeners: []string{d.CallerAddr, d.OperatorAddr}, method: http.MethodGet, path: "/v1/services/bookings/stock/1", headBytes: ownHeadBytes,
		bodyBytes: ownBodyBytes, memoryMB: ownMemoryMB, headerText: "Authorization: Bearer " + cluster.Token + "\r\n", unknownPrefix: "/v1/services/"}
	for _, other := range c.Nodes {
		n.processes = append(n.processes, other.Process)
		if other != d {
			n.listeners = append(n.listeners, other.CallerAddr)
		}
	}
	n.ordinary = func() error {
		return errorsOf(get(d.OperatorAddr, "/readyz"), get(d.OperatorAddr, "/metrics"), n.call())
	}
	return n
}

// errorsOf returns the first error.
func errorsOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func get(address, path string) error {
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: status %d", path, resp.StatusCode)
	}
	return nil
}

// call sends an ordinary request to the service.
func (n *node) call() error {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.listeners[0]+n.path, nil)
	if err != nil {
		return err
	}
	req.Host = clientHost
	for line := range strings.Lines(n.headerText) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		req.Header.Set(name, value)
	}
	req.Header.Set(headerName+"Request-Id", fmt.Sprintf("ordinary-%d", time.Now().UnixNano()))
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("ordinary request: status %d, error %v, body %.300s", resp.StatusCode, err, body)
	}
	return nil
}

// freePorts returns the first of ten adjacent ports that are free.
func freePorts(t *testing.T) int {
	t.Helper()
	for range 50 {
		_, port, err := net.SplitHostPort(harness.FreeAddr(t))
		if err != nil {
			t.Fatal(err)
		}
		base, err := strconv.Atoi(port)
		if err != nil {
			t.Fatal(err)
		}
		if base < 65000 && portsFree(base) {
			return base
		}
	}
	t.Fatal("found no adjacent free ports")
	return 0
}

func portsFree(base int) bool {
	for port := base; port < base+10; port++ {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = l.Close() // Nothing was accepted.
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		_ = u.Close() // Nothing was received.
	}
	return true
}
