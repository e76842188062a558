// Package mirror keeps a copy of one kind of the store with its newest changes, so that one node in each failure domain can
// serve the others from its own watch: each call to the store is priced, and its rates don't grow with the fleet.
package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/platform"
)

// maxBatches is the number of answers of the store whose changes are kept. A reader that is further behind lists anew.
const maxBatches = 256

// ErrNotFresh: this node doesn't follow the store itself, or the store doesn't answer it.
var ErrNotFresh = errors.New("this node has no fresh copy")

// batch holds the changes of one answer: those after revision from, up to revision to.
type batch struct {
	from, to int64
	events   []platform.Object
}

// Kind is the copy of one kind. It may be used concurrently.
type Kind struct {
	mu       sync.Mutex
	fresh    bool
	objects  map[string]platform.Object
	revision int64
	batches  []batch // Each begins where the one before ends.
	changed  chan struct{}
}

// New returns a copy that isn't fresh.
func New() *Kind { return &Kind{objects: map[string]platform.Object{}, changed: make(chan struct{})} }

func (k *Kind) notifyWatchers() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// Replace takes a full list of the store.
func (k *Kind) Replace(list []platform.Object, revision int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.objects = make(map[string]platform.Object, len(list))
	for _, o := range list {
		k.objects[o.Name] = o
	}
	k.revision, k.batches, k.fresh = revision, nil, true
	k.notifyWatchers()
}

// Apply takes the answer to a watch from the copy's revision.
func (k *Kind) Apply(events []platform.Object, revision int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fresh = true
	if revision == k.revision {
		return
	}
	for _, o := range events {
		if o.Deleted {
			delete(k.objects, o.Name)
		} else {
			k.objects[o.Name] = o
		}
	}
	k.batches = append(k.batches, batch{k.revision, revision, events})
	if len(k.batches) > maxBatches {
		k.batches = k.batches[1:]
	}
	k.revision = revision
	if len(events) > 0 {
		k.notifyWatchers()
	}
}

// Stale notes that the copy no longer follows the store. Readers that wait are told at once.
func (k *Kind) Stale() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.fresh {
		k.fresh = false
		k.notifyWatchers()
	}
}

// Fresh tells whether the copy follows the store.
func (k *Kind) Fresh() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fresh
}

// List implements platform.Source.
func (k *Kind) List() ([]platform.Object, int64, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.fresh {
		return nil, 0, ErrNotFresh
	}
	list := make([]platform.Object, 0, len(k.objects))
	for _, o := range k.objects {
		list = append(list, o)
	}
	return list, k.revision, nil
}

// Watch implements platform.Source. It waits for a change after the revision, for at most wait.
func (k *Kind) Watch(ctx context.Context, revision int64, wait time.Duration) ([]platform.Object, int64, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, current, changed, err := k.changesSince(revision)
		if err != nil || len(events) > 0 {
			return events, current, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, current, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// since returns the changes after a revision that this copy has named before.
func (k *Kind) changesSince(revision int64) ([]platform.Object, int64, <-chan struct{}, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.fresh {
		return nil, 0, nil, ErrNotFresh
	}
	if revision == k.revision {
		return nil, k.revision, k.changed, nil
	}
	var events []platform.Object
	found := false
	for _, b := range k.batches {
		found = found || b.from == revision
		if found {
			events = append(events, b.events...)
		}
	}
	if !found {
		return nil, 0, nil, platform.ErrHistoryGone
	}
	return events, k.revision, k.changed, nil
}
