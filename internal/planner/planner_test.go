package planner

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/platform"
)

const (
	testEntryTTL = 3 * time.Second
	testLoadAge  = 100 * time.Millisecond
)

// newPlanner returns the planner of a node that holds the lease, whose only replica has the given address.
func newPlanner(t *testing.T) (*election, *electionNode, *Planner) {
	e := newElection(t, 2, 1)
	node := e.runUntilPlanner(maxTakeover)
	log := logrus.New()
	log.SetOutput(io.Discard)
	registry := fleet.NewRegistry(e.clock)
	registry.SetConfig(&fleet.Config{Version: 1, Services: map[string]*fleet.Service{"engine": {Name: "engine", Engine: &fleet.Engine{}}}})
	p := New(Options{Lease: node.lease, Registry: registry, Table: balance.NewTable(e.clock), Clock: e.clock, Log: log, LoadWindow: time.Second,
		StallAfter: time.Second, EntryTTL: testEntryTTL, StoreFailing: func() bool { return false }, LoadAge: func() time.Duration { return testLoadAge }, Alone: func() bool { return false }, BeforeFirstRequest: func() bool { return false },
		Replicas: platform.NewReplicaClient(func(fleet.Incarnation, fleet.Answer) {})})
	p.startTerm()
	p.setActive(true)
	return e, node, p
}

// Guards against a replica that is joined to a group by an entry from an older copy of the store, while it is in a newer group: the
// entry is used only once the replica itself has confirmed its state after the restore.
func TestEntriesOfRestoredStoreAreConfirmedByReplicas(t *testing.T) {
	c := quicktest.New(t)
	e, node, p := newPlanner(t)
	var epoch atomic.Int64
	epoch.Store(7)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"born":5,"group":{"name":"g","epoch":%d,"rank":0,"state":"open"},"models":[],"staged":[]}`, epoch.Load())
	}))
	t.Cleanup(server.Close)
	entry := func(epoch int64) *fleet.Replica {
		return &fleet.Replica{ID: "r", Service: "engine", Zone: "z", StartedUnixMs: 5, Address: strings.TrimPrefix(server.URL, "http://"),
			Group: &fleet.Membership{Name: "g", Epoch: epoch, State: fleet.GroupOpen}}
	}
	now := fleet.Incarnation{ID: "r", StartedUnixMs: 5}
	p.opt.Registry.Replace([]*fleet.Replica{entry(7)})
	for range int((testEntryTTL + 3*time.Second) / electionStep) {
		e.step()
		p.decide()
	}
	_, _, queries := p.decide()
	c.Assert(queries, quicktest.HasLen, 0)

	e.store.restore(2 * time.Second)
	node.store.LearnEra(e.store.era)
	p.StoreRestored()
	_, _, queries = p.decide()
	c.Assert(queries, quicktest.HasLen, 1)
	p.queryReport(context.Background(), queries[0]) // Answered before the list of the new era arrives.
	p.decide()
	c.Assert(p.confirmed[now], quicktest.Equals, int64(7))

	p.opt.Registry.Replace([]*fleet.Replica{entry(5)})
	e.clock.Advance(reportRetryInterval)
	_, _, queries = p.decide()
	_, confirmed := p.confirmed[now]
	c.Assert(confirmed, quicktest.IsFalse)
	c.Assert(queries, quicktest.HasLen, 1)
	p.queryReport(context.Background(), queries[0])
	p.decide()
	c.Assert(p.confirmed[now], quicktest.Equals, int64(7))
	c.Assert(p.opt.Registry.View().Replicas["r"].Group.Epoch, quicktest.Equals, int64(7))

	e.clock.Advance(testEntryTTL + settleTime)
	_, _, queries = p.decide()
	c.Assert(queries, quicktest.HasLen, 0)
}

// Guards against a report that arrives after a later one, while the store doesn't answer, and takes back the group that the later one has
// told: the spare that the earlier one describes would be joined to another group.
func TestReportThatIsOvertakenIsNotUsed(t *testing.T) {
	c := quicktest.New(t)
	e, _, p := newPlanner(t)
	firstAsked, answerFirst := make(chan struct{}), make(chan struct{})
	var queries atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if queries.Add(1) == 1 {
			close(firstAsked)
			<-answerFirst
			_, _ = fmt.Fprint(w, `{"born":5,"models":[],"staged":[]}`)
			return
		}
		_, _ = fmt.Fprint(w, `{"born":5,"group":{"name":"g","epoch":7,"rank":0,"state":"open"},"models":[],"staged":[]}`)
	}))
	t.Cleanup(server.Close)
	r := &fleet.Replica{ID: "r", Service: "engine", Zone: "z", StartedUnixMs: 5, Address: strings.TrimPrefix(server.URL, "http://")}
	p.opt.Registry.Replace([]*fleet.Replica{r})
	p.opt.Registry.StoreFailed()
	firstDone := make(chan struct{})
	go func() {
		p.queryReport(context.Background(), r)
		close(firstDone)
	}()
	<-firstAsked
	e.clock.Advance(reportInterval)
	p.queryReport(context.Background(), r)
	c.Assert(p.opt.Registry.View().Replicas["r"].Group, quicktest.IsNotNil)
	close(answerFirst)
	<-firstDone
	c.Assert(p.opt.Registry.View().Replicas["r"].Group, quicktest.IsNotNil)
	c.Assert(p.confirmed[r.Incarnation()], quicktest.Equals, int64(7))
}

// Guards against a lost member that is noticed late because only other nodes have requests at its head.
func TestHeadThatIsSilentAtOtherNodesIsProbed(t *testing.T) {
	c := quicktest.New(t)
	e, _, p := newPlanner(t)
	member := func(rank int) *fleet.Replica {
		state := fleet.GroupReady
		if rank == 0 {
			state = fleet.GroupOpen
		}
		return &fleet.Replica{ID: fmt.Sprintf("r%d", rank), Service: "engine", Zone: "z", StartedUnixMs: 5, Address: "127.0.0.1:1", Models: []string{"m"},
			Group: &fleet.Membership{Name: "g", Epoch: 7, Rank: rank, State: state}}
	}
	head := member(0)
	p.opt.Registry.SetConfig(&fleet.Config{Version: 2, Services: map[string]*fleet.Service{"engine": {Name: "engine",
		Engine: &fleet.Engine{Models: []fleet.Model{{Name: "m", Size: 2, Share: 1}}}}}})
	p.opt.Registry.Replace([]*fleet.Replica{head, member(1)})
	e.clock.Advance(testEntryTTL + settleTime)
	report := func(age time.Duration) (probed int) {
		key := balance.KeyOf(head)
		p.opt.Table.SetPeerState("n", balance.PeerState{Loads: map[balance.Key]balance.Load{key: {Running: 1}}, EventAges: map[balance.Key]time.Duration{key: age}})
		_, probes, _ := p.decide()
		return len(probes)
	}
	p.confirmed[head.Incarnation()] = 7
	report(0) // The group is adopted.
	c.Assert(p.plan.Groups(), quicktest.HasLen, 1)
	c.Assert(report(0), quicktest.Equals, 0)
	e.clock.Advance(probeAfterSilence + testLoadAge)
	c.Assert(report(probeAfterSilence+testLoadAge), quicktest.Equals, 0)
	e.clock.Advance(time.Millisecond)
	c.Assert(report(probeAfterSilence+testLoadAge+time.Millisecond), quicktest.Equals, 2)
}
