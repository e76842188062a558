package configsync

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/result"
	standin "cassiadeal.example/cassiadeal/internal/standin/platform"
)

// restorable is a node under test whose platform is the stand-in.
type restorable struct {
	*qt.C
	server *standin.Server
	client *platform.Client
	fake   *fakeCluster
	sync   *Sync
}

func startRestorable(t *testing.T) *restorable {
	server := standin.New(standin.Options{})
	address, err := server.Start("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(server.Close)
	client := platform.New(platform.Options{BaseURL: "http://" + address, Client: "a"})
	t.Cleanup(client.Close)
	r := &restorable{C: qt.New(t), server: server, client: client}
	r.fake, r.sync = r.newNode()
	return r
}

// newNode returns a node that uses the same platform.
func (r *restorable) newNode() (*fakeCluster, *Sync) {
	fake, s := newTestSync()
	s.opts.Platform, s.opts.Era = r.client, r.client.Era
	fake.nodes = append(fake.nodes[:0], node("a", 0))
	return fake, s
}

func (r *restorable) apply(base uint64, text string) uint64 {
	r.Helper()
	applied, err := r.sync.Apply(context.Background(), base, text, "kim")
	r.Assert(err, qt.IsNil)
	return applied.Revision
}

// lose calls write and restores the store from a copy that was made before.
func (r *restorable) lose(write func()) {
	time.Sleep(time.Millisecond)
	start := time.Now()
	time.Sleep(time.Millisecond)
	write()
	r.Assert(r.server.Restore(standin.Restore{AgeMS: time.Since(start).Milliseconds()}), qt.IsNil)
}

// refresh refreshes a node twice: the first time it may learn of the restore only, as with a renewal that fails.
func (r *restorable) refresh(s *Sync) {
	r.Helper()
	_ = s.Refresh(context.Background(), 0)
	r.Assert(s.Refresh(context.Background(), 0), qt.IsNil)
}

func (r *restorable) stored() (uint64, string) {
	r.Helper()
	stored, _, err := r.sync.readCurrent(context.Background())
	r.Assert(err, qt.IsNil)
	return stored.GetRevision(), stored.GetRules()
}

// Guards against an accepted configuration that a restore of the store takes for good.
func TestLostConfigurationIsWrittenAgain(t *testing.T) {
	for _, earlier := range []bool{false, true} {
		r := startRestorable(t)
		base := uint64(0)
		if earlier {
			base = r.apply(0, "one")
		}
		r.lose(func() { r.apply(base, "two") })
		r.refresh(r.sync)
		revision, text := r.stored()
		r.Check([]any{revision, text}, qt.DeepEquals, []any{base + 1, "two"})
		r.Check(r.sync.Revision(), qt.Equals, base+1)
	}
}

// Guards against an apply that is refused for good after a restore, and against a revision number that is given out for two texts.
func TestApplyAfterARestore(t *testing.T) {
	r := startRestorable(t)
	r.apply(0, "one")
	var lost uint64
	r.lose(func() { lost = r.apply(1, "two") })
	_, _, err := r.client.List(context.Background(), Kind)
	r.Assert(err, qt.IsNil)
	revision := r.apply(lost, "three")
	r.Check(revision > lost, qt.IsTrue)
	r.Check(r.apply(revision, "four"), qt.Equals, revision+1)
}

// Guards against a number that a node which never knew the lost revision gives out again, so that two nodes keep different texts of it.
func TestRevisionOfAFormerEraIsNotGivenOutAgain(t *testing.T) {
	r := startRestorable(t)
	r.apply(0, "one")
	unreachable := r.sync
	var lost uint64
	r.lose(func() { lost = r.apply(1, "two") })
	_, _, err := r.client.List(context.Background(), Kind)
	r.Assert(err, qt.IsNil)
	r.fake, r.sync = r.newNode()
	revision := r.apply(1, "three")
	r.Check(revision > lost, qt.IsTrue)
	r.refresh(unreachable)
	current, _ := unreachable.Current()
	r.Check([]any{current.GetRevision(), current.GetRules()}, qt.DeepEquals, []any{revision, "three"})
}

// Guards against an apply on a node that doesn't know yet which revisions its peers have.
func TestApplyAfterARestoreNeedsThePeersRevisions(t *testing.T) {
	r := startRestorable(t)
	r.apply(0, "one")
	r.lose(func() {})
	_, _, err := r.client.List(context.Background(), Kind)
	r.Assert(err, qt.IsNil)
	var s *Sync
	r.fake, s = r.newNode()
	silent := node("b", 0)
	silent.Status = nil
	r.fake.nodes = append(r.fake.nodes, silent)
	_, err = s.Apply(context.Background(), 1, "two", "kim")
	r.Check(result.From(err).Code, qt.Equals, result.PlatformUnavailable)
}
