package forward_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
)

// newFleetRig returns an entry with engines in its data centre and elsewhere.
func newFleetRig(name string, near, far int) *rig {
	r := newRig()
	r.state.Self.Name = name
	r.state.Catalog.Manifest.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{}}
	for i := range near {
		r.add(fmt.Sprintf("near-%d", i), "model", "perth-a", 1)
	}
	for i := range far {
		r.add(fmt.Sprintf("far-%d", i), "model", "bunbury-a", 1)
	}
	return r
}

// TestAllAgentsOfASmallFleetGetHeartbeats guards against missing load reports where the limits on heartbeats are not reached.
func TestAllAgentsOfASmallFleetGetHeartbeats(t *testing.T) {
	r := newFleetRig("entry-1", 15, 30)
	r.add("d1", "desk", "perth-a", 6)
	require.Len(t, r.state.ChooseHeartbeatTargets(), 45)
}

// TestEachAgentOfALargeFleetGetsHeartbeatsFromSomeEntries guards against agents without heartbeats, and against agents that get
// them from all far entries.
func TestEachAgentOfALargeFleetGetsHeartbeatsFromSomeEntries(t *testing.T) {
	const entries, near, far = 40, 100, 200
	counts := map[string]int{}
	for i := range entries {
		for _, u := range newFleetRig(fmt.Sprintf("entry-%d", i), near, far).state.ChooseHeartbeatTargets() {
			counts[u.ID]++
		}
	}
	for i := range near {
		require.Greater(t, counts[fmt.Sprintf("near-%d", i)], entries/4)
	}
	for i := range far {
		require.Less(t, counts[fmt.Sprintf("far-%d", i)], entries/2, "entries of other data centres must not choose the same agents")
	}
}

// TestRetryBudgetIsSharedWhenEntriesReachPartOfTheAgents guards against a wrong estimate of the number of entries, and so a wrong
// retry budget, when each agent gets heartbeats from a part of the entries only.
func TestRetryBudgetIsSharedWhenEntriesReachPartOfTheAgents(t *testing.T) {
	retries := func(near, far int, report forward.LoadReported) int {
		r := newFleetRig("entry-1", near, far)
		for i := range 20 {
			r.add(fmt.Sprintf("desk-%d", i), "desk", "perth-a", 100)
		}
		r.state.ChooseHeartbeatTargets()
		report.Address = "near-0"
		r.step(report)
		count := 0
		for id := range uint64(60) {
			r.arrive(id, idempotentCall)
			for _, e := range r.step(forward.AttemptEnded{ID: id, Outcome: forward.Declined}) {
				if _, again := e.(forward.Send); again {
					count++
				}
			}
		}
		return count
	}
	// 128 agents here and 320 elsewhere: half and a tenth of them get heartbeats, so 5 and 3 entries represent 10 and 30.
	part := retries(128, 320, forward.LoadReported{Entries: 8, NearEntries: 5})
	complete := retries(10, 20, forward.LoadReported{Entries: 40, NearEntries: 10})
	require.Equal(t, complete, part)
	require.Less(t, complete, retries(10, 20, forward.LoadReported{Entries: 8, NearEntries: 5}))
}

// TestEngineWithoutHeartbeatIsUsedWhenTheOthersAreFull guards against refusals while engines whose agents get no heartbeats have
// capacity.
func TestEngineWithoutHeartbeatIsUsedWhenTheOthersAreFull(t *testing.T) {
	r := newFleetRig("entry-1", 70, 0)
	targets := map[string]bool{}
	for _, u := range r.state.ChooseHeartbeatTargets() {
		targets[u.ID] = true
	}
	require.Len(t, targets, 64)
	for id := range uint64(64) {
		send := only[forward.Send](t, r.arrive(id, nonResumableStream))
		require.True(t, targets[send.Upstream.ID])
	}
	send := only[forward.Send](t, r.arrive(64, nonResumableStream))
	require.False(t, targets[send.Upstream.ID])
}

// TestRestartedAgentDoesNotEnlargeTheRetryBudget guards against an entry that uses the whole fleet's retry budget, because the last
// report came from an agent that has just started and knows no other entry yet.
func TestRestartedAgentDoesNotEnlargeTheRetryBudget(t *testing.T) {
	retries := func(counts ...int) int {
		r := newRig()
		r.add("m1", "model", "perth-a", 6)
		for i := range 20 {
			r.add(fmt.Sprintf("d%d", i), "desk", "perth-a", 6)
		}
		for _, n := range counts {
			r.step(forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 1}, Entries: n, NearEntries: n})
		}
		count := 0
		for id := range uint64(60) {
			r.arrive(id, idempotentCall)
			count += len(sentIDs(r.step(forward.AttemptEnded{ID: id, Outcome: forward.Declined})))
		}
		return count
	}
	require.Positive(t, retries(20))
	require.Equal(t, retries(20), retries(20, 1))
}
