package mirror

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/platform"
)

// modelStore is a store whose objects change at random.
type modelStore struct {
	random   *rand.Rand
	revision int64
	objects  map[string]platform.Object
	events   []platform.Object // Revision holds that of the change, also for removals.
}

func (s *modelStore) change() {
	s.revision++
	name := fmt.Sprint("o", s.random.IntN(12))
	if _, found := s.objects[name]; found && s.random.IntN(4) == 0 {
		delete(s.objects, name)
		s.events = append(s.events, platform.Object{Name: name, Revision: s.revision, Deleted: true})
		return
	}
	o := object(name, s.revision)
	s.objects[name] = o
	s.events = append(s.events, o)
}

// since returns the changes after a revision. Removals state the revision of the object that was removed, or none, as it may be.
func (s *modelStore) since(revision int64) []platform.Object {
	var events []platform.Object
	for _, e := range s.events {
		if e.Revision > revision {
			if e.Deleted {
				e.Revision = 0
			}
			events = append(events, e)
		}
	}
	return events
}

func (s *modelStore) list() []platform.Object {
	var list []platform.Object
	for _, o := range s.objects {
		list = append(list, o)
	}
	return list
}

// modelReader holds what one node has read.
type modelReader struct {
	objects map[string]int64
	at      platform.Position
}

func (r *modelReader) apply(events []platform.Object, next platform.Position) {
	for _, e := range events {
		if e.Deleted {
			delete(r.objects, e.Name)
		} else {
			r.objects[e.Name] = e.Revision
		}
	}
	r.at = next
}

func (r *modelReader) replace(list []platform.Object, next platform.Position) {
	r.objects = map[string]int64{}
	r.apply(list, next)
}

// read reads once, from a mirror or, if it is nil, the store itself.
func (r *modelReader) read(c *quicktest.C, s *modelStore, from *Copy) {
	if from == nil {
		r.apply(s.since(r.at.Revision), at(s.revision))
		return
	}
	events, next, err := from.Watch(context.Background(), r.at, time.Nanosecond)
	if errors.Is(err, platform.ErrHistoryGone) {
		list, position, err := from.List(context.Background())
		c.Assert(err, quicktest.IsNil)
		if position.Revision < r.at.Revision {
			return // The follower refuses a list that is older than what it has read.
		}
		r.replace(list, position)
		return
	}
	c.Assert(err, quicktest.IsNil)
	r.apply(events, at(max(r.at.Revision, next.Revision)))
}

// Guards against readers that miss or undo a change when they go on at another mirror, or at the store itself, without a list. The mirrors
// lag behind each other, and list again at times.
func TestReadersThatChangeTheirSourceMissNothing(t *testing.T) {
	for seed := range uint64(300) {
		c := quicktest.New(t)
		s := &modelStore{random: rand.New(rand.NewPCG(seed, 7)), objects: map[string]platform.Object{}}
		s.change()
		mirrors := []*Copy{New(), New()}
		for _, m := range mirrors {
			m.Replace(s.list(), at(s.revision))
		}
		reader := &modelReader{}
		reader.replace(s.list(), at(s.revision))
		follow := func(m *Copy) {
			if s.random.IntN(6) == 0 {
				m.Replace(s.list(), at(s.revision))
				return
			}
			m.Apply(s.since(m.position.Revision), at(s.revision))
		}
		for range 120 {
			switch k := s.random.IntN(6); k {
			case 0, 1, 2:
				s.change()
			case 3:
				follow(mirrors[s.random.IntN(2)])
			case 4:
				reader.read(c, s, mirrors[s.random.IntN(2)])
			default:
				if s.random.IntN(3) == 0 {
					reader.read(c, s, nil)
				}
			}
		}
		last := mirrors[seed%2]
		follow(last)
		reader.read(c, s, last)
		want := map[string]int64{}
		for name, o := range s.objects {
			want[name] = o.Revision
		}
		c.Assert(reader.objects, quicktest.DeepEquals, want, quicktest.Commentf("seed %d", seed))
	}
}

// Guards against a replica that is held back at a reader which came from another source: it is told again that an entry was removed, which has
// been written anew since.
func TestRemovalThatTheReaderKnowsIsNotRepeated(t *testing.T) {
	c := quicktest.New(t)
	m := New()
	m.Replace([]platform.Object{object("a", 3)}, at(5))
	m.Apply([]platform.Object{{Name: "a", Deleted: true}, object("b", 8), {Name: "b", Deleted: true}, object("a", 12)}, at(15))
	for from, want := range map[int64]int{5: 3, 6: 3, 7: 2, 9: 2, 11: 1, 12: 0, 13: 0} {
		events, _, err := m.Watch(context.Background(), at(from), time.Nanosecond)
		c.Assert(err, quicktest.IsNil)
		c.Check(events, quicktest.HasLen, want, quicktest.Commentf("from %d: %v", from, events))
	}
}
