package intake

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fixture is a Limiter with a clock that stands still, and what it has ended.
type fixture struct {
	*Limiter
	now    time.Duration
	counts map[Reason]int
}

func newFixture(b Bounds) *fixture {
	f := &fixture{counts: map[Reason]int{}}
	f.Limiter = New(Options{Bounds: b, Now: func() time.Duration { return f.now }, Count: func(r Reason) { f.counts[r]++ }})
	return f
}

// open opens a connection whose end is recorded.
func (f *fixture) open(c *qt.C, from Origin) (*Account, *Reason) {
	ended := new(Reason)
	a, refused := f.Open(from, func(r Reason) { *ended = r })
	c.Assert(a, qt.Not(qt.IsNil), qt.Commentf("refused: %s", refused))
	return a, ended
}

// begin opens a connection with a partly received request of the given size.
func (f *fixture) begin(c *qt.C, size int64) (*Account, *Reason) {
	a, ended := f.open(c, Clients)
	c.Assert(a.Begin(), qt.IsNil)
	c.Assert(a.Grow(size), qt.IsNil)
	return a, ended
}

// Guards against bounds that the smallest machines can't bear, or that don't follow from the settings.
func TestBoundsDeriveFromTheMachine(t *testing.T) {
	c := qt.New(t)
	c.Check(Derive(136, 2870), qt.Equals, Bounds{Bytes: 136 << 20 * 3 / 10, Clients: 1076, Checks: 134, Parts: 538})
	c.Check(SoftMemoryLimit(136), qt.Equals, int64(112<<20-112<<20/5))
	c.Check(SoftMemoryLimit(0), qt.Equals, int64(224<<20))
	unstated := Derive(0, 0)
	c.Check(unstated.Bytes, qt.Equals, int64(DefaultMemoryMB<<20*3/10))
	c.Check(unstated.Clients > 0, qt.IsTrue)
	c.Check(Derive(1, 1), qt.Equals, Derive(minMemoryMB, minFDs))
}

// Guards against requests that are ended although they make more progress than others, or although nothing lacks. The load: large bodies that
// stall one after the other, and one that goes on.
func TestLeastProgressIsEndedFirst(t *testing.T) {
	c := qt.New(t)
	const size = 1 << 20
	f := newFixture(Bounds{Bytes: 4*size + 4*size/3 + 1<<18, Clients: 100, Parts: 100})
	var accounts []*Account
	var ends []*Reason
	for range 4 {
		a, ended := f.begin(c, size)
		accounts, ends = append(accounts, a), append(ends, ended)
		f.now += 10 * time.Millisecond
	}
	newcomer, _ := f.open(c, Clients)
	c.Assert(newcomer.Begin(), qt.IsNil)
	c.Check(newcomer.Grow(size), qt.Equals, ErrNoRoom, qt.Commentf("none has stalled for long enough"))
	f.now += minStall
	accounts[0].Progress()
	c.Assert(newcomer.Grow(size), qt.IsNil)
	c.Check([]Reason{*ends[0], *ends[1], *ends[2], *ends[3]}, qt.DeepEquals, []Reason{"", EndedMemory, "", ""})
	c.Check(accounts[1].Complete(), qt.Equals, ErrEnded)
	c.Check(accounts[1].Grow(1), qt.Equals, ErrEnded)
	c.Check(f.counts, qt.DeepEquals, map[Reason]int{NoMemory: 1, EndedMemory: 1})
}

// Guards against the ending of complete requests, which may have been sent to a replica.
func TestCompleteRequestsAreNeverEnded(t *testing.T) {
	c := qt.New(t)
	const size = 1 << 20
	f := newFixture(Bounds{Bytes: 2*size + 2*size/3 + 1<<18, Clients: 1, Parts: 1})
	f.Limiter.clients.bound = 2
	a, ended := f.begin(c, 2*size)
	c.Assert(a.Complete(), qt.IsNil)
	f.now += time.Hour
	b, _ := f.open(c, Clients)
	c.Assert(b.Begin(), qt.IsNil)
	c.Check(b.Grow(size), qt.Equals, ErrNoRoom)
	c.Check(*ended, qt.Equals, reasonNothing)
	a.Finish()
	c.Check(b.Grow(size), qt.IsNil)
}

// Guards against large bodies that keep ordinary small requests out: all the room that they may have is used up by complete ones.
func TestSmallRequestsHaveRoomBesideLargeOnes(t *testing.T) {
	c := qt.New(t)
	f := newFixture(Bounds{Bytes: 8 << 20, Clients: 1000, Parts: 1000})
	for {
		a, _ := f.open(c, Clients)
		c.Assert(a.Begin(), qt.IsNil)
		if a.Grow(1<<20) != nil {
			break
		}
		c.Assert(a.Complete(), qt.IsNil)
	}
	for range 20 {
		f.begin(c, 32<<10)
	}
}

// Guards against large requests that have stalled small ones ended, and against small ones that can't have large ones ended.
func TestLargeRequestsEndOnlyLargeOnes(t *testing.T) {
	c := qt.New(t)
	f := newFixture(Bounds{Bytes: 4 << 20, Clients: 100, Parts: 100})
	_, smallEnded := f.begin(c, 1<<10)
	f.now += time.Millisecond
	_, largeEnded := f.begin(c, 2<<20)
	f.now += time.Second
	next, _ := f.begin(c, 2<<20)
	c.Check(*smallEnded, qt.Equals, reasonNothing)
	c.Check(*largeEnded, qt.Equals, EndedMemory)
	c.Assert(next.Complete(), qt.IsNil)
}

// Guards against more memory than planned while ended requests still hold theirs: their goroutines may get no processor time.
func TestEndedRequestsHoldBoundedMemory(t *testing.T) {
	c := qt.New(t)
	f := newFixture(Bounds{Bytes: 16 << 20, Clients: 1000, Parts: 1000})
	var all []*Account
	for range 200 {
		a, refused := f.Open(Clients, func(Reason) {})
		if a == nil {
			c.Assert(refused, qt.Equals, NoMemory)
			continue
		}
		all = append(all, a)
		if a.Begin() == nil {
			_ = a.Grow(1 << 20) // It may be refused.
		}
		f.now += minStall
	}
	c.Check(f.Usage().Bytes <= 16<<20*5/4+1<<20, qt.IsTrue, qt.Commentf("%d bytes", f.Usage().Bytes))
	for _, a := range all {
		a.Close()
		a.Close() // A second call has no effect.
	}
	c.Check(f.Usage(), qt.Equals, Usage{})
}

// Guards against new clients that are kept out by connections that send nothing, by stalled requests, or by idle connections, and against
// the closing of connections that are in use.
func TestConnectionsWithoutUseGiveWay(t *testing.T) {
	c := qt.New(t)
	bounds := Bounds{Bytes: 64 << 20, Clients: 8, Checks: 1, Parts: 8}
	full := func(use func(*Account)) *fixture {
		f := newFixture(bounds)
		for range bounds.Clients {
			a, _ := f.open(c, Clients)
			use(a)
		}
		return f
	}
	finish := func(a *Account) {
		c.Assert(a.Begin(), qt.IsNil)
		c.Assert(a.Complete(), qt.IsNil)
		a.Finish()
	}
	for name, tc := range map[string]struct {
		use   func(*Account)
		after time.Duration
		why   Reason
	}{
		"nothing sent":     {func(*Account) {}, minUnused, EndedIdle},
		"stalled requests": {func(a *Account) { c.Assert(a.Begin(), qt.IsNil) }, minStall, EndedStalled},
		"idle connections": {finish, minUnused, EndedIdle},
	} {
		f := full(tc.use)
		f.now += tc.after - time.Millisecond
		_, refused := f.Open(Clients, func(Reason) {})
		c.Check(refused, qt.Equals, NoConnection, qt.Commentf(name))
		f.now += time.Millisecond
		f.open(c, Clients)
		c.Check(f.counts[tc.why], qt.Equals, 1, qt.Commentf(name))
		f.open(c, Checks) // Checks have connections of their own.
	}
}

// Guards against connections in use that are closed while others have been idle for longer.
func TestLongestIdleConnectionsGiveWayFirst(t *testing.T) {
	c := qt.New(t)
	f := newFixture(Bounds{Bytes: 64 << 20, Clients: 4, Checks: 4, Parts: 8})
	for _, origin := range []Origin{Clients, Checks} {
		var ended []string
		open := func(name string) *Account {
			a, refused := f.Open(origin, func(Reason) { ended = append(ended, name) })
			c.Assert(a, qt.IsNotNil, qt.Commentf("%v", refused))
			return a
		}
		use := func(a *Account) {
			c.Assert(a.Begin(), qt.IsNil)
			c.Assert(a.Complete(), qt.IsNil)
			a.Finish()
		}
		used, idle, older, serving := open("used"), open("idle"), open("older"), open("serving")
		for _, a := range []*Account{older, used, idle} {
			use(a)
			f.now += time.Second
		}
		c.Assert(serving.Begin(), qt.IsNil)
		c.Assert(serving.Complete(), qt.IsNil)
		use(used)
		f.now += minUnused - time.Millisecond
		for i, want := range [][]string{{"older"}, {"older", "idle"}} {
			a := open("new")
			use(a)
			c.Check(ended, qt.DeepEquals, want)
			[]*Account{older, idle}[i].Close()
		}
		_, refused := f.Open(origin, func(Reason) {})
		c.Check(refused, qt.Equals, NoConnection)
	}
}

// Guards against partly received requests that use up all connections.
func TestPartlyReceivedRequestsAreBounded(t *testing.T) {
	c := qt.New(t)
	f := newFixture(Bounds{Bytes: 64 << 20, Clients: 100, Parts: 2})
	f.begin(c, 1)
	f.begin(c, 1)
	a, _ := f.open(c, Clients)
	c.Check(a.Begin(), qt.Equals, ErrNoRoom)
	f.now += minStall
	c.Check(a.Begin(), qt.IsNil)
	c.Check(f.Usage().Parts, qt.Equals, 2)
	c.Check(f.counts, qt.DeepEquals, map[Reason]int{NoPart: 1, EndedStalled: 1})
}
