package entry

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/crash"
)

// Guards against copies of a crashing request that crash replicas at each node anew: crashes seen by different nodes count together,
// and a node that has just started learns of them from any other.
func TestNodesTellEachOtherOfCrashes(t *testing.T) {
	c := quicktest.New(t)
	a, b, started := newNode(c, testSettings), newNode(c, testSettings), newNode(c, testSettings)
	f := crash.Request{Fingerprint: "f"}
	a.crashes.Record(crash.Crash{Request: f, Target: "i-1", Incarnation: "1"})
	b.crashes.Record(crash.Crash{Request: f, Target: "i-2", Incarnation: "1", Age: time.Second})
	b.applyPeerGossip(a.localGossip())
	c.Check(b.crashes.Blocked(f), quicktest.IsTrue)
	c.Check(a.crashes.Blocked(f), quicktest.IsFalse)
	started.applyPeerGossip(b.localGossip())
	c.Check(started.crashes.Blocked(f), quicktest.IsTrue)
}
