//go:build measure

package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"cassiadeal.example/cassiadeal/internal/dispatch"
	"cassiadeal.example/cassiadeal/internal/orders"
	"cassiadeal.example/cassiadeal/internal/result"
	"cassiadeal.example/cassiadeal/internal/rules"
	"cassiadeal.example/cassiadeal/internal/schema"
	"cassiadeal.example/cassiadeal/internal/standin/engine"
	"cassiadeal.example/cassiadeal/internal/target"
)

const (
	replicaCount           = 8
	prefixCount            = 64
	prefixWords            = 256
	promptTailWords        = 16
	answerTokens           = 16
	affinityRequestsPerSec = 40.0
	affinityDuration       = 15 * time.Second
)

// TestAffinityPolicies compares prefix affinity with a load bound, plain least load and round robin. Each engine caches 16 of
// the 64 prefixes. In the skewed case half of the requests have the same prefix and the rest a random one.
func TestAffinityPolicies(t *testing.T) {
	for _, skewed := range []bool{false, true} {
		for name, policy := range map[string]target.Policy{
			"affinity": &target.Affinity{}, "least load": &target.LeastLoad{}, "round robin": &target.RoundRobin{},
		} {
			t.Run(fmt.Sprintf("%s,skewed=%t", name, skewed), func(t *testing.T) { measurePolicy(t, policy, skewed) })
		}
	}
}

func measurePolicy(t *testing.T, policy target.Policy, skewed bool) {
	table, stop := startReplicas(t, policy)
	defer stop()
	runner := dispatch.New(dispatch.Options{})
	firstToken, betweenTokens := hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	served, hits := 0, 0
	random := rand.New(rand.NewPCG(11, 11))
	start := time.Now()
	for offset := time.Duration(0); offset < affinityDuration; offset += time.Duration(random.ExpFloat64() / affinityRequestsPerSec * float64(time.Second)) {
		time.Sleep(time.Until(start.Add(offset)))
		prefix := random.IntN(prefixCount)
		if skewed && random.Float64() < 0.5 {
			prefix = 0
		}
		due, id := start.Add(offset), random.Uint64()
		wg.Go(func() {
			var tokens []time.Time
			end := generate(table, runner, prefix, id, func(c *schema.DispatchChunk) error {
				if c.GetToken() != nil {
					tokens = append(tokens, time.Now())
				}
				return nil
			})
			if end.Code != int32(result.OK) || len(tokens) == 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			served++
			if end.CacheHit {
				hits++
			}
			_ = firstToken.RecordValue(tokens[0].Sub(due).Microseconds()) // No error: requests end within 20 s, and the range is 60 s.
			for i := 1; i < len(tokens); i++ {
				_ = betweenTokens.RecordValue(tokens[i].Sub(tokens[i-1]).Microseconds())
			}
		})
	}
	wg.Wait()
	t.Logf("served=%d hit rate=%.2f first token p50=%.0fms p95=%.0fms between tokens p95=%.1fms", served, float64(hits)/float64(served),
		percentileMS(firstToken, 50), percentileMS(firstToken, 95), percentileMS(betweenTokens, 95))
}

func percentileMS(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

func startReplicas(t *testing.T, policy target.Policy) (*target.Table, func()) {
	o := engine.Options{
		BatchSlots: 8, ColdLimit: 8, TokenDelay: 5 * time.Millisecond, PrefillPerToken: time.Millisecond, LoadTime: 50 * time.Millisecond,
		CacheTokens: prefixCount / 4 * (prefixWords + promptTailWords + answerTokens), Seed: 5,
	}
	for i := range replicaCount {
		o.VMs = append(o.VMs, engine.VM{Name: fmt.Sprint("vm-", i), Listen: "127.0.0.1:0"})
	}
	server := engine.New(o)
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	client := orders.New(orders.Options{})
	table := target.New(target.Options{Prober: target.NewHTTPProber(nil), Policy: policy})
	var specs []target.Spec
	for name, address := range server.Addrs() {
		if err := client.Send(context.Background(), address, orders.Order{
			Fence: 1, Action: orders.Join, Group: name, Number: 1, Size: 1, Members: []string{address}, Model: "m", Pool: "p",
		}); err != nil {
			t.Fatal(err)
		}
		state, err := client.State(context.Background(), address)
		if err != nil {
			t.Fatal(err)
		}
		specs = append(specs, target.Spec{
			ID: name, Destination: "pool/p", Address: address, Group: name, Number: 1, MaxQueue: 64, Limits: rules.Limits{Cold: 8, Full: 8},
			Members: []target.Member{{VM: name, Address: address, Incarnation: state.Incarnation}},
		})
	}
	table.SetSpecs(specs)
	ctx, cancel := context.WithCancel(context.Background())
	go table.Run(ctx)
	time.Sleep(time.Second) // Time for loading the models and for the first probes.
	return table, func() { cancel(); server.Close() }
}

func generate(table *target.Table, runner *dispatch.Runner, prefix int, id uint64, sink func(*schema.DispatchChunk) error) *schema.DispatchEnd {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	prefixText := strings.Repeat(fmt.Sprintf("w%d ", prefix), prefixWords)
	body, _ := json.Marshal(map[string]any{"prompt": fmt.Sprint(prefixText, id, strings.Repeat(" t", promptTailWords)), "max_tokens": answerTokens})
	slot, err := table.Acquire(ctx, target.SlotRequest{Destination: "pool/p", PrefixHash: xxhash.Sum64String(prefixText)})
	if err != nil {
		return &schema.DispatchEnd{Code: int32(result.From(err).Code)}
	}
	return runner.Run(ctx, slot, &schema.DispatchRequest{RequestId: fmt.Sprint(id), Body: body, Generate: true, Repeatable: true}, sink)
}
