package forward_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// newEngineRig returns a rig whose manifest declares the engines' prefill: usual prompts of 1000 tokens, which take 50 ms each.
func newEngineRig() *rig {
	r := newRig()
	m := *r.state.Catalog.Manifest
	m.Services = map[string]*catalog.Service{"model": {Name: "model", Engine: &catalog.Engine{Slots: 8, PromptTokensPerSecond: 20000, MeanPromptTokens: 1000, Models: []string{"m"}}}}
	r.applyCatalog(catalog.ManifestRead{Revision: storerev.Revision{Number: 2}, Manifest: &m})
	return r
}

// TestReturningEngineIsFilledAtItsPrefillRate guards against overfilling an engine that accepts requests again after a change of
// weights. Each of seven entries has more queued than the engine can take, and all receive its eight free slots in the same report.
// Until the next report the engine processes two prompts.
func TestReturningEngineIsFilledAtItsPrefillRate(t *testing.T) {
	const entries, waiting, rounds = 7, 8, 200
	sent := 0
	for round := range uint64(rounds) {
		for entry := range uint64(entries) {
			r := newEngineRig()
			r.rand = round*entries + entry
			r.add("m1", "model", "perth-a", 8)
			report := forward.LoadReported{Address: "m1", NotAccepting: true, Versions: map[string]int64{"m": 1}, Entries: entries, NearEntries: entries}
			r.step(report)
			for id := uint64(1); id <= waiting; id++ {
				require.Empty(t, sentIDs(r.arrivePrompt(id, 10)))
			}
			report.NotAccepting = false
			sent += len(sentIDs(r.step(report)))
		}
	}
	require.InDelta(t, 1.8*rounds, sent, 0.4*rounds, "90 ms of prefill are 1.8 prompts")
}

// TestFrozenHostGetsNoRequestsWhileOthersAreFull guards against requests that hang on a frozen host when the fleet is nearly full.
// Its agent stops sending reports, and a request there does not start. Other requests must wait for a slot elsewhere.
func TestFrozenHostGetsNoRequestsWhileOthersAreFull(t *testing.T) {
	r := newEngineRig()
	r.add("frozen", "model", "perth-a", 8)
	r.add("well", "model", "perth-a", 1)
	healthy := forward.LoadReported{Address: "well", RequestCount: 0, Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1}
	frozen := healthy
	frozen.Address = "frozen"
	r.step(frozen)
	r.step(healthy)
	for id := uint64(1); id <= 2; id++ {
		require.Len(t, sentIDs(r.arrivePrompt(id, 10)), 1)
	}
	for range 30 { // 600 ms, more than the objective, in which only one agent sends reports and only one request starts.
		r.now += 20 * time.Millisecond
		healthy.RequestCount = 1
		r.step(healthy)
		r.step(step.Tick{})
	}
	require.Empty(t, sentIDs(r.arrivePrompt(3, 10)), "the frozen engine has seven free slots according to its last report")
	healthy.RequestCount = 0
	for id := uint64(1); id <= 2; id++ {
		r.step(forward.AttemptEnded{ID: id, Outcome: forward.Answered})
	}
	r.step(healthy)
	require.Equal(t, 1, r.state.InFlight(), "the third went to the healthy engine")
}

// TestStaleReportsAreNoReasonToRefuse guards against refusals by an entry that receives no datagrams, or whose engines are all silent, so that
// the reports of all agents are stale. That holds for any number of engines, and from the first stale report on.
func TestStaleReportsAreNoReasonToRefuse(t *testing.T) {
	for _, engines := range []int{1, 12} {
		for _, age := range []time.Duration{800 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
			r := newEngineRig()
			for n := range engines {
				id := fmt.Sprint("m", n)
				r.add(id, "model", "perth-a", 8)
				r.step(forward.LoadReported{Address: id, Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1})
			}
			r.now += age
			r.step(step.Tick{})
			require.Len(t, sentIDs(r.arrivePrompt(1, 10)), 1, "%d engines, %v", engines, age)
		}
	}
}

// TestEngineWithOverdueRequestIsUsedLast guards against more requests to an engine that hangs on one, although its agent still
// sends reports.
func TestEngineWithOverdueRequestIsUsedLast(t *testing.T) {
	r := newEngineRig()
	r.add("hangs", "model", "perth-a", 8)
	hangs := forward.LoadReported{Address: "hangs", Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1}
	r.step(hangs)
	require.Len(t, sentIDs(r.arrivePrompt(1, 10)), 1)
	r.now += 600 * time.Millisecond
	r.step(step.Tick{})
	hangs.RequestCount = 1
	r.step(hangs)
	r.add("far", "model", "bunbury-a", 8)
	r.step(forward.LoadReported{Address: "far", Versions: map[string]int64{"m": 1}, Entries: 1})
	require.Equal(t, "far", only[forward.Send](t, r.arrivePrompt(2, 10)).Upstream.ID)
	r.step(forward.Started{ID: 1})
	r.step(step.Tick{})
	require.Equal(t, "hangs", only[forward.Send](t, r.arrivePrompt(3, 10)).Upstream.ID, "it answers again and is nearer")
}

// TestUnreportedEnginesAreNotUsedWhileReportedOnesAreEmpty guards against requests to unreported engines after all hosts lost
// power. The store still lists the engines as before, but all load reports say that they hold nothing. Requests must be refused at
// once with a long Retry-After delay.
func TestUnreportedEnginesAreNotUsedWhileReportedOnesAreEmpty(t *testing.T) {
	r := newFleetRig("entry-1", 80, 0)
	for _, u := range r.state.ChooseHeartbeatTargets() {
		r.step(forward.LoadReported{Address: u.Address, Entries: 35, NearEntries: 35})
	}
	refuse := only[forward.Refuse](t, r.arrive(1, nonResumableStream))
	require.GreaterOrEqual(t, refuse.RetryAfter, 2*time.Second)
}

// TestRequestsToUnreportedEnginesAreShared guards against 35 entries that fill an unreported engine when all reported ones are
// full. Each entry's share of eight slots is one request at a time.
func TestRequestsToUnreportedEnginesAreShared(t *testing.T) {
	r := newFleetRig("entry-1", 65, 0)
	for i := range 65 {
		r.add(fmt.Sprintf("near-%d", i), "model", "perth-a", 8)
	}
	for _, u := range r.state.ChooseHeartbeatTargets() {
		r.step(forward.LoadReported{Address: u.Address, RequestCount: 99, Versions: map[string]int64{"m": 1}, Entries: 35, NearEntries: 35})
	}
	sent := 0
	for id := range uint64(5) {
		sent += len(sentIDs(r.arrive(id+1, nonResumableStream)))
	}
	require.Equal(t, 1, sent)
}
