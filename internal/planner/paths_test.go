package planner

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"cassiadeal.example/cassiadeal/internal/balance"
	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/placement"
	"cassiadeal.example/cassiadeal/internal/reach"
	"cassiadeal.example/cassiadeal/internal/recovery"
	"cassiadeal.example/cassiadeal/platform"
)

// pathsTest is a planner that plans one open group of four and some spares, and lacks its own paths to some of them.
type pathsTest struct {
	c        *quicktest.C
	clock    *clock.Manual
	planner  *Planner
	log      *logtest.Hook
	replicas map[string]*fakeReplica
	entries  []*fleet.Replica // The head, the other members and the spares.
	mu       sync.Mutex
	peers    []reach.Peer
	reached  map[string]string // Address at which other nodes reach a replica, by that of its entry.
}

const (
	pathsMembers = 4
	pathsSpares  = 1
	pathsEpoch   = 7
)

func newPathsTest(t *testing.T) *pathsTest {
	log, hook := logtest.NewNullLogger()
	p := &pathsTest{c: quicktest.New(t), clock: clock.NewManual(time.Hour), log: hook, replicas: map[string]*fakeReplica{}, reached: map[string]string{}}
	for i := range pathsMembers + pathsSpares {
		p.addReplica(t, i)
	}
	registry := fleet.NewRegistry(p.clock)
	registry.SetConfig(&fleet.Config{Version: 1, Services: map[string]*fleet.Service{"engine": {Name: "engine",
		Engine: &fleet.Engine{Models: []fleet.Model{{Name: "m", Size: pathsMembers, Share: 1}}}}}})
	registry.Replace(p.entries)
	client := platform.NewReplicaClient(func(fleet.Incarnation, fleet.Answer) {})
	paths, err := reach.New(reach.Options{Clock: p.clock, Log: log, Peers: p.listPeers, Panics: recovery.Recoverer{Log: log}})
	p.c.Assert(err, quicktest.IsNil)
	client.Paths = paths
	p.planner = New(Options{Lease: heldLease(nil, p.clock, log), Registry: registry, Table: balance.NewTable(p.clock), Replicas: client, Clock: p.clock, Log: log,
		LoadWindow: time.Second, StallAfter: 4 * time.Second, EntryTTL: testEntryTTL, StoreFailing: func() bool { return false },
		LoadAge: func() time.Duration { return testLoadAge }, Alone: func() bool { return false }, BeforeFirstRequest: func() bool { return false }})
	p.planner.startTerm()
	p.planner.setActive(true)
	p.clock.Advance(testEntryTTL + settleTime) // Entries count as up to date.
	return p
}

func (p *pathsTest) addReplica(t *testing.T, i int) {
	f := &fakeReplica{}
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	r := &fleet.Replica{ID: fmt.Sprintf("r%d", i), Service: "engine", Zone: "z", Fabric: "f", StartedUnixMs: 1, Address: server.Listener.Addr().String(), Staged: []string{"m"}}
	if i < pathsMembers {
		state := fleet.GroupReady
		if i == 0 {
			state = fleet.GroupOpen
		}
		r.Models, r.Group = []string{"m"}, &fleet.Membership{Name: "g", Epoch: pathsEpoch, Rank: i, State: state}
		f.group, f.begun = &fakeGroup{"g", pathsEpoch, i, string(state)}, 2
	}
	p.replicas[r.ID], p.entries = f, append(p.entries, r)
}

// losePath lets the planner's connections to a replica go to another address than those of other nodes.
func (p *pathsTest) losePath(i int, address string) {
	p.mu.Lock()
	p.reached[address] = p.entries[i].Address
	p.mu.Unlock()
	p.setAddress(i, address)
}

// setAddress replaces the entry of a replica by one with another address.
func (p *pathsTest) setAddress(i int, address string) {
	entry := *p.entries[i]
	entry.Address = address
	p.entries[i] = &entry
	p.planner.opt.Registry.Replace(p.entries)
}

func (p *pathsTest) listPeers() []reach.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.peers)
}

// addPeer adds a node that reaches all replicas which run.
func (p *pathsTest) addPeer(t *testing.T, name string) {
	s := &reach.Server{Log: logrus.New(), Panics: recovery.Recoverer{Log: logrus.New()}, Allowed: func(reach.Target, bool) bool { return true }}
	h := s.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		p.mu.Lock()
		if address, other := p.reached[query.Get("address")]; other {
			query.Set("address", address)
		}
		p.mu.Unlock()
		r.URL.RawQuery = query.Encode()
		h.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	p.peers = append(p.peers, reach.Peer{Name: name, Address: server.Listener.Addr().String()})
}

// addSilentPeer adds a node that is asked first and doesn't answer.
func (p *pathsTest) addSilentPeer(t *testing.T, name string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	p.c.Assert(err, quicktest.IsNil)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(io.Discard, conn)
			}()
		}
	}()
	p.peers = append(p.peers, reach.Peer{Name: name, Address: l.Addr().String(), Near: true})
}

// refusingAddress returns an address at which nothing listens. No other listener gets it during the test.
func refusingAddress(t *testing.T) string {
	_, address := boundSocket(t)
	return address
}

// boundSocket returns a socket that is bound to an address and doesn't listen.
func boundSocket(t *testing.T) (fd int, address string) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { _ = syscall.Close(fd) }) // The test has ended.
	quicktest.Assert(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), quicktest.IsNil)
	bound, err := syscall.Getsockname(fd)
	quicktest.Assert(t, err, quicktest.IsNil)
	return fd, fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

// hangingAddress returns an address to which connections are neither opened nor refused: its backlog is full.
func hangingAddress(t *testing.T) string {
	const tries, timeout = 8, 100 * time.Millisecond
	fd, address := boundSocket(t)
	quicktest.Assert(t, syscall.Listen(fd, 0), quicktest.IsNil)
	for range tries {
		conn, err := net.DialTimeout("tcp", address, timeout)
		if err != nil {
			return address
		}
		t.Cleanup(func() { conn.Close() })
	}
	t.Fatal("connections to a listener with a full backlog are opened")
	return ""
}

// suspectIdleHead lets a node suspect the head, from which an event was last received some time ago and where nothing runs any more.
func (p *pathsTest) suspectIdleHead(lastEvent time.Duration) {
	key := balance.KeyOf(p.entries[0])
	p.planner.opt.Table.SetPeerState("other", balance.PeerState{EventAges: map[balance.Key]time.Duration{key: lastEvent}})
	p.planner.opt.Table.Suspect(key)
}

// run plans for a time, with the answers to all probes and orders of a tick before the next one. It returns the orders that were sent.
func (p *pathsTest) run(d time.Duration) []placement.Order {
	var sent []placement.Order
	for range int(d / tickInterval) {
		p.clock.Advance(tickInterval)
		sent = append(sent, p.tick()...)
	}
	return sent
}

func (p *pathsTest) tick() []placement.Order {
	orders, probes, queries := p.planner.decide()
	var calls sync.WaitGroup
	for _, task := range probes {
		calls.Go(func() { p.planner.probe(context.Background(), task) })
	}
	for _, r := range queries {
		calls.Go(func() { p.planner.queryReport(context.Background(), r) })
	}
	for _, o := range orders {
		calls.Go(func() { p.planner.send(context.Background(), o) })
	}
	calls.Wait()
	return orders
}

// ordersToMembers describes the orders to leave or join to replicas that are members of the group.
func (p *pathsTest) ordersToMembers(orders []placement.Order) []string {
	list := []string{}
	for _, o := range orders {
		if i := slices.IndexFunc(p.entries, func(r *fleet.Replica) bool { return r.ID == o.To.ID }); i < pathsMembers && (o.Action == placement.Join || o.Action == placement.Leave) {
			list = append(list, fmt.Sprintf("%s %s/%d to %s: %s", o.Action, o.Group, o.Epoch, o.To.ID, o.Reason))
		}
	}
	return list
}

// groupOf returns the group that a replica is in.
func (f *fakeReplica) groupOf() *fakeGroup {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.group
}

// causes returns the causes of the logged events in which epochs were given up.
func (p *pathsTest) causes() []string {
	list := []string{}
	for _, e := range p.log.AllEntries() {
		if e.Message == "an epoch of a group is given up" {
			list = append(list, fmt.Sprint(e.Data["cause"]))
		}
	}
	return list
}

// lossesOfOwnPaths are the ways in which the planner's own connections fail.
var lossesOfOwnPaths = map[string]func(*testing.T) string{"refused": refusingAddress, "hanging": hangingAddress}

// Guards against a planner that takes the loss of its own path to an idle head for the loss of the head, gives the group up and joins its
// members to another one while the head serves: another node reaches it.
func TestHeadThatAnotherNodeReachesIsNotLost(t *testing.T) {
	for _, kind := range slices.Sorted(maps.Keys(lossesOfOwnPaths)) {
		for name, ranks := range map[string][]int{"the head": {0}, "all members": {0, 1, 2, 3}} {
			for _, firstIsSilent := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, first peer silent %t", kind, name, firstIsSilent), func(t *testing.T) {
					p := newPathsTest(t)
					if firstIsSilent {
						p.addSilentPeer(t, "a")
					}
					p.addPeer(t, "b")
					p.run(tickInterval) // The group is adopted.
					for _, rank := range ranks {
						p.losePath(rank, lossesOfOwnPaths[kind](t))
					}
					p.suspectIdleHead(1300 * time.Millisecond)
					orders := p.run(4 * time.Second)
					p.c.Check(p.causes(), quicktest.DeepEquals, []string{})
					p.c.Check(p.ordersToMembers(orders), quicktest.DeepEquals, []string{})
					members := p.planner.plan.Groups()["g"]
					p.c.Assert(members, quicktest.HasLen, pathsMembers)
					for i, m := range members {
						p.c.Check(m.Incarnation, quicktest.Equals, p.entries[i].Incarnation())
						p.c.Check(p.replicas[m.Incarnation.ID].groupOf(), quicktest.DeepEquals, &fakeGroup{"g", pathsEpoch, i, string(p.entries[i].Group.State)})
					}
				})
			}
		}
	}
}

// ticksUntilGivenUp plans until an epoch is given up, and returns the number of ticks; 0 if none is within the time.
func (p *pathsTest) ticksUntilGivenUp(d time.Duration) int {
	for n := range int(d / tickInterval) {
		if p.run(tickInterval); len(p.causes()) > 0 {
			return n + 1
		}
	}
	return 0
}

// Guards against a lost head that is replaced later because other nodes are asked before it counts as lost.
func TestHeadThatNoNodeReachesIsReplacedAsSoonAsByOneNode(t *testing.T) {
	for _, kind := range slices.Sorted(maps.Keys(lossesOfOwnPaths)) {
		t.Run(kind, func(t *testing.T) {
			givenUpAfter := func(peers func(*pathsTest)) int {
				p := newPathsTest(t)
				peers(p)
				p.run(tickInterval)
				p.setAddress(0, lossesOfOwnPaths[kind](t))
				p.suspectIdleHead(1300 * time.Millisecond)
				return p.ticksUntilGivenUp(4 * time.Second)
			}
			c := quicktest.New(t)
			direct := givenUpAfter(func(p *pathsTest) { p.planner.opt.Replicas.Paths = nil })
			c.Assert(direct > 0, quicktest.IsTrue)
			c.Check(givenUpAfter(func(*pathsTest) {}), quicktest.Equals, direct, quicktest.Commentf("no other node"))
			c.Check(givenUpAfter(func(p *pathsTest) { p.addPeer(t, "b") }), quicktest.Equals, direct, quicktest.Commentf("another node"))
			c.Check(givenUpAfter(func(p *pathsTest) {
				p.addSilentPeer(t, "a")
				p.addPeer(t, "b")
			}), quicktest.Equals, direct, quicktest.Commentf("the first of two other nodes is silent"))
		})
	}
}

// Guards against a head that counts as lost because one or two connections of only this node failed: no other node has said whether it
// reaches the head.
func TestFailuresThatNoOtherNodeHasConfirmedHaveToRepeat(t *testing.T) {
	for _, kind := range slices.Sorted(maps.Keys(lossesOfOwnPaths)) {
		t.Run(kind, func(t *testing.T) {
			p := newPathsTest(t)
			p.addSilentPeer(t, "a")
			p.addSilentPeer(t, "b")
			p.run(tickInterval)
			own := p.entries[0].Address
			p.losePath(0, lossesOfOwnPaths[kind](t))
			p.suspectIdleHead(1300 * time.Millisecond)
			p.run(2 * failedProbeInterval) // Two probes.
			p.setAddress(0, own)
			p.c.Check(p.causes(), quicktest.DeepEquals, []string{})
			p.run(4 * time.Second)
			p.c.Check(p.causes(), quicktest.DeepEquals, []string{})
			p.losePath(0, lossesOfOwnPaths[kind](t))
			p.suspectIdleHead(1300 * time.Millisecond)
			p.c.Check(p.ticksUntilGivenUp(6*time.Second) > 0, quicktest.IsTrue)
		})
	}
}

// Guards against a planner that has lost most of its own paths and takes what it can't reach for lost as soon as other nodes don't answer.
func TestPlannerWithoutPathsTakesNothingForLost(t *testing.T) {
	for _, kind := range slices.Sorted(maps.Keys(lossesOfOwnPaths)) {
		t.Run(kind, func(t *testing.T) {
			p := newPathsTest(t)
			p.addPeer(t, "b")
			p.run(tickInterval)
			for i := range p.entries {
				p.losePath(i, lossesOfOwnPaths[kind](t))
			}
			p.suspectIdleHead(1300 * time.Millisecond)
			p.run(failedProbeInterval)
			for end := time.Now().Add(recordWait); !p.planner.opt.Replicas.PathsLost() && time.Now().Before(end); {
				time.Sleep(time.Millisecond) // A direct connection may fail later than one through the other node opens.
			}
			p.c.Assert(p.planner.opt.Replicas.PathsLost(), quicktest.IsTrue)
			p.mu.Lock()
			p.peers = nil
			p.mu.Unlock()
			p.addSilentPeer(t, "a")
			p.suspectIdleHead(1300 * time.Millisecond)
			p.run(2500 * time.Millisecond)
			p.c.Check(p.causes(), quicktest.DeepEquals, []string{})
		})
	}
}

// Guards against members of a head that are used elsewhere because its address refused an order of this node only.
func TestOrderThatOnlyThisNodeIsRefusedIsNotAnswered(t *testing.T) {
	p := newPathsTest(t)
	p.losePath(0, refusingAddress(t))
	o := placement.Order{To: p.entries[0], Action: placement.Leave, Group: "g", Epoch: pathsEpoch}
	outcome := func() placement.Outcome {
		outcome, _, _ := p.planner.sendCounted(context.Background(), o, platform.Order{Operation: platform.OpLeave, Group: "g", Epoch: pathsEpoch})
		return outcome
	}
	p.addSilentPeer(t, "a")
	p.c.Check(outcome(), quicktest.Equals, placement.Unknown)
	p.addPeer(t, "b")
	p.c.Check(outcome(), quicktest.Equals, placement.Accepted)
	p.c.Check(p.replicas["r0"].groupOf(), quicktest.IsNil)
	p.mu.Lock()
	p.reached, p.peers = map[string]string{}, p.peers[1:]
	p.mu.Unlock()
	p.c.Check(outcome(), quicktest.Equals, placement.ConnectionRefused)
}

// addPeerWithoutPaths adds a node whose own connections to all replicas fail as well, and that is asked first.
func (p *pathsTest) addPeerWithoutPaths(t *testing.T, name, address string, near bool) {
	s := &reach.Server{Log: logrus.New(), Panics: recovery.Recoverer{Log: logrus.New()}, Allowed: func(reach.Target, bool) bool { return true },
		ReachesOther: func(context.Context, reach.Target) bool { return false }}
	h := s.Handler()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		query.Set("address", address)
		r.URL.RawQuery = query.Encode()
		h.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	p.peers = append(p.peers, reach.Peer{Name: name, Address: server.Listener.Addr().String(), Near: near})
}

// Guards against a head that counts as lost, or ended, because the nodes that were asked about it have lost their own paths as well as the
// planner: another node reaches the head.
func TestNodesWithoutPathsDoNotConfirmThatAHeadIsLost(t *testing.T) {
	for _, kind := range slices.Sorted(maps.Keys(lossesOfOwnPaths)) {
		for _, without := range []int{2, 5, 12} {
			t.Run(fmt.Sprintf("%s, %d nodes without paths", kind, without), func(t *testing.T) {
				p := newPathsTest(t)
				for i := range without {
					p.addPeerWithoutPaths(t, fmt.Sprint("a", i), lossesOfOwnPaths[kind](t), i%2 == 0)
				}
				p.addPeer(t, "b")
				p.run(tickInterval) // The group is adopted.
				for i := range p.entries {
					p.losePath(i, lossesOfOwnPaths[kind](t))
				}
				p.suspectIdleHead(1300 * time.Millisecond)
				orders := p.run(4 * time.Second)
				p.c.Check(p.causes(), quicktest.DeepEquals, []string{})
				p.c.Check(p.ordersToMembers(orders), quicktest.DeepEquals, []string{})
			})
		}
	}
}
