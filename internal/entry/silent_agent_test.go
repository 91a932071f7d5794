package entry

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// silenceAgents makes all agents silent to the first entry for a time, after which they go on.
func (f *testFleet) silenceAgents(d time.Duration) {
	for _, proxy := range f.agentProxies {
		proxy.freeze(true)
		f.afterDelay(d, func() { proxy.freeze(false) })
	}
}

// TestSilentAgentThatNothingReplacesIsAwaited guards against a request that fails because its agent is silent for a while, although no other
// agent can run it.
func TestSilentAgentThatNothingReplacesIsAwaited(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("x", 600<<10)
	cases := map[string]struct {
		request testRequest
		agents  int
		silent  time.Duration
	}{
		"a call that runs once":                 {bookingRequest("silent", "x"), 3, 1700 * time.Millisecond},
		"a call of the only upstream":           {lookupRequest("/status"), 1, 1700 * time.Millisecond},
		"a body that can't be sent again":       {bookingRequest("large", large), 1, 1700 * time.Millisecond},
		"a body that can't be sent again, more": {bookingRequest("large", large), 3, 2700 * time.Millisecond},
		"an answer in one piece":                {generateRequest("whole", 10, false), 1, 1700 * time.Millisecond},
		"an answer in one piece, longer":        {generateRequest("whole", 10, false), 1, 5 * time.Second},
		"a stream, before its first event":      {generateRequest("stream", 30, true), 1, 1700 * time.Millisecond},
		"a stream, longer":                      {generateRequest("stream", 30, true), 1, 5 * time.Second},
	}
	b := newBatch(t)
	for name, c := range cases {
		b.run(name, func(t *testing.T) {
			fleet := newTestFleet(t, 1, c.agents)
			fleet.silenceAgents(c.silent)
			o := fleet.send(context.Background(), 0, c.request)
			assert.True(t, o.complete, "%v", o)
			fleet.checkOutcomes(map[string]outcome{"": o}, map[string]testRequest{"": c.request})
		})
	}
	b.wait()
}

// TestStreamOfSilentAgentGoesOn guards against a stream that ends in the middle because its agent falls silent and nothing replaces it.
func TestStreamOfSilentAgentGoesOn(t *testing.T) {
	t.Parallel()
	b := newBatch(t)
	for _, silent := range []time.Duration{1500 * time.Millisecond, 2800 * time.Millisecond, 4500 * time.Millisecond} {
		b.run(silent.String(), func(t *testing.T) {
			fleet := newTestFleet(t, 1, 1)
			requests := map[string]testRequest{"stream": generateRequest("stream", 30, true)}
			applyAtToken(requests, 5, func() { fleet.silenceAgents(silent) })
			outcomes := fleet.sendAll(requests)
			assert.True(t, outcomes["stream"].complete, "%v", outcomes["stream"])
			fleet.checkOutcomes(outcomes, requests)
		})
	}
	b.wait()
}
