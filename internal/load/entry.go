package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"cassiadeal.example/cassiadeal/internal/gateway"
)

const (
	// discoveryTimeout bounds one GET /v1/addresses, so that an address that does not answer delays requests only briefly.
	discoveryTimeout = time.Second
	// cacheTimeAfterFailure is how long the last known addresses are used before the next attempt if no address answers.
	cacheTimeAfterFailure = time.Second
	maxCacheTime          = time.Hour
)

// addressResolver provides the entry addresses, which are fixed or read from GET /v1/addresses and cached.
type addressResolver struct {
	client           *http.Client
	discoveryAddress string // Empty if the addresses are fixed.

	mu            sync.Mutex
	current       []string
	lastResponder string    // Address that sent the last valid answer; it is tried first.
	expires       time.Time // End of the time for which current is cached.
	failures      uint64    // Refreshes in which no address sent a valid answer.
}

func newAddressResolver(experiment *Experiment, client *http.Client) *addressResolver {
	return &addressResolver{
		client: client, discoveryAddress: experiment.DiscoveryAddress, lastResponder: experiment.DiscoveryAddress,
		current: experiment.Addresses}
}

// resolve returns the current addresses, or none if no address list was ever received. It blocks while the list is
// refreshed, so that the wait is part of the measured latency, as it is for real callers.
func (r *addressResolver) resolve(ctx context.Context) []string {
	if r.discoveryAddress == "" {
		return r.current
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.expires) {
		return r.current
	}
	candidates := []string{r.lastResponder}
	for _, address := range append([]string{r.discoveryAddress}, r.current...) {
		if !slices.Contains(candidates, address) {
			candidates = append(candidates, address)
		}
	}
	for _, address := range candidates {
		list, cacheTime, err := r.fetch(ctx, address)
		if err == nil {
			r.current, r.lastResponder, r.expires = list, address, time.Now().Add(cacheTime)
			return r.current
		}
		if ctx.Err() != nil {
			return r.current
		}
	}
	r.failures++
	r.expires = time.Now().Add(cacheTimeAfterFailure)
	return r.current
}

func (r *addressResolver) fetch(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses", nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer gateway.Addresses
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, 0, err
	}
	if resp.StatusCode != http.StatusOK || len(answer.Addresses) == 0 {
		return nil, 0, fmt.Errorf("status %s, %d addresses", resp.Status, len(answer.Addresses))
	}
	list := make([]string, 0, len(answer.Addresses))
	for _, a := range answer.Addresses {
		list = append(list, a.Address)
	}
	cacheTime := time.Duration(answer.KeepSeconds * float64(time.Second))
	return list, max(0, min(cacheTime, maxCacheTime)), nil
}

func (r *addressResolver) failureCount() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failures
}
