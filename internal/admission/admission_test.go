package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// Guards against nodes that together admit more or less than an account's limit: if all nodes have the same reports, their
// shares must add up to the account's concurrency limit, also when it is smaller than the number of nodes.
func TestConcurrencySharesAddUpToTheLimit(t *testing.T) {
	for _, limit := range []int{1, 3, 7, 20, 101} {
		t.Run(fmt.Sprint(limit), func(t *testing.T) {
			c := qt.New(t)
			now := time.Unix(1000, 0)
			demand := map[string]float64{"a": 0, "b": 3, "c": 11, "d": 1, "e": 0.5}
			sum := 0
			for self := range demand {
				ctl := New(self, func() time.Time { return now })
				ctl.SetAccounts(map[string]rules.Account{"x": {Name: "x", Rate: 1000, Burst: 1000, Concurrency: limit}})
				ctl.accounts["x"].demand = demand[self]
				peers := map[string][]*schema.AccountDemand{}
				for node, d := range demand {
					if node != self {
						peers[node] = []*schema.AccountDemand{{Account: "x", RequestsPerSecond: d}}
					}
				}
				ctl.SetPeers(peers)
				sum += ctl.concurrencyShare("x", ctl.accounts["x"])
			}
			c.Check(sum, qt.Equals, limit)
		})
	}
}

// Guards against an in-flight count that is off after a request has ended (release is called twice on purpose), and against
// rate refusals without a retry time.
func TestAdmitLimitsConcurrencyAndRate(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	ctl := New("a", func() time.Time { return now })
	ctl.SetAccounts(map[string]rules.Account{"x": {Name: "x", Rate: 1, Burst: 2, Concurrency: 1}})

	release, err := ctl.Admit("x")
	c.Assert(err == nil, qt.IsTrue)
	_, err = ctl.Admit("x")
	c.Assert(err.Code, qt.Equals, result.AccountConcurrency)
	release()
	release()
	release, err = ctl.Admit("x")
	c.Assert(err == nil, qt.IsTrue)
	release()
	_, err = ctl.Admit("x")
	c.Assert(err.Code, qt.Equals, result.AccountRate)
	c.Check(err.RetryAfter > 0, qt.IsTrue)
	_, err = ctl.Admit("y")
	c.Check(err.Code, qt.Equals, result.UnknownAccount)
}
