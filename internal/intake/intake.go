// Package intake bounds what clients make a node hold before their requests are complete: the memory of connections, heads and bodies
// together, the number of connections, and that of partly received requests. When a bound is reached, the requests that make the least
// progress are ended first.
package intake

import (
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// DefaultMemoryMB is the memory of a machine whose settings state none; the control plane is designed for it.
	DefaultMemoryMB = 256
	// minMemoryMB and minFDs replace lower values, with which the process itself couldn't run.
	minMemoryMB = 64
	minFDs      = 64
	// roomTenths is the part of the memory, in tenths, that connections, heads and bodies may use. The control plane, responses, garbage
	// and the program use the rest.
	roomTenths = 3
	// smallReserve is the part of the room, as a divisor, that only requests of up to SmallBytes may use: large ones never keep small
	// ones out.
	smallReserve = 4
	// SmallBytes is the size up to which requests count as small.
	SmallBytes = 64 << 10
	// clientEighths is the part of the descriptors, in eighths, that connections of clients may use. Each request needs another one to a
	// replica, and the control plane has some hundred.
	clientEighths = 3
	// checkDivisor is the part of the client connections, as a divisor, that checks of the platform and operators have for themselves.
	checkDivisor = 8
	// partDivisor is the part of the client connections, as a divisor, that may have a partly received request.
	partDivisor = 2
	// endingDivisor is the part of the room, and of the connections, as a divisor, that ended requests may still hold while their
	// goroutines return.
	endingDivisor = 4
	// connBytes is what a connection without a request holds: the read and write buffers of net/http and a stack.
	connBytes = 16 << 10
	// lineBytes is charged for each line of a head beside its bytes. A parsed header line takes 70 to 160 bytes in the header maps
	// (600 heads of 2,700 lines took 275 MB with the garbage of parsing them).
	lineBytes = 192
	// progressBytes is what has to arrive of a request so that it counts as making progress.
	progressBytes = 16 << 10
	// minStall is the time without progress after which a request may be ended. A lost packet delays data by up to 400 ms.
	minStall = 500 * time.Millisecond
	// minUnused is the time after which a connection without a request may be closed, the one that was unused for longest first. Clients
	// that send requests one after the other are faster.
	minUnused = time.Second
)

// Errors of requests that are refused because of a bound.
var (
	ErrNoRoom       = eris.New("this node has no room for the request")
	ErrEnded        = eris.New("the request was ended in favour of others, as it made the least progress")
	ErrBodyTooLarge = eris.New("the body is too large")
	ErrBodyTooSlow  = eris.New("the body did not arrive in time")
)

// Reason is why a request was refused or a connection closed. Its values are labels of a counter.
type Reason string

// Reasons.
const (
	HeadTooLarge  Reason = "head_too_large"
	HeadTooSlow   Reason = "head_too_slow"
	BodyTooLarge  Reason = "body_too_large"
	BodyTooSlow   Reason = "body_too_slow"
	NoMemory      Reason = "no_memory"      // Refused for want of memory.
	NoConnection  Reason = "no_connection"  // Refused for want of descriptors.
	NoPart        Reason = "no_part"        // Refused because too many requests are partly received.
	WriteTooSlow  Reason = "write_too_slow" // The client didn't read its response in time.
	EndedMemory   Reason = "ended_memory"   // Ended so that others get its memory.
	EndedStalled  Reason = "ended_stalled"  // Ended so that others get its connection, or its place among the partly received requests.
	EndedIdle     Reason = "ended_idle"     // An idle connection that was closed for another one.
	reasonNothing Reason = ""
)

// Bounds are the bounds of one node.
type Bounds struct {
	Bytes   int64 // For connections, heads and bodies together.
	Clients int   // Connections of clients.
	Checks  int   // Connections of the platform's checks, and of operators.
	Parts   int   // Partly received requests.
}

// Derive returns the bounds that follow from the memory and the number of descriptors of a machine. 0 stands for values that aren't
// stated: DefaultMemoryMB, and the descriptor limit of this process.
func Derive(memoryMB, maxFDs int) Bounds {
	if memoryMB <= 0 {
		memoryMB = DefaultMemoryMB
	}
	if maxFDs <= 0 {
		maxFDs = descriptorLimit()
	}
	memoryMB, maxFDs = max(memoryMB, minMemoryMB), max(maxFDs, minFDs)
	clients := max(maxFDs*clientEighths/8, 1)
	return Bounds{Bytes: int64(memoryMB) << 20 * roomTenths / 10, Clients: clients, Checks: max(clients/checkDivisor, 1),
		Parts: max(clients/partDivisor, 1)}
}

// defaultDescriptors is used if the limit of the process can't be read; it is the usual soft limit.
const defaultDescriptors = 1024

func descriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		return defaultDescriptors
	}
	return int(min(limit.Cur, 1<<20))
}

const (
	// programMB is the memory of the program's own pages, which the Go runtime doesn't count: 17 MB are resident after the start.
	programMB = 24
	// overshootDivisor is the part of the rest, as a divisor, by which the heap may exceed its soft limit: while garbage is collected,
	// requests go on. With 3/4 of 136 MB as the limit, heads without end took 125 MB on one processor.
	overshootDivisor = 5
)

// SoftMemoryLimit returns the limit for the Go runtime on a machine. If the memory isn't
// stated, it is 7/8 of the default: below that, no more processor time than before is used for garbage.
func SoftMemoryLimit(memoryMB int) int64 {
	if memoryMB <= 0 {
		return DefaultMemoryMB << 20 * 7 / 8
	}
	rest := int64(max(memoryMB, minMemoryMB)-programMB) << 20
	return rest - rest/overshootDivisor
}

// Options configures a Limiter.
type Options struct {
	Bounds Bounds
	Now    func() time.Duration
	// Count counts a refusal or an ended connection. It must not block.
	Count func(Reason)
}

// Limiter decides which requests get room. It does no I/O and is safe for concurrent use.
type Limiter struct {
	opt Options

	mu     sync.Mutex
	held   int64 // Bytes of accounts that haven't been ended.
	ending int64 // Bytes of accounts that have been ended and not yet closed.
	parts  int   // Partly received requests.
	// small and large hold the partly received requests of up to SmallBytes and above, in the order of their last progress.
	small, large list
	clients      group
	checks       group
	peers        group
}

// Origin tells who uses a connection.
type Origin int

// Origins.
const (
	Peers   Origin = iota // Other nodes. Their connections aren't bounded.
	Clients               // Clients that the system doesn't control.
	Checks                // The platform's checks, and operators.
)

// group holds the connections of an origin.
type group struct {
	bound int // 0 for none.
	open  int // Including those that end.
	// ending is the number of connections that were ended and aren't closed yet.
	ending int
	// fresh and idle hold the connections without a request in the order in which they became idle; those in fresh have sent nothing yet.
	fresh, idle list
}

// New returns a Limiter.
func New(opt Options) *Limiter {
	return &Limiter{opt: opt, clients: group{bound: opt.Bounds.Clients}, checks: group{bound: opt.Bounds.Checks}}
}

func (l *Limiter) group(o Origin) *group {
	switch o {
	case Clients:
		return &l.clients
	case Checks:
		return &l.checks
	}
	return &l.peers
}

// Account is what one connection holds.
type Account struct {
	limiter *Limiter
	group   *group
	// end makes the connection return from its read. It is called with the limiter's lock held, must not block and must not call the limiter.
	end func(Reason)

	held   int64
	since  time.Duration // Of the last progress, or since when the connection is idle.
	in     *list
	next   *Account
	prev   *Account
	part   bool // A request is partly received.
	ended  bool
	closed bool
}

// Open takes up a connection. It returns nil and the reason if there is no room for it.
func (l *Limiter) Open(from Origin, end func(Reason)) (*Account, Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := &Account{limiter: l, group: l.group(from), end: end, since: l.opt.Now()}
	if from == Peers {
		// They are never refused.
		a.held = connBytes
		l.held += connBytes
		a.group.open++
		return a, reasonNothing
	}
	if !l.roomIn(a.group) {
		return nil, l.count(NoConnection)
	}
	if !l.takeLocked(a, connBytes) {
		return nil, l.count(NoMemory)
	}
	a.group.open++
	a.group.fresh.add(a)
	return a, reasonNothing
}

func (l *Limiter) count(r Reason) Reason {
	if l.opt.Count != nil {
		l.opt.Count(r)
	}
	return r
}

// roomIn ends a connection of a group if there are too many. Those that were ended may be open for a while longer.
func (l *Limiter) roomIn(g *group) bool {
	if g.open < g.bound {
		return true
	}
	if g.ending > 0 && g.ending >= g.bound/endingDivisor {
		return false
	}
	if g.open-g.ending < g.bound {
		return true // Some are being closed.
	}
	return l.endStalledOf(g) || l.endFirst(&g.fresh, minUnused, EndedIdle, nil) || l.endFirst(&g.idle, minUnused, EndedIdle, nil)
}

// maxSearched bounds the search for a stalled request of a group among those of other groups.
const maxSearched = 64

// endStalledOf ends the partly received request of a group that has made the least progress, if it has stalled.
func (l *Limiter) endStalledOf(g *group) bool {
	for _, in := range []*list{&l.large, &l.small} {
		a := in.first
		for i := 0; a != nil && a.group != g && i < maxSearched; i++ {
			a = a.next
		}
		if a != nil && a.group == g && l.end(a, minStall, EndedStalled) {
			return true
		}
	}
	return false
}

// endStalled ends the partly received request with the least progress, if it has stalled.
func (l *Limiter) endStalled(except *Account) bool {
	for _, in := range []*list{&l.large, &l.small} {
		if l.endFirst(in, minStall, EndedStalled, except) {
			return true
		}
	}
	return false
}

// endFirst ends the first account of a list if it has been there, or without progress, for at least the given time.
func (l *Limiter) endFirst(in *list, least time.Duration, why Reason, except *Account) bool {
	a := in.first
	if a != nil && a == except {
		a = a.next
	}
	return a != nil && l.end(a, least, why)
}

// end ends an account if it has been idle, or without progress, for at least the given time.
func (l *Limiter) end(a *Account, least time.Duration, why Reason) bool {
	if l.opt.Now()-a.since < least {
		return false
	}
	l.leaveList(a)
	a.ended = true
	l.held -= a.held
	l.ending += a.held
	a.group.ending++
	l.count(why)
	a.end(why)
	return true
}

// takeLocked charges bytes to an account. If they lack, partly received requests are ended.
func (l *Limiter) takeLocked(a *Account, n int64) bool {
	limit := l.opt.Bounds.Bytes
	lists := []*list{&l.large, &l.small}
	if a.held+n > SmallBytes {
		limit -= limit / smallReserve
		lists = lists[:1]
	}
	for l.held+n > limit {
		if n > limit || l.ending > l.opt.Bounds.Bytes/endingDivisor || !l.endAny(lists, a) {
			return false
		}
	}
	l.held += n
	a.held += n
	return true
}

func (l *Limiter) endAny(lists []*list, except *Account) bool {
	for _, in := range lists {
		if l.endFirst(in, minStall, EndedMemory, except) {
			return true
		}
	}
	return false
}

func (l *Limiter) leaveList(a *Account) {
	if a.in != nil {
		a.in.remove(a)
	}
	if a.part {
		a.part = false
		l.parts--
	}
}

// Begin records the first byte of a request. It may be called again while the request is partly received.
func (a *Account) Begin() error {
	l := a.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.ended || a.closed {
		return ErrEnded
	}
	if a.part {
		return nil
	}
	if l.parts >= l.opt.Bounds.Parts && !l.endStalled(a) {
		l.count(NoPart)
		return ErrNoRoom
	}
	l.leaveList(a)
	a.since, a.part = l.opt.Now(), true
	l.parts++
	l.small.add(a)
	return nil
}

// Grow charges further bytes of the request.
func (a *Account) Grow(n int64) error {
	l := a.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.ended || a.closed {
		return ErrEnded
	}
	if !l.takeLocked(a, n) {
		l.count(NoMemory)
		return ErrNoRoom
	}
	if a.held > SmallBytes && a.in == &l.small {
		l.small.remove(a)
		l.large.insert(a)
	}
	return nil
}

// Progress records that progressBytes of a partly received request have arrived.
func (a *Account) Progress() {
	l := a.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if !a.part {
		return
	}
	in := a.in
	in.remove(a)
	a.since = l.opt.Now()
	in.add(a)
}

// Complete records that the request has been received. From then on it isn't ended. It returns ErrEnded if it was ended before.
func (a *Account) Complete() error {
	l := a.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.ended || a.closed {
		return ErrEnded
	}
	l.leaveList(a)
	return nil
}

// Finish records the end of a request, and gives back what it held.
func (a *Account) Finish() {
	l := a.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.ended || a.closed {
		return // Close gives all back.
	}
	l.leaveList(a)
	l.held -= a.held - connBytes
	a.held, a.since = connBytes, l.opt.Now()
	a.group.idle.add(a)
}

// Close records the end of the connection. It may be called more than once.
func (a *Account) Close() {
	l := a.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.closed {
		return
	}
	l.leaveList(a)
	a.closed = true
	if a.ended {
		l.ending -= a.held
	} else {
		l.held -= a.held
	}
	a.group.open--
	if a.ended {
		a.group.ending--
	}
	a.held = 0
}

// Usage is what a Limiter accounts for.
type Usage struct {
	Bytes                  int64
	Clients, Checks, Parts int
}

// Usage returns what is held now.
func (l *Limiter) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Usage{Bytes: l.held + l.ending, Clients: l.clients.open, Checks: l.checks.open, Parts: l.parts}
}

// list is a list of accounts, those with the oldest since first.
type list struct{ first, last *Account }

func (s *list) add(a *Account) { s.insertAfter(a, s.last) }

// insert adds an account by its since. Accounts that change lists have mostly made progress lately, so the search starts at the end.
func (s *list) insert(a *Account) {
	at := s.last
	for at != nil && at.since > a.since {
		at = at.prev
	}
	s.insertAfter(a, at)
}

func (s *list) insertAfter(a, at *Account) {
	a.in, a.prev = s, at
	if at == nil {
		a.next, s.first = s.first, a
	} else {
		a.next, at.next = at.next, a
	}
	if a.next == nil {
		s.last = a
	} else {
		a.next.prev = a
	}
}

func (s *list) remove(a *Account) {
	if a.prev == nil {
		s.first = a.next
	} else {
		a.prev.next = a.next
	}
	if a.next == nil {
		s.last = a.prev
	} else {
		a.next.prev = a.prev
	}
	a.in, a.prev, a.next = nil, nil, nil
}
