package member_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/member"
	"samphireweir.example/samphireweir/internal/core/record"
	"samphireweir.example/samphireweir/internal/core/step"
)

// newServingState returns a state with the given number of agents that serve one service, and their addresses.
func newServingState(t *testing.T, agents int) (s *member.State, addresses []string) {
	t.Helper()
	s = member.NewState("10.0.1.1:1")
	var records []record.Record
	put := func(key string, value any) {
		raw, err := json.Marshal(value)
		require.NoError(t, err)
		records = append(records, record.Record{Key: key, Version: record.Version{Major: 1}, Value: raw})
	}
	for i := range agents {
		address := fmt.Sprintf("10.0.0.%d:1", i)
		addresses = append(addresses, address)
		put(member.ListPrefix+address, member.Listed{Address: address, Role: member.Agent, Place: "p", Region: "r", State: "live"})
		up := member.Upstream{Name: "e", Team: "karrakin", Service: "summary", Phase: member.Serving}
		put(member.AdvertPrefix+address, member.Advert{Address: address, Upstreams: []member.Upstream{up}})
	}
	s.ApplyRecords(records)
	return s, addresses
}

// TestUnreachableHostsAreUsedOnlyIfAllAreUnreachable checks that an unreachable host gets no requests while other hosts are
// reachable, but that all hosts are used when all are unreachable. To a process that was stalled for a while, every other
// host seems to be unreachable. It must not reject all requests because of that.
func TestUnreachableHostsAreUsedOnlyIfAllAreUnreachable(t *testing.T) {
	s, addresses := newServingState(t, 3)
	now := time.Unix(1000, 0)
	candidateAddresses := func(now time.Time) []string {
		var found []string
		for _, c := range s.Candidates(now, "karrakin", "summary") {
			found = append(found, c.Address)
		}
		return found
	}
	require.Equal(t, addresses, candidateAddresses(now))
	for i, address := range addresses[:2] {
		s.Reduce(step.Input{Now: now, Event: member.CallFailed{Address: address}})
		require.Equal(t, addresses[i+1:], candidateAddresses(now))
	}
	s.Reduce(step.Input{Now: now, Event: member.CallFailed{Address: addresses[2]}})
	require.Equal(t, addresses, candidateAddresses(now), "all are unreachable")
	s.Reduce(step.Input{Now: now, Event: member.CallSucceeded{Address: addresses[0]}})
	require.Equal(t, addresses[:1], candidateAddresses(now), "one is known to answer")
	require.Equal(t, addresses, candidateAddresses(now.Add(member.UnreachableDuration)))
}
