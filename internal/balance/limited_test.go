package balance

import (
	"fmt"
	"testing"
	"time"

	"cassiadeal.example/cassiadeal/internal/clock"
	"cassiadeal.example/cassiadeal/internal/fleet"
	"cassiadeal.example/cassiadeal/internal/statement"
)

// Pattern: half of the heads state limits far below what they got before, under a load that the others can hardly bear, at many nodes
// of which only a few have a part of each limit. Guards against limits that are left unused while the other heads are
// overloaded: in a load test with 65 nodes, heads got a quarter to a half of what their limits allow.
func TestLimitsAreUsedUnderLoad(t *testing.T) {
	const (
		nodes, heads, limited = 65, 8, 4
		perHead               = 5.0 // Requests per second.
		perSecond             = 90
		step                  = time.Second / perSecond
		duration              = 20 * time.Second
		runTime               = 1500 * time.Millisecond // Of a request, from its arrival.
	)
	c := clock.NewManual(time.Hour)
	start := c.Now()
	q := queryWithHeads(c, heads)
	q.LoadAge, q.ColdShare = 700*time.Millisecond, 1.0/nodes
	table := NewTable(c) // Of all nodes together; they differ in what they may send to limited heads only.
	var statements []*statement.Table
	for i := range nodes {
		s := statement.New(statement.Options{Divided: true, Now: func() time.Duration { return time.Duration(c.Now()) }})
		var others []string
		for j := range nodes {
			if j != i {
				others = append(others, fmt.Sprint(j))
			}
		}
		s.DivideAmong(fmt.Sprint(i), others)
		for _, r := range q.View.ByService["pool"][:limited] {
			s.Record(r.Incarnation().Target(), statement.Statement{Limit: statement.Limit{Stated: true, PerSecond: perHead}})
		}
		statements = append(statements, s)
	}
	sent := map[string]int{}
	var running []*Ticket
	for i := 0; c.Now().Sub(start) < duration; i++ {
		c.Advance(step)
		if len(running) > int(runTime/step) {
			running[0].End()
			running = running[1:]
		}
		s := statements[i*37%nodes]
		q.Refused = func(r *fleet.Replica) bool { return s.Check(r.Incarnation().Target(), 1) != statement.NotRefused }
		q.Limited = func(r *fleet.Replica) bool {
			_, limited := s.Rate(r.Incarnation().Target(), 1)
			return limited
		}
		head := table.PickHead(q)
		if head == nil || s.Admit(head.Replica.Incarnation().Target(), 1) != statement.NotRefused {
			t.Fatal("no head takes a request")
		}
		sent[head.Replica.ID]++
		running = append(running, table.BeginHead(head, q.PromptTokens))
	}
	for _, r := range q.View.ByService["pool"][:limited] {
		if used := float64(sent[r.ID]) / (perHead * duration.Seconds()); used < 0.7 || used > 1.05 {
			t.Errorf("%s got %.2f of what its limit allows, want about all of it", r.ID, used)
		}
	}
}
