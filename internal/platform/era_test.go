package platform_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/platform"
	standin "cassiadeal.example/cassiadeal/internal/standin/platform"
)

// restorable is a stand-in platform with a client.
type restorable struct {
	*qt.C
	server *standin.Server
	client *platform.Client
	url    string
}

func startRestorable(t *testing.T) restorable {
	server := standin.New(standin.Options{})
	address, err := server.Start("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(server.Close)
	client := platform.New(platform.Options{BaseURL: "http://" + address, Client: "node-a"})
	t.Cleanup(client.Close)
	return restorable{qt.New(t), server, client, "http://" + address}
}

// lose calls write and restores the store from a copy that was made before.
func (r restorable) lose(write func()) {
	time.Sleep(time.Millisecond)
	start := time.Now()
	time.Sleep(time.Millisecond)
	write()
	r.Assert(r.server.Restore(standin.Restore{AgeMS: time.Since(start).Milliseconds()}), qt.IsNil)
}

// Guards against versions that fall or repeat after a restore, and against a write by a version of a former era that matches by chance.
func TestVersionsRiseAcrossARestore(t *testing.T) {
	r, ctx := startRestorable(t), context.Background()
	restores := 0
	r.client.OnRestore(func() { restores++ })
	first, err := r.client.Create(ctx, "a", "x", []byte(`{"n":1}`))
	r.Assert(err, qt.IsNil)
	var lost uint64
	r.lose(func() {
		lost, err = r.client.Update(ctx, "a", "x", first, []byte(`{"n":2}`))
		r.Assert(err, qt.IsNil)
	})
	_, err = r.client.Update(ctx, "a", "x", first, []byte(`{"n":3}`))
	r.Check(err, qt.ErrorIs, platform.ErrConflict)
	r.Check(r.client.Delete(ctx, "a", "x", first), qt.ErrorIs, platform.ErrConflict)
	r.Check(restores, qt.Equals, 1)
	found, err := r.client.Get(ctx, "a", "x")
	r.Assert(err, qt.IsNil)
	r.Check(string(found.Data), qt.Equals, `{"n":1}`)
	r.Check(found.Version > lost, qt.IsTrue)
	r.Check(platform.EraOf(found.Version), qt.Equals, uint64(1))
	again, err := r.client.Update(ctx, "a", "x", found.Version, []byte(`{"n":4}`))
	r.Assert(err, qt.IsNil)
	r.Check(again > found.Version, qt.IsTrue)
	_, listed, err := r.client.List(ctx, "a")
	r.Assert(err, qt.IsNil)
	r.Check(listed, qt.Equals, again)
	_, _, err = r.client.Watch(ctx, "a", listed, 0)
	r.Check(err, qt.IsNil)
}

// Guards against a watch that misses changes because the restored store has passed its version again.
func TestWatchFromAFormerEraIsTooOld(t *testing.T) {
	r, ctx := startRestorable(t), context.Background()
	other := platform.New(platform.Options{BaseURL: r.url, Client: "node-b"})
	defer other.Close()
	_, since, err := r.client.List(ctx, "a")
	r.Assert(err, qt.IsNil)
	r.lose(func() {})
	for _, name := range []string{"x", "y"} {
		_, err = other.Create(ctx, "a", name, []byte(`{}`))
		r.Assert(err, qt.IsNil)
	}
	_, _, err = r.client.Watch(ctx, "a", since, time.Second)
	r.Check(err, qt.ErrorIs, platform.ErrTooOld)
	_, _, err = r.client.Watch(ctx, "a", since, time.Second)
	r.Check(err, qt.ErrorIs, platform.ErrTooOld)
}

// Guards against a create that a restored store takes although its writer knows only the era before.
func TestCreateForAFormerEraHasNoEffect(t *testing.T) {
	r, ctx := startRestorable(t), context.Background()
	_, _, err := r.client.List(ctx, "a")
	r.Assert(err, qt.IsNil)
	r.lose(func() {})
	_, err = r.client.Create(ctx, "a", "x", []byte(`{}`))
	r.Check(err, qt.ErrorIs, platform.ErrUnavailable)
	_, err = r.client.Get(ctx, "a", "x")
	r.Check(err, qt.ErrorIs, platform.ErrNotFound)
	version, err := r.client.Create(ctx, "a", "x", []byte(`{}`))
	r.Assert(err, qt.IsNil)
	r.Check(platform.EraOf(version), qt.Equals, uint64(1))
}

// Guards against a late answer of a former era that is taken for the present state, and for a second restore.
func TestAnswerOfAFormerEraIsRefused(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	eras := []string{"1", "2", "1", "2"}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(standin.EraHeader, eras[0])
		eras = eras[1:]
		_, _ = fmt.Fprint(w, `{"version":3,"items":[]}`)
	}))
	defer server.Close()
	client, restores := platform.New(platform.Options{BaseURL: server.URL}), 0
	defer client.Close()
	client.OnRestore(func() { restores++ })
	for i, want := range []error{nil, nil, platform.ErrUnavailable, nil} {
		_, _, err := client.List(ctx, "a")
		c.Check(errors.Is(err, want), qt.IsTrue, qt.Commentf("answer %d: %v", i, err))
	}
	c.Check(restores, qt.Equals, 1)
}

// Guards against a start of an era that moves, is later than a node noticed, or that a process which starts later doesn't know.
func TestEraStartIsKeptForLaterProcesses(t *testing.T) {
	r, ctx := startRestorable(t), context.Background()
	start, err := r.client.EraStart(ctx)
	r.Assert(err, qt.IsNil)
	r.Check(start, qt.Equals, platform.EraStart{})
	for era := uint64(1); era <= 2; era++ {
		r.lose(func() {})
		_, _, err = r.client.List(ctx, "a")
		r.Assert(err, qt.IsNil)
		before := time.Now().Truncate(time.Millisecond)
		start, err = r.client.EraStart(ctx)
		r.Assert(err, qt.IsNil)
		after := time.Now()
		r.Check(start.Era, qt.Equals, era)
		r.Check(start.NoticedAt.Before(before) || start.NoticedAt.After(after), qt.IsFalse)
		time.Sleep(2 * time.Millisecond)
		later := platform.New(platform.Options{BaseURL: r.url, Client: "node-b"})
		known, err := later.EraStart(ctx)
		later.Close()
		r.Assert(err, qt.IsNil)
		r.Check(known, qt.Equals, start)
	}
}
