// Package requests tests the guarantees to callers with separate processes behind fault-injecting proxies. The tests compare
// the answers with the stand-ins' own records of what they received and did.
package requests

import (
	"os"
	"testing"

	"cassiadeal.example/cassiadeal/test/cluster"
	"cassiadeal.example/cassiadeal/test/harness"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// maxClusters limits the clusters that run at once, because test machines are shared.
const maxClusters = 3

var clusterSlots = make(chan struct{}, maxClusters)

// parallel marks the test as parallel and waits until fewer than maxClusters other tests run.
func parallel(t *testing.T) {
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
}

// startServiceCluster starts a cluster without model replicas.
func startServiceCluster(t *testing.T) *cluster.Cluster {
	o := cluster.Defaults()
	o.Replicas, o.VMsPerDomain = 0, 1
	o.ColdLimit, o.FullLimit = 8, 16
	o.ServiceArgs = []string{"--bears-cold=8"}
	return cluster.Start(t, o)
}

// targetHolders returns the name of the node that holds each target of a kind, by target ID, as node d reports it.
func targetHolders(c *cluster.Cluster, d *cluster.Daemon, kind string) map[string]string {
	c.T.Helper()
	s, err := c.Status(d)
	if err != nil {
		c.T.Fatal(err)
	}
	holderByTarget := map[string]string{}
	for _, target := range s.Targets {
		if target.Kind == kind {
			holderByTarget[target.ID] = target.Holder
		}
	}
	return holderByTarget
}

// holderOf returns a node that holds a target of the kind, as the first node reports it.
func holderOf(c *cluster.Cluster, kind string) *cluster.Daemon {
	c.T.Helper()
	holderByTarget := targetHolders(c, c.Nodes[0], kind)
	for _, d := range c.Nodes {
		for _, name := range holderByTarget {
			if name == d.NodeName {
				return d
			}
		}
	}
	c.T.Fatalf("no node holds a target: %v", holderByTarget)
	return nil
}

// relaunch starts a killed node again and waits until all nodes and targets serve.
func relaunch(c *cluster.Cluster, d *cluster.Daemon) {
	c.Launch(d)
	c.WaitMembers()
	c.WaitServing(c.Options.Replicas)
}
