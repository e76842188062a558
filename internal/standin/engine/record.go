package engine

import (
	"time"

	"cassiadeal.example/cassiadeal/internal/standin"
)

// maxRecords is the maximum length of each list of a VM's record; later entries are only counted, in VMRecord.Dropped.
const maxRecords = 50000

// Record is the answer to GET /record.
type Record struct {
	VMs map[string]VMRecord `json:"vms"`
}

// VMRecord lists the calls that one VM received and its changes of state. All times are in Unix milliseconds.
type VMRecord struct {
	Incarnations []IncarnationRecord `json:"incarnations"`
	States       []StateRecord       `json:"states"`
	Orders       []OrderRecord       `json:"orders"`
	Generates    []GenerateRecord    `json:"generates"`
	Overloads    []Overload          `json:"overloads"`
	Resumes      int                 `json:"resumes"`
	Cancels      int                 `json:"cancels"`
	Dropped      int                 `json:"dropped"` // entries left out because their list was full
	InFlight     standin.Peak        `json:"in_flight"`
}

// IncarnationRecord is one run of an engine; EndUnixMS is 0 while it runs.
type IncarnationRecord struct {
	Incarnation string `json:"incarnation"`
	StartUnixMS int64  `json:"start_unix_ms"`
	EndUnixMS   int64  `json:"end_unix_ms"`
}

// StateRecord is the state of a VM from TimeUnixMS until the next StateRecord. Incarnation is empty while the VM is down.
type StateRecord struct {
	TimeUnixMS  int64  `json:"time_unix_ms"`
	Incarnation string `json:"incarnation"`
	Group       string `json:"group"`
	Number      uint64 `json:"number"`
	Rank        int    `json:"rank"`
	Model       string `json:"model"`
	Ready       bool   `json:"ready"`
}

// OrderRecord is one received order. Outcomes are accepted, repeated (nothing to change), fenced (refused because of a lower
// fencing number) and invalid.
type OrderRecord struct {
	TimeUnixMS  int64  `json:"time_unix_ms"`
	Incarnation string `json:"incarnation"`
	Order       Order  `json:"order"`
	Outcome     string `json:"outcome"`
}

// GenerateRecord is one received generate call. Outcomes are running, done, cancelled, abandoned (it had no reader for
// Options.OrphanTime), overload (it made a cold engine fail), crash (its prompt made the engine crash), lost (the VM or its engine
// stopped), closed (the stand-in was closed), ordered_away (a join or leave ended it) and refused (it never ran).
// InFlight and Limit are those of standin.TrackedRequest, and 0 for refused calls.
type GenerateRecord struct {
	TimeUnixMS  int64  `json:"time_unix_ms"`
	EndUnixMS   int64  `json:"end_unix_ms"`
	Incarnation string `json:"incarnation"`
	RequestID   string `json:"request_id"`
	Group       string `json:"group"`
	Number      uint64 `json:"number"`
	InFlight    int    `json:"in_flight"`
	Limit       int    `json:"bears"`
	Outcome     string `json:"outcome"`
}

// Overload is one failure of a cold engine that had more requests in flight than its limit.
type Overload struct {
	TimeUnixMS  int64  `json:"time_unix_ms"`
	Incarnation string `json:"incarnation"`
	InFlight    int    `json:"in_flight"`
	Limit       int    `json:"bears"`
}

func nowMS() int64 { return standin.UnixMS(time.Now()) }

// appendBounded appends an entry to a list of the record and returns its index. If the list is full, it returns -1.
func appendBounded[T any](rec *VMRecord, list *[]T, entry T) int {
	if len(*list) >= maxRecords {
		rec.Dropped++
		return -1
	}
	*list = append(*list, entry)
	return len(*list) - 1
}

// snapshot returns a copy of the record.
func (m *machine) snapshot() VMRecord {
	m.mu.Lock()
	defer m.mu.Unlock()
	rec := m.record
	rec.Incarnations = append([]IncarnationRecord{}, rec.Incarnations...)
	rec.States = append([]StateRecord{}, rec.States...)
	rec.Orders = append([]OrderRecord{}, rec.Orders...)
	rec.Generates = append([]GenerateRecord{}, rec.Generates...)
	rec.Overloads = append([]Overload{}, rec.Overloads...)
	if m.proc != nil {
		rec.InFlight = maxPeak(rec.InFlight, m.proc.inFlight.Peak())
	}
	return rec
}

func maxPeak(a, b standin.Peak) standin.Peak {
	return standin.Peak{Cold: max(a.Cold, b.Cold), Total: max(a.Total, b.Total)}
}

// recordState appends the current state to the record. The caller holds mu.
func (m *machine) recordState() {
	s := StateRecord{TimeUnixMS: nowMS()}
	if p := m.proc; p != nil {
		s.Incarnation, s.Group, s.Number = p.incarnation, p.assigned.Group, p.assigned.Number
		s.Rank, s.Model, s.Ready = p.assigned.Rank, p.assigned.Model, p.ready
	}
	appendBounded(&m.record, &m.record.States, s)
}
