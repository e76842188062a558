package holder

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func node(name, inc, domain string) Node {
	return Node{Identity: Identity{name, inc}, FailureDomain: domain, Live: true, Serving: true}
}

func TestPreferPutsOwnFailureDomainFirst(t *testing.T) {
	c := qt.New(t)
	notLive, draining := node("d", "1", "z1"), node("e", "1", "z1")
	notLive.Live, draining.Serving = false, false
	nodes := []Node{node("a", "1", "z2"), node("b", "1", "z1"), node("c", "1", "z1"), notLive, draining}
	order := Prefer(Target{"t", "z1"}, nodes)
	c.Assert(order, qt.HasLen, 3)
	c.Assert(order[2], qt.Equals, "a")
	nodes[0], nodes[2] = nodes[2], nodes[0]
	c.Assert(Prefer(Target{"t", "z1"}, nodes), qt.DeepEquals, order)
}

// Guards against a takeover while the old holder may still hold the target without doubt, and against a takeover that isn't
// marked as in doubt although the old holder may still send to the target.
func TestDecideTakeover(t *testing.T) {
	self := Identity{"a", "2"}
	for _, tc := range []struct {
		name           string
		lapsed, silent bool
		down, noRight  bool
		entry          Identity
		absent         bool
		want           Path
		doubt          bool
	}{
		{name: "live holder", entry: Identity{"b", "1"}},
		{name: "lapsed, not confirmed", lapsed: true, entry: Identity{"b", "1"}, want: PathPlatform, doubt: true},
		{name: "lapsed and silent", lapsed: true, silent: true, entry: Identity{"b", "1"}, want: PathPlatform},
		{name: "silent but renewing", silent: true, entry: Identity{"b", "1"}},
		{name: "platform down, lapsed", down: true, lapsed: true, entry: Identity{"b", "1"}},
		{name: "platform down, silent", down: true, silent: true, entry: Identity{"b", "1"}, want: PathMajority, doubt: true},
		{name: "no right", noRight: true, lapsed: true, silent: true, entry: Identity{"b", "1"}},
		{name: "record removed", absent: true, entry: Identity{"x", "1"}, want: PathPlatform},
		{name: "record not listed yet", entry: Identity{"x", "1"}},
		{name: "own earlier incarnation", entry: Identity{"a", "1"}},
		{name: "own earlier incarnation, lease over", absent: true, entry: Identity{"a", "1"}, want: PathPlatform, doubt: true},
		{name: "no holder", want: PathFree},
		{name: "no holder, platform down", down: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := node("b", "1", "z")
			b.LeaseLapsed, b.ConfirmedSilent, b.Serving = tc.lapsed, tc.silent, false
			in := Input{
				Self: self, Nodes: []Node{node("a", "2", "z"), b}, Targets: []Target{{"t", "z"}},
				Entries: map[string]Entry{}, Absent: map[Identity]bool{tc.entry: tc.absent},
				RightToServe: !tc.noRight, PlatformReachable: !tc.down,
			}
			if tc.entry.Name != "" {
				in.Entries["t"] = Entry{tc.entry, 4}
			}
			d := Decide(in)
			if tc.want == 0 {
				qt.Assert(t, d.Acquire, qt.HasLen, 0)
				return
			}
			qt.Assert(t, d.Acquire, qt.HasLen, 1)
			qt.Assert(t, d.Acquire[0].Path, qt.Equals, tc.want)
			qt.Assert(t, d.Acquire[0].InDoubt, qt.Equals, tc.doubt)
		})
	}
}

// Guards against a target that no node takes because the preferred node still sends heartbeats but can't reach the
// platform.
func TestDecidePassesOverNodeCutFromPlatform(t *testing.T) {
	c := qt.New(t)
	cutOff := node("b", "1", "z")
	cutOff.LeaseLapsed = true
	in := Input{
		Self: Identity{"a", "1"}, Nodes: []Node{node("a", "1", "y"), cutOff}, Targets: []Target{{"held", "z"}, {"free", "z"}},
		Entries: map[string]Entry{"held": {cutOff.Identity, 1}}, RightToServe: true, PlatformReachable: true, MaxMoves: 2,
	}
	d := Decide(in)
	c.Assert(d.Acquire, qt.HasLen, 2)
	c.Check([]bool{d.Acquire[0].InDoubt, d.Acquire[1].InDoubt}, qt.DeepEquals, []bool{true, false})
	in.Entries = map[string]Entry{"held": {in.Self, 1}, "free": {in.Self, 1}}
	c.Check(Decide(in).HandOver, qt.HasLen, 0)
}

// Guards against targets that move back and forth: moves must stop once no node is more than a quarter above the mean.
func TestDecideBalances(t *testing.T) {
	c := qt.New(t)
	nodes := []Node{node("a", "1", "z"), node("b", "1", "z"), node("c", "1", "y")}
	in := Input{
		Self: nodes[0].Identity, Nodes: nodes, Entries: map[string]Entry{}, RightToServe: true, PlatformReachable: true,
		MaxMoves: 2,
	}
	for i := range 16 {
		id := string(rune('a' + i))
		in.Targets = append(in.Targets, Target{id, "z"})
		in.Entries[id] = Entry{nodes[0].Identity, 1}
	}
	in.Fixed = map[string]bool{"a": true}
	moved := 0
	for d := Decide(in); len(d.HandOver) > 0; d = Decide(in) {
		c.Assert(len(d.HandOver) <= 2, qt.IsTrue)
		for _, m := range d.HandOver {
			c.Assert(m.To, qt.Equals, nodes[1].Identity)
			c.Assert(m.Target.ID, qt.Not(qt.Equals), "a")
			in.Entries[m.Target.ID] = Entry{m.To, 2}
			moved++
		}
	}
	c.Assert(moved, qt.Equals, 6)
}
