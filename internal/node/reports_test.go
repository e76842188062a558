package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/groups"
	"cassiadeal.example/cassiadeal/internal/orders"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/statement"
)

// startReports reads engines at the addresses, by VM, until the test ends.
func startReports(t *testing.T, freshness time.Duration, addresses map[string]string) *vmReports {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	address := func(vm string) (string, bool) { a, ok := addresses[vm]; return a, ok }
	reports := newVMReports(orders.New(orders.Options{}), statement.New(statement.Options{Now: now}), now, address, freshness)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { defer close(ended); reports.run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	return reports
}

// startEngine starts an engine that states its state after the delay, and returns its address.
func startEngine(t *testing.T, delay time.Duration) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(delay):
			_, _ = fmt.Fprint(w, `{"vm":"sound","incarnation":"1","group":"g","number":1,"ready":true}`)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startSilentEngine returns an address whose connections are accepted, but never answered.
func startSilentEngine(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
		}
	}()
	return l.Addr().String()
}

// watch requests the reports of all VMs for the time, as a controller does, and returns the last report of each and the greatest age of
// the sound VM's reports after the first one.
func watch(reports *vmReports, vms map[string]string, d time.Duration) (last map[string]groups.Report, oldest time.Duration) {
	last = map[string]groups.Report{}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for vm := range vms {
			last[vm] = reports.get(vm)
		}
		if last["sound"].Seen {
			oldest = max(oldest, last["sound"].Age)
		}
	}
	return last, oldest
}

// Guards against sound engines that count as lost, whose groups then end all requests, because the reads of many silent engines delay theirs.
func TestSilentEnginesDelayNoReadsOfOthers(t *testing.T) {
	const freshness, silentEngines = 200 * time.Millisecond, 400
	vms := map[string]string{"sound": startEngine(t, 0)}
	silent := startSilentEngine(t)
	for i := range silentEngines {
		vms[fmt.Sprint("silent-", i)] = silent
	}
	last, oldest := watch(startReports(t, freshness, vms), vms, 5*time.Second)
	qt.Check(t, last["sound"].Seen, qt.IsTrue)
	qt.Check(t, oldest < 3*freshness, qt.IsTrue, qt.Commentf("the sound engine's report was %v old", oldest))
	qt.Check(t, last["silent-7"].Missed > 2, qt.IsTrue, qt.Commentf("%+v", last["silent-7"]))
}

// Guards against an engine that counts as lost although it answers each read, but after a second of silence.
func TestEngineThatAnswersAfterASecondIsNotLost(t *testing.T) {
	const freshness, lost = time.Second, 3 * time.Second // The defaults of the settings and of groups.Timing.
	vms := map[string]string{"sound": startEngine(t, 1200*time.Millisecond)}
	last, oldest := watch(startReports(t, freshness, vms), vms, 6*time.Second)
	qt.Check(t, last["sound"].Seen, qt.IsTrue)
	qt.Check(t, last["sound"].Missed, qt.Equals, 0)
	qt.Check(t, oldest < lost, qt.IsTrue, qt.Commentf("the engine's report was %v old", oldest))
}

// Guards against a lost engine that is replaced later because too few of its reads have failed once its report is old enough.
func TestSilentEngineHasMissedReadsWhenItsReportIsOld(t *testing.T) {
	const freshness, lost, missed = time.Second, 3 * time.Second, 2 // As above, and the missed reads that a loss takes.
	vms := map[string]string{"silent": startSilentEngine(t), "refuses": "127.0.0.1:1"}
	reports := startReports(t, freshness, vms)
	for vm := range vms {
		for reports.get(vm).Missed < missed {
			qt.Assert(t, reports.get(vm).Age < lost, qt.IsTrue, qt.Commentf("%s: %+v", vm, reports.get(vm)))
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("%s: %d reads were missed at an age of %v", vm, missed, reports.get(vm).Age)
	}
}

// Guards against engines that count as lost, whose groups then end all requests, because this node has lost its paths to them and to the
// other nodes as well. What another node has found too counts, so does what the only node finds, and a silence that goes on for long.
func TestReadsThatNoOtherNodeConfirmsAreNotMissed(t *testing.T) {
	confirmed := []reach.PeerError{{Peer: "b", Err: syscall.ECONNREFUSED}}
	for name, test := range map[string]struct {
		failure reach.DialError
		silence time.Duration
		missed  int
	}{
		"unconfirmed":          {reach.DialError{Direct: context.DeadlineExceeded}, 10 * time.Second, 0},
		"unconfirmed for long": {reach.DialError{Direct: context.DeadlineExceeded}, unconfirmedLimit, 1},
		"only node":            {reach.DialError{Direct: context.DeadlineExceeded, Alone: true}, 0, 1},
		"confirmed":            {reach.DialError{Direct: context.DeadlineExceeded, Peers: confirmed}, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			client := orders.New(orders.Options{Dial: func(context.Context, string) (net.Conn, error) { return nil, &test.failure }})
			now := func() time.Duration { return time.Hour + test.silence }
			address := func(string) (string, bool) { return "127.0.0.1:1", true }
			reports := newVMReports(client, statement.New(statement.Options{Now: now}), now, address, time.Second)
			report := &vmReport{readSentAt: time.Hour, hasState: true, reads: 1}
			reports.read(t.Context(), "vm", report)
			qt.Check(t, report.missed, qt.Equals, test.missed)
		})
	}
}
