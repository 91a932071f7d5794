package storerev

import (
	"strconv"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Tracker keeps the latest era of which a client's responses told. It is safe for concurrent use.
type Tracker struct{ latest atomic.Int64 }

// Latest returns the latest known era.
func (t *Tracker) Latest() int64 { return t.latest.Load() }

// Record returns the era of a response, given the text of its header. All responses count, also those that refuse a call. A response without
// the header is taken to be of the latest known era, which is 0 at a store that has none. It returns an error for a response of an earlier
// era: it was on its way when the store was restored.
func (t *Tracker) Record(text string) (int64, error) {
	if text == "" {
		return t.latest.Load(), nil
	}
	era, err := strconv.ParseInt(text, 10, 64)
	if err != nil || era < 0 {
		return 0, errors.Errorf("the store's era is %q, want a number that is not negative", text)
	}
	for known := t.latest.Load(); era != known; known = t.latest.Load() {
		if era < known {
			return 0, errors.Errorf("the response is of era %d, the store is in era %d", era, known)
		}
		if t.latest.CompareAndSwap(known, era) {
			break
		}
	}
	return era, nil
}
