package entry

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core"
)

// TestFleetsWithDifferentSecretsStaySeparate guards against two fleets that mix because a released port is reassigned
// to a process of the other fleet. Listing processes of another fleet must not add their state, send them requests,
// or ask them for records of at-most-once calls.
func TestFleetsWithDifferentSecretsStaySeparate(t *testing.T) {
	t.Parallel()
	own, other := newTestFleet(t, 1, 1), newTestFleet(t, 1, 1)
	require.True(t, other.send(context.Background(), 0, bookingRequest("same key", "other's booking")).complete)
	for _, a := range other.agents {
		own.addToHostList(a.Address(), "agent")
	}
	own.addToHostList(other.entries[0].Address(), "entry")
	foreign := []string{other.agents[0].Address(), other.entries[0].Address()}
	own.eventually("the foreign processes were called and refused the calls", func() bool {
		refused := 0
		own.entries[0].Loop.View(func(s *core.State) {
			for _, address := range foreign {
				if h := s.Members.Hosts[address]; h != nil && !h.UnreachableUntil.IsZero() {
					refused++
				}
			}
		})
		return refused == len(foreign)
	})
	requests := mixedRequests(3)
	outcomes := own.sendAll(requests)
	for name, o := range outcomes {
		assert.True(t, o.complete || o.problem != nil, "%s: %v", name, o)
		if requests[name].key == "" {
			assert.True(t, o.complete, "%s: %v", name, o)
		}
	}
	own.checkOutcomes(outcomes, requests)
	assert.Equal(t, 1, own.candidateCount(own.entries[0], "summary"))
	assert.Equal(t, 1, own.candidateCount(own.entries[0], "portal"))
}
