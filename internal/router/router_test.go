package router

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/schema"
)

func node(name, domain string, free, total uint32) Node {
	return Node{Name: name, FailureDomain: domain, Self: name == "self", Pools: []*schema.PoolSummary{
		{Name: "pool/p", FreeSlots: free, TotalSlots: total},
	}}
}

func firstCandidate(r *Router, affinity uint64) string {
	if c := r.Candidates("pool/p", affinity); len(c) > 0 {
		return c[0].Name
	}
	return ""
}

// Guards against requests that leave the failure domain while it has free slots, and against nodes without free slots that
// are ranked first.
func TestCandidates(t *testing.T) {
	for name, tc := range map[string]struct {
		nodes []Node
		want  string
	}{
		"near first":              {[]Node{node("far", "b", 9, 9), node("near", "a", 1, 9)}, "near"},
		"far when near is full":   {[]Node{node("far", "b", 9, 9), node("near", "a", 0, 9)}, "far"},
		"least loaded":            {[]Node{node("x", "a", 2, 9), node("y", "a", 5, 9)}, "y"},
		"no targets":              {[]Node{node("x", "a", 0, 0)}, ""},
		"full, but the only ones": {[]Node{node("x", "a", 0, 2)}, "x"},
	} {
		t.Run(name, func(t *testing.T) {
			r := New("a", func() []Node { return tc.nodes })
			qt.Assert(t, firstCandidate(r, 0), qt.Equals, tc.want)
		})
	}
}

// Guards against affinity that overloads one node, and against affinity that changes the node without need.
func TestAffinityIsBounded(t *testing.T) {
	c := qt.New(t)
	nodes := []Node{node("x", "a", 8, 8), node("y", "a", 8, 8), node("z", "a", 8, 8)}
	r := New("a", func() []Node { return nodes })
	chosen := firstCandidate(r, 42)
	c.Check(firstCandidate(r, 42), qt.Equals, chosen)
	for i := range nodes {
		if nodes[i].Name == chosen {
			nodes[i] = node(chosen, "a", 1, 8)
		}
	}
	c.Check(firstCandidate(r, 42), qt.Not(qt.Equals), chosen)
}

// Guards against counts of sent requests that are never reset: this node must not appear full after its requests have
// ended, and another node must not after its next status.
func TestSentCountsResetOnStatus(t *testing.T) {
	c := qt.New(t)
	nodes := []Node{node("self", "a", 2, 2), node("other", "b", 2, 2)}
	r := New("a", func() []Node { return nodes })
	for range 5 {
		r.RecordSent(nodes[0], "pool/p")
		r.RecordSent(nodes[1], "pool/p")
	}
	c.Check(firstCandidate(r, 0), qt.Equals, "self")
	c.Check(r.sentSinceStatus(nodes[1], "pool/p"), qt.Equals, 5)
	nodes[1].StatusSequence++
	c.Check(r.sentSinceStatus(nodes[1], "pool/p"), qt.Equals, 0)
}
