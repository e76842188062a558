// Package untrusted tests that clients which the system doesn't control can't end its processes. The tests check only that the process
// lives, that its memory and open descriptors stay within those of the machine that its settings state, and that an ordinary request is
// answered afterwards. They run one at a time.
package untrusted

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/test/harness"
)

const sampleInterval = 20 * time.Millisecond

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// Guards against clients that exhaust the memory of a machine with heads or bodies, on the users' platform.
func TestPlatformNodeStaysWithinItsMemory(t *testing.T) {
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) { checkLoad(t, startPlatformNode(t, platformMaxFDs), l) })
	}
}

// Guards against the same on the product's own interface.
func TestOwnNodeStaysWithinItsMemory(t *testing.T) {
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) { checkLoad(t, startOwnNode(t), l) })
	}
}

// Guards against clients that use up the descriptors of a machine with connections that send nothing, a part of a head, or a part of a body.
func TestPlatformNodeStaysWithinItsDescriptors(t *testing.T) {
	const clients = 400 // Above smallMaxFDs.
	for _, l := range []load{
		{"nothing", clients, false, func(*node) message { return message{} }},
		{"part of a head", clients, false, func(n *node) message { return message{head: []byte("POST " + n.path)} }},
		{"part of a body", clients, false, func(n *node) message { return n.bodyMessage(n.bodyBytes - 1) }},
	} {
		t.Run(l.name, func(t *testing.T) { checkLoad(t, startPlatformNode(t, smallMaxFDs), l) })
	}
}

// checkLoad starts the clients of a load, and checks the process while they run and after an ordinary request beside those that stay.
func checkLoad(t *testing.T, n *node, l load) {
	t.Helper()
	checkClients(t, n, l.name, func() { startClients(t, n, l) })
}

func checkClients(t *testing.T, n *node, name string, start func()) {
	t.Helper()
	harness.Eventually(t, startTimeout, n.ordinary)
	atStart := peakMemoryMB(t, n.processes[0])
	var descriptors []*atomic.Int64
	for _, p := range n.processes {
		descriptors = append(descriptors, sampleDescriptors(t, p))
	}
	start()
	time.Sleep(loadTime)
	harness.Eventually(t, startTimeout, n.ordinary)
	for i, p := range n.processes {
		select {
		case <-p.Exited():
			t.Fatal("the process has ended")
		default:
		}
		memory, most := peakMemoryMB(t, p), int(descriptors[i].Load())
		t.Logf("%s: peak memory %d MB of %d (%d at the start), at most %d descriptors of %d", name, memory, n.memoryMB, atStart, most, n.maxFDs)
		if memory > n.memoryMB {
			t.Errorf("peak memory %d MB, the machine has %d", memory, n.memoryMB)
		}
		if n.maxFDs > 0 && most > n.maxFDs {
			t.Errorf("%d open descriptors, the machine allows %d", most, n.maxFDs)
		}
	}
}

// peakMemoryMB returns the highest resident memory that the process has had.
func peakMemoryMB(t *testing.T, p *harness.Process) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Pid()))
	if err != nil {
		t.Fatal(err)
	}
	for line := range bytes.Lines(status) {
		value, found := strings.CutPrefix(string(line), "VmHWM:")
		if !found {
			continue
		}
		kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
		if err != nil {
			t.Fatal(err)
		}
		return kilobytes >> 10
	}
	t.Fatalf("no VmHWM in the status of the process:\n%s", status)
	return 0
}

// sampleDescriptors returns the highest number of open descriptors of the process, which is updated until the test ends.
func sampleDescriptors(t *testing.T, p *harness.Process) *atomic.Int64 {
	t.Helper()
	most, stop, stopped := &atomic.Int64{}, make(chan struct{}), make(chan struct{})
	directory := fmt.Sprintf("/proc/%d/fd", p.Pid())
	go func() {
		defer close(stopped)
		for {
			entries, err := os.ReadDir(directory)
			if err == nil { // Otherwise the process has ended, which is checked.
				most.Store(max(most.Load(), int64(len(entries))))
			}
			select {
			case <-stop:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	t.Cleanup(func() { close(stop); <-stopped })
	return most
}
