// Package requests proves the promises to callers with separate processes behind fault-injecting proxies. The judge is
// the stand-ins' own record of what they received and did.
package requests

import (
	"os"
	"testing"

	"cassiadeal.example/cassiadeal/test/cluster"
	"cassiadeal.example/cassiadeal/test/harness"
)

func TestMain(m *testing.M) { os.Exit(harness.Main(m)) }

// maxClusters bounds the clusters that run at once, because the machine is shared.
const maxClusters = 3

var clusterSlots = make(chan struct{}, maxClusters)

// parallel lets tests with clusters of their own run at once, up to maxClusters.
func parallel(t *testing.T) {
	t.Parallel()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
}

// startServiceCluster is a cluster without model replicas.
func startServiceCluster(t *testing.T) *cluster.Cluster {
	o := cluster.Defaults()
	o.Replicas, o.VMsPerDomain = 0, 1
	o.ColdLimit, o.FullLimit = 8, 16
	o.ServiceArgs = []string{"--bears-cold=8"}
	return cluster.Start(t, o)
}

// holders returns the name of the node that holds each target of a kind, as a serving node sees it.
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

// holderOf returns a node that holds a target of the kind.
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

// relaunch starts a killed node again and waits until the cluster is whole.
func relaunch(c *cluster.Cluster, d *cluster.Daemon) {
	c.Launch(d)
	c.WaitMembers()
	c.WaitServing(c.Options.Replicas)
}
