package entry

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/platform"
)

// Guards against a log that an unreadable object fills, by its size or by changing all the time.
func TestUnreadableObjectsAreLoggedBoundedly(t *testing.T) {
	c := quicktest.New(t)
	var lines bytes.Buffer
	log := logrus.New()
	log.SetOutput(&lines)
	now := clock.NewManual(time.Hour)
	n := &Node{log: log, clock: now}
	object, err := platform.Object{Name: strings.Repeat("x", 1<<20)}, errors.New(strings.Repeat("y", 1<<20))
	for range 1000 {
		n.logUnreadable(object, err)
	}
	c.Assert(strings.Count(lines.String(), "\n"), quicktest.Equals, maxUnreadableLogs)
	c.Assert(lines.Len() < maxUnreadableLogs*1000, quicktest.IsTrue)
	now.Advance(summaryInterval)
	lines.Reset()
	n.logUnreadable(object, nil)
	c.Assert(strings.Contains(lines.String(), fmt.Sprintf("omitted=%d", 1000-maxUnreadableLogs)), quicktest.IsTrue)
}
