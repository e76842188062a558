package drain

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// Guards against requests that a node takes though they end after it, and against refusing those that end in time.
func TestOnlyRequestsThatEndInTimeFit(t *testing.T) {
	c := quicktest.New(t)
	var d Durations
	c.Check(d.Fit("quick", time.Second, 2*time.Second), quicktest.IsTrue, quicktest.Commentf("its deadline is in time"))
	c.Check(d.Fit("quick", 8*time.Second, 4*time.Second), quicktest.IsFalse, quicktest.Commentf("nothing is known of its kind"))
	for i := range 40 {
		d.Record("quick", time.Duration(50+i%10)*time.Millisecond)
		d.Record("even", 2*time.Second)
		d.Record("uneven", time.Duration(1+6*(i%2))*time.Second/2)
	}
	c.Check(d.Fit("quick", 8*time.Second, 200*time.Millisecond), quicktest.IsTrue)
	c.Check(d.Fit("quick", 8*time.Second, 50*time.Millisecond), quicktest.IsFalse)
	c.Check(d.Fit("even", 8*time.Second, 4500*time.Millisecond), quicktest.IsTrue)
	c.Check(d.Fit("even", 8*time.Second, 3500*time.Millisecond), quicktest.IsFalse)
	c.Check(d.Fit("uneven", 8*time.Second, 4500*time.Millisecond), quicktest.IsFalse, quicktest.Commentf("its mean is as short, but many take longer"))
}
