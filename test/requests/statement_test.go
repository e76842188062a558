package requests

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/internal/standin/platform"
	"cassiadeal.example/cassiadeal/internal/standin/service"
	"cassiadeal.example/cassiadeal/test/cluster"
	"cassiadeal.example/cassiadeal/test/harness"
)

// leavingBound is the time after which a leaving target gets no new work.
const leavingBound = 5 * time.Second

// Guards against requests to a service that states in its responses that it is leaving, while the platform is down, and against a
// service that gets none after its restart.
func TestInvariantServiceThatStatesItIsLeaving(t *testing.T) {
	t.Parallel()
	o := cluster.Defaults()
	o.Replicas = 0
	c := cluster.Start(t, o)
	c.Platform.SetFaults(platform.Faults{Mode: "down"})
	leaving := true
	c.Services[0].SetFaults(service.Faults{Leaving: &leaving})
	statedMS := time.Now().UnixMilli()
	n := 0
	send := func() {
		n++
		if a := c.Send(c.Nodes[n%len(c.Nodes)], http.MethodGet, fmt.Sprintf("/v1/services/bookings/stock/%d", n), "", ""); a.Status != http.StatusOK && !a.NotRun {
			t.Errorf("request %d: %v", n, a)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for end := time.Now().Add(leavingBound + time.Second); time.Now().Before(end); {
		send()
	}
	for _, at := range c.Services[0].Record().Arrivals {
		if late := at - statedMS; late > leavingBound.Milliseconds() {
			t.Errorf("a request arrived %d ms after the service stated that it is leaving", late)
		}
	}
	before := len(c.Services[0].Record().Arrivals)
	c.Services[0].SetFaults(service.Faults{Restart: true})
	harness.Eventually(t, 10*time.Second, func() error {
		send()
		if len(c.Services[0].Record().Arrivals) == before {
			return fmt.Errorf("the restarted service got no request")
		}
		return nil
	})
}
