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
	// discoveryTimeout bounds one GET /v1/addresses, so that a silent address delays callers only briefly.
	discoveryTimeout = time.Second
	// cacheTimeAfterFailure is how long the old addresses are used when no address answers.
	cacheTimeAfterFailure = time.Second
	maxCacheTime          = time.Hour
)

// addressResolver knows the entry addresses, either fixed ones or those that the system names.
type addressResolver struct {
	client           *http.Client
	discoveryAddress string // Empty for fixed addresses.

	mu            sync.Mutex
	current       []string
	lastResponder string    // Address that answered last.
	expires       time.Time // The list is kept up to then.
	failures      uint64    // Times that no address answered.
}

func newAddressResolver(experiment *Experiment, client *http.Client) *addressResolver {
	return &addressResolver{
		client: client, discoveryAddress: experiment.DiscoveryAddress, lastResponder: experiment.DiscoveryAddress,
		current: experiment.Addresses}
}

// addresses returns the addresses to use now, none if the system has never named any. Callers wait for a refresh, as
// real callers do.
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
