// Package admission enforces the limits of client accounts over all entry nodes together.
//
// Every node enforces a share of each limit. Half of a limit is split evenly over the serving nodes, and half in
// proportion to the demand that the nodes report in their heartbeats. The shares add up to the limit whenever the
// nodes have the same reports, so no node has to be asked per request.
package admission

import (
	"math"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
)

const (
	// demandHalfLife is the time after which a past request counts half in the reported demand.
	demandHalfLife = 2 * time.Second
	evenFraction   = 0.5
)

// Controller admits requests of client accounts at one node.
type Controller struct {
	self string
	now  func() time.Time

	mu       sync.Mutex
	accounts map[string]*account
	// peers holds the last reported demand of the other serving nodes: node -> account -> demand.
	peerDemand map[string]map[string]*schema.AccountDemand
}

type account struct {
	rules           rules.Account
	limiter         *rate.Limiter
	inFlight        int
	demand          float64 // Requests per second, decaying.
	demandUpdatedAt time.Time
}

// New returns a Controller for the node named self. now may be nil.
func New(self string, now func() time.Time) *Controller {
	if now == nil {
		now = time.Now
	}
	return &Controller{
		self:       self,
		now:        now,
		accounts:   make(map[string]*account),
		peerDemand: make(map[string]map[string]*schema.AccountDemand),
	}
}

// SetAccounts replaces the rules of all accounts. Requests in flight stay counted.
func (c *Controller) SetAccounts(accountRules map[string]rules.Account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.accounts {
		if _, ok := accountRules[name]; !ok {
			delete(c.accounts, name)
		}
	}
	for name, r := range accountRules {
		a, ok := c.accounts[name]
		if !ok {
			a = &account{limiter: rate.NewLimiter(rate.Limit(r.Rate), r.Burst), demandUpdatedAt: c.now()}
			c.accounts[name] = a
		}
		a.rules = r
	}
	c.updateRateLimiters()
}

// SetPeers records the demand reported by the other serving nodes and adjusts this node's shares.
func (c *Controller) SetPeers(demand map[string][]*schema.AccountDemand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.peerDemand)
	for node, list := range demand {
		byAccount := make(map[string]*schema.AccountDemand, len(list))
		for _, d := range list {
			byAccount[d.Account] = d
		}
		c.peerDemand[node] = byAccount
	}
	c.updateRateLimiters()
}

// Demand returns what this node reports in its heartbeats.
func (c *Controller) Demand() []*schema.AccountDemand {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*schema.AccountDemand, 0, len(c.accounts))
	for name, a := range c.accounts {
		a.decay(c.now())
		if a.demand > 0.01 || a.inFlight > 0 {
			list = append(list, &schema.AccountDemand{Account: name, RequestsPerSecond: a.demand, InFlight: uint32(a.inFlight)})
		}
	}
	return list
}

// Admit counts a request of the account in. The returned function must be called when the request has ended.
func (c *Controller) Admit(name string) (release func(), err *result.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.accounts[name]
	if !ok {
		return nil, result.New(result.UnknownAccount, "account %q does not exist", name)
	}
	now := c.now()
	a.decay(now)
	a.demand += math.Ln2 / demandHalfLife.Seconds()
	if limit := c.concurrencyShare(name, a); a.inFlight >= limit {
		return nil, result.New(result.AccountConcurrency, "account %q has %d requests in flight at this node, its share of %d over all nodes is %d",
			name, a.inFlight, a.rules.Concurrency, limit).WithRetryAfter(time.Second)
	}
	if !a.limiter.AllowN(now, 1) {
		return nil, result.New(result.AccountRate, "account %q is above its %g requests per second", name, a.rules.Rate).
			WithRetryAfter(time.Second)
	}
	a.inFlight++
	var once sync.Once
	return func() { once.Do(func() { c.release(a) }) }, nil
}

func (c *Controller) release(a *account) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.inFlight--
}

// decay brings the demand estimate up to now.
func (a *account) decay(now time.Time) {
	elapsed := now.Sub(a.demandUpdatedAt).Seconds()
	if elapsed > 0 {
		a.demand *= math.Exp2(-elapsed / demandHalfLife.Seconds())
		a.demandUpdatedAt = now
	}
}

// reshare sets this node's part of every rate limit. The caller holds mu.
func (c *Controller) updateRateLimiters() {
	now := c.now()
	for name, a := range c.accounts {
		a.decay(now)
		share := c.share(name, a, c.self)
		a.limiter.SetLimitAt(now, rate.Limit(a.rules.Rate*share))
		a.limiter.SetBurstAt(now, max(1, int(float64(a.rules.Burst)*share)))
	}
}

// share returns the fraction of an account's limits that a node may use.
func (c *Controller) share(name string, a *account, node string) float64 {
	nodes := float64(len(c.peerDemand) + 1)
	totalDemand := a.demand
	nodeDemand := a.demand
	for peer, accounts := range c.peerDemand {
		d := accounts[name].GetRequestsPerSecond()
		totalDemand += d
		if peer == node {
			nodeDemand = d
		}
	}
	if totalDemand <= 0 {
		return 1 / nodes
	}
	return evenFraction/nodes + (1-evenFraction)*nodeDemand/totalDemand
}

// concurrencyShare returns this node's whole number of slots. Fractions are handed out by largest remainder, so that the
// numbers of all nodes add up to the limit even if the limit is smaller than the number of nodes.
func (c *Controller) concurrencyShare(name string, a *account) int {
	shares := []slotShare{c.slotShareOf(name, a, c.self)}
	for node := range c.peerDemand {
		shares = append(shares, c.slotShareOf(name, a, node))
	}
	unassigned := a.rules.Concurrency
	for _, p := range shares {
		unassigned -= p.wholeSlots
	}
	sort.Slice(shares, func(i, j int) bool {
		if shares[i].fraction != shares[j].fraction {
			return shares[i].fraction > shares[j].fraction
		}
		return xxhash.Sum64String(name+"\x00"+shares[i].node) < xxhash.Sum64String(name+"\x00"+shares[j].node)
	})
	for i, p := range shares {
		if p.node == c.self {
			if i < unassigned {
				return p.wholeSlots + 1
			}
			return p.wholeSlots
		}
	}
	return 0
}

// part is one node's exact number of slots, split into its whole and fractional parts.
type slotShare struct {
	node       string
	wholeSlots int
	fraction   float64
}

func (c *Controller) slotShareOf(name string, a *account, node string) slotShare {
	exact := float64(a.rules.Concurrency) * c.share(name, a, node)
	whole := int(exact)
	return slotShare{node: node, wholeSlots: whole, fraction: exact - float64(whole)}
}
