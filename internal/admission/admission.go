// Package admission enforces the rate and concurrency limits of client accounts across all entry nodes.
//
// Every node enforces a share of each limit. Half of a limit is split evenly over the serving nodes, and half in
// proportion to the demand that the nodes report in their heartbeats. The rate and concurrency shares add up to the limit
// whenever the nodes have the same reports, so a request is admitted without a call to another node. A node's burst is its
// share rounded down, but at least 1, so the bursts need not add up.
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
	// demandHalfLife is the age at which a request counts half as much in the reported demand as a new one.
	demandHalfLife = 2 * time.Second
	// evenFraction is the part of each limit that is split evenly over the serving nodes.
	evenFraction = 0.5
)

// Controller admits or refuses requests of client accounts at one node.
type Controller struct {
	self string
	now  func() time.Time

	mu       sync.Mutex
	accounts map[string]*account
	// peerDemand holds the last reported demand of the other serving nodes: node -> account -> demand.
	peerDemand map[string]map[string]*schema.AccountDemand
}

// account is the state of one client account at this node.
type account struct {
	rules           rules.Account
	limiter         *rate.Limiter
	inFlight        int
	demand          float64 // Decaying estimate of the requests per second, as of demandUpdatedAt. Refused requests count.
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

// SetAccounts replaces the rules of all accounts. An account that already exists keeps its requests in flight and its
// demand.
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

// Demand returns the demand that this node reports in its heartbeats. Accounts with at most 0.01 requests per second and
// none in flight are left out.
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

// Admit admits a request of the named account or returns the reason for refusing it. The returned function must be called
// when the request has ended; further calls have no effect.
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
		return nil, result.New(result.AccountConcurrency,
			"account %q has %d requests in flight at this node; of its limit of %d over all nodes, this node may use %d",
			name, a.inFlight, a.rules.Concurrency, limit).WithRetryAfter(time.Second)
	}
	if !a.limiter.AllowN(now, 1) {
		return nil, result.New(result.AccountRate, "account %q exceeds this node's share of its %g requests per second", name, a.rules.Rate).
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

// decay brings the demand up to date with now.
func (a *account) decay(now time.Time) {
	elapsed := now.Sub(a.demandUpdatedAt).Seconds()
	if elapsed > 0 {
		a.demand *= math.Exp2(-elapsed / demandHalfLife.Seconds())
		a.demandUpdatedAt = now
	}
}

// updateRateLimiters sets every rate limiter to this node's share of the account's rate and burst. The caller holds mu.
func (c *Controller) updateRateLimiters() {
	now := c.now()
	for name, a := range c.accounts {
		a.decay(now)
		share := c.share(name, a, c.self)
		a.limiter.SetLimitAt(now, rate.Limit(a.rules.Rate*share))
		a.limiter.SetBurstAt(now, max(1, int(float64(a.rules.Burst)*share)))
	}
}

// share returns the fraction of an account's limits that a node may use. Without any demand, all nodes get the same.
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

// concurrencyShare returns how many requests of an account may be in flight at this node. The limit is rounded to whole
// slots per node by the largest remainder method, so that the numbers of all nodes add up to the limit even if it is smaller
// than the number of nodes. Equal remainders are ordered by a hash of account and node, which is the same on every node.
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

// slotShare is one node's exact share of an account's concurrency limit, split into whole slots and the fractional remainder.
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
