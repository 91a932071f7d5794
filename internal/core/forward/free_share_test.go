package forward_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
)

// TestEntriesShareFreeSlots guards against several entries that all fill an engine's free slots at once, because they receive the
// same load report. Together they must send it about as many requests as it has capacity for.
func TestEntriesShareFreeSlots(t *testing.T) {
	const entries, slots, occupied, rounds = 5, 12, 6, 200
	for _, dataCentre := range []string{"perth-a", "bunbury-a"} {
		sent := 0
		for round := range uint64(rounds) {
			for entry := range uint64(entries) {
				r := newRig()
				r.rand = round*entries + entry
				r.add("m1", "model", dataCentre, slots)
				report := forward.LoadReported{Address: "m1", RequestCount: occupied, Versions: map[string]int64{"m": 1}, Entries: entries}
				if dataCentre == "perth-a" {
					report.NearEntries = entries
				}
				r.step(report)
				for id := uint64(1); id <= slots; id++ {
					sent += len(sentIDs(r.arrive(id, resumableStream)))
				}
			}
		}
		free := map[string]int{"perth-a": slots - occupied, "bunbury-a": slots - occupied - 2}[dataCentre]
		require.InDelta(t, rounds*free, sent, rounds*0.4, dataCentre)
	}
}

// TestEntryMayReuseASlotThatItFrees guards against a slot that stays unused because the entry has used its share and the next load
// report is still to come.
func TestEntryMayReuseASlotThatItFrees(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 12)
	report := forward.LoadReported{Address: "m1", RequestCount: 8, Versions: map[string]int64{"m": 1}, Entries: 4, NearEntries: 4}
	r.step(report)
	require.Len(t, sentIDs(r.arrive(1, resumableStream)), 1)
	require.Empty(t, sentIDs(r.arrive(2, resumableStream)))
	require.Equal(t, []uint64{2}, sentIDs(r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Answered})))
	r.now += 20 * time.Millisecond
	require.Empty(t, sentIDs(r.arrive(3, resumableStream)))
	require.Equal(t, []uint64{3}, sentIDs(r.step(report)), "the next load report brings a new share")
}

// TestUnreportedEnginesArePausedAfterADecline guards against requests to unreported engines when the whole fleet is full.
func TestUnreportedEnginesArePausedAfterADecline(t *testing.T) {
	r := newFleetRig("entry-1", 70, 0)
	targets := map[string]bool{}
	for _, u := range r.state.ChooseHeartbeatTargets() {
		targets[u.ID] = true
	}
	for id := range uint64(64) {
		require.True(t, targets[only[forward.Send](t, r.arrive(id, nonResumableStream)).Upstream.ID])
	}
	next := uint64(64)
	sentUnreported := func() bool {
		next++
		effects := r.arrive(next, nonResumableStream)
		if len(sentIDs(effects)) == 0 {
			return false
		}
		r.step(forward.AttemptEnded{ID: next, Outcome: forward.Declined})
		r.step(forward.CallerGone{ID: next})
		return true
	}
	require.True(t, sentUnreported())
	require.False(t, sentUnreported())
	r.now += 900 * time.Millisecond
	require.False(t, sentUnreported())
	r.now += 200 * time.Millisecond
	r.step(step.Tick{})
	require.True(t, sentUnreported())
	r.now += 1100 * time.Millisecond
	require.False(t, sentUnreported(), "the pause doubles")
}

// TestUnreportedEnginesAreUsedWhenNoOtherIsUsable guards against refusals while all engines with a load report are loading a
// version.
func TestUnreportedEnginesAreUsedWhenNoOtherIsUsable(t *testing.T) {
	r := newFleetRig("entry-1", 70, 0)
	for _, u := range r.state.ChooseHeartbeatTargets() {
		r.step(forward.LoadReported{Address: u.Address, NotAccepting: true, Versions: map[string]int64{"m": 1}})
	}
	var last *catalog.Upstream
	for id := range uint64(6) {
		last = only[forward.Send](t, r.arrive(id, nonResumableStream)).Upstream
	}
	require.True(t, r.state.Catalog.Upstreams[last.ID] != nil)
}

// TestChoiceIsDeterministic guards against a choice that depends on the iteration order of a map.
func TestChoiceIsDeterministic(t *testing.T) {
	var first []string
	for try := range 20 {
		r := newRig()
		for i := range 12 {
			r.add(fmt.Sprintf("m%d", i), "model", "perth-a", 4)
		}
		var chosen []string
		for id := uint64(1); id <= 12; id++ {
			chosen = append(chosen, only[forward.Send](t, r.arrive(id, resumableStream)).Upstream.ID)
		}
		if try == 0 {
			first = chosen
		}
		require.Equal(t, first, chosen)
	}
}

// TestRequestsToUnreportedEnginesAreLimitedWhileFull guards against excess requests that fill the queues of unreported engines
// under overload: only some are sent there at once, and none after one of these engines was slow.
func TestRequestsToUnreportedEnginesAreLimitedWhileFull(t *testing.T) {
	r := newFleetRig("entry-1", 80, 0)
	report := func() {
		for _, u := range r.state.ChooseHeartbeatTargets() {
			r.step(forward.LoadReported{Address: u.Address, RequestCount: 1, Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1})
		}
	}
	report()
	next := uint64(0)
	arrive := func(n int) []uint64 {
		var sent []uint64
		for range n {
			next++
			sent = append(sent, sentIDs(r.arrive(next, nonResumableStream))...)
		}
		r.now += 250 * time.Millisecond // Requests that were not sent are refused by now.
		r.step(step.Tick{})
		return sent
	}
	unreported := arrive(10)
	require.Len(t, unreported, 3)
	require.Empty(t, arrive(1), "three requests wait there for their first event")
	r.step(forward.Started{ID: unreported[0]})
	require.Empty(t, arrive(1), "one of them waited longer than half of its objective")
	r.step(forward.Started{ID: unreported[1]})
	r.step(forward.Started{ID: unreported[2]})
	require.Empty(t, arrive(1), "the pause doubles")
	r.now += 4 * time.Second
	report()
	require.Len(t, arrive(10), 3)
}
