//go:build measure

// This file measures different ways to store claims. docs/decisions/claims.md has the command and the figures.
package claims

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"cassiadeal.example/cassiadeal/internal/platform"
	"cassiadeal.example/cassiadeal/internal/schema"
	standin "cassiadeal.example/cassiadeal/internal/standin/platform"
)

const (
	measureDuration      = 12 * time.Second
	managerCount         = 3
	platformWritesPerSec = 300 // Limit of the platform on writes per second.
	platformDelayMS      = 3
)

// segmentStore keeps many claims in one object, a segment. It implements only the write path for the measurement: Get and
// deletion are missing.
type segmentStore struct {
	Store
	segmentName func(key string) string
	mu          sync.Mutex
	segments    map[string]*segment
}

type segment struct {
	name    string
	version uint64
	queued  []*pendingWrite // Guarded by segmentStore.mu, as is running.
	running bool
	claims  map[string]entry
}

type entry struct {
	Version uint64          `json:"version"`
	Data    json.RawMessage `json:"data"`
}

type pendingWrite struct {
	key         string
	baseVersion uint64
	data        []byte
	queuedAt    time.Time
	outcome     chan error
}

func (g *segmentStore) Create(_ context.Context, _, key string, data []byte) (uint64, error) {
	return g.put(key, 0, data)
}

func (g *segmentStore) Update(_ context.Context, _, key string, baseVersion uint64, data []byte) (uint64, error) {
	return g.put(key, baseVersion, data)
}

func (g *segmentStore) put(key string, baseVersion uint64, data []byte) (uint64, error) {
	o := &pendingWrite{key: key, baseVersion: baseVersion, data: data, queuedAt: time.Now(), outcome: make(chan error, 1)}
	name := g.segmentName(key)
	g.mu.Lock()
	s := g.segments[name]
	if s == nil {
		s = &segment{name: name, claims: map[string]entry{}}
		g.segments[name] = s
	}
	s.queued = append(s.queued, o)
	if !s.running {
		s.running = true
		go g.commit(s)
	}
	g.mu.Unlock()
	return baseVersion + 1, <-o.outcome
}

// commit writes the segment until no write is queued. Writes that are queued during a write are combined in the next one.
func (g *segmentStore) commit(s *segment) {
	var batch []*pendingWrite
	for {
		g.mu.Lock()
		batch = append(batch, s.queued...)
		s.queued = nil
		if len(batch) == 0 {
			s.running = false
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
		batch = g.write(s, batch)
	}
}

// write writes the segment once and returns the pending writes that have to be retried.
func (g *segmentStore) write(s *segment, batch []*pendingWrite) (retries []*pendingWrite) {
	for _, o := range batch {
		s.claims[o.key] = entry{o.baseVersion + 1, o.data}
	}
	data, err := json.Marshal(map[string]any{"nonce": uuid.NewString(), "claims": s.claims})
	if err == nil {
		if s.version == 0 {
			s.version, err = g.Store.Create(context.Background(), "claims", s.name, data)
		} else if v, e := g.Store.Update(context.Background(), "claims", s.name, s.version, data); e == nil {
			s.version = v
		} else {
			err = e
		}
	}
	switch {
	case errors.Is(err, platform.ErrConflict):
		return g.reload(s, batch)
	case errors.Is(err, platform.ErrUnavailable):
		time.Sleep(time.Duration(10+rand.IntN(20)) * time.Millisecond)
		for _, o := range batch {
			if time.Since(o.queuedAt) < time.Second {
				retries = append(retries, o)
			} else {
				o.outcome <- err
			}
		}
		return retries
	}
	for _, o := range batch {
		o.outcome <- err
	}
	return nil
}

// reload reads the segment after a conflict, completes the pending writes that are already stored or whose condition no
// longer holds, and returns the others.
func (g *segmentStore) reload(s *segment, batch []*pendingWrite) (retries []*pendingWrite) {
	object, err := g.Store.Get(context.Background(), "claims", s.name)
	if err != nil {
		return batch
	}
	var content struct{ Claims map[string]entry }
	if err := json.Unmarshal(object.Data, &content); err != nil {
		return batch
	}
	s.version, s.claims = object.Version, content.Claims
	for _, o := range batch {
		switch current := s.claims[o.key]; {
		case current.Version == o.baseVersion:
			retries = append(retries, o)
		case string(current.Data) == string(o.data):
			o.outcome <- nil
		default:
			o.outcome <- platform.ErrConflict
		}
	}
	return retries
}

// countingClient counts the bytes of the writes.
type countingClient struct {
	*platform.Client
	mu    sync.Mutex
	bytes int64
}

func (c *countingClient) Create(ctx context.Context, kind, name string, data []byte) (uint64, error) {
	c.add(len(data))
	return c.Client.Create(ctx, kind, name, data)
}

func (c *countingClient) Update(ctx context.Context, kind, name string, version uint64, data []byte) (uint64, error) {
	c.add(len(data))
	return c.Client.Update(ctx, kind, name, version, data)
}

func (c *countingClient) add(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes += int64(n)
}

func TestMeasure(t *testing.T) {
	minute := func(key string) string {
		return strings.Replace(kindForKey(key), "claims-", "s", 1) // 32 buckets per minute.
	}
	second := func(key string) string {
		id, _ := uuid.Parse(key)
		return fmt.Sprint(keyTime(id).Unix())
	}
	owned := func(key string) string { return fmt.Sprint(second(key), "-", managerFor(key)) }
	for _, layout := range []struct {
		name    string
		segment func(string) string
		routed  bool
	}{
		{"one object per claim", nil, false},
		{"32 buckets x minute", minute, false},
		{"1 bucket x second", second, false},
		{"1 bucket per node x second, routed", owned, true},
	} {
		for _, rps := range []int{1, 50, 300} {
			t.Run(fmt.Sprintf("%s/%d", layout.name, rps), func(t *testing.T) { measureLayout(t, layout.segment, layout.routed, rps) })
		}
	}
}

// managerFor returns the index of the manager to which a request with this key is routed.
func managerFor(key string) int { return int(xxhash.Sum64String(key) % managerCount) }

// measureLayout sends requests with exponentially distributed intervals at a mean rate of rps per second, and logs the results.
// If routed is set, the key determines the manager, so that each segment has a single writer.
func measureLayout(t *testing.T, segmentOf func(string) string, routed bool, rps int) {
	server := standin.New(standin.Options{WritesPerSec: platformWritesPerSec, HistoryLimit: 1, RecordLimit: 1})
	address, err := server.Start("127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer server.Close()
	qt.Assert(t, server.SetFaults(standin.Faults{Mode: standin.ModeSlow, DelayMS: platformDelayMS}), qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var managers []*Manager
	var clients []*countingClient
	for i := range managerCount {
		c := &countingClient{Client: platform.New(platform.Options{BaseURL: "http://" + address, Client: fmt.Sprint(i)})}
		defer c.Close()
		clients = append(clients, c)
		var store Store = c
		if segmentOf != nil {
			store = &segmentStore{Store: c, segmentName: segmentOf, segments: map[string]*segment{}}
		}
		m := New(Options{Node: fmt.Sprint(i), Incarnation: uuid.NewString(), Store: store})
		go m.Run(ctx)
		managers = append(managers, m)
	}

	var mu sync.Mutex
	var wg sync.WaitGroup
	var answered, refused, storedLate int
	latency := hdr.New(1, 60_000_000, 3) // Microseconds.
	rng := rand.New(rand.NewPCG(1, uint64(rps)))
	begin := time.Now()
	next := begin
	for i := 0; next.Before(begin.Add(measureDuration)); i++ {
		time.Sleep(time.Until(next))
		due, key, managerIndex := next, newKey(i), rng.IntN(managerCount)
		if routed {
			managerIndex = managerFor(key)
		}
		m := managers[managerIndex]
		runTime := time.Duration(rng.ExpFloat64() * float64(50*time.Millisecond))
		next = next.Add(time.Duration(rng.ExpFloat64() * float64(time.Second) / float64(rps)))
		wg.Go(func() {
			claim, _, refusal := m.Acquire(ctx, Request{Key: key, Account: "account-7", Fingerprint: Fingerprint("s", "POST", "/orders", nil)})
			claimLatency := time.Since(due)
			if refusal != nil {
				mu.Lock()
				refused++
				mu.Unlock()
				return
			}
			time.Sleep(runTime)
			answerStart := time.Now()
			claim.Answer(ctx, Answer{Status: 200, Headers: []*schema.Header{{Name: "Content-Type", Value: "application/json"}}, Body: make([]byte, 300)})
			storeLatency := time.Since(answerStart)
			mu.Lock()
			defer mu.Unlock()
			answered++
			if storeLatency >= answerStoreTimeout {
				storedLate++
			}
			_ = latency.RecordValue((claimLatency + storeLatency).Microseconds())
		})
	}
	wg.Wait()
	calls, conflicts, rateLimited, bytes := uint64(0), uint64(0), uint64(0), int64(0)
	for _, c := range clients {
		for k, n := range c.Stats() {
			if k.Operation == "create" || k.Operation == "update" {
				calls += n
				switch k.Result {
				case "412":
					conflicts += n
				case "429":
					rateLimited += n
				}
			}
		}
		bytes += c.bytes
	}
	total := float64(answered + refused)
	t.Logf("requests %d, answered %d, refused %d, stored late %d; per request: %.2f writes sent, %.2f accepted, %.2f conflicts, %.2f over the limit, %.1f kB; added latency p50 %.1f ms, p99 %.1f ms",
		answered+refused, answered, refused, storedLate, float64(calls)/total, float64(calls-conflicts-rateLimited)/total,
		float64(conflicts)/total, float64(rateLimited)/total, float64(bytes)/total/1000,
		float64(latency.ValueAtQuantile(50))/1000, float64(latency.ValueAtQuantile(99))/1000)
}
