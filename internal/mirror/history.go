package mirror

import (
	"sort"

	"cassiadeal.example/cassiadeal/platform"
)

const (
	// maxRemovals is the number of removals that the history keeps. A reader that is further behind has to list again. A removal takes some
	// 100 bytes.
	maxRemovals = 4096
	// minCompaction is the length of the history below which superseded changes aren't dropped.
	minCompaction = 256
)

// history tells which objects have changed after a revision: the newest change of each object, and all removals. Its size is bounded by the
// number of objects and maxRemovals, however many changes there are. The contents of objects are in the copy.
type history struct {
	horizon  int64            // Changes after this revision are known.
	changes  []change         // In order of revision.
	newest   map[string]int64 // Sequence of the newest change of each name.
	noted    int64            // Sequence of the last change.
	removals int              // In changes.
}

// change is a change of one object.
type change struct {
	revision int64 // Not below that of the change before.
	sequence int64 // Rises by one with each change.
	object   platform.Object
}

// reset forgets all changes: those up to the revision are no longer known.
func (h *history) reset(revision int64) {
	*h = history{horizon: revision, newest: map[string]int64{}}
}

// note adds an event of a store answer up to the given revision. A removal has no revision of its own.
func (h *history) note(event platform.Object, upTo int64) {
	revision := upTo
	if !event.Deleted && event.Revision > h.horizon && event.Revision < upTo {
		revision = event.Revision
	}
	if n := len(h.changes); n > 0 {
		revision = max(revision, h.changes[n-1].revision)
	}
	h.noted++
	c := change{revision: revision, sequence: h.noted, object: platform.Object{Name: event.Name, Revision: event.Revision, Era: event.Era, Deleted: event.Deleted}}
	h.newest[event.Name] = c.sequence
	h.changes = append(h.changes, c)
	if event.Deleted {
		h.removals++
	}
	if len(h.changes) > max(minCompaction, 2*(len(h.newest)+h.removals)) || h.removals > maxRemovals {
		h.compact()
	}
}

// superseded reports whether a later change of the object replaces this one. A removal is always handed on: an object that exists again is
// another one than before.
func (h *history) superseded(c change) bool {
	return !c.object.Deleted && h.newest[c.object.Name] != c.sequence
}

// compact drops superseded changes, and the oldest ones while there are too many removals.
func (h *history) compact() {
	kept := make([]change, 0, len(h.newest)+h.removals)
	for _, c := range h.changes {
		switch {
		case h.superseded(c):
			continue
		case h.removals > maxRemovals*3/4 && c.object.Deleted:
			h.removals--
			h.horizon = c.revision
			if h.newest[c.object.Name] == c.sequence {
				delete(h.newest, c.object.Name)
			}
			continue
		}
		kept = append(kept, c)
	}
	h.changes = kept
}

// since returns the events after a revision, with the contents in objects, or false if they are no longer known.
func (h *history) since(revision int64, objects map[string]platform.Object) ([]platform.Object, bool) {
	if revision < h.horizon {
		return nil, false
	}
	var events []platform.Object
	first := sort.Search(len(h.changes), func(i int) bool { return h.changes[i].revision > revision })
	for _, c := range h.changes[first:] {
		switch {
		case h.superseded(c):
		case c.object.Deleted:
			events = append(events, c.object)
		default:
			events = append(events, objects[c.object.Name])
		}
	}
	return events, true
}
