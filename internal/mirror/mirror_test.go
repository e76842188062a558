package mirror

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/platform"
)

func at(revision int64) platform.Position { return platform.Position{Revision: revision} }

func noConfig() *platform.Object { return nil }

func object(name string, revision int64) platform.Object {
	return platform.Object{Name: name, Revision: revision, Spec: []byte(`{"v":1}`)}
}

// Guards against a reader that misses or repeats a change when it reads through another node.
func TestReadersFollowTheCopyOverHTTP(t *testing.T) {
	c := quicktest.New(t)
	mirrorCopy := New()
	server := httptest.NewServer(platform.MirrorHandler(map[string]platform.Source{"things": mirrorCopy}, noConfig, func(int64) {}))
	defer server.Close()
	store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
	ctx := context.Background()

	_, _, err := store.List(ctx, "things")
	c.Assert(err, quicktest.IsNotNil) // Not fresh yet: the reader must read from the store itself.

	mirrorCopy.Replace([]platform.Object{object("a", 3)}, at(5))
	list, position, err := store.List(ctx, "things")
	c.Assert(err, quicktest.IsNil)
	c.Assert(list, quicktest.HasLen, 1)
	c.Assert(position, quicktest.Equals, at(5))

	time.AfterFunc(50*time.Millisecond, func() { mirrorCopy.Apply([]platform.Object{object("b", 7)}, at(7)) })
	events, position, err := store.Watch(ctx, "things", position, 5*time.Second)
	c.Assert(err, quicktest.IsNil)
	c.Assert(events, quicktest.HasLen, 1)
	c.Assert(events[0].Name, quicktest.Equals, "b")
	c.Assert(string(events[0].Spec), quicktest.Equals, `{"v":1}`)

	deleted := object("a", 9)
	deleted.Deleted = true
	mirrorCopy.Apply([]platform.Object{deleted}, at(9))
	events, position, err = store.Watch(ctx, "things", position, 5*time.Second)
	c.Assert(err, quicktest.IsNil)
	c.Assert(events[0].Deleted, quicktest.IsTrue)
	c.Assert(position, quicktest.Equals, at(9))

	// A position of another mirror, or of the store itself.
	events, position, err = store.Watch(ctx, "things", at(6), time.Second)
	c.Assert(err, quicktest.IsNil)
	c.Assert(position, quicktest.Equals, at(9))
	c.Assert(events, quicktest.HasLen, 2)
	c.Assert([]string{events[0].Name, events[1].Name}, quicktest.DeepEquals, []string{"b", "a"})
	events, _, err = store.Watch(ctx, "things", at(7), time.Second)
	c.Assert(err, quicktest.IsNil)
	c.Assert(events, quicktest.HasLen, 1)

	_, _, err = store.Watch(ctx, "things", at(4), time.Second)
	c.Assert(errors.Is(err, platform.ErrHistoryGone), quicktest.IsTrue)
}

// Guards against readers that keep waiting on a copy whose node has lost its connection to the store.
func TestStaleCopyWakesItsReaders(t *testing.T) {
	c := quicktest.New(t)
	mirrorCopy := New()
	mirrorCopy.Replace(nil, at(5))
	time.AfterFunc(50*time.Millisecond, mirrorCopy.MarkStale)
	start := time.Now()
	_, _, err := mirrorCopy.Watch(context.Background(), at(5), 10*time.Second)
	c.Assert(errors.Is(err, ErrNotFresh), quicktest.IsTrue)
	c.Assert(time.Since(start) < 5*time.Second, quicktest.IsTrue)
}

// Guards against unbounded memory use: a reader that has missed more removals than are kept has to list again. Changes of the same objects
// take no more memory, however many there are.
func TestOldChangesAreDropped(t *testing.T) {
	c := quicktest.New(t)
	mirrorCopy := New()
	mirrorCopy.Replace(nil, at(1))
	revision := int64(1)
	for range 10 * minCompaction {
		revision++
		mirrorCopy.Apply([]platform.Object{object("a", revision)}, at(revision))
	}
	events, _, err := mirrorCopy.Watch(context.Background(), at(1), time.Second)
	c.Assert(err, quicktest.IsNil)
	c.Assert(events, quicktest.HasLen, 1)
	c.Assert(events[0].Revision, quicktest.Equals, revision)
	c.Assert(len(mirrorCopy.history.changes) <= minCompaction, quicktest.IsTrue)

	for i := range 2 * maxRemovals {
		revision++
		removed := object(fmt.Sprint("removed-", i), revision)
		removed.Deleted = true
		mirrorCopy.Apply([]platform.Object{removed}, at(revision))
	}
	_, _, err = mirrorCopy.Watch(context.Background(), at(1), time.Second)
	c.Assert(errors.Is(err, platform.ErrHistoryGone), quicktest.IsTrue)
	c.Assert(mirrorCopy.history.removals <= maxRemovals, quicktest.IsTrue)
	c.Assert(len(mirrorCopy.history.changes) <= 2*maxRemovals+minCompaction, quicktest.IsTrue)
	c.Assert(len(mirrorCopy.history.newest) <= maxRemovals+1, quicktest.IsTrue)
}

// Guards against a mirror that hands on what it read before the store came back from an older copy, also from its cache of encoded
// answers, and against readers that turn to the store meanwhile.
func TestCopyOfAFormerEraIsNotHandedOn(t *testing.T) {
	c := quicktest.New(t)
	mirrorCopy := New()
	server := httptest.NewServer(platform.MirrorHandler(map[string]platform.Source{"things": mirrorCopy}, noConfig, mirrorCopy.Restored))
	defer server.Close()
	store := platform.NewStore("127.0.0.1:1") // Never called.
	store.LearnEra(1)
	reader := store.Mirror(strings.TrimPrefix(server.URL, "http://"))
	ctx := context.Background()
	former := platform.Position{Era: 1, Revision: 5}
	mirrorCopy.Replace([]platform.Object{object("former", 5)}, former)
	list, position, err := reader.List(ctx, "things")
	c.Assert(err, quicktest.IsNil)
	c.Assert(position, quicktest.Equals, former)
	c.Assert(list[0].Era, quicktest.Equals, int64(1))

	// A waiting reader is told at once, and one that knows of the new era tells the mirror.
	watched := make(chan error, 1)
	go func() {
		_, _, err := reader.Watch(ctx, "things", former, 5*time.Second)
		watched <- err
	}()
	time.Sleep(50 * time.Millisecond)
	store.LearnEra(2)
	present := platform.Position{Era: 2, Revision: 5}
	time.AfterFunc(100*time.Millisecond, func() { mirrorCopy.Replace([]platform.Object{object("present", 5)}, present) })
	list, position, err = reader.List(ctx, "things")
	c.Assert(err, quicktest.IsNil)
	c.Assert(position, quicktest.Equals, present)
	c.Assert(list[0].Name, quicktest.Equals, "present")
	select {
	case err := <-watched:
		c.Assert(errors.Is(err, platform.ErrHistoryGone), quicktest.IsTrue, quicktest.Commentf("%v", err))
	case <-time.After(time.Second):
		c.Fatal("the watch of a former era goes on")
	}

	// What was read before doesn't come back with a call that ends late.
	mirrorCopy.Replace([]platform.Object{object("former", 9)}, platform.Position{Era: 1, Revision: 9})
	mirrorCopy.Apply([]platform.Object{object("former", 9)}, platform.Position{Era: 1, Revision: 9})
	list, _, err = mirrorCopy.List(ctx)
	c.Assert(err, quicktest.IsNil)
	c.Assert(list, quicktest.HasLen, 1)
	c.Assert(list[0].Name, quicktest.Equals, "present")

	// A mirror that doesn't take the era over is still told by its answers.
	deaf := httptest.NewServer(platform.MirrorHandler(map[string]platform.Source{"things": mirrorCopy}, noConfig, func(int64) {}))
	defer deaf.Close()
	store.LearnEra(3)
	_, _, err = store.Mirror(strings.TrimPrefix(deaf.URL, "http://")).List(ctx, "things")
	c.Assert(errors.Is(err, platform.ErrFormerEra), quicktest.IsTrue, quicktest.Commentf("%v", err))

	mirrorCopy.Restored(3)
	start := time.Now()
	_, _, err = mirrorCopy.List(ctx)
	c.Assert(errors.Is(err, ErrNotFresh), quicktest.IsTrue)
	c.Assert(time.Since(start) < 2*relistWait, quicktest.IsTrue)
}
