package requests

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/standin/service"
	"cassiadeal.example/cassiadeal/test/cluster"
	"cassiadeal.example/cassiadeal/test/harness"
)

const (
	lostWrites   = 2 * time.Second // Age of the copy from which the store is restored.
	storeAway    = 300 * time.Millisecond
	restoreKey   = 40              // Key in whose place the store goes away.
	inForceLimit = 6 * time.Second // Stated limit for a configuration.
)

// Guards against a second execution, a lost configuration, an overload of cold targets, and nodes that end or stop serving, when the
// platform's store comes back from a copy that lacks the writes of the last seconds.
func TestInvariantStoreRestored(t *testing.T) {
	parallel(t)
	c := cluster.Start(t, cluster.Defaults())
	setServiceFaults(c, service.Faults{DelayMS: new(int64(20))})
	load := c.StartLoad(cluster.LoadOptions{Generate: 2, Service: 1, Tokens: 8, Interval: 30 * time.Millisecond})
	time.Sleep(lostWrites) // The copy is made here, after the cluster has settled.
	var text string
	keys := sendKeys(c, restoreKey, func() {
		text = c.Rules(nil) + "# Applied within the writes that the restore takes.\n"
		c.MustApply(text)
		c.Platform.Restore(lostWrites, storeAway)
	})
	harness.Eventually(t, inForceLimit, func() error { return storedRules(c, text) })
	if checkExecutions(t, c, keys) == 0 {
		t.Error("no key was answered, so no claim can have been lost")
	}
	c.MustApply(c.Rules(nil))
	c.WaitMembers()
	c.WaitServing(c.Options.Replicas)
	for i, d := range c.Nodes {
		if a := c.Send(d, http.MethodGet, fmt.Sprintf("/v1/services/bookings/stock/after-%d", i), "", ""); a.Status != http.StatusOK {
			t.Errorf("%s after the restore: %v", d.NodeName, a)
		}
	}
	load.Stop()
	if overloads := c.Overloads(); len(overloads) > 0 {
		t.Errorf("%d overloads of cold targets, want none: %.600v", len(overloads), overloads)
	}
}

// storedRules returns an error unless the platform holds the text as its newest configuration and every node has its revision in force.
func storedRules(c *cluster.Cluster, text string) error {
	writes := c.ConfigWrites()
	last, config := writes[len(writes)-1], &schema.Config{}
	if err := platform.Decode(last.Data, config); err != nil {
		return err
	}
	if last.Era == 0 || config.GetRules() != text {
		return fmt.Errorf("the newest configuration is revision %d of era %d, with the applied text: %t", config.GetRevision(), last.Era, config.GetRules() == text)
	}
	for _, d := range c.Nodes {
		if s, err := c.Status(d); err != nil || s.ConfigRevision != config.GetRevision() {
			return fmt.Errorf("%s has revision %d, want %d; error %v", d.NodeName, s.ConfigRevision, config.GetRevision(), err)
		}
	}
	return nil
}
