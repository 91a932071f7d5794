package entry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestAnswersAreForwardedComplete checks answers of each kind without faults.
func TestAnswersAreForwardedComplete(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 2)
	requests := map[string]testRequest{
		"stream": generateRequest("a stream", 20, true),
		"whole":  generateRequest("in one piece", 20, false),
		"book":   bookingRequest("k1", "a booking"),
		"lookup": lookupRequest("/status?vendor=1"),
	}
	outcomes := fleet.sendAll(requests)
	for name, o := range outcomes {
		assert.True(t, o.complete, "%s: %v", name, o)
	}
	fleet.checkOutcomes(outcomes, requests)
}
