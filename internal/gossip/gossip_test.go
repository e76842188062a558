package gossip

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// freeAddress returns a loopback address that nothing is bound to at the moment.
func freeAddress(t *testing.T) string {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer conn.Close()
	return conn.LocalAddr().String()
}

func startMesh(t *testing.T, name, address string, incarnation int64) (*Mesh, context.CancelFunc) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m, err := New(Options{Address: address, Zone: "z", Clock: clock.Boottime(), Log: log, OnMessage: func(*schema.NodeGossip) {},
		LocalState: func() *schema.NodeGossip {
			return &schema.NodeGossip{Node: name, Incarnation: incarnation, Zone: "z", PeerAddress: address, Ready: true}
		}})
	quicktest.Assert(t, err, quicktest.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go m.Run(ctx)
	return m, cancel
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within 10 s: %s", what)
}

// Guards against stopped nodes that stay in the list of live nodes, from which clients get addresses, and against nodes that
// don't find each other if only one knows the other's address.
func TestNodesDiscoverEachOtherAndDetectAStop(t *testing.T) {
	firstAddress, secondAddress := freeAddress(t), freeAddress(t)
	first, _ := startMesh(t, "a", firstAddress, 1)
	second, stop := startMesh(t, "b", secondAddress, 1)
	second.AddDestinations(firstAddress)
	waitFor(t, "both nodes are alive in each other's list", func() bool { return len(first.Alive()) == 1 && len(second.Alive()) == 1 })
	stop()
	waitFor(t, "the stopped node is no longer alive", func() bool { return len(first.Alive()) == 0 })
}

// Guards against a delayed datagram of a node's earlier process that replaces the state of its current process.
func TestOlderIncarnationIsIgnored(t *testing.T) {
	c := quicktest.New(t)
	m, _ := startMesh(t, "a", freeAddress(t), 1)
	c.Assert(m.accept(&schema.NodeGossip{Node: "b", Incarnation: 5, PeerAddress: "127.0.0.1:1", Ready: true}), quicktest.IsTrue)
	c.Assert(m.accept(&schema.NodeGossip{Node: "b", Incarnation: 4, PeerAddress: "127.0.0.1:1"}), quicktest.IsFalse)
	c.Assert(m.Alive()[0].Ready, quicktest.IsTrue)
}

// Guards against a number of datagrams that grows with the square of the number of nodes: the rate at one node stays bounded.
func TestIntervalsGrowWithTheNumberOfNodes(t *testing.T) {
	c := quicktest.New(t)
	m, _ := startMesh(t, "a", freeAddress(t), 1)
	for i := range 300 {
		zone := "z"
		if i >= 20 {
			zone = "other"
		}
		m.accept(&schema.NodeGossip{Node: fmt.Sprintf("n%d", i), Incarnation: 1, PeerAddress: fmt.Sprintf("127.0.0.1:%d", 2000+i), Zone: zone})
	}
	m.mu.Lock()
	sameZone, otherZone := m.intervals()
	m.mu.Unlock()
	c.Assert(sameZone, quicktest.Equals, 2*Interval)
	c.Assert(otherZone, quicktest.Equals, 30*Interval)
	perSecond := 20/sameZone.Seconds() + 280/otherZone.Seconds()
	c.Assert(perSecond < 200, quicktest.IsTrue, quicktest.Commentf("%.0f datagrams per second", perSecond))
}

// Pattern: many nodes, to which datagrams go seconds apart. Guards against a state that other nodes must know at once, but learn of
// with the next datagram only.
func TestSendNowReachesNodesBeforeTheirInterval(t *testing.T) {
	m, _ := startMesh(t, "a", freeAddress(t), 1)
	receiver, err := net.ListenPacket("udp4", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	defer receiver.Close()
	for i := range 20 * nodesPerInterval {
		m.accept(&schema.NodeGossip{Node: fmt.Sprint("n", i), Incarnation: 1, Zone: "far", PeerAddress: receiver.LocalAddr().String()})
	}
	receive := func(limit time.Duration) error {
		quicktest.Assert(t, receiver.SetReadDeadline(time.Now().Add(limit)), quicktest.IsNil)
		_, _, err := receiver.ReadFrom(make([]byte, maxDatagram))
		return err
	}
	quicktest.Assert(t, receive(m.OtherZoneInterval()), quicktest.IsNil) // The first datagram to a new destination.
	m.SendNow()
	quicktest.Check(t, receive(m.OtherZoneInterval()/2), quicktest.IsNil)
}
