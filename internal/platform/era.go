package platform

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
)

// eraHeader states the era of the store in answers. In a write it is a condition.
const eraHeader = "X-Store-Era"

const (
	// versionBits is the number of low bits of a version that hold the store's own version. The others hold the era, so that
	// versions rise although the store gives its own out again after a restore.
	versionBits = 40
	// maxEra keeps versions below 2^53, which every JSON parser keeps exactly.
	maxEra = 1<<13 - 1
)

var errFormerEra = errors.New("answer of a former era of the store")

// EraOf returns the era of the store in which a version was read or written.
func EraOf(version uint64) uint64 { return version >> versionBits }

// VersionIn returns the version that Client states for a version of the store in an era.
func VersionIn(era, storeVersion uint64) uint64 { return era<<versionBits | storeVersion }

// StoreVersion returns the store's own version.
func StoreVersion(version uint64) uint64 { return version & (1<<versionBits - 1) }

// Era returns the highest era that an answer has stated.
func (c *Client) Era() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era
}

// OnRestore registers a function that is called when the store has come back from an older copy. The platform may then lack
// writes that it acknowledged. It must not block, and must not call the client.
func (c *Client) OnRestore(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.onRestore = append(c.onRestore, f)
}

// readEra reads the era that an answer states and announces a restore. It returns an error for an answer of a former era,
// which doesn't tell the present state.
func (c *Client) readEra(header http.Header) (uint64, error) {
	era := uint64(0)
	if stated := header.Get(eraHeader); stated != "" {
		var err error
		if era, err = strconv.ParseUint(stated, 10, 64); err != nil || era > maxEra {
			return 0, fmt.Errorf("header %s %q is no number up to %d", eraHeader, stated, maxEra)
		}
	}
	c.mu.Lock()
	former, known := c.era, c.eraKnown
	if known && era <= former {
		c.mu.Unlock()
		if era < former {
			return 0, fmt.Errorf("%w: era %d, present %d", errFormerEra, era, former)
		}
		return era, nil
	}
	c.era, c.eraKnown = era, true
	callbacks := append([]func(){}, c.onRestore...)
	c.mu.Unlock()
	if !known {
		return era, nil
	}
	c.restoreCounter.Add(context.Background(), 1)
	c.opts.Log.WithField("era", era).WithField("former_era", former).
		Warn("the platform's store has come back from an older copy; writes that it acknowledged may be lost")
	for _, f := range callbacks {
		f()
	}
	return era, nil
}

// eraCondition returns the era for which a write is meant: that of the version on which it is based, or the present one for a
// create. It returns an empty string before the first answer.
func (c *Client) eraCondition(version uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case version != 0:
		return strconv.FormatUint(EraOf(version), 10)
	case c.eraKnown:
		return strconv.FormatUint(c.era, 10)
	}
	return ""
}
