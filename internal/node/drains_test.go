package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/rules"
)

// Guards against a ramp that restarts with every change of rules, against one that outlasts the bound, and against a node
// that was paused or cut off and ramps although it learned of the rules late.
func TestDrainRampEnds(t *testing.T) {
	c := qt.New(t)
	in := map[string]rules.FailureDomain{"a": {Name: "a"}}
	out := map[string]rules.FailureDomain{"a": {Name: "a", Out: true}}
	var d drains
	at := time.Minute
	steady := func() {
		for range 60 {
			at += 100 * time.Millisecond
			d.update(in, true, at)
		}
	}
	d.update(out, true, at)
	c.Check(d.left("a", at), qt.Equals, 0.0, qt.Commentf("started with the domain out"))
	steady()
	d.update(out, true, at)
	c.Check(d.left("a", at), qt.Equals, 1.0)
	d.update(out, true, at+drainRamp/2)
	c.Check(d.left("a", at+drainRamp/2), qt.Equals, 0.5)
	c.Check(d.left("a", at+drainRamp), qt.Equals, 0.0)
	steady()
	d.update(out, true, at+2*pauseGap)
	c.Check(d.left("a", at+2*pauseGap), qt.Equals, 0.0, qt.Commentf("paused"))
	steady()
	d.update(in, false, at)
	d.update(out, true, at+100*time.Millisecond)
	c.Check(d.left("a", at+100*time.Millisecond), qt.Equals, 0.0, qt.Commentf("cut off"))
}
