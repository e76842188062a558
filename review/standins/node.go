package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Offsets of a node's ports from the base port. All nodes use the same ports, at different loopback addresses.
const (
	portFront     = 0
	portReadiness = 1
	portControl   = 2
	portDirectory = 3
	portInternal  = 10 // The first of internalPorts.
	internalPorts = 16
)

// memoryLimitMB is the memory of a machine on the sheets.
const memoryLimitMB = 284

// node is one machine of the system, on which the daemon runs as a process.
type node struct {
	name, ip, zone string
	base           int
	settingsPath   string
	record         *record
	logPath        string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{} // Closed when the process has ended.
}

func (n *node) address(offset int) string {
	return net.JoinHostPort(n.ip, strconv.Itoa(n.base+offset))
}

// newNodes returns count nodes at the addresses 127.0.0.1 and up. The nodes are spread over the zones in turn.
func newNodes(r *record, dir string, count int, zones []string) ([]*node, error) {
	ips := make([]string, count)
	for i := range ips {
		ips[i] = fmt.Sprintf("127.0.0.%d", i+1)
	}
	base, err := freeBase(ips)
	if err != nil {
		return nil, err
	}
	var nodes []*node
	for i, ip := range ips {
		zone := zones[i%len(zones)]
		name := fmt.Sprintf("front-%s-%d", zone, i/len(zones)+1)
		nodes = append(nodes, &node{name: name, ip: ip, zone: zone, base: base, record: r,
			settingsPath: filepath.Join(dir, name+".json"), logPath: filepath.Join(dir, name+".log")})
	}
	return nodes, nil
}

// freeBase returns a base port from which on the ports of a node are free at all addresses.
func freeBase(ips []string) (int, error) {
	for range 50 {
		base := 20000 + rand.IntN(10000)
		if portsFree(ips, base) {
			return base, nil
		}
	}
	return 0, errors.New("found no free ports")
}

func portsFree(ips []string, base int) bool {
	for _, ip := range ips {
		for offset := range portInternal + internalPorts + 1 { // The last one is for the store.
			address := net.JoinHostPort(ip, strconv.Itoa(base+offset))
			l, err := net.Listen("tcp", address)
			if err != nil {
				return false
			}
			_ = l.Close()
			u, err := net.ListenPacket("udp", address)
			if err != nil {
				return false
			}
			_ = u.Close()
		}
	}
	return true
}

// writeSettings writes the settings file as the platform does at each start.
func (n *node) writeSettings(storeAddress string, firstRun bool) error {
	settings := map[string]any{
		"node_name": n.name, "role": "entry", "machine_class": "front", "serves": []string{"front", "directory"},
		"ip": n.ip, "zone": n.zone, "region": "wa-west",
		"zones": map[string]string{"perth-a": "wa-west", "perth-b": "wa-west", "perth-c": "wa-west"},
		"bind": map[string]string{"front": n.address(portFront), "readiness": n.address(portReadiness), "control": n.address(portControl),
			"directory": n.address(portDirectory)},
		"internal_ports": []int{n.base + portInternal, n.base + portInternal + internalPorts - 1}, "seeds": []string{}, "bootstrap": firstRun,
		"counts_toward_loss": false,
		"limits":             map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": memoryLimitMB, "max_fds": 4200, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir":           nil, "discovery": "platform", "entry": "directory", "heartbeat_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "gangs"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{"seed_lag_s": 3, "reuse_after_s": 2, "stable_window_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
			"grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000, "strict_revocation": false,
			"revoke_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "retry_budget_slack": 132, "cold_overshoot": 1.5, "cold_slack": 5,
			"evacuate_ms": 5000, "recover_s": 12, "pass_ms": 120, "again_s": 0, "stall_ms": 4000, "require_fencing": false,
			"ceiling_window_s": 5, "ceiling_overshoot": 1.1, "ttl_max_s": 5},
		"provider": map[string]any{"address": storeAddress, "form": "objects", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"value_bytes": 1048576, "ttl_min_ms": 1000},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.settingsPath, data, 0o600)
}

// start starts the daemon with the command of the deploy file.
func (n *node) start(repository string) error {
	log, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/cassiadeald", "--platform")
	cmd.Dir, cmd.Stdout, cmd.Stderr = repository, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", wire.SettingsVariable + "=" + n.settingsPath}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	_ = log.Close()
	exited := make(chan struct{})
	n.mu.Lock()
	n.process, n.exited = cmd, exited
	n.mu.Unlock()
	n.record.add("%s: process started", n.name)
	go func() {
		err := cmd.Wait()
		n.record.add("%s: process ended: %v", n.name, err)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, if it runs.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return
	}
	select {
	case <-n.exited:
	default:
		n.record.add("%s: %v sent", n.name, s)
		_ = n.process.Process.Signal(s) // An error means that it has just ended.
	}
}

// kill ends the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// memoryMB returns the resident memory of the process; 0 if it doesn't run.
func (n *node) memoryMB() int {
	n.mu.Lock()
	process := n.process
	n.mu.Unlock()
	if process == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", process.Process.Pid))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1]) // 0 if it can't be read.
	return pages * os.Getpagesize() >> 20
}

// ready reports whether the node answers the platform's readiness check with 200.
func (n *node) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.address(portReadiness) + wire.PathReady)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func awaitReady(nodes []*node, limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		waiting := ""
		for _, n := range nodes {
			if !n.ready() {
				waiting = n.name
			}
		}
		if waiting == "" {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s isn't ready after %v", waiting, limit)
		}
	}
}
