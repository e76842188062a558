package precedence

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cassiadeal.example/cassiadeal/internal/clock"
)

const (
	// maxAccounts bounds the accounts that are counted in one class. Accounts are those of the configuration, so that it is reached
	// only by configurations with more of them.
	maxAccounts = 4096
	// accountRetention is the time after which an account that offered nothing is dropped.
	accountRetention = 2 * accountMemory
)

// decayed are sums of which older summands count less.
type decayed struct {
	requests, read, write, millis float64
	at                            clock.Time
}

func (d *decayed) advance(now clock.Time, memory time.Duration) {
	factor := math.Exp(-now.Sub(d.at).Seconds() / memory.Seconds())
	d.requests, d.read, d.write, d.millis, d.at = d.requests*factor, d.read*factor, d.write*factor, d.millis*factor, now
}

// Counter counts the work that clients offer to this node. It is safe for concurrent use.
type Counter struct {
	clock clock.Clock

	mu       sync.Mutex
	classes  map[Class]*decayed
	accounts map[Class]map[string]*decayed
}

// NewCounter returns a counter that has counted nothing.
func NewCounter(c clock.Clock) *Counter {
	return &Counter{clock: c, classes: map[Class]*decayed{}, accounts: map[Class]map[string]*decayed{}}
}

// Offer counts a request that has arrived. millis is the groups' time that it is expected to take.
func (c *Counter) Offer(class Class, account string, readTokens, writeTokens int, millis float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	sum := c.classes[class]
	if sum == nil {
		sum = &decayed{at: now}
		c.classes[class] = sum
	}
	sum.advance(now, classMemory)
	sum.requests++
	sum.read += float64(readTokens)
	sum.write += float64(writeTokens)
	own := c.accountLocked(class, account, now)
	if own == nil {
		return
	}
	own.advance(now, accountMemory)
	own.requests++
	own.millis += millis
}

// accountLocked returns the sums of the account, or nil if there are too many accounts.
func (c *Counter) accountLocked(class Class, account string, now clock.Time) *decayed {
	accounts := c.accounts[class]
	if accounts == nil {
		accounts = map[string]*decayed{}
		c.accounts[class] = accounts
	}
	if own := accounts[account]; own != nil {
		return own
	}
	if len(accounts) >= maxAccounts {
		dropOld(accounts, now)
	}
	if len(accounts) >= maxAccounts {
		return nil
	}
	own := &decayed{at: now}
	accounts[account] = own
	return own
}

func dropOld(accounts map[string]*decayed, now clock.Time) {
	for name, sum := range accounts {
		if now.Sub(sum.at) > accountRetention {
			delete(accounts, name)
		}
	}
}

// Local returns the work that clients offer to this node.
func (c *Counter) Local() map[Class]Work {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, work := c.clock.Now(), map[Class]Work{}
	for class, sum := range c.classes {
		sum.advance(now, classMemory)
		perSecond := 1 / classMemory.Seconds()
		work[class] = Work{Requests: sum.requests * perSecond, ReadTokens: sum.read * perSecond, WriteTokens: sum.write * perSecond}
	}
	return work
}

// Accounts returns what the accounts have offered to this node in a class.
func (c *Counter) Accounts(class Class) []AccountWork {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	dropOld(c.accounts[class], now)
	list := make([]AccountWork, 0, len(c.accounts[class]))
	for name, sum := range c.accounts[class] {
		factor := math.Exp(-now.Sub(sum.at).Seconds() / accountMemory.Seconds())
		list = append(list, AccountWork{name, sum.requests * factor, sum.millis * factor})
	}
	return list
}

// DrawOf returns a number from 0 to 1 (exclusive) that depends only on the request's ID, so that all nodes draw the same one.
func DrawOf(requestID string) float64 {
	const mantissaBits = 53
	return float64(xxhash.Sum64String(requestID)>>(64-mantissaBits)) / (1 << mantissaBits)
}
