package planner

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/placement"
	"cassiadeal.example/cassiadeal/platform"
)

// fakeReplica is a replica that carries out orders to join, open and leave groups, at once or late.
type fakeReplica struct {
	mu      sync.Mutex
	begun   int64             // Orders that it has begun.
	group   *fakeGroup        // Nil if it is in none.
	late    bool              // The next order isn't answered, and is kept in pending.
	pending []json.RawMessage // Orders to carry out later.
	orders  int               // Orders that it has received.
}

type fakeGroup struct {
	Name  string `json:"name"`
	Epoch int64  `json:"epoch"`
	Rank  int    `json:"rank"`
	State string `json:"state"`
}

func (f *fakeReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(map[string]any{"sequence": f.begun, "group": f.group, "born": 1}) // The client notices.
		return
	}
	body, _ := io.ReadAll(r.Body)
	f.orders++
	if f.late {
		f.late, f.pending = false, append(f.pending, body)
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(f.carryOut(body))
}

// carryOut carries out an order and returns the status of its answer. The lock is held.
func (f *fakeReplica) carryOut(body []byte) int {
	var o struct {
		Operation string `json:"operation"`
		Group     string `json:"group"`
		Epoch     int64  `json:"epoch"`
		Expect    *int64 `json:"expect"`
	}
	if json.Unmarshal(body, &o) != nil {
		return http.StatusBadRequest
	}
	inGroup := f.group != nil && f.group.Name == o.Group && f.group.Epoch == o.Epoch
	switch {
	case o.Expect != nil && *o.Expect != f.begun, o.Operation == "open" && !inGroup:
		return http.StatusConflict
	case o.Operation == "join" && inGroup, o.Operation == "leave" && !inGroup:
		return http.StatusOK
	case o.Operation == "join":
		f.group = &fakeGroup{o.Group, o.Epoch, 0, "ready"}
	case o.Operation == "open":
		f.group.State = "open"
	case o.Operation == "leave":
		f.group, f.begun = nil, f.begun+1
		return http.StatusOK
	}
	f.begun++
	return http.StatusAccepted
}

// carryOutPending carries out the orders that weren't answered, and returns the group that the replica is in then.
func (f *fakeReplica) carryOutPending() *fakeGroup {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, body := range f.pending {
		f.carryOut(body)
	}
	f.pending = nil
	return f.group
}

func (f *fakeReplica) setLate() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late = true
}

// orderTest sends orders of a planner to one replica.
type orderTest struct {
	planner *Planner
	replica *fakeReplica
	entry   fleet.Replica
}

func newOrderTest(t *testing.T) *orderTest {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &fakeReplica{}
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	manual := clock.NewManual(time.Hour)
	p := New(Options{Lease: heldLease(nil, manual, log), Replicas: platform.NewReplicaClient(func(fleet.Incarnation, fleet.Answer) {}), Clock: manual, Log: log})
	p.plan = placement.New(1)
	p.active.Store(true)
	return &orderTest{p, f, fleet.Replica{ID: "i-1", Address: strings.TrimPrefix(server.URL, "http://"), StartedUnixMs: 1}}
}

// send sends an order that was planned while the replica's entry showed the group.
func (o *orderTest) send(action placement.Action, group string, epoch int64, shown *fleet.Membership) {
	entry := o.entry
	entry.Group = shown
	o.planner.send(context.Background(), placement.Order{To: &entry, Action: action, Group: group, Epoch: epoch, Model: "small",
		Members: []string{"i-1", "i-2"}})
}

// deliver sends an order until the replica has received it, since a busy machine may exceed the timeouts of the planner.
func (o *orderTest) deliver(c *quicktest.C, action placement.Action, group string, epoch int64, shown *fleet.Membership) {
	const maxSends = 20
	for range maxSends {
		if o.send(action, group, epoch, shown); o.replica.received() > 0 {
			return
		}
	}
	c.Fatalf("the replica hasn't received the order to %s %s", action, group)
}

// received returns the number of orders received since its last call.
func (f *fakeReplica) received() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.orders
	f.orders = 0
	return n
}

// Guards against a replica that serves a group again which it has left: orders to join and open it that weren't answered are carried out
// seconds later, and its former members are in other groups by then.
func TestLateOrdersAreRefusedAfterNewerOnes(t *testing.T) {
	for _, known := range []bool{true, false} {
		c := quicktest.New(t)
		o := newOrderTest(t)
		if !known {
			// Another planner has given orders before.
			o.replica.begun, o.entry.Staged = 3, []string{"small"}
		}
		o.replica.setLate()
		o.deliver(c, placement.Join, "g1", 1, nil)
		o.deliver(c, placement.Join, "g1", 1, nil)
		member := &fleet.Membership{Name: "g1", Epoch: 1, State: fleet.GroupReady}
		o.replica.setLate()
		o.deliver(c, placement.Open, "g1", 1, member)
		o.deliver(c, placement.Open, "g1", 1, member)
		c.Assert(o.replica.group, quicktest.DeepEquals, &fakeGroup{"g1", 1, 0, "open"})
		o.deliver(c, placement.Leave, "g1", 1, &fleet.Membership{Name: "g1", Epoch: 1, State: fleet.GroupOpen})
		c.Assert(o.replica.carryOutPending(), quicktest.IsNil)
	}
}

// Guards against a replica that is joined to another group while it serves one: a late order of an earlier planner was carried out after
// the entry on which the order to join was planned.
func TestReplicaThatHasMovedIsNotJoined(t *testing.T) {
	for _, test := range []struct {
		name           string
		shown, present *fleet.Membership
		joins          int
	}{
		{"serves a group that its entry doesn't show", nil, &fleet.Membership{Name: "g1", Epoch: 1, State: fleet.GroupOpen}, 0},
		{"has joined a group since", &fleet.Membership{Name: "g1", Epoch: 1, State: fleet.GroupReady}, &fleet.Membership{Name: "g2", Epoch: 2, Rank: 1, State: fleet.GroupReady}, 0},
		{"has begun to serve since", &fleet.Membership{Name: "g1", Epoch: 1, State: fleet.GroupReady}, &fleet.Membership{Name: "g1", Epoch: 1, State: fleet.GroupOpen}, 0},
		{"its report is older than its entry", &fleet.Membership{Name: "g2", Epoch: 2, State: fleet.GroupReady}, &fleet.Membership{Name: "g1", Epoch: 1, State: fleet.GroupOpen}, 1},
		{"has left since", &fleet.Membership{Name: "g1", Epoch: 1, State: fleet.GroupReady}, nil, 1},
		{"is a spare", nil, &fleet.Membership{Name: "standby-i-1", Epoch: 1, State: fleet.GroupReady}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			o := newOrderTest(t)
			o.replica.begun, o.entry.Staged = 3, []string{"small"}
			if g := test.present; g != nil {
				o.replica.group = &fakeGroup{g.Name, g.Epoch, g.Rank, string(g.State)}
			}
			if test.joins > 0 {
				o.deliver(c, placement.Join, "g3", 3, test.shown)
				return
			}
			o.send(placement.Join, "g3", 3, test.shown)
			c.Assert(o.replica.received(), quicktest.Equals, 0)
		})
	}
}

// Guards against a delay, or an end, of the orders to a replica after it has begun one that the planner doesn't know of.
func TestOrdersGoOnAfterAnUnknownOne(t *testing.T) {
	c := quicktest.New(t)
	var state string
	for range 5 { // A busy machine may exceed the timeouts of the planner.
		o := newOrderTest(t)
		o.deliver(c, placement.Join, "g1", 1, nil)
		o.replica.begun++
		o.send(placement.Open, "g1", 1, &fleet.Membership{Name: "g1", Epoch: 1, State: fleet.GroupReady})
		if state = o.replica.group.State; state == "open" {
			break
		}
	}
	c.Assert(state, quicktest.Equals, "open")
}

// Load: thousands of orders, so that one waits for longer than the time after which the plan repeats it. Guards against repetitions that are
// sent after the first, and count as attempts that a sound replica hasn't answered.
func TestOrderToJoinThatStillWaitsIsNotRepeated(t *testing.T) {
	c := quicktest.New(t)
	o := newOrderTest(t)
	order := placement.Order{To: &o.entry, Action: placement.Join, Group: "g", Epoch: 5, Model: "m", Members: []string{"i-1"}}
	for range maxOrdersInFlight {
		o.planner.inFlight <- struct{}{}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.planner.send(context.Background(), order)
	}()
	waiting := func() bool {
		o.planner.mu.Lock()
		defer o.planner.mu.Unlock()
		return len(o.planner.joins) == 1
	}
	for end := time.Now().Add(5 * time.Second); !waiting() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	c.Assert(waiting(), quicktest.IsTrue)
	o.planner.send(context.Background(), order) // Returns at once.
	other := order
	other.Epoch = 6
	c.Check(o.planner.beginJoin(other), quicktest.IsTrue)
	o.planner.endJoin(other)
	for range maxOrdersInFlight {
		<-o.planner.inFlight
	}
	<-done
	c.Check(waiting(), quicktest.IsFalse)
}
