//go:build measure

package measure

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"cassiadeal.example/cassiadeal/internal/dispatch"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/standin/service"
	"cassiadeal.example/cassiadeal/internal/target"
)

const (
	entryNodes     = 7
	backEndCount   = 8
	fullLimit      = 14
	executionTime  = 50 * time.Millisecond
	hopDelay       = 2 * time.Millisecond // Simulated network delay between nodes, one way.
	requestsPerSec = 900.0                // 40% of 8 x 14 slots at 50 ms.
	phaseDuration  = 8 * time.Second
	skewedShare    = 0.5 // Share of requests sent to node 0; the rest are spread over all nodes.
)

// TestHolderAgainstEveryNodeSends compares two designs: each target has one holder that sends to it, or every node sends to
// every target under its share of the target's limit (divided=true). More than half of the requests arrive at one node. In the
// middle of the run one target restarts cold without notice.
func TestHolderAgainstEveryNodeSends(t *testing.T) {
	for _, cold := range []int{2, 7} {
		for _, divided := range []bool{false, true} {
			t.Run(fmt.Sprintf("cold=%d,divided=%t", cold, divided), func(t *testing.T) { measureSending(t, cold, divided) })
		}
	}
}

func measureSending(t *testing.T, coldLimit int, divided bool) {
	var servers []*service.Server
	for i := range backEndCount {
		s := service.New(service.Options{Name: fmt.Sprint(i), ColdLimit: coldLimit, WarmLimit: fullLimit})
		if err := s.Start(); err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		delay := executionTime.Milliseconds()
		if err := s.SetFaults(service.Faults{DelayMS: &delay}); err != nil {
			t.Fatal(err)
		}
		servers = append(servers, s)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tables := startTables(ctx, servers, coldLimit, divided)
	var wg sync.WaitGroup
	var refused, served atomic.Int64
	latency := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(7, 7))
	runner := dispatch.New(dispatch.Options{})
	start := time.Now()
	restarted := false
	for offset := time.Duration(0); offset < 2*phaseDuration; offset += time.Duration(random.ExpFloat64() / requestsPerSec * float64(time.Second)) {
		time.Sleep(time.Until(start.Add(offset)))
		if offset > phaseDuration && !restarted {
			restarted = true
			go func() { _ = servers[0].SetFaults(service.Faults{Restart: true}) }()
		}
		entry := random.IntN(entryNodes)
		if random.Float64() < skewedShare {
			entry = 0
		}
		due := start.Add(offset)
		wg.Go(func() {
			end := sendRequest(ctx, tables, entry, divided, runner)
			if end != result.OK {
				refused.Add(1)
				return
			}
			served.Add(1)
			mu.Lock()
			defer mu.Unlock()
			_ = latency.RecordValue(time.Since(due).Microseconds()) // No error: requests end within 2 s, and the range is 60 s.
		})
	}
	wg.Wait()
	overloads, peakCold := 0, 0
	for _, s := range servers {
		r := s.Record()
		overloads += len(r.Overloads)
		peakCold = max(peakCold, r.InFlight.Cold)
	}
	t.Logf("cold limit=%d divided=%t served=%d refused=%d p50=%.1fms p99=%.1fms overloads=%d peak in flight while cold=%d (limit %d)", coldLimit, divided, served.Load(),
		refused.Load(), float64(latency.ValueAtQuantile(50))/1000, float64(latency.ValueAtQuantile(99))/1000, overloads, peakCold, coldLimit)
}

func startTables(ctx context.Context, servers []*service.Server, coldLimit int, divided bool) []*target.Table {
	log := logrus.New()
	log.SetOutput(io.Discard)
	limits := rules.Limits{Cold: coldLimit, Full: fullLimit}
	if divided {
		limits = rules.Limits{Cold: max(1, coldLimit/entryNodes), Full: max(1, fullLimit/entryNodes)}
	}
	var tables []*target.Table
	for n := range entryNodes {
		table := target.New(target.Options{Prober: target.NewHTTPProber(nil), Log: log})
		var specs []target.Spec
		for i, s := range servers {
			if divided || i%entryNodes == n {
				specs = append(specs, target.Spec{ID: fmt.Sprint(i), Destination: "service/s", Address: s.Addr(), Limits: limits, MaxQueue: 64})
			}
		}
		table.SetSpecs(specs)
		go table.Run(ctx)
		tables = append(tables, table)
	}
	time.Sleep(time.Second) // Time for the first probes.
	return tables
}

// sendRequest runs one request as the entry node would: with its own table if limits are divided, otherwise with the table
// of the node with the most free slots, plus the network delay if that is another node.
func sendRequest(ctx context.Context, tables []*target.Table, entry int, divided bool, runner *dispatch.Runner) result.Code {
	node := entry
	if !divided {
		if node = nodeWithMostFreeSlots(tables); node != entry {
			time.Sleep(hopDelay)
			defer time.Sleep(hopDelay)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	slot, err := tables[node].Acquire(ctx, target.SlotRequest{Destination: "service/s"})
	if err != nil {
		return result.From(err).Code
	}
	end := runner.Run(ctx, slot, &schema.DispatchRequest{RequestId: fmt.Sprint(rand.Uint64()), Method: "GET", Path: "/x", Repeatable: true},
		func(*schema.DispatchChunk) error { return nil })
	return result.Code(end.Code)
}

func nodeWithMostFreeSlots(tables []*target.Table) int {
	best, mostFreeSlots := 0, -1
	for i, table := range tables {
		for _, p := range table.Summary() {
			if free := int(p.FreeSlots) - int(p.Queued); free > mostFreeSlots {
				best, mostFreeSlots = i, free
			}
		}
	}
	return best
}
