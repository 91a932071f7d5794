package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"samphireweir.example/samphireweir/internal/code"
)

// fallSilent makes all upstreams of a fleet silent for a time, after which they go on.
func (f *testFleet) fallSilent(d time.Duration) {
	faults := fmt.Sprintf(`{"*":{"silent_ms":%d}}`, d.Milliseconds())
	f.setFaults(f.engineServer, faults)
	f.setFaults(f.plainServer, faults)
}

// TestSilentUpstreamThatNothingReplacesIsAwaited guards against an answer that is given up because its upstream is silent, although no other
// upstream can run the request, and the upstream goes on before the deadline.
func TestSilentUpstreamThatNothingReplacesIsAwaited(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		request testRequest
		// agents is the number of hosts, each with one upstream of the service.
		agents         int
		silent, within time.Duration
	}{
		"a call that runs once":            {bookingRequest("silent", "x"), 3, 3500 * time.Millisecond, 5 * time.Second},
		"a call of the only upstream":      {lookupRequest("/status"), 1, 3500 * time.Millisecond, 5 * time.Second},
		"an answer in one piece":           {generateRequest("whole", 10, false), 1, 5 * time.Second, testDeadline},
		"a stream, before its first event": {generateRequest("stream", 30, true), 1, 5 * time.Second, testDeadline},
		"a body that can't be sent again":  {bookingRequest("large", string(make([]byte, 600<<10))), 3, 3500 * time.Millisecond, 5 * time.Second},
		"all upstreams silent, whole":      {generateRequest("whole", 10, false), 2, 9 * time.Second, testDeadline},
		"all upstreams silent, stream":     {generateRequest("stream", 30, true), 2, 9 * time.Second, testDeadline},
	}
	b := newBatch(t)
	for name, c := range cases {
		b.run(name, func(t *testing.T) {
			fleet := newTestFleet(t, 1, c.agents)
			fleet.fallSilent(c.silent)
			c.request.deadline = c.within
			o := fleet.send(context.Background(), 0, c.request)
			assert.True(t, o.complete, "%v", o)
			fleet.checkOutcomes(map[string]outcome{"": o}, map[string]testRequest{"": c.request})
		})
	}
	b.wait()
}

// TestStreamOfSilentUpstreamGoesOn guards against a stream that ends in the middle because its upstream falls silent and nothing replaces it.
func TestStreamOfSilentUpstreamGoesOn(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 1)
	requests := map[string]testRequest{"stream": generateRequest("stream", 30, true)}
	applyAtToken(requests, 5, func() { fleet.fallSilent(5 * time.Second) })
	outcomes := fleet.sendAll(requests)
	assert.True(t, outcomes["stream"].complete, "%v", outcomes["stream"])
	fleet.checkOutcomes(outcomes, requests)
}

// TestSilentUpstreamIsReplacedInTime guards against a dead upstream whose requests wait for it although another one is free.
func TestSilentUpstreamIsReplacedInTime(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 2)
	fleet.setFaults(fleet.engineServer, `{"e0":{"freeze":true}}`)
	requests := map[string]testRequest{}
	for i := range 8 {
		requests[fmt.Sprint(i)] = generateRequest(fmt.Sprint("dead ", i), 10, i%2 == 0)
	}
	outcomes := fleet.sendAll(requests)
	for _, o := range outcomes {
		assert.True(t, o.complete, "%v", o)
		assert.Less(t, o.duration, 7*time.Second, "%v", o)
	}
	fleet.checkOutcomes(outcomes, requests)
}

// TestDeadUpstreamThatNothingReplacesEndsAtDeadline guards against a request that outlives its deadline, or a false run status, when its
// upstream never goes on.
func TestDeadUpstreamThatNothingReplacesEndsAtDeadline(t *testing.T) {
	t.Parallel()
	fleet := newTestFleet(t, 1, 1)
	fleet.setFaults(fleet.engineServer, `{"*":{"freeze":true}}`)
	q := generateRequest("dead", 10, false)
	q.deadline = 5 * time.Second
	o := fleet.send(context.Background(), 0, q)
	assert.True(t, o.isRefusal(code.DeadlinePassed, code.Unknown), "%v", o)
	assert.Less(t, o.duration, 7*time.Second)
}
