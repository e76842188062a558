package claims

import (
	"context"
	"fmt"
	"io"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/schema"
)

// fault is a failure that is injected into one call of the fake store.
type fault struct {
	failBefore       error         // Returned by the call, which has no effect.
	errAfterWrite    error         // Returned by the write after it took effect.
	writeDelay       time.Duration // The write takes effect this much later; the call returns ErrOutcomeUnknown at once.
	staleRead        bool          // The read returns the version before the current one.
	blockUntilCancel bool          // The call blocks until its context is done.
	onCall           func()        // Called first.
}

const maxFakeObject = 1 << 20

// fakeStore is an in-memory object API.
type fakeStore struct {
	mu         sync.Mutex
	version    uint64
	objects    map[string]platform.Object
	previous   map[string]platform.Object
	callCounts map[string]int
	// onWrite is called with the old and new content for every accepted write.
	onWrite func(name string, before, after []byte)
	era     uint64
	noticed map[uint64]time.Time // When an era was first noticed.
	copies  []storeCopy          // One before each write.
}

// storeCopy is the state of the store until a time.
type storeCopy struct {
	until   time.Time
	version uint64
	objects map[string]platform.Object
}

// restore brings the store back as it was at an age.
func (s *fakeStore) restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-age)
	for n := len(s.copies); n > 0 && s.copies[n-1].until.After(at); n-- {
		s.version, s.objects = s.copies[n-1].version, s.copies[n-1].objects
		s.copies = s.copies[:n-1]
	}
	s.era++
	s.previous = map[string]platform.Object{} // A stale read of a former era is refused.
}

// stated returns an object with the version that the platform client states.
func (s *fakeStore) stated(o platform.Object) platform.Object {
	o.Version = platform.VersionIn(s.era, o.Version)
	return o
}

func newFakeStore() *fakeStore {
	return &fakeStore{objects: map[string]platform.Object{}, previous: map[string]platform.Object{}, callCounts: map[string]int{},
		noticed: map[uint64]time.Time{}}
}

// get returns the object, or its previous version if stale.
func (s *fakeStore) get(name string, stale bool) (*platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	if stale {
		o, ok = s.previous[name]
	}
	if !ok {
		return nil, platform.ErrNotFound
	}
	o = s.stated(o)
	return &o, nil
}

// put performs a write that is conditional on the given version; version 0 is a create in the given era, and nil data is a
// delete.
func (s *fakeStore) put(kind, name string, version, era uint64, data []byte) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(data) > maxFakeObject {
		return 0, platform.ErrRejected
	}
	old, exists := s.objects[name]
	switch {
	case version == 0 && era != s.era:
		return 0, platform.ErrUnavailable
	case exists != (version != 0) || exists && s.stated(old).Version != version:
		return 0, platform.ErrConflict
	}
	s.copies = append(s.copies, storeCopy{time.Now(), s.version, maps.Clone(s.objects)})
	if s.onWrite != nil {
		s.onWrite(name, old.Data, data)
	}
	delete(s.previous, name)
	if exists {
		s.previous[name] = old
	}
	s.version++
	if data == nil {
		delete(s.objects, name)
	} else {
		s.objects[name] = platform.Object{Kind: kind, Name: name, Version: s.version, Data: data}
	}
	return platform.VersionIn(s.era, s.version), nil
}

// node is a simulated process that uses the store. Its calls block while the process is paused, and exit the calling
// goroutine once the process has ended.
type node struct {
	name, incarnation string
	store             *fakeStore
	manager           *Manager
	faultFor          func(method, name string) fault

	mu          sync.Mutex
	ended       bool
	era         uint64 // Highest era that an answer has stated.
	pausedUntil time.Time
	pausedSince time.Time
}

// blockWhilePaused returns when the process isn't paused. It exits the goroutine if the process has ended.
func (n *node) blockWhilePaused() {
	for {
		n.mu.Lock()
		ended, wait := n.ended, time.Until(n.pausedUntil)
		n.mu.Unlock()
		if ended {
			runtime.Goexit()
		}
		if wait <= 0 {
			return
		}
		time.Sleep(min(wait, time.Second)) // Sleeps in steps, since pause(0) ends a pause early.
	}
}

func (n *node) pause(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.pausedSince, n.pausedUntil = time.Now(), time.Now().Add(d)
}

// leaseEnded reports whether other nodes regard the process as ended, after a lease of the given term.
func (n *node) leaseEnded(term time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ended || time.Now().Before(n.pausedUntil) && time.Since(n.pausedSince) > term
}

func (n *node) paused() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Before(n.pausedUntil)
}

// call runs before every store call. It returns the fault to inject and the error with which the call must fail, if any.
func (n *node) call(ctx context.Context, method, name string) (fault, error) {
	n.blockWhilePaused()
	n.store.mu.Lock()
	n.store.callCounts[method]++
	n.store.mu.Unlock()
	n.mu.Lock()
	faultFor := n.faultFor
	n.mu.Unlock()
	var f fault
	if faultFor != nil {
		f = faultFor(method, name) // Called without the lock because it may sleep.
	}
	if f.onCall != nil {
		f.onCall()
	}
	if f.blockUntilCancel {
		<-ctx.Done()
		return f, fmt.Errorf("%s %s: %w", method, name, platform.ErrOutcomeUnknown)
	}
	return f, f.failBefore
}

func (n *node) Get(ctx context.Context, _, name string) (*platform.Object, error) {
	f, err := n.call(ctx, "get", name)
	if err != nil {
		return nil, err
	}
	o, err := n.store.get(name, f.staleRead)
	n.noteEra()
	n.blockWhilePaused()
	return o, err
}

func (n *node) Create(ctx context.Context, kind, name string, data []byte) (uint64, error) {
	return n.write(ctx, "create", kind, name, 0, data)
}

func (n *node) Update(ctx context.Context, kind, name string, version uint64, data []byte) (uint64, error) {
	return n.write(ctx, "update", kind, name, version, data)
}

func (n *node) Delete(ctx context.Context, kind, name string, version uint64) error {
	_, err := n.write(ctx, "delete", kind, name, version, nil)
	return err
}

func (n *node) List(ctx context.Context, kind string) ([]platform.Object, uint64, error) {
	if _, err := n.call(ctx, "list", kind); err != nil {
		return nil, 0, err
	}
	n.store.mu.Lock()
	defer n.store.mu.Unlock()
	var list []platform.Object
	for _, o := range n.store.objects {
		if o.Kind == kind {
			list = append(list, n.store.stated(o))
		}
	}
	slices.SortFunc(list, func(a, b platform.Object) int { return strings.Compare(a.Name, b.Name) })
	return list, platform.VersionIn(n.store.era, n.store.version), nil
}

func (n *node) write(ctx context.Context, method, kind, name string, version uint64, data []byte) (uint64, error) {
	f, err := n.call(ctx, method, name)
	if err != nil {
		return 0, err
	}
	n.mu.Lock()
	era := n.era
	n.mu.Unlock()
	if f.writeDelay > 0 {
		time.AfterFunc(f.writeDelay, func() { _, _ = n.store.put(kind, name, version, era, data) })
		return 0, platform.ErrOutcomeUnknown
	}
	v, err := n.store.put(kind, name, version, era, data)
	if f.errAfterWrite == nil {
		n.noteEra()
	}
	n.blockWhilePaused()
	if f.errAfterWrite != nil {
		return 0, f.errAfterWrite
	}
	return v, err
}

// noteEra learns the era of the store from an answer.
func (n *node) noteEra() {
	n.store.mu.Lock()
	era := n.store.era
	n.store.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.era = max(n.era, era)
}

// eraStart returns the era that the node knows and when the first node noticed it, by that node's clock.
func (n *node) eraStart(context.Context) (platform.EraStart, error) {
	n.blockWhilePaused()
	n.mu.Lock()
	era := n.era
	n.mu.Unlock()
	if era == 0 {
		return platform.EraStart{}, nil
	}
	n.store.mu.Lock()
	defer n.store.mu.Unlock()
	if _, known := n.store.noticed[era]; !known {
		n.store.noticed[era] = n.manager.opts.Now()
	}
	return platform.EraStart{Era: era, NoticedAt: n.store.noticed[era]}, nil
}

// cluster is the set of simulated processes, which can query each other's claims.
type cluster struct {
	store     *fakeStore
	leaseTerm time.Duration
	now       func(node string) time.Time

	mu    sync.Mutex
	nodes map[string]*node
}

func newCluster() *cluster {
	return &cluster{store: newFakeStore(), leaseTerm: 3 * time.Second, nodes: map[string]*node{}}
}

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func (c *cluster) start(name, incarnation string) *node {
	n := &node{name: name, incarnation: incarnation, store: c.store}
	opts := Options{Node: name, Incarnation: incarnation, Store: n, Owners: c, Nodes: c.liveNames, Log: discardLogger(), Era: n.eraStart}
	if c.now != nil {
		opts.Now = func() time.Time { return c.now(name) }
	}
	n.manager = New(opts)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[name+incarnation] = n
	return n
}

func (c *cluster) liveNames() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, n := range c.nodes {
		if !n.leaseEnded(c.leaseTerm) && !slices.Contains(names, n.name) {
			names = append(names, n.name)
		}
	}
	return names
}

// ClaimStatus implements Owners.
func (c *cluster) ClaimStatus(_ context.Context, claim *schema.Claim) (*schema.ClaimStatusResponse, bool) {
	c.mu.Lock()
	n := c.nodes[claim.Node+claim.Incarnation]
	c.mu.Unlock()
	switch {
	case n == nil || n.leaseEnded(c.leaseTerm):
		return nil, false
	case n.paused():
		return nil, true
	}
	return n.manager.Status(claim.Nonce), true
}

// end ends the process, as by a crash.
func (n *node) end() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended, n.pausedUntil = true, time.Time{}
}
