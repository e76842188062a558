package engine

import (
	"time"

	"cassiadeal.example/cassiadeal/internal/standin"
)

// maxRecords bounds each list of a VM's record; later entries are counted but not kept.
const maxRecords = 50000

// Record is the answer to GET /record.
type Record struct {
	VMs map[string]VMRecord `json:"vms"`
}

// VMRecord is what one VM received and did. All times are in Unix milliseconds.
type VMRecord struct {
	Incarnations []IncarnationRecord `json:"incarnations"`
	States       []StateRecord       `json:"states"`
	Orders       []OrderRecord       `json:"orders"`
	Generates    []GenerateRecord    `json:"generates"`
	Overloads    []Overload          `json:"overloads"`
	Resumes      int                 `json:"resumes"`
	Cancels      int                 `json:"cancels"`
	Dropped      int                 `json:"dropped"` // entries that no longer fit
	InFlight     standin.Peak        `json:"in_flight"`
}

// IncarnationRecord is one run of an engine; EndUnixMS is 0 while it runs.
type IncarnationRecord struct {
	Incarnation string `json:"incarnation"`
	StartUnixMS int64  `json:"start_unix_ms"`
	EndUnixMS   int64  `json:"end_unix_ms"`
}

// StateRecord is the state of a VM from a time on. Incarnation is empty while the VM is down.
type StateRecord struct {
	TimeUnixMS  int64  `json:"time_unix_ms"`
	Incarnation string `json:"incarnation"`
	Group       string `json:"group"`
	Number      uint64 `json:"number"`
	Rank        int    `json:"rank"`
	Model       string `json:"model"`
	Ready       bool   `json:"ready"`
}

// OrderRecord is one order received. Outcomes are accepted, repeated, fenced and invalid.
type OrderRecord struct {
	TimeUnixMS  int64  `json:"time_unix_ms"`
	Incarnation string `json:"incarnation"`
	Order       Order  `json:"order"`
	Outcome     string `json:"outcome"`
}

// GenerateRecord is one receipt of a generate call. Outcomes are running, done, cancelled, abandoned (no reader came
// back), overload, crash, lost (the VM stopped), ordered_away (a join or leave ended it) and refused (nothing ran).
type GenerateRecord struct {
	TimeUnixMS  int64  `json:"time_unix_ms"`
	EndUnixMS   int64  `json:"end_unix_ms"`
	Incarnation string `json:"incarnation"`
	RequestID   string `json:"request_id"`
	Group       string `json:"group"`
	Number      uint64 `json:"number"`
	InFlight    int    `json:"in_flight"`
	Bears       int    `json:"bears"`
	Outcome     string `json:"outcome"`
}

// Overload is one fall of a cold engine under more requests than it bears.
type Overload struct {
	TimeUnixMS  int64  `json:"time_unix_ms"`
	Incarnation string `json:"incarnation"`
	InFlight    int    `json:"in_flight"`
	Bears       int    `json:"bears"`
}

func nowMS() int64 { return standin.UnixMS(time.Now()) }

// appendBounded appends to a list of the record unless it is full. It returns the index, or -1.
func appendBounded[T any](rec *VMRecord, list *[]T, entry T) int {
	if len(*list) >= maxRecords {
		rec.Dropped++
		return -1
	}
	*list = append(*list, entry)
	return len(*list) - 1
}

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

// recordState appends the current state. The caller holds mu.
func (m *machine) recordState() {
	s := StateRecord{TimeUnixMS: nowMS()}
	if p := m.proc; p != nil {
		s.Incarnation, s.Group, s.Number = p.incarnation, p.assigned.Group, p.assigned.Number
		s.Rank, s.Model, s.Ready = p.assigned.Rank, p.assigned.Model, p.ready
	}
	appendBounded(&m.record, &m.record.States, s)
}
