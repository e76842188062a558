package balance

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

const (
	// minSilence is the shortest silence of a head after which it is suspected to stand still, and silentGaps the number of
	// predicted gaps between events that it must last.
	minSilence = 450 * time.Millisecond
	silentGaps = 5
	// suspicionLasts is the time after which a suspected head is tried again, if nothing was heard from it.
	suspicionLasts = 5 * time.Second
	// AvoidFor is the time for which a replica that couldn't be reached is used only if there is no other.
	AvoidFor = 2 * time.Second
	// fullFor is the time for which a target that refused a request as full gets no other: some events, in which places free.
	fullFor = 300 * time.Millisecond
	// ageCost is the part of the age of other failure domains' loads that is added to predictions of their targets.
	ageCost = 0.25
	// peerLoadLasts is the age up to which a load that another node told counts.
	peerLoadLasts = 2 * time.Second
	// failureWeight is the weight of the newest outcome in a replica's share of failures.
	failureWeight = 0.1
	// baseWeight is the least weight of the newest first event in the measured base; the first ones weigh as in a mean.
	// maxSurprise bounds what one of them says.
	baseWeight  = 0.02
	maxSurprise = 300 * time.Millisecond
)

// Key identifies a target: a group of one epoch under its head, or one life of a plain replica.
type Key string

// KeyOf returns the key of the target that the replica is or heads.
func KeyOf(r *fleet.Replica) Key {
	if r.Group == nil {
		return Key(fmt.Sprintf("%s@%d", r.ID, r.Born))
	}
	return Key(fmt.Sprintf("%s@%d/%s/%d", r.ID, r.Born, r.Group.Name, r.Group.Epoch))
}

type targetState struct {
	load     Load
	tickets  map[*Ticket]struct{}
	heard    clock.Time // Last event, or the first send after idleness.
	suspect  clock.Time // Until when the target is suspected to stand still.
	avoid    clock.Time // Until when the target is avoided.
	full     clock.Time // Until when the target is taken for full.
	failures float64    // Share of failed exchanges, weighted towards the newest.
	expected time.Duration
	model    string // Empty for plain replicas.
	speed    speed
}

// base is the measured time that first events of a model take beyond the prediction: ways, and what the engine doesn't publish.
type base struct {
	value time.Duration
	n     int
}

type peerLoad struct {
	at clock.Time
	PeerState
}

// PeerState is what another node tells of its targets.
type PeerState struct {
	Loads   map[Key]Load
	Heard   map[Key]time.Duration // Time since the last event, for targets with a load.
	Suspect map[Key]bool
	Slow    map[Key]float64 // How many times slower than others of its model a target works; absent for those that aren't.
}

// Table holds the loads of all targets, of this node and as told by the others. It may be used concurrently. Its only lock is
// held by no call to others.
type Table struct {
	clock clock.Clock

	mu      sync.Mutex
	targets map[Key]*targetState
	peers   map[string]peerLoad
	swept   clock.Time
	cold    map[string][]clock.Time // Sends to cold replicas within the last second, by ID.
	bases   map[string]*base        // By model.
	rates   map[string]*rate        // Of this node's sends, by model.
	medians map[string]median       // Of the measured speeds, by model.
}

// NewTable returns an empty table.
func NewTable(c clock.Clock) *Table {
	return &Table{clock: c, targets: map[Key]*targetState{}, peers: map[string]peerLoad{}, swept: c.Now(),
		cold: map[string][]clock.Time{}, bases: map[string]*base{}, medians: map[string]median{}, rates: map[string]*rate{}}
}

// Ticket is one request at a target, from its sending to its end.
type Ticket struct {
	table   *Table
	key     Key
	prompt  int
	started bool
	ended   bool
	sent    clock.Time
	// readBy is when the prompt is predicted to be read; 0 if there is no prediction.
	readBy clock.Time
	// expected is the predicted time to the first event, 0 if there is no prediction.
	expected time.Duration
	// engine and pace predict the time between events; nil for plain replicas.
	engine *fleet.Engine
	pace   float64
	last   clock.Time // Newest event; 0 before the first.
}

// loadAt returns this node's load on the target.
func (s *targetState) loadAt(now clock.Time) Load {
	l := s.load
	for ticket := range s.tickets {
		if !ticket.started && (ticket.readBy == 0 || now < ticket.readBy) {
			l.Unread += ticket.prompt
		}
	}
	return l
}

func (t *Table) state(k Key) *targetState {
	s := t.targets[k]
	if s == nil {
		s = &targetState{tickets: map[*Ticket]struct{}{}}
		t.targets[k] = s
	}
	return s
}

// Begin counts a request that is about to be sent. The prompt is 0 for a plain replica.
func (t *Table) Begin(k Key, prompt int, expected time.Duration) *Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(k)
	now := t.clock.Now()
	if s.load.Running == 0 {
		s.heard = now
	}
	s.load = s.load.Add(Load{Running: 1, Waiting: 1})
	s.expected = expected
	ticket := &Ticket{table: t, key: k, prompt: prompt, sent: now, expected: expected}
	s.tickets[ticket] = struct{}{}
	return ticket
}

// BeginHead counts a request that is about to be sent to a head.
func (t *Table) BeginHead(h *Head, prompt int) *Ticket {
	ticket := t.Begin(h.Key, prompt, h.First)
	if h.engine == nil {
		return ticket
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	ticket.readBy = ticket.sent.Add(ReadTime(h.engine, h.pace*h.Slow, h.Load, prompt))
	ticket.engine, ticket.pace = h.engine, h.pace
	t.state(h.Key).model = h.model
	r := t.rates[h.model]
	if r == nil {
		r = &rate{start: ticket.sent}
		t.rates[h.model] = r
	}
	r.add(ticket.sent)
	return ticket
}

// Event notes an event of the request's answer.
func (k *Ticket) Event() {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	s, now := k.table.state(k.key), k.table.clock.Now()
	s.heard, s.suspect = now, 0
	k.startLocked(s)
	if k.last != 0 && k.engine != nil {
		expected := k.pace * pass(k.engine, k.table.loadLocked(k.key, now).Running)
		s.speed.note(float64(now.Sub(k.last))/float64(time.Millisecond)/max(expected, 1), now)
	}
	k.last = now
}

func (k *Ticket) startLocked(s *targetState) {
	if !k.started && !k.ended {
		if now := k.table.clock.Now(); k.prompt > 0 && k.expected > 0 && k.table.slowLocked(k.key, now) == 1 {
			k.table.learnLocked(s.model, now.Sub(k.sent)-k.expected)
		}
		k.started = true
		s.load.Waiting--
	}
}

// learnLocked takes the difference of one first event to its prediction. Single stalls weigh no more than maxSurprise.
func (t *Table) learnLocked(model string, off time.Duration) {
	b := t.bases[model]
	if b == nil {
		b = &base{}
		t.bases[model] = b
	}
	b.n++
	off = min(max(off, -maxSurprise), maxSurprise)
	b.value = max(0, b.value+time.Duration(float64(off)*max(baseWeight, 1/float64(b.n))))
}

func (t *Table) baseLocked(model string) time.Duration {
	if b := t.bases[model]; b != nil {
		return b.value
	}
	return 0
}

// End counts the request out. It may be called more than once.
func (k *Ticket) End() {
	k.table.mu.Lock()
	defer k.table.mu.Unlock()
	if k.ended {
		return
	}
	s := k.table.state(k.key)
	if !k.started {
		k.started = true // It ended without an event, from which nothing is learned.
		s.load.Waiting--
	}
	k.ended = true
	s.load.Running--
	delete(s.tickets, k)
}

// Outcome notes whether an exchange with the target failed at the target.
func (t *Table) Outcome(k Key, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(k)
	s.failures *= 1 - failureWeight
	if failed {
		s.failures += failureWeight
	}
}

// Avoid notes that the target couldn't be reached.
func (t *Table) Avoid(k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(k).avoid = t.clock.Now().Add(AvoidFor)
}

// Full notes that the target has refused a request because it is full. Others fill it too, unseen by this node.
func (t *Table) Full(k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(k).full = t.clock.Now().Add(fullFor)
}

// Suspect notes that the target seems to stand still.
func (t *Table) Suspect(k Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(k).suspect = t.clock.Now().Add(suspicionLasts)
}

// Sweep looks for targets that have been silent while they run requests, and returns those that became suspected. It is
// called every interval; after a longer pause of this process nothing is concluded from silence, since events may wait
// unread.
func (t *Table) Sweep(interval time.Duration, gap func(Key, Load) time.Duration) []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	paused := now.Sub(t.swept) > 3*interval
	t.swept = now
	var found []Key
	for k, s := range t.targets {
		if s.load.Running == 0 {
			if now > s.avoid && now > s.suspect && now.Sub(s.heard) > time.Minute {
				delete(t.targets, k)
			}
			continue
		}
		if paused {
			s.heard = now
			continue
		}
		limit := max(minSilence, time.Duration(silentGaps*t.slowLocked(k, now)*float64(gap(k, s.load))))
		if s.load.Running == s.load.Waiting {
			limit = max(limit, s.expected+minSilence)
		}
		if now.Sub(s.heard) > limit && now > s.suspect {
			s.suspect = now.Add(suspicionLasts)
			found = append(found, k)
		}
	}
	return found
}

// SetPeer takes the loads and suspicions that another node told.
func (t *Table) SetPeer(node string, state PeerState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[node] = peerLoad{t.clock.Now(), state}
}

// Own returns the state of this node's targets, for the other nodes.
func (t *Table) Own() PeerState {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	own := PeerState{map[Key]Load{}, map[Key]time.Duration{}, map[Key]bool{}, map[Key]float64{}}
	for k, s := range t.targets {
		if s.load.Running > 0 {
			own.Loads[k], own.Heard[k] = s.loadAt(now), now.Sub(s.heard)
		}
		if now < s.suspect {
			own.Suspect[k] = true
		}
		if slow := t.ownSlowLocked(s, now); slow > 1 {
			own.Slow[k] = slow
		}
	}
	return own
}

// HeardAge returns the time since any node got an event from the target. Without any knowledge it is 0.
func (t *Table) HeardAge(k Key) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	age, known := time.Duration(0), false
	note := func(a time.Duration) {
		if !known || a < age {
			age, known = a, true
		}
	}
	if s := t.targets[k]; s != nil && s.heard != 0 {
		note(now.Sub(s.heard))
	}
	for _, p := range t.peers {
		if heard, ok := p.Heard[k]; ok {
			note(heard + now.Sub(p.at))
		}
	}
	return age
}

// Quiet returns the targets with started requests that have been silent for the time.
func (t *Table) Quiet(silence time.Duration) map[Key]bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, quiet := t.clock.Now(), map[Key]bool{}
	for k, s := range t.targets {
		if s.load.Running > s.load.Waiting && now.Sub(s.heard) > silence {
			quiet[k] = true
		}
	}
	return quiet
}

// Suspected tells whether this node or another suspects the target to stand still.
func (t *Table) Suspected(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspectedLocked(k, t.clock.Now())
}

func (t *Table) suspectedLocked(k Key, now clock.Time) bool {
	s := t.targets[k]
	if s != nil && now < s.suspect {
		return true
	}
	if s != nil && s.load.Running > s.load.Waiting && now.Sub(s.heard) < minSilence/2 {
		return false // Events arrive here, whatever others see.
	}
	for _, p := range t.peers {
		if p.Suspect[k] && now.Sub(p.at) < peerLoadLasts {
			return true
		}
	}
	return false
}

// loadLocked returns the load of all nodes on a target.
func (t *Table) loadLocked(k Key, now clock.Time) Load {
	var l Load
	if s := t.targets[k]; s != nil {
		l = s.loadAt(now)
	}
	for _, p := range t.peers {
		if now.Sub(p.at) < peerLoadLasts {
			l = l.Add(p.Loads[k])
		}
	}
	return l
}

// Head is a head with the prediction on which it was chosen.
type Head struct {
	Replica *fleet.Replica
	Key     Key
	Load    Load
	First   time.Duration // Predicted time to the first event.
	Delay   time.Duration // The part of First that is due to other requests.
	Slow    float64       // How many times slower than others of its model the target works; 1 if it isn't.

	engine *fleet.Engine
	model  string
	pace   float64
}

// HeadQuery asks for a head.
type HeadQuery struct {
	View    *fleet.View
	Service *fleet.Service
	Model   *fleet.Model
	Prompt  int
	Zone    string // Failure domain of this node.
	Exclude map[Key]bool
	// ColdShare is the part of a cold replica's bearable rate that this node may use: that of one of the serving nodes.
	ColdShare float64
	// LoadAge is how old the loads may be that nodes of other failure domains tell. The loads of their targets are known as
	// badly.
	LoadAge time.Duration
	// GapTarget is the longest time between two events of an answer that is on time; 0 for none.
	GapTarget time.Duration
}

// zoneCost is added to the prediction of heads in other failure domains, whose links are priced and slower.
const zoneCost = 12 * time.Millisecond

// PickHead returns a head with an early predicted first event, or nil if no group of the model serves. Suspected heads are never
// returned.
func (t *Table) PickHead(q HeadQuery) *Head {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var list []candidate
	for _, r := range q.View.ByService[q.Service.Name] {
		if !r.Head() || r.Models[0] != q.Model.Name {
			continue
		}
		k := KeyOf(r)
		if s := t.targets[k]; q.Exclude[k] || t.suspectedLocked(k, now) || t.coldFullLocked(r, q, now) || s != nil && now < s.full {
			continue
		}
		list = append(list, t.candidateLocked(r, k, q, now))
	}
	return choose(list, t.arrivalsLocked(q, now))
}

// arrivalsLocked estimates the requests that other nodes send to the model's heads while the loads age: as many as this node
// each, for half of the age.
func (t *Table) arrivalsLocked(q HeadQuery, now clock.Time) float64 {
	r := t.rates[q.Model.Name]
	if r == nil || q.ColdShare <= 0 {
		return 0
	}
	return r.perSecond(now) / q.ColdShare * q.LoadAge.Seconds() / 2
}

// candidateLocked predicts what the request would meet at the head.
func (t *Table) candidateLocked(r *fleet.Replica, k Key, q HeadQuery, now clock.Time) candidate {
	load, slow := t.loadLocked(k, now), t.slowLocked(k, now)
	predict := func(l Load) time.Duration {
		first := t.baseLocked(q.Model.Name) + FirstEvent(q.Service.Engine, q.Model.Pace, l, q.Prompt)
		return time.Duration(slow * float64(first))
	}
	first := predict(load)
	cost := first
	if gap := Gap(q.Service.Engine, slow*q.Model.Pace, load); slow > 1 && q.GapTarget > 0 && gap > q.GapTarget {
		cost += gap // The answer would be late whenever it begins.
	}
	if r.Zone != q.Zone {
		cost += zoneCost + time.Duration(ageCost*float64(q.LoadAge))
	}
	if s := t.targets[k]; s != nil {
		if now < s.avoid {
			cost += AvoidFor
		}
		cost += time.Duration(s.failures * float64(time.Second))
	}
	more := time.Duration(slow * float64(oneMore(q.Service.Engine, q.Model.Pace)))
	return candidate{&Head{Replica: r, Key: k, Load: load, First: first, Delay: first - predict(Load{}), Slow: slow,
		engine: q.Service.Engine, model: q.Model.Name, pace: q.Model.Pace}, cost, more}
}

// PickPlain returns the plain replica with the least load for its slots, in this failure domain first, or nil.
func (t *Table) PickPlain(q HeadQuery) *fleet.Replica {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var best *fleet.Replica
	var bestCost float64
	for _, r := range q.View.ByService[q.Service.Name] {
		k := KeyOf(r)
		if q.Exclude[k] || t.coldFullLocked(r, q, now) {
			continue
		}
		// Half of the slots in use cost as much as the way to another failure domain.
		cost := float64(t.loadLocked(k, now).Running) / float64(max(r.Slots, 1))
		if r.Zone != q.Zone {
			cost += 0.5
		}
		if s := t.targets[k]; s != nil {
			cost += 4 * s.failures
			if now < s.avoid || now < s.suspect {
				cost += 100
			}
		}
		cost += 0.05 * rand.Float64()
		if best == nil || cost < bestCost {
			best, bestCost = r, cost
		}
	}
	return best
}

// coldFullLocked tells whether this node's share of a cold replica's rate is used up.
func (t *Table) coldFullLocked(r *fleet.Replica, q HeadQuery, now clock.Time) bool {
	until, cold := q.View.ColdUntil[r.ID]
	if !cold || now >= until || q.Service.ColdPerSecond <= 0 {
		return false
	}
	return float64(len(t.recentLocked(r.ID, now)))+1 > q.Service.ColdPerSecond*q.ColdShare
}

func (t *Table) recentLocked(id string, now clock.Time) []clock.Time {
	list := t.cold[id]
	for len(list) > 0 && now.Sub(list[0]) > time.Second {
		list = list[1:]
	}
	if len(list) == 0 {
		delete(t.cold, id)
		return nil
	}
	t.cold[id] = list
	return list
}

// CountSend counts a send to a replica towards its cold limit.
func (t *Table) CountSend(r *fleet.Replica, v *fleet.View) {
	if _, cold := v.ColdUntil[r.ID]; !cold {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	t.cold[r.ID] = append(t.recentLocked(r.ID, now), now)
}

// Usual returns the time to the first event that a request of the usual size takes alone.
func (t *Table) Usual(e *fleet.Engine, m *fleet.Model) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.baseLocked(m.Name) + FirstEvent(e, m.Pace, Load{}, e.UsualPrompt)
}

// Load returns the load of all nodes on a target.
func (t *Table) Load(k Key) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loadLocked(k, t.clock.Now())
}
