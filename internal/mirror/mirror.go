// Package mirror keeps a copy of all store objects of one kind, with their most recent changes. One node in each failure domain
// watches the store and serves the other nodes from its copy: calls to the store are charged for, and its rate limits don't
// grow with the number of nodes.
package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/platform"
)

// relistWait is the time for which a list waits for the copy to be read anew after the store has come back from an older copy. The
// readers would otherwise all turn to the store.
const relistWait = 500 * time.Millisecond

// ErrNotFresh is returned while this node doesn't follow the store itself, or the store doesn't answer it.
var ErrNotFresh = errors.New("this node has no fresh copy")

// Copy is a copy of all store objects of one kind. It is safe for concurrent use.
type Copy struct {
	mu       sync.Mutex
	fresh    bool
	indirect bool // The contents are read through another mirror.
	closed   bool // See Close.
	objects  map[string]platform.Object
	position platform.Position
	era      int64         // Lowest era that the copy may be from.
	history  history       // Of the changes in this era.
	changed  chan struct{} // Closed and replaced when waiting readers have to check the copy again.
}

// New returns an empty copy that isn't fresh.
func New() *Copy {
	c := &Copy{objects: map[string]platform.Object{}, changed: make(chan struct{})}
	c.history.reset(0)
	return c
}

func (c *Copy) notifyReaders() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// SetDirect sets whether the contents are read from the store itself. Otherwise they are kept, so that the node can go on as a mirror at once,
// but the copy isn't fresh.
func (c *Copy) SetDirect(direct bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.indirect = !direct
	if c.fresh && c.indirect {
		c.fresh = false
		c.notifyReaders()
	}
}

// Replace replaces the contents with a full list. Readers of the same era get what differs from the contents before.
func (c *Copy) Replace(list []platform.Object, at platform.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.Era < c.era {
		return
	}
	former := c.objects
	c.objects = make(map[string]platform.Object, len(list))
	for _, o := range list {
		c.objects[o.Name] = o
	}
	if c.position.Revision != 0 && c.position.Era == at.Era {
		c.noteDifferences(former, at.Revision)
		c.history.noteGap(c.position.Revision, at.Revision)
	} else {
		c.history.reset(at.Revision)
	}
	c.position, c.fresh = at, !c.indirect && !c.closed
	c.notifyReaders()
}

// noteDifferences notes how the contents differ from the former ones. The lock is held.
func (c *Copy) noteDifferences(former map[string]platform.Object, upTo int64) {
	for name := range former {
		if _, listed := c.objects[name]; !listed {
			c.history.note(platform.Object{Name: name, Deleted: true, Era: c.position.Era}, upTo)
		}
	}
	for name, o := range c.objects {
		if known, found := former[name]; !found || known.Revision != o.Revision {
			c.history.note(o, upTo)
		}
	}
}

// Apply applies the answer to a watch that started at the copy's position.
func (c *Copy) Apply(events []platform.Object, at platform.Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.Era < c.era {
		return
	}
	c.fresh = !c.indirect && !c.closed
	if at == c.position {
		return
	}
	for _, o := range events {
		if o.Deleted {
			delete(c.objects, o.Name)
		} else {
			c.objects[o.Name] = o
		}
	}
	c.history.noteAll(events, c.position.Revision, at.Revision)
	c.position = at
	if len(events) > 0 {
		c.notifyReaders()
	}
}

// MarkStale records that the copy no longer follows the store. Waiting readers get ErrNotFresh at once.
func (c *Copy) MarkStale() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fresh {
		c.fresh = false
		c.notifyReaders()
	}
}

// Close makes the copy stale for good, since its node is about to stop. Its readers then turn to another source while this node still
// serves their requests, and don't wait for the end of their watches.
func (c *Copy) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.MarkStale()
}

// Restored records that the store has come back from an older copy, in the given era. The contents aren't handed on any more until they
// are replaced by a list of that era or a later one.
func (c *Copy) Restored(era int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era <= c.era {
		return
	}
	c.era = era
	if c.position.Era < era {
		c.fresh = false
		c.notifyReaders()
	}
}

// Fresh tells whether the copy follows the store.
func (c *Copy) Fresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fresh
}

// List implements platform.Source.
func (c *Copy) List(ctx context.Context) ([]platform.Object, platform.Position, error) {
	timer := time.NewTimer(relistWait)
	defer timer.Stop()
	for {
		list, at, changed, err := c.contents()
		if err == nil || changed == nil {
			return list, at, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, platform.Position{}, err
		case <-ctx.Done():
			return nil, platform.Position{}, ctx.Err()
		}
	}
}

// contents returns all objects. If it fails, the channel tells when to try again; it is nil unless the copy is being read anew.
func (c *Copy) contents() ([]platform.Object, platform.Position, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.fresh {
		if c.formerEraLocked() {
			return nil, platform.Position{}, c.changed, ErrNotFresh
		}
		return nil, platform.Position{}, nil, ErrNotFresh
	}
	list := make([]platform.Object, 0, len(c.objects))
	for _, o := range c.objects {
		list = append(list, o)
	}
	return list, c.position, nil, nil
}

// formerEraLocked reports whether the copy was read, but in a former era of the store.
func (c *Copy) formerEraLocked() bool {
	return c.position != platform.Position{} && c.position.Era < c.era
}

// Watch implements platform.Source. It waits for a change after the position, for no longer than wait.
func (c *Copy) Watch(ctx context.Context, from platform.Position, wait time.Duration) ([]platform.Object, platform.Position, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		events, current, changed, err := c.changesSince(from)
		if err != nil || len(events) > 0 {
			return events, current, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, current, nil
		case <-ctx.Done():
			return nil, platform.Position{}, ctx.Err()
		}
	}
}

// changesSince returns the changes after a position, of this copy, another one or the store itself, and ErrHistoryGone if they are no longer
// known. A reader whose position is later than the copy's waits until the copy has caught up.
func (c *Copy) changesSince(from platform.Position) ([]platform.Object, platform.Position, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.formerEraLocked() {
		return nil, platform.Position{}, nil, platform.ErrHistoryGone
	}
	if !c.fresh {
		return nil, platform.Position{}, nil, ErrNotFresh
	}
	if from.Era != 0 && from.Era != c.position.Era { // A reader that states no era knows of none.
		return nil, platform.Position{}, nil, platform.ErrHistoryGone
	}
	events, known := c.history.since(from.Revision, c.objects)
	if !known {
		return nil, platform.Position{}, nil, platform.ErrHistoryGone
	}
	return events, c.position, c.changed, nil
}
