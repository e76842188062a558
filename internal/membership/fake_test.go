package membership

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// TestMain sets the seed and the number of cases of rapid; command-line flags override both. In trials with deliberately
// weakened rules, 100 cases missed some violations that 300 cases found.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.nofailfile": "true", "rapid.seed": "20261204", "rapid.checks": "300"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// fakeStore is an in-memory object API for several nodes. While snapshot is set, all reads return it, so they are stale.
type fakeStore struct {
	version, snapshotVersion uint64
	objects, snapshot        map[string]platform.Object
}

// freezeReads makes all later reads return the present state.
func (s *fakeStore) freezeReads() { s.snapshot, s.snapshotVersion = maps.Clone(s.objects), s.version }

// restore brings the objects of a copy back, in the next era, with the versions that the platform client states.
func (s *fakeStore) restore(copied map[string]platform.Object, version uint64) {
	era := platform.EraOf(s.version) + 1
	s.objects, s.version = map[string]platform.Object{}, platform.VersionIn(era, version)
	for key, o := range copied {
		o.Version = platform.VersionIn(era, o.Version)
		s.objects[key] = o
	}
}

func (s *fakeStore) write(kind, name string, version uint64, data []byte) (uint64, error) {
	if s.objects[kind+"/"+name].Version != version {
		return 0, platform.ErrConflict
	}
	s.version++
	s.objects[kind+"/"+name] = platform.Object{Kind: kind, Name: name, Version: s.version, Data: data}
	return s.version, nil
}

// storeClient is one node's access to the store. onCall is called before and after the effect of each call.
type storeClient struct {
	store        *fakeStore
	disconnected bool
	loseReplies  bool // Updates take effect but return ErrOutcomeUnknown.
	onCall       func()
}

func (v *storeClient) call() error {
	if v.onCall != nil {
		v.onCall()
	}
	if v.disconnected {
		return platform.ErrUnavailable
	}
	return nil
}

func (v *storeClient) List(_ context.Context, kind string) (out []platform.Object, version uint64, err error) {
	if err := v.call(); err != nil {
		return nil, 0, err
	}
	objects, version := v.store.objects, v.store.version
	if v.store.snapshot != nil {
		objects, version = v.store.snapshot, v.store.snapshotVersion
	}
	for _, o := range objects {
		if o.Kind == kind {
			out = append(out, o)
		}
	}
	return out, version, v.call()
}

func (v *storeClient) Get(ctx context.Context, kind, name string) (*platform.Object, error) {
	objects, _, err := v.List(ctx, kind)
	for _, o := range objects {
		if o.Name == name {
			return &o, err
		}
	}
	return nil, errors.Join(err, platform.ErrNotFound)
}

func (v *storeClient) Update(_ context.Context, kind, name string, version uint64, data []byte) (uint64, error) {
	if err := v.call(); err != nil {
		return 0, err
	}
	written, err := v.store.write(kind, name, version, data)
	if v.call() != nil || (v.loseReplies && err == nil) {
		return 0, platform.ErrOutcomeUnknown
	}
	return written, err
}

func (v *storeClient) Create(ctx context.Context, kind, name string, data []byte) (uint64, error) {
	return v.Update(ctx, kind, name, 0, data)
}

func (v *storeClient) Delete(_ context.Context, kind, name string, version uint64) error {
	if err := v.call(); err != nil {
		return err
	}
	if v.store.objects[kind+"/"+name].Version != version {
		return platform.ErrConflict
	}
	delete(v.store.objects, kind+"/"+name)
	return nil
}

// cluster is a set of nodes with one store. Each node's peer address is its name.
type cluster struct {
	store   *fakeStore
	nodes   map[string]*testNode
	names   []string
	blocked map[[2]string]bool
	// running contains the nodes that respond to heartbeats; nil means all nodes.
	running map[string]bool
}

type testNode struct {
	*Membership
	clk         *clock.Manual
	platform    *storeClient
	clockRate   float64 // Speed of the node's clock relative to the cluster's time.
	onHeartbeat func()  // Called before and after the peer handles a heartbeat.
	cluster     *cluster
	name        string
}

func newCluster(n int) *cluster {
	c := &cluster{store: &fakeStore{objects: map[string]platform.Object{}}, nodes: map[string]*testNode{}, blocked: map[[2]string]bool{}}
	for i := range n {
		c.addNode(fmt.Sprintf("n%d", i), "1", nil)
	}
	return c
}

// addNode adds a node, or replaces one by a new incarnation. change may edit the node and its options.
func (c *cluster) addNode(name, incarnation string, change func(*testNode, *Options)) *testNode {
	n := &testNode{clk: clock.NewManual(time.Hour), platform: &storeClient{store: c.store}, clockRate: 1, cluster: c, name: name}
	opts := Options{Self: &schema.Node{Name: name, Incarnation: incarnation, PeerAddress: name}, Platform: n.platform,
		Peers: n, Clock: n.clk, Era: func() uint64 { return platform.EraOf(c.store.version) }}
	if change != nil {
		change(n, &opts)
	}
	var err error
	if n.Membership, err = New(opts); err != nil {
		panic(err)
	}
	if c.nodes[name] == nil {
		c.names = append(c.names, name)
	}
	c.nodes[name] = n
	return n
}

func (n *testNode) Heartbeat(ctx context.Context, address string, req *schema.HeartbeatRequest) (*schema.HeartbeatResponse, error) {
	if n.onHeartbeat != nil {
		n.onHeartbeat()
	}
	if n.cluster.blocked[[2]string{n.name, address}] || (n.cluster.running != nil && !n.cluster.running[address]) {
		return nil, context.DeadlineExceeded
	}
	resp, err := n.cluster.nodes[address].HandleHeartbeat(ctx, req)
	if n.onHeartbeat != nil {
		n.onHeartbeat()
	}
	if n.cluster.blocked[[2]string{address, n.name}] {
		return nil, context.DeadlineExceeded
	}
	return resp, err
}

func (c *cluster) advance(d time.Duration) {
	for _, n := range c.nodes {
		n.clk.Advance(time.Duration(float64(d) * n.clockRate))
	}
}

// run lets the named nodes send heartbeats and renew for d. The others are paused and don't respond to heartbeats.
func (c *cluster) run(d time.Duration, names ...string) {
	ctx := context.Background()
	previous := c.running
	defer func() { c.running = previous }()
	c.running = map[string]bool{}
	for _, name := range names {
		c.running[name] = true
	}
	for tick := time.Duration(0); tick < d; tick += DefaultHeartbeat {
		c.advance(DefaultHeartbeat)
		for _, name := range names {
			for _, peer := range c.names {
				if peer != name {
					c.nodes[name].sendHeartbeat(ctx, peer, peer)
				}
			}
			if tick%DefaultRenew == 0 {
				c.nodes[name].renewalCycle(ctx)
			}
		}
	}
}

// isolate blocks all connections between a node and its peers, or restores them.
func (c *cluster) isolate(name string, blocked bool) {
	for _, peer := range c.names {
		c.blocked[[2]string{name, peer}], c.blocked[[2]string{peer, name}] = blocked, blocked
	}
}
