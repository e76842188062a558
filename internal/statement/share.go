package statement

import (
	"slices"

	"cassiadeal.example/cassiadeal/internal/holder"
)

// extraSharers is the number of nodes beyond the limit's requests per second among which a limit is divided. With more nodes, each
// one's part would be used up by the first request for seconds, and the first requests of all nodes together would exceed the limit.
const extraSharers = 2

// nodeSet is the set of nodes among which limits are divided.
type nodeSet struct {
	self    string
	names   []string // Sorted, without self.
	version int
}

// share is this node's part of the limit of a target, as of a version of the set of nodes.
type share struct {
	nodesVersion int
	limit        float64
	perSecond    float64
}

// DivideAmong makes this node keep to a part of each limit, so that the nodes together keep to all of it. names are the other nodes
// that may send to targets, including those that this node hasn't heard lately: they may run but not reach this one.
func (t *Table) DivideAmong(self string, names []string) {
	names = slices.Clone(names)
	slices.Sort(names)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.nodes != nil && t.nodes.self == self && slices.Equal(t.nodes.names, names) {
		return
	}
	version := 1
	if t.nodes != nil {
		version = t.nodes.version + 1
	}
	t.nodes = &nodeSet{self, names, version}
}

// rate returns this node's part of a limit. A limit is divided among few nodes, whichever rank first for the target; the others send
// nothing. When a node joins or is given up, at most one of them is replaced.
func (n *nodeSet) rate(target Target, perSecond float64) float64 {
	sharers := min(int(perSecond)+extraSharers, len(n.names)+1)
	key := target.ID + "\x00" + target.Incarnation
	own, preceding := holder.Score(key, n.self), 0
	for _, name := range n.names {
		if score := holder.Score(key, name); score > own || score == own && name < n.self {
			if preceding++; preceding >= sharers {
				return 0
			}
		}
	}
	return perSecond / float64(sharers)
}
