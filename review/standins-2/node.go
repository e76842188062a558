package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// nodes are the system's own processes, started with the command of the deploy file.
type nodes struct {
	dir     string // Temporary folder.
	program string
	store   *store
	zones   []string
	ports   int // First of the ports, which are the same on all machines.
	all     []*node
	bounds  map[string]any
	ran     bool // The system has been ready once.
}

// started holds all processes that were started.
var started struct {
	sync.Mutex
	processes []*os.Process
}

// endStarted ends the processes that still run, where the case itself can't.
func endStarted() {
	started.Lock()
	defer started.Unlock()
	for _, p := range started.processes {
		_ = p.Kill() // Fails for one that has ended.
	}
}

type node struct {
	of   *nodes
	name string
	ip   string
	zone string
	cmd  *exec.Cmd
	done chan struct{}
}

func (n *node) front() string     { return fmt.Sprintf("%s:%d", n.ip, n.of.ports) }
func (n *node) readiness() string { return fmt.Sprintf("%s:%d", n.ip, n.of.ports+1) }

func defaultBounds() map[string]any {
	return map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
		"grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000, "strict_revocation": false,
		"revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 132, "cold_overshoot": 1.5, "cold_slack": 5,
		"evacuate_ms": 5000, "recover_s": 12, "pass_ms": 120, "again_s": 0, "stall_ms": 4000, "require_fencing": false, "ceiling_window_s": 5,
		"ceiling_overshoot": 1.1, "ttl_max_s": 5}
}

// newNodes prepares one node in each of the zones given.
func newNodes(program string, s *store, zones []string) (*nodes, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	ns := &nodes{dir: dir, program: program, store: s, zones: zones, bounds: defaultBounds()}
	for i, zone := range zones {
		ns.all = append(ns.all, &node{of: ns, name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: fmt.Sprintf("127.31.%d.10", i+1), zone: zone})
	}
	if ns.ports, err = freePorts(ns.all); err != nil {
		return nil, err
	}
	return ns, nil
}

// freePorts returns the first of 24 ports that are free at all addresses.
func freePorts(all []*node) (int, error) {
	for base := 21000 + os.Getpid()%2000*8; base < 60000; base += 24 {
		free := true
		for _, n := range all {
			for p := base; p < base+24 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.ip, p))
				if free = err == nil; free {
					l.Close()
				}
			}
		}
		if free {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func (n *node) start() error {
	ns := n.of
	zones := map[string]string{}
	for _, z := range ns.zones {
		zones[z] = "region-1"
	}
	at := func(offset int) string { return fmt.Sprintf("%s:%d", n.ip, ns.ports+offset) }
	settings := map[string]any{"node_name": n.name, "role": "entry", "machine_class": "front", "serves": []string{"front", "directory"}, "ip": n.ip,
		"zone": n.zone, "region": "region-1", "zones": zones, "bind": map[string]string{"front": at(0), "readiness": at(1), "directory": at(2)},
		"internal_ports": []int{ns.ports + 4, ns.ports + 19}, "seeds": []string{}, "bootstrap": !ns.ran, "counts_toward_loss": true,
		"limits":   map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "gangs"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0}, "bounds": ns.bounds,
		"provider": map[string]any{"address": ns.store.address(), "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"value_bytes": 1048576, "ttl_min_ms": 1000}}
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(ns.dir, n.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(ns.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.cmd = exec.Command(ns.program, "--platform")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + ns.dir, wire["boot"] + "=" + file}
	n.cmd.Stdout, n.cmd.Stderr = output, output
	if err := n.cmd.Start(); err != nil {
		return err
	}
	started.Lock()
	started.processes = append(started.processes, n.cmd.Process)
	started.Unlock()
	n.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		output.Close()
		close(done)
	}(n.cmd, n.done)
	return nil
}

func (n *node) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.done
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := client.Get("http://" + n.readiness() + wire["ready"])
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (ns *nodes) startAll() error {
	for _, n := range ns.all {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

func (ns *nodes) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, n := range ns.all {
		for !n.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("node %s isn't ready", n.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	ns.ran = true
	return nil
}

func (ns *nodes) end() {
	for _, n := range ns.all {
		n.kill()
	}
	_ = os.RemoveAll(ns.dir)
}
