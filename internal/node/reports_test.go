package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/groups"
	"cassiadeal.example/cassiadeal/internal/orders"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/recovery"
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

// confirmedLoss returns the error of a connection to an address at which nothing listens, which another node has found too.
func confirmedLoss(t *testing.T) error {
	log := logrus.New()
	log.SetOutput(io.Discard)
	other := &reach.Server{Log: log, Panics: recovery.Recoverer{Log: log}, Allowed: func(reach.Target, bool) bool { return true }}
	server := httptest.NewServer(other.Handler())
	t.Cleanup(server.Close)
	paths, err := reach.New(reach.Options{Clock: clock.Boottime(), Log: log, Panics: recovery.Recoverer{Log: log}, Peers: func() []reach.Peer {
		return []reach.Peer{{Name: "b", Address: server.Listener.Addr().String()}}
	}})
	qt.Assert(t, err, qt.IsNil)
	ended := httptest.NewServer(nil)
	ended.Close()
	request := reach.Request{Timeout: 5 * time.Second, PeerDelay: time.Millisecond, Lifetime: time.Second, Control: true}
	_, err = paths.Dial(t.Context(), reach.Target{Address: ended.Listener.Addr().String(), Incarnation: fleet.Incarnation{ID: "ended"}}, request)
	qt.Assert(t, err, qt.IsNotNil)
	return err
}

// Guards against engines that count as lost, whose groups then end all requests, because this node has lost its paths to them and to the
// other nodes as well. What another node has found too counts, so does what the only node finds, and a silence that goes on for long.
func TestReadsThatNoOtherNodeConfirmsAreNotMissed(t *testing.T) {
	unconfirmed, alone := &reach.DialError{Direct: context.DeadlineExceeded}, &reach.DialError{Direct: context.DeadlineExceeded, Alone: true}
	for name, test := range map[string]struct {
		failure error
		silence time.Duration
		missed  int
	}{
		"unconfirmed":          {unconfirmed, 10 * time.Second, 0},
		"unconfirmed for long": {unconfirmed, unconfirmedLimit, 1},
		"only node":            {alone, 0, 1},
		"confirmed":            {confirmedLoss(t), 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			client := orders.New(orders.Options{Dial: func(context.Context, string) (net.Conn, error) { return nil, test.failure }})
			now := func() time.Duration { return time.Hour + test.silence }
			address := func(string) (string, bool) { return "127.0.0.1:1", true }
			reports := newVMReports(client, statement.New(statement.Options{Now: now}), now, address, time.Second)
			report := &vmReport{readSentAt: time.Hour, hasState: true, reads: 1}
			reports.read(t.Context(), "vm", report)
			qt.Check(t, report.missed, qt.Equals, test.missed)
		})
	}
}
