package placement

import (
	"cmp"
	"maps"
	"slices"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
)

// Record is what a planner keeps of the groups of one fabric domain for its successor: every epoch that a head may serve, and those that were
// given up lately. Entries of replicas can't replace it, since they lapse while their replicas serve.
type Record struct {
	Groups []RecordedGroup
	// Moved holds by how many replicas each model differs from the configured division, since replicas follow the demand. Empty if
	// none has moved.
	Moved map[string]int
	// MovedUnknown is set if the store may hold another value of Moved.
	MovedUnknown bool
}

// RecordedGroup is one epoch of a group.
type RecordedGroup struct {
	Name  string
	Epoch int64
	Model string
	// FormerEpoch is an earlier epoch that the head may still serve; 0 if there is none.
	FormerEpoch int64
	// GivenUp is set if the epoch isn't planned any more. HeadLost is then set if its head counted as lost or didn't serve, and Ended if the
	// head is known not to serve it again.
	GivenUp, HeadLost, Ended bool
	// Members holds the known members by rank. An ID is empty where the member isn't known.
	Members []RecordedMember
}

// RecordedMember is one start of a replica, with its address.
type RecordedMember struct {
	Incarnation fleet.Incarnation
	Address     string
}

func (g RecordedGroup) key() groupKey { return groupKey{g.Name, g.Epoch} }

func (g RecordedGroup) equal(other RecordedGroup) bool {
	return g.Name == other.Name && g.Epoch == other.Epoch && g.Model == other.Model && g.FormerEpoch == other.FormerEpoch &&
		g.GivenUp == other.GivenUp && g.HeadLost == other.HeadLost && g.Ended == other.Ended && slices.Equal(g.Members, other.Members)
}

// Covers reports whether each group of the other record is in this one as it is there, and the moved replicas are the same. Groups that this one has besides may have
// ended since.
func (r Record) Covers(other Record) bool {
	if r.MovedUnknown || !maps.Equal(r.Moved, other.Moved) {
		return false
	}
	for _, g := range other.Groups {
		if !slices.ContainsFunc(r.Groups, g.equal) {
			return false
		}
	}
	return true
}

// Common returns the groups that both records have.
func (r Record) Common(other Record) Record {
	groups := slices.Clone(r.Groups)
	return Record{Groups: slices.DeleteFunc(groups, func(g RecordedGroup) bool { return !slices.ContainsFunc(other.Groups, g.equal) }),
		Moved: r.Moved, MovedUnknown: r.MovedUnknown || other.MovedUnknown || !maps.Equal(r.Moved, other.Moved)}
}

// Holds reports whether the record has the epoch of the group.
func (r Record) Holds(name string, epoch int64) bool {
	return slices.ContainsFunc(r.Groups, func(g RecordedGroup) bool { return g.key() == groupKey{name, epoch} })
}

// changed notes that the record of a fabric domain is outdated.
func (p *Plan) changed(fabric string) { p.outdatedRecords[fabric] = true }

// TakeRecords returns the records of the fabric domains that have changed since the last call.
func (p *Plan) TakeRecords() map[string]Record {
	records := map[string]Record{}
	for fabric := range p.outdatedRecords {
		records[fabric] = p.record(fabric)
	}
	clear(p.outdatedRecords)
	return records
}

// Records returns the records of all fabric domains that have groups.
func (p *Plan) Records() map[string]Record {
	for _, g := range p.groups {
		p.changed(g.fabric)
	}
	for _, d := range p.dissolved {
		p.changed(d.fabric)
	}
	return p.TakeRecords()
}

func (p *Plan) record(fabric string) Record {
	r := Record{Moved: maps.Clone(p.moved[fabric])}
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		if g := p.groups[name]; g.fabric == fabric {
			r.Groups = append(r.Groups, g.recorded())
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(p.dissolved), groupKey.compare) {
		if d := p.dissolved[key]; d.fabric == fabric {
			g := d.recorded(key)
			_, g.Ended = p.ended[key]
			r.Groups = append(r.Groups, g)
		}
	}
	return r
}

func (g *group) recorded() RecordedGroup {
	r := RecordedGroup{Name: g.name, Epoch: g.epoch, Model: g.model, FormerEpoch: g.formerEpoch}
	for _, m := range g.members {
		r.Members = append(r.Members, recordedMember(m.incarnation, m.lastEntry))
	}
	return r
}

func (d dissolution) recorded(key groupKey) RecordedGroup {
	r := RecordedGroup{Name: key.name, Epoch: key.epoch, Model: d.model, GivenUp: true, HeadLost: d.headLost}
	for i, m := range d.members {
		entry := m.lastEntry
		if i == 0 {
			entry = cmp.Or(d.headEntry, entry)
		}
		r.Members = append(r.Members, recordedMember(m.incarnation, entry))
	}
	return r
}

func recordedMember(incarnation fleet.Incarnation, entry *fleet.Replica) RecordedMember {
	if entry == nil {
		return RecordedMember{Incarnation: incarnation}
	}
	return RecordedMember{incarnation, entry.Address}
}

// maxRestoredGivenUp is the number of given-up epochs of a fabric domain that a planner takes over from the one before. When they were given
// up isn't recorded, so they would never be forgotten if the planner changed often.
const maxRestoredGivenUp = 64

// withoutOldGivenUp returns the groups without the oldest given-up epochs above maxRestoredGivenUp.
func (r Record) withoutOldGivenUp() []RecordedGroup {
	var epochs []int64
	for _, g := range r.Groups {
		if g.GivenUp {
			epochs = append(epochs, g.Epoch)
		}
	}
	if len(epochs) <= maxRestoredGivenUp {
		return r.Groups
	}
	slices.Sort(epochs)
	oldest := epochs[len(epochs)-maxRestoredGivenUp]
	return slices.DeleteFunc(slices.Clone(r.Groups), func(g RecordedGroup) bool { return g.GivenUp && g.Epoch < oldest })
}

// Restore adds the groups in the records of an earlier planner that this plan doesn't have. Their members are known also if they have no
// entries.
func (p *Plan) Restore(records map[string]Record, now clock.Time) {
	p.restoredRecords = true
	for _, fabric := range slices.Sorted(maps.Keys(records)) {
		p.changed(fabric) // Also written if it holds nothing of use any more.
		p.restoreMoved(fabric, records[fabric].Moved)
		for _, r := range records[fabric].withoutOldGivenUp() {
			if len(r.Members) == 0 {
				continue
			}
			if r.GivenUp {
				p.restoreDissolution(fabric, r, now)
			} else {
				p.restoreGroup(fabric, r, now)
			}
		}
	}
}

func (p *Plan) restoreGroup(fabric string, r RecordedGroup, now clock.Time) {
	known := p.groups[r.Name]
	if known != nil && known.epoch >= r.Epoch {
		if known.epoch == r.Epoch {
			known.addRecordedMembers(r, fabric)
		}
		return
	}
	if _, dissolved := p.dissolved[r.key()]; dissolved {
		return
	}
	if p.plansAny(r) {
		p.restoreDissolution(fabric, r, now) // Its head may serve all the same.
		return
	}
	g := &group{name: r.Name, epoch: r.Epoch, model: r.Model, fabric: fabric, formerEpoch: r.FormerEpoch, members: make([]member, len(r.Members)),
		headFirst: r.FormerEpoch != 0, adoptedAt: now, restored: true, wasOpen: true} // The earlier planner may have opened it.
	g.addRecordedMembers(r, fabric)
	p.groups[r.Name] = g
	if known != nil {
		p.restoreDissolution(known.fabric, known.recorded(), now)
	}
}

// plansAny reports whether a member of the recorded group is planned in a group with another name.
func (p *Plan) plansAny(r RecordedGroup) bool {
	for name, g := range p.groups {
		if name == r.Name {
			continue
		}
		for _, m := range g.members {
			if m.incarnation.ID != "" && slices.ContainsFunc(r.Members, func(o RecordedMember) bool { return o.Incarnation == m.incarnation }) {
				return true
			}
		}
	}
	return false
}

// addRecordedMembers sets the members that aren't known yet.
func (g *group) addRecordedMembers(r RecordedGroup, fabric string) {
	for rank, m := range r.Members {
		if rank >= len(g.members) || g.members[rank].incarnation.ID != "" || m.Incarnation.ID == "" {
			continue
		}
		entry := m.entry(r, rank, fabric)
		g.members[rank] = member{incarnation: m.Incarnation, lastEntry: entry}
		if rank == 0 {
			g.head = entry
		}
	}
}

// entry returns the entry of a member as far as the record tells it.
func (m RecordedMember) entry(r RecordedGroup, rank int, fabric string) *fleet.Replica {
	return &fleet.Replica{ID: m.Incarnation.ID, StartedUnixMs: m.Incarnation.StartedUnixMs, Address: m.Address, Fabric: fabric,
		Group: &fleet.Membership{Name: r.Name, Epoch: cmp.Or(r.FormerEpoch, r.Epoch), Rank: rank}}
}

func (p *Plan) restoreDissolution(fabric string, r RecordedGroup, now clock.Time) {
	if _, known := p.dissolved[r.key()]; known {
		return
	}
	if g := p.groups[r.Name]; g != nil && g.epoch == r.Epoch {
		return
	}
	d := dissolution{at: now, fabric: fabric, model: r.Model, headUnheard: !r.Ended, headLost: r.HeadLost, restored: true, head: r.Members[0].Incarnation,
		returnedAt: map[fleet.Incarnation]clock.Time{}}
	for rank, m := range r.Members {
		if m.Incarnation.ID == "" {
			d.members = append(d.members, member{})
			continue
		}
		d.members = append(d.members, member{incarnation: m.Incarnation, lastEntry: m.entry(r, rank, fabric)})
		if rank == 0 {
			d.headEntry = d.members[0].lastEntry
			continue
		}
		d.returnedAt[m.Incarnation] = 0
		p.departures[m.Incarnation] = departure{r.key(), now, false} // It may just have left.
	}
	p.dissolved[r.key()] = d
	if r.Ended {
		p.ended[r.key()] = now
	}
	p.changed(fabric)
}

// dropSupersededGroups gives up restored groups of which a member has reported a later epoch of another group that isn't planned: the
// record is older than the last orders of the planner that wrote it.
func (s *step) dropSupersededGroups() {
	for _, name := range slices.Sorted(maps.Keys(s.groups)) {
		g := s.groups[name]
		if !g.restored || !slices.ContainsFunc(g.members, func(m member) bool { return s.supersedes(g, m) }) {
			continue
		}
		s.giveUp(g)
		delete(s.groups, name)
	}
}

func (s *step) supersedes(g *group, m member) bool {
	r := s.usableReplica(m.incarnation)
	if r == nil || r.Group == nil || r.Group.Epoch <= g.epoch || !s.stateKnown(r) {
		return false
	}
	other := s.groups[r.Group.Name]
	return other == nil || other == g || other.epoch < r.Group.Epoch
}

// noteServing notes that the head of a restored group serves it, so that all members have joined it.
func (s *step) noteServing(g *group) {
	if !g.restored {
		return
	}
	g.restored = false
	for i := range g.members {
		g.members[i].joinAccepted, g.members[i].joinSentAt = true, s.Now
	}
}

// restoreMoved takes over by how many replicas the models of a domain differ from the configured division. Records of other versions may hold
// values that don't add up, which are left out.
func (p *Plan) restoreMoved(fabric string, moved map[string]int) {
	sum := 0
	for _, n := range moved {
		sum += n
	}
	if len(moved) == 2 && sum == 0 && len(p.moved[fabric]) == 0 {
		p.setMoved(fabric, maps.Clone(moved))
	}
}
