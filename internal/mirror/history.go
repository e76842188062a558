package mirror

import (
	"slices"
	"sort"

	"cassiadeal.example/cassiadeal/platform"
)

const (
	// maxRemovals is the number of removals that the history keeps. A reader that is further behind has to list again. A removal takes some
	// 100 bytes.
	maxRemovals = 4096
	// minCompaction is the length of the history below which superseded changes aren't dropped.
	minCompaction = 256
	// maxGaps is the number of lists after which positions between the copy and the list are remembered as unknown.
	maxGaps = 16
)

// history tells which objects have changed after a revision: the newest change of each object, and all removals. Its size is bounded by the
// number of objects and maxRemovals, however many changes there are. The contents of objects are in the copy.
type history struct {
	horizon  int64            // Changes after this revision are known.
	changes  []change         // In order of revision.
	newest   map[string]int64 // Sequence of the newest change of each name.
	noted    int64            // Sequence of the last change.
	removals int              // In changes.
	gaps     []gap            // In order.
}

// gap is a range of revisions, without its ends, in which not all changes are known: a list doesn't show objects that were created and removed
// again since the copy was read last. A reader that is within has possibly read such an object elsewhere.
type gap struct{ from, to int64 }

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

// noteAll adds the events of a store answer with the changes after one revision and up to another one.
func (h *history) noteAll(events []platform.Object, after, upTo int64) {
	for i, revision := range changeRevisions(events, after, upTo) {
		h.note(events[i], revision)
	}
}

// changeRevisions returns for each event of a store answer the revision of its change, or a later one that precedes the next event. A removal
// has no revision of its own. A reader that has read the next event elsewhere isn't told of the removal again.
func changeRevisions(events []platform.Object, after, upTo int64) []int64 {
	revisions, latest, last := make([]int64, len(events)), upTo, after
	inOrder := true
	for _, e := range events {
		if !e.Deleted {
			inOrder = inOrder && e.Revision > last && e.Revision <= upTo
			last = e.Revision
		}
	}
	for i := len(events) - 1; i >= 0; i-- {
		if inOrder && !events[i].Deleted {
			revisions[i], latest = events[i].Revision, max(after+1, events[i].Revision-1)
			continue
		}
		revisions[i] = latest
	}
	return revisions
}

// note adds a change that was made at the revision or before.
func (h *history) note(event platform.Object, revision int64) {
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

// noteGap records that the changes between two revisions were read by a list.
func (h *history) noteGap(from, to int64) {
	if to-from < 2 {
		return
	}
	h.gaps = append(h.gaps, gap{from, to})
	if len(h.gaps) > maxGaps {
		h.horizon = max(h.horizon, h.gaps[0].to)
		h.gaps = h.gaps[1:]
	}
}

// knows reports whether all changes after a revision are known.
func (h *history) knows(revision int64) bool {
	return revision >= h.horizon && !slices.ContainsFunc(h.gaps, func(g gap) bool { return g.from < revision && revision < g.to })
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
	if !h.knows(revision) {
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
