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
	// askTimeout bounds one GET /v1/addresses, so that a silent address delays callers only briefly.
	askTimeout = time.Second
	// keepAfterFailure is how long the old addresses are used when no address answers.
	keepAfterFailure = time.Second
	maxKeep          = time.Hour
)

// addressBook knows the entry addresses, either fixed ones or those that the system names.
type addressBook struct {
	client *http.Client
	ask    string // Empty for fixed addresses.

	mu       sync.Mutex
	list     []string
	asked    string    // Address that answered last.
	until    time.Time // The list is kept up to then.
	failures uint64    // Times that no address answered.
}

func newAddressBook(e *Experiment, client *http.Client) *addressBook {
	return &addressBook{client: client, ask: e.Ask, asked: e.Ask, list: e.Addresses}
}

// addresses returns the addresses to use now, none if the system has never named any. Callers wait for a refresh, as
// real callers do.
func (b *addressBook) addresses(ctx context.Context) []string {
	if b.ask == "" {
		return b.list
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.until) {
		return b.list
	}
	candidates := []string{b.asked}
	for _, address := range append([]string{b.ask}, b.list...) {
		if !slices.Contains(candidates, address) {
			candidates = append(candidates, address)
		}
	}
	for _, address := range candidates {
		list, keep, err := b.fetch(ctx, address)
		if err == nil {
			b.list, b.asked, b.until = list, address, time.Now().Add(keep)
			return b.list
		}
		if ctx.Err() != nil {
			return b.list
		}
	}
	b.failures++
	b.until = time.Now().Add(keepAfterFailure)
	return b.list
}

func (b *addressBook) fetch(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses", nil)
	if err != nil {
		return nil, 0, err
	}
	resp, err := b.client.Do(req)
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
	keep := time.Duration(answer.KeepSeconds * float64(time.Second))
	return list, max(0, min(keep, maxKeep)), nil
}

func (b *addressBook) failureCount() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.failures
}
