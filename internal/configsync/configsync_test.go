package configsync

import (
	"cmp"
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/membership"
	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// fakeCluster implements the platform, the membership and the peers for the node under test, "a".
type fakeCluster struct {
	mu              sync.Mutex
	clk             *clock.Manual
	version         uint64
	object          *platform.Object
	readErr         error
	writeErr        error
	beforeWrite     func() // If set, it is called before each write.
	listOutdated    bool   // ListCurrentAt returns false.
	nodes           []membership.NodeInfo
	confirmedSilent map[string]bool
	rightSince      clock.Time
	relayErrors     map[string]error
	relayed         map[string]*schema.Config
	peerConfig      *schema.Config
	watchCalls      int
}

func (f *fakeCluster) lock() func() { f.mu.Lock(); return f.mu.Unlock }

func (f *fakeCluster) Get(context.Context, string, string) (*platform.Object, error) {
	defer f.lock()()
	if f.object == nil && f.readErr == nil {
		return nil, platform.ErrNotFound
	}
	return f.object, f.readErr
}

func (f *fakeCluster) List(context.Context, string) (out []platform.Object, version uint64, err error) {
	defer f.lock()()
	if f.object != nil {
		out = append(out, *f.object)
	}
	return out, f.version, f.readErr
}

func (f *fakeCluster) Watch(_ context.Context, _ string, since uint64, _ time.Duration) ([]platform.Event, uint64, error) {
	defer f.lock()()
	f.watchCalls++
	if f.object == nil || f.object.Version <= since {
		return nil, f.version, f.readErr
	}
	return []platform.Event{{Object: *f.object}}, f.version, f.readErr
}

func (f *fakeCluster) Create(ctx context.Context, kind, name string, data []byte) (uint64, error) {
	return f.Update(ctx, kind, name, 0, data)
}

func (f *fakeCluster) Update(_ context.Context, kind, name string, version uint64, data []byte) (uint64, error) {
	if f.beforeWrite != nil {
		f.beforeWrite()
	}
	defer f.lock()()
	if f.writeErr != nil {
		return 0, f.writeErr
	}
	if (f.object == nil) != (version == 0) || (f.object != nil && f.object.Version != version) {
		return 0, platform.ErrConflict
	}
	f.version++
	f.object = &platform.Object{Kind: kind, Name: name, Version: f.version, Data: data}
	return f.version, nil
}

func (f *fakeCluster) Nodes() []membership.NodeInfo { defer f.lock()(); return f.nodes }

func (f *fakeCluster) ConfirmedSilent(name string) bool {
	defer f.lock()()
	return f.confirmedSilent[name]
}

func (f *fakeCluster) Right() membership.Right {
	defer f.lock()()
	return membership.Right{Serve: true, Since: f.rightSince}
}

func (f *fakeCluster) Renew() {}

func (f *fakeCluster) ListCurrentAt() (clock.Time, bool) { return f.clk.Now(), !f.listOutdated }

func (f *fakeCluster) GetConfig(context.Context, string) (*schema.Config, error) {
	defer f.lock()()
	if f.peerConfig == nil {
		return nil, errors.New("no reply")
	}
	return f.peerConfig, nil
}

func (f *fakeCluster) RelayConfig(_ context.Context, address string, c *schema.Config) (uint64, error) {
	defer f.lock()()
	f.relayed[address] = c
	return c.GetRevision(), f.relayErrors[address]
}

// putConfig stores a configuration in the platform without any check.
func (f *fakeCluster) putConfig(c *schema.Config) {
	defer f.lock()()
	data, err := platform.Encode(c)
	if err != nil {
		panic(err)
	}
	f.version++
	f.object = &platform.Object{Kind: Kind, Name: Name, Version: f.version, Data: data}
}

func node(name string, revision uint64) membership.NodeInfo {
	return membership.NodeInfo{Record: &schema.Node{Name: name, Incarnation: "1", PeerAddress: name},
		Status: &schema.NodeStatus{Name: name, Incarnation: "1", ConfigRevision: revision}}
}

func config(revision uint64, text string) *schema.Config {
	return &schema.Config{Revision: revision, Rules: text, Nonce: text, Author: "kim"}
}

func newTestSync() (*fakeCluster, *Sync) {
	f := &fakeCluster{clk: clock.NewManual(time.Hour), confirmedSilent: map[string]bool{}, relayErrors: map[string]error{},
		relayed: map[string]*schema.Config{}, nodes: []membership.NodeInfo{node("a", 0), node("b", 0), node("c", 0)}}
	s := New(Options{Self: "a", Platform: f, Members: f, Peers: f, Clock: f.clk,
		Parse: func(text string) (*rules.Rules, error) {
			if strings.Contains(text, "bad") {
				return nil, errors.New("line 1: bad")
			}
			return &rules.Rules{}, nil
		}})
	return f, s
}

// advanceClock advances the clock whenever a timer is pending on it, until stop is closed.
func advanceClock(clk *clock.Manual, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		if clk.PendingTimers() > 0 {
			clk.Advance(checkInterval)
		}
		time.Sleep(100 * time.Microsecond)
	}
}

// Guards against an apply that reports success although the revision isn't in force on every node, that overwrites another
// author's revision, or that is based on a platform which lost data.
func TestApply(t *testing.T) {
	ctx := context.Background()
	errNoReply := errors.New("no reply")
	tests := []struct {
		name    string
		text    string
		stored  uint64 // Revision in the platform; 0 means 4, which is the base of the apply.
		prepare func(f *fakeCluster, s *Sync)
		code    result.Code
		missing []string
		written bool
	}{
		{name: "plain", written: true},
		{name: "invalid", text: "bad", code: result.RulesInvalid},
		{name: "stale base", stored: 5, code: result.RevisionConflict},
		{name: "base above the stored revision", stored: 3, code: result.RevisionConflict},
		{name: "concurrent write", code: result.RevisionConflict,
			prepare: func(f *fakeCluster, _ *Sync) { f.beforeWrite = func() { f.putConfig(config(5, "other")) } }},
		{name: "platform behind this node", code: result.RevisionConflict,
			prepare: func(_ *fakeCluster, s *Sync) { s.Offer(ctx, config(5, "mine")) }},
		{name: "platform behind a peer", code: result.RevisionConflict,
			prepare: func(_ *fakeCluster, s *Sync) { s.NoteRevision(ctx, "b", "b", 5) }},
		{name: "other content in the platform", code: result.RevisionConflict,
			prepare: func(_ *fakeCluster, s *Sync) { s.Offer(ctx, config(4, "mine")) }},
		{name: "read fails", code: result.PlatformUnavailable,
			prepare: func(f *fakeCluster, _ *Sync) { f.readErr = platform.ErrUnavailable }},
		{name: "write refused", code: result.PlatformUnavailable,
			prepare: func(f *fakeCluster, _ *Sync) { f.writeErr = platform.ErrUnavailable }},
		{name: "write outcome unknown", code: result.ApplyUnknown,
			prepare: func(f *fakeCluster, _ *Sync) { f.writeErr = platform.ErrOutcomeUnknown }},
		{name: "too large", code: result.RulesInvalid, prepare: func(f *fakeCluster, _ *Sync) { f.writeErr = platform.ErrRejected }},
		{name: "node unreachable", code: result.NotInForce, missing: []string{"b"}, written: true,
			prepare: func(f *fakeCluster, _ *Sync) { f.relayErrors["b"] = errNoReply }},
		{name: "lease lapsed but node not confirmed silent", code: result.NotInForce, missing: []string{"b"}, written: true,
			prepare: func(f *fakeCluster, _ *Sync) { f.relayErrors["b"] = errNoReply; f.nodes[1].LeaseLapsed = true }},
		{name: "node confirmed silent but lease not lapsed", code: result.NotInForce, missing: []string{"b"}, written: true,
			prepare: func(f *fakeCluster, _ *Sync) { f.relayErrors["b"] = errNoReply; f.confirmedSilent["b"] = true }},
		{name: "node proved stopped", written: true,
			prepare: func(f *fakeCluster, _ *Sync) {
				f.relayErrors["b"] = errNoReply
				f.nodes[1].LeaseLapsed, f.confirmedSilent["b"] = true, true
			}},
		{name: "reported by heartbeat", written: true,
			prepare: func(f *fakeCluster, _ *Sync) { f.relayErrors["b"] = errNoReply; f.nodes[1] = node("b", 5) }},
		{name: "reported by an older incarnation", code: result.NotInForce, missing: []string{"b"}, written: true,
			prepare: func(f *fakeCluster, _ *Sync) {
				f.relayErrors["b"], f.nodes[1] = errNoReply, node("b", 5)
				f.nodes[1].Record.Incarnation = "2"
			}},
		{name: "list of nodes not renewed", code: result.NotInForce, written: true,
			prepare: func(f *fakeCluster, _ *Sync) { f.listOutdated = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f, s := newTestSync()
			f.putConfig(config(cmp.Or(test.stored, 4), "old"))
			if test.prepare != nil {
				test.prepare(f, s)
			}
			text := test.text + "x"
			stop := make(chan struct{})
			defer close(stop)
			go advanceClock(f.clk, stop)
			applied, err := s.Apply(ctx, 4, text, "kim")
			c.Assert(applied.Missing, qt.DeepEquals, test.missing)
			if test.code == result.OK {
				c.Assert(err, qt.IsNil)
			} else {
				c.Assert(result.From(err).Code, qt.Equals, test.code)
			}
			if !test.written {
				c.Assert(applied.Revision, qt.Equals, uint64(0))
				c.Assert(len(f.relayed), qt.Equals, 0)
				return
			}
			c.Assert(applied.Revision, qt.Equals, uint64(5))
			c.Assert(s.Revision(), qt.Equals, uint64(5))
			c.Assert(f.relayed["c"].GetRules(), qt.Equals, "x")
		})
	}
}

// Guards against a return to a lower revision or a change of content within a revision, caused by a relay or a stale read,
// and against callbacks for configurations that were not adopted.
func TestNeverReverts(t *testing.T) {
	c := qt.New(t)
	f, s := newTestSync()
	ctx := context.Background()
	var adopted []uint64
	s.OnChange(func(_ *rules.Rules, revision uint64) { adopted = append(adopted, revision) })
	c.Assert(s.Offer(ctx, config(3, "three")), qt.Equals, uint64(3))
	c.Assert(s.Offer(ctx, config(2, "two")), qt.Equals, uint64(3))
	c.Assert(s.Offer(ctx, config(3, "other")), qt.Equals, uint64(3))
	c.Assert(s.Offer(ctx, config(4, "bad")), qt.Equals, uint64(3))
	f.putConfig(config(1, "one"))
	c.Assert(s.Refresh(ctx, 0), qt.IsNil)
	current, _ := s.Current()
	c.Assert(proto.Equal(current, config(3, "three")), qt.IsTrue)
	f.putConfig(config(5, "five"))
	c.Assert(s.Refresh(ctx, 0), qt.IsNil)
	c.Assert(f.watchCalls, qt.Equals, 1)
	c.Assert(adopted, qt.DeepEquals, []uint64{3, 5})
	c.Assert(s.Refresh(ctx, 99), qt.ErrorMatches, ".*stale")
}

// Guards against a node that serves an old configuration after its start, or after a lapse of its right to serve during
// which other nodes may have completed an apply without it.
func TestReady(t *testing.T) {
	c := qt.New(t)
	f, s := newTestSync()
	ctx := context.Background()
	f.nodes[2].Status = nil // No status from c yet.
	s.Offer(ctx, config(3, "three"))
	c.Assert(s.Ready(), qt.IsFalse, qt.Commentf("platform not read"))
	f.putConfig(config(3, "three"))
	c.Assert(s.Refresh(ctx, 0), qt.IsNil)
	c.Assert(s.Ready(), qt.IsFalse, qt.Commentf("no status from a peer"))
	f.clk.Advance(defaultPeerStatusTimeout)
	c.Assert(s.Ready(), qt.IsTrue)

	f.rightSince = f.clk.Now()
	f.clk.Advance(time.Second)
	s.NoteRevision(ctx, "b", "b", 4) // The fetch fails.
	s.fetches.Wait()
	c.Assert(s.Ready(), qt.IsTrue, qt.Commentf("serving without interruption"))
	f.clk.Advance(maxCatchUpTime)
	c.Assert(s.Ready(), qt.IsFalse, qt.Commentf("not caught up in time"))
	f.peerConfig = config(4, "four")
	s.NoteRevision(ctx, "b", "b", 4)
	s.fetches.Wait()
	c.Assert(s.Revision(), qt.Equals, uint64(4))
	c.Assert(s.Ready(), qt.IsTrue)

	f.clk.Advance(10 * time.Second) // Time passes without a heartbeat.
	s.NoteRevision(ctx, "b", "b", 5)
	f.rightSince = f.clk.Now()
	c.Assert(s.Ready(), qt.IsFalse, qt.Commentf("behind after a lapse"))
	s.fetches.Wait()
}

// Guards against an apply that fails if no configuration is stored yet, and against a node that never polls the platform.
func TestFirstApplyAndPoll(t *testing.T) {
	c := qt.New(t)
	f, s := newTestSync()
	ctx, cancel := context.WithCancel(context.Background())
	stop, done := make(chan struct{}), make(chan error, 1)
	go advanceClock(f.clk, stop)
	_, err := s.Apply(ctx, 0, "one", "kim")
	c.Assert(err, qt.IsNil)
	go func() { done <- s.Run(ctx) }()
	f.putConfig(config(2, "two"))
	for s.Revision() != 2 {
		time.Sleep(time.Millisecond)
	}
	close(stop)
	cancel()
	c.Assert(<-done, qt.ErrorIs, context.Canceled)
}
