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

var clusters = make(chan struct{}, maxClusters)

// parallel lets tests with clusters of their own run at once, up to maxClusters.
func parallel(t *testing.T) {
	t.Parallel()
	clusters <- struct{}{}
	t.Cleanup(func() { <-clusters })
}

// serviceCluster is a cluster without model replicas.
func serviceCluster(t *testing.T) *cluster.Cluster {
	o := cluster.Defaults()
	o.Replicas, o.VMsPerDomain = 0, 1
	o.ColdLimit, o.FullLimit = 8, 16
	o.ServiceArgs = []string{"--bears-cold=8"}
	return cluster.Start(t, o)
}

// holders returns the name of the node that holds each target of a kind, as a serving node sees it.
func holders(c *cluster.Cluster, d *cluster.Daemon, kind string) map[string]string {
	c.T.Helper()
	s, err := c.Status(d)
	if err != nil {
		c.T.Fatal(err)
	}
	held := map[string]string{}
	for _, target := range s.Targets {
		if target.Kind == kind {
			held[target.ID] = target.Holder
		}
	}
	return held
}

// holderOf returns a node that holds a target of the kind.
func holderOf(c *cluster.Cluster, kind string) *cluster.Daemon {
	c.T.Helper()
	held := holders(c, c.Nodes[0], kind)
	for _, d := range c.Nodes {
		for _, name := range held {
			if name == d.NodeName {
				return d
			}
		}
	}
	c.T.Fatalf("no node holds a target: %v", held)
	return nil
}

// relaunch starts a killed node again and waits until the cluster is whole.
func relaunch(c *cluster.Cluster, d *cluster.Daemon) {
	c.Launch(d)
	c.WaitMembers()
	c.WaitServing(c.Options.Replicas)
}
