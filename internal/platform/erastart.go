package platform

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"cassiadeal.example/cassiadeal/internal/schema"
)

// The object that tells when the present era was first noticed.
const (
	eraKind = "store"
	eraName = "era"
)

// maxEraAttempts is the number of tries to read or write that object, which other nodes write at the same time.
const maxEraAttempts = 4

// EraStart is an era of the store and an upper bound of the time at which it began. The bound is the time at which the first
// node noticed the era, by that node's clock. Era 0 has none, because nothing was lost before it.
type EraStart struct {
	Era       uint64
	NoticedAt time.Time
}

// EraStart returns the present era and its start. The store holds the start, so that processes that start later know it. The first node that
// finds it missing writes the present time.
func (c *Client) EraStart(ctx context.Context) (EraStart, error) {
	for range maxEraAttempts {
		if start, ok := c.knownEraStart(); ok {
			return start, nil
		}
		stored, version, err := c.readEraStart(ctx)
		if err != nil {
			return EraStart{}, err
		}
		era := c.Era()
		if era == 0 {
			continue // The read has shown that the store was never restored.
		}
		if stored.GetEra() == era && EraOf(version) == era {
			c.cacheEraStart(EraStart{Era: era, NoticedAt: time.UnixMilli(stored.GetNoticedUnixMs())})
			continue
		}
		err = c.writeEraStart(ctx, &schema.StoreEra{Era: era, NoticedUnixMs: time.Now().UnixMilli(), Nonce: uuid.NewString()}, version)
		if err != nil && !errors.Is(err, ErrConflict) {
			return EraStart{}, err
		}
	}
	return EraStart{}, fmt.Errorf("start of era %d: %w: other nodes wrote it %d times", c.Era(), ErrUnavailable, maxEraAttempts)
}

// knownEraStart returns false if the start of the present era must be read.
func (c *Client) knownEraStart() (EraStart, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.eraKnown {
		return EraStart{}, false
	}
	return c.eraStart, c.eraStart.Era == c.era
}

func (c *Client) cacheEraStart(start EraStart) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.eraStart = start
}

// readEraStart returns the stored start of an era, which may be a former one, and its version, 0 if there is none.
func (c *Client) readEraStart(ctx context.Context) (*schema.StoreEra, uint64, error) {
	stored := &schema.StoreEra{}
	object, err := c.Get(ctx, eraKind, eraName)
	if errors.Is(err, ErrNotFound) {
		return stored, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	return stored, object.Version, Decode(object.Data, stored)
}

func (c *Client) writeEraStart(ctx context.Context, start *schema.StoreEra, version uint64) error {
	data, err := Encode(start)
	if err != nil {
		return err
	}
	if version == 0 {
		_, err = c.Create(ctx, eraKind, eraName, data)
	} else {
		_, err = c.Update(ctx, eraKind, eraName, version, data)
	}
	return err
}
