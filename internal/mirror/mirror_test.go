package mirror

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/platform"
)

func at(revision int64) platform.Position { return platform.Position{Revision: revision} }

func object(name string, revision int64) platform.Object {
	return platform.Object{Name: name, Revision: revision, Spec: []byte(`{"v":1}`)}
}

// Guards against a reader that misses or repeats a change when it reads through another node.
func TestReadersFollowTheCopyOverHTTP(t *testing.T) {
	c := quicktest.New(t)
	mirrorCopy := New()
	server := httptest.NewServer(platform.MirrorHandler(map[string]platform.Source{"things": mirrorCopy}))
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

	_, _, err = store.Watch(ctx, "things", at(6), time.Second)
	c.Assert(errors.Is(err, platform.ErrHistoryGone), quicktest.IsTrue)
}

// Guards against readers that keep waiting on a copy whose node has lost its connection to the store.
func TestStaleCopyWakesItsReaders(t *testing.T) {
	c := quicktest.New(t)
	mirrorCopy := New()
	mirrorCopy.Replace(nil, at(5))
	time.AfterFunc(50*time.Millisecond, mirrorCopy.MarkStale)
	start := time.Now()
	_, _, err := mirrorCopy.Watch(context.Background(), 5, 10*time.Second)
	c.Assert(errors.Is(err, ErrNotFresh), quicktest.IsTrue)
	c.Assert(time.Since(start) < 5*time.Second, quicktest.IsTrue)
}

// Guards against unbounded memory use: a reader that is too far behind has to list again.
func TestOldChangesAreDropped(t *testing.T) {
	c := quicktest.New(t)
	mirrorCopy := New()
	mirrorCopy.Replace(nil, at(1))
	for r := int64(2); r < 2+2*maxBatches; r++ {
		mirrorCopy.Apply([]platform.Object{object("a", r)}, at(r))
	}
	_, _, err := mirrorCopy.Watch(context.Background(), 1, time.Second)
	c.Assert(errors.Is(err, platform.ErrHistoryGone), quicktest.IsTrue)
	c.Assert(len(mirrorCopy.batches), quicktest.Equals, maxBatches)
}
