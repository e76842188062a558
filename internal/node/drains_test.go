package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/rules"
)

// Guards against a ramp that restarts with every change of rules, and against one that outlasts the bound.
func TestDrainRampEnds(t *testing.T) {
	c := qt.New(t)
	in := map[string]rules.FailureDomain{"a": {Name: "a"}}
	out := map[string]rules.FailureDomain{"a": {Name: "a", Out: true}}
	var d drains
	d.update(in, 0)
	d.update(out, time.Second)
	c.Check(d.left("a", time.Second), qt.Equals, 1.0)
	d.update(out, time.Second+drainRamp/2)
	c.Check(d.left("a", time.Second+drainRamp/2), qt.Equals, 0.5)
	c.Check(d.left("a", time.Second+drainRamp), qt.Equals, 0.0)

	var restarted drains
	restarted.update(out, 0)
	c.Check(restarted.left("a", 0), qt.Equals, 0.0)
}
