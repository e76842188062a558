package crash

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// Guards against a request that crashes one target after another, and against blocking a request after a single crash that
// was reported several times.
func TestBlocked(t *testing.T) {
	now := time.Second
	clock := func() time.Duration { return now }
	a, b := New(Options{Now: clock}), New(Options{Now: clock})
	f := Fingerprint("acc", "/p", []byte("body"))
	qt.Assert(t, a.Record(Crash{Request: Request{Fingerprint: f}, Target: "t1", Incarnation: "i1"}), qt.IsTrue)
	qt.Assert(t, a.Record(Crash{Request: Request{Fingerprint: f}, Target: "t1", Incarnation: "i1", Age: time.Second}), qt.IsFalse)
	b.Merge(a.Reports(time.Minute))
	a.Merge(b.Reports(time.Minute))
	qt.Assert(t, a.Blocked(Request{Fingerprint: f}), qt.IsFalse)
	qt.Assert(t, a.Record(Crash{Request: Request{Fingerprint: Fingerprint("acc", "/p", []byte("other"))}, Target: "t2", Incarnation: "i1"}), qt.IsTrue)
	now += 6 * time.Minute
	qt.Assert(t, a.Record(Crash{Request: Request{Fingerprint: f}, Target: "t1", Incarnation: "i2"}), qt.IsTrue) // Another incarnation of the same target.
	qt.Assert(t, a.Blocked(Request{Fingerprint: f}), qt.IsTrue)
	b.Merge(a.Reports(time.Minute))
	qt.Assert(t, b.Blocked(Request{Fingerprint: f}), qt.IsTrue)
	now += 10*time.Minute - time.Millisecond
	c := New(Options{Now: func() time.Duration { return 0 }}) // A node that has just started: its clock is below the age of the reports.
	c.Merge(a.Reports(time.Minute))
	qt.Assert(t, a.Blocked(Request{Fingerprint: f}) && b.Blocked(Request{Fingerprint: f}) && c.Blocked(Request{Fingerprint: f}), qt.IsTrue)
	now += time.Millisecond
	qt.Assert(t, a.Blocked(Request{Fingerprint: f}) || b.Blocked(Request{Fingerprint: f}), qt.IsFalse)
	reports, _ := a.Reports(time.Minute)
	qt.Assert(t, reports, qt.HasLen, 0)
	qt.Assert(t, a.Record(Crash{Request: Request{Fingerprint: f}, Target: "t1", Incarnation: "i3"}), qt.IsTrue) // The expired crashes no longer count.
	qt.Assert(t, a.Blocked(Request{Fingerprint: f}), qt.IsFalse)
	qt.Assert(t, a.Record(Crash{Target: "t1", Incarnation: "i1"}), qt.IsFalse)
}

// Guards against unbounded memory use and heartbeat size, and against dropping the newest crashes instead of the oldest.
func TestBounds(t *testing.T) {
	now := time.Hour
	table := New(Options{MaxCrashes: 4, MaxReports: 2, Now: func() time.Duration { return now }})
	for i := range 6 {
		now += time.Second
		table.Record(Crash{Request: Request{Fingerprint: fmt.Sprint("f", i/2)}, Target: "t", Incarnation: fmt.Sprint("i", i)})
	}
	reports, _ := table.Reports(time.Minute)
	qt.Assert(t, reports, qt.HasLen, 2)
	qt.Assert(t, reports[0].GetIncarnation(), qt.Equals, "i5")
	qt.Assert(t, reports[1].GetAgeMs(), qt.Equals, int64(1000))
	qt.Assert(t, table.total, qt.Equals, 4)
	for i, blocked := range []bool{false, true, true} {
		qt.Assert(t, table.Blocked(Request{Fingerprint: fmt.Sprint("f", i)}), qt.Equals, blocked)
	}
}

// Guards against equal fingerprints of different requests, for example when text moves from one part to the next.
func TestFingerprint(t *testing.T) {
	fingerprints := map[string]bool{}
	for _, parts := range [][3]string{{"a", "b", "c"}, {"ab", "", "c"}, {"a", "bc", ""}, {"", "ab", "c"}, {"a", "b", "d"}} {
		fingerprints[Fingerprint(parts[0], parts[1], []byte(parts[2]))] = true
	}
	qt.Assert(t, fingerprints, qt.HasLen, 5)
	qt.Assert(t, fingerprints[Fingerprint("a", "b", []byte("c"))], qt.IsTrue)
}

// Table of the evidence for and against a request. Guards against refusing requests that were only running at targets that ended
// for another reason: they are answered before or after, were being answered, or ended together with many others.
func TestEvidence(t *testing.T) {
	const answer = -1 // In place of the number of a target: an answer.
	type step struct {
		afterMs int // Time since the step before.
		target  int
		began   bool
	}
	for name, test := range map[string]struct {
		steps   []step
		blocked bool
	}{
		"two crashes":                           {[]step{{0, 1, false}, {100, 2, false}}, true},
		"one crash":                             {[]step{{0, 1, false}, {100, 1, false}}, false},
		"two crashes at once":                   {[]step{{0, 1, false}, {0, 2, false}}, true},
		"answer between":                        {[]step{{0, 1, false}, {100, answer, false}, {100, 2, false}}, false},
		"answer after":                          {[]step{{0, 1, false}, {100, 2, false}, {100, answer, false}}, false},
		"answer shortly before":                 {[]step{{0, answer, false}, {100, 1, false}, {500, 2, false}}, false},
		"answer long before":                    {[]step{{0, answer, false}, {61000, 1, false}, {500, 2, false}}, true},
		"never answered again":                  {[]step{{0, answer, false}, {100, 1, false}, {500, 2, false}, {500, 3, false}, {500, 4, false}}, true},
		"answered lately, many targets at once": {[]step{{0, answer, false}, {100, 1, false}, {10, 2, false}, {10, 3, false}, {10, 4, false}, {10, 5, false}}, false},
		"responses had begun":                   {[]step{{0, 1, true}, {500, 2, true}}, false},
		"responses had begun each time":         {[]step{{0, 1, true}, {500, 2, true}, {500, 3, true}, {500, 4, true}}, true},
		"two copies at one target":              {[]step{{0, 1, true}, {0, 1, false}, {500, 2, false}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			clock := func() time.Duration { return now }
			table, peer := New(Options{Now: clock}), New(Options{Now: clock})
			for _, s := range test.steps {
				now += time.Duration(s.afterMs) * time.Millisecond
				if s.target == answer {
					table.RecordAnswer("f")
				} else {
					table.Record(Crash{Request: Request{Fingerprint: "f"}, Target: fmt.Sprint("t", s.target), Began: s.began})
				}
				peer.Merge(table.Reports(time.Minute))
			}
			qt.Check(t, table.Blocked(Request{Fingerprint: "f"}), qt.Equals, test.blocked)
			qt.Check(t, peer.Blocked(Request{Fingerprint: "f"}), qt.Equals, test.blocked)
		})
	}
}

// Guards against unbounded memory for answers, and against forgetting the newest ones first.
func TestAnswersAreBounded(t *testing.T) {
	now := time.Hour
	table := New(Options{Now: func() time.Duration { return now }})
	for i := range 3 * maxAnswers {
		table.RecordAnswer(fmt.Sprint(i))
	}
	qt.Check(t, len(table.answers.current)+len(table.answers.previous) <= 2*maxAnswers, qt.IsTrue)
	_, known := table.answers.get(fmt.Sprint(3*maxAnswers - 1))
	qt.Check(t, known, qt.IsTrue)
	now += DefaultAnsweredFor
	table.RecordAnswer("late")
	now += DefaultAnsweredFor
	table.RecordAnswer("later")
	_, known = table.answers.get(fmt.Sprint(3*maxAnswers - 1))
	qt.Check(t, known, qt.IsFalse)
}

// Guards against blocking sound requests that share a part with crashing ones, and against letting crashing ones through because
// no two of them are alike or because other requests were running at the same targets.
func TestPartsOfPrompts(t *testing.T) {
	type crashed struct {
		target  int
		request Request
	}
	poison := func(i int, first string) Request { return Request{fmt.Sprint("poison", i), []string{first, "deadly"}} }
	sound := func(i int, first string) Request { return Request{fmt.Sprint("sound", i), []string{first}} }
	for name, test := range map[string]struct {
		answered []string // Answered shortly before the crashes.
		crashes  []crashed
		blocked  []Request
		allowed  []Request
	}{
		"one request": {nil, []crashed{{1, poison(1, "f1")}, {2, poison(1, "f1")}},
			[]Request{poison(1, "f1")}, []Request{poison(2, "f1"), sound(1, "f1")}},
		"two requests, one first part": {nil, []crashed{{1, poison(1, "f1")}, {2, poison(2, "f1")}},
			[]Request{poison(3, "f1")}, []Request{sound(1, "f1"), {"other", []string{"f2", "deadly"}}}},
		"two requests, one answered first part": {[]string{"f1"}, []crashed{{1, poison(1, "f1")}, {2, poison(2, "f1")}},
			[]Request{poison(3, "f1"), poison(3, "f2")}, []Request{sound(1, "f1")}},
		"two first parts": {nil, []crashed{{1, poison(1, "f1")}, {2, poison(2, "f2")}},
			[]Request{poison(3, "f3")}, []Request{sound(1, "f1"), sound(2, "f2")}},
		"others at the same targets": {nil, []crashed{{1, poison(1, "f1")}, {1, sound(1, "f1")}, {2, sound(2, "f1")}, {2, poison(2, "f1")}, {2, sound(3, "f2")}},
			[]Request{poison(3, "f1")}, []Request{sound(4, "f1"), sound(5, "f2")}},
		"two requests, one repeated beside the other": {[]string{"f1"}, []crashed{{1, poison(1, "f1")}, {2, poison(1, "f1")}, {2, poison(2, "f1")}},
			[]Request{poison(1, "f1"), poison(3, "f1")}, []Request{sound(1, "f1"), sound(2, "f2")}},
		"two parts at once": {[]string{"f1"}, []crashed{{1, poison(1, "f1")}, {2, Request{"p2", []string{"f1", "deadly2"}}}, {3, poison(3, "f1")}, {4, Request{"p4", []string{"f1", "deadly2"}}}},
			[]Request{poison(5, "f1"), {"p6", []string{"f1", "deadly2"}}}, []Request{sound(1, "f1")}},
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			table, peer := New(Options{Now: func() time.Duration { return now }}), New(Options{Now: func() time.Duration { return now }})
			table.RecordAnswer(test.answered...)
			for _, c := range test.crashes {
				now += time.Second
				table.Record(Crash{Request: c.request, Target: fmt.Sprint("t", c.target)})
			}
			peer.Merge(table.Reports(time.Minute))
			for _, at := range []*Table{table, peer} {
				for _, r := range test.blocked {
					qt.Check(t, at.Blocked(r), qt.IsTrue, qt.Commentf("%v", r))
				}
				for _, r := range test.allowed {
					qt.Check(t, at.Blocked(r), qt.IsFalse, qt.Commentf("%v", r))
				}
			}
			for _, r := range test.blocked {
				table.RecordAnswer(r.fingerprints()...)
				qt.Check(t, table.Blocked(r), qt.IsFalse, qt.Commentf("answered: %v", r))
			}
		})
	}
}

// Guards against reports that crowd the crashes that block requests out of a datagram, for nodes that start later.
func TestBlockingCrashesAreReportedFirst(t *testing.T) {
	now := time.Hour
	table, started := New(Options{MaxReports: 4, Now: func() time.Duration { return now }}), New(Options{Now: func() time.Duration { return now }})
	for i := range 2 {
		table.Record(Crash{Request: Request{Fingerprint: "blocked"}, Target: fmt.Sprint("t", i)})
	}
	now += time.Minute
	for i := range 20 {
		table.Record(Crash{Request: Request{Fingerprint: fmt.Sprint("f", i)}, Target: "t9"})
	}
	crashes, _ := table.Reports(time.Second)
	qt.Check(t, crashes, qt.HasLen, 4)
	started.Merge(crashes, nil)
	qt.Check(t, started.Blocked(Request{Fingerprint: "blocked"}), qt.IsTrue)
	qt.Check(t, table.BlockingReports(), qt.HasLen, 2)
}

// Guards against a report that is larger than a datagram because clients list many or long parts.
func TestReportsFitIntoADatagram(t *testing.T) {
	const datagramBytes = 60 << 10
	table := New(Options{})
	for i := range 40 {
		r := Request{Fingerprint: Fingerprint("account", "/path", []byte{byte(i)})}
		for part := range 63 {
			r.Parts = append(r.Parts, PartFingerprint(strings.Repeat(fmt.Sprint(part), 1000)))
		}
		table.RecordAnswer(r.fingerprints()...)
		table.Record(Crash{Request: r, Target: fmt.Sprintf("i-%016d", i), Incarnation: "1792178440449"})
	}
	crashes, answers := table.Reports(time.Minute)
	qt.Check(t, len(crashes) > 0 && len(answers) > 0, qt.IsTrue)
	size := proto.Size(&schema.NodeGossip{Crashes: crashes, Answers: answers})
	qt.Check(t, size < datagramBytes/2, qt.IsTrue, qt.Commentf("%d bytes", size))
}
