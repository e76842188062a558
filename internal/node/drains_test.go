package node

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/rules"
)

// Guards against a ramp that restarts with every change of rules, against one that exceeds its time, and against a node that
// was paused or lost the right to serve and ramps although it may have got the rules late.
func TestDrainRampEnds(t *testing.T) {
	c := qt.New(t)
	inService := map[string]rules.FailureDomain{"a": {Name: "a"}}
	takenOut := map[string]rules.FailureDomain{"a": {Name: "a", Out: true}}
	var drains domainDrains
	now := time.Minute
	runSteadily := func() {
		for range 60 {
			now += 100 * time.Millisecond
			drains.update(inService, true, now)
		}
	}
	drains.update(takenOut, true, now)
	c.Check(drains.remainingShare("a", now), qt.Equals, 0.0, qt.Commentf("started with the domain out"))
	runSteadily()
	drains.update(takenOut, true, now)
	c.Check(drains.remainingShare("a", now), qt.Equals, 1.0)
	drains.update(takenOut, true, now+drainRampTime/2)
	c.Check(drains.remainingShare("a", now+drainRampTime/2), qt.Equals, 0.5)
	c.Check(drains.remainingShare("a", now+drainRampTime), qt.Equals, 0.0)
	runSteadily()
	drains.update(takenOut, true, now+2*pauseThreshold)
	c.Check(drains.remainingShare("a", now+2*pauseThreshold), qt.Equals, 0.0, qt.Commentf("paused"))
	runSteadily()
	drains.update(inService, false, now)
	drains.update(takenOut, true, now+100*time.Millisecond)
	c.Check(drains.remainingShare("a", now+100*time.Millisecond), qt.Equals, 0.0, qt.Commentf("lost the right to serve"))
}
