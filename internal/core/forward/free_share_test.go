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

// TestEntriesShareWhatIsFree is the load of several entries before one engine with some free places, of which all hear at the same moment.
// Together they must not give it much more than it has room for, and not much less.
func TestEntriesShareWhatIsFree(t *testing.T) {
	const entries, slots, occupied, rounds = 5, 12, 6, 200
	for _, dataCentre := range []string{"perth-a", "bunbury-a"} {
		sent := 0
		for round := range uint64(rounds) {
			for entry := range uint64(entries) {
				r := newRig()
				r.rand = round*entries + entry
				r.add("m1", "model", dataCentre, slots)
				told := forward.LoadTold{Address: "m1", Occupied: occupied, Versions: map[string]int64{"m": 1}, Entries: entries}
				if dataCentre == "perth-a" {
					told.Near = entries
				}
				r.step(told)
				for id := uint64(1); id <= slots; id++ {
					sent += len(sends(r.arrive(id, reports)))
				}
			}
		}
		free := map[string]int{"perth-a": slots - occupied, "bunbury-a": slots - occupied - 2}[dataCentre]
		require.InDelta(t, rounds*free, sent, rounds*0.4, dataCentre)
	}
}

// TestAPlaceThatAnEntryFreesIsItsOwn ends a request of an entry that has used its share.
func TestAPlaceThatAnEntryFreesIsItsOwn(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 12)
	told := forward.LoadTold{Address: "m1", Occupied: 8, Versions: map[string]int64{"m": 1}, Entries: 4, Near: 4}
	r.step(told)
	require.Len(t, sends(r.arrive(1, reports)), 1)
	require.Empty(t, sends(r.arrive(2, reports)))
	require.Equal(t, []uint64{2}, sends(r.step(forward.SendEnded{ID: 1, Outcome: forward.Answered})))
	r.now += 20 * time.Millisecond
	require.Empty(t, sends(r.arrive(3, reports)))
	require.Equal(t, []uint64{3}, sends(r.step(told)), "the agent's next word brings a new share")
}

// TestBlindSendsPauseAfterOneWasTurnedAway fills all engines that an entry hears of while those it does not hear of are full, too.
func TestBlindSendsPauseAfterOneWasTurnedAway(t *testing.T) {
	r := newFleetRig("entry-1", 70, 0)
	greeted := map[string]bool{}
	for _, u := range r.state.Greet() {
		greeted[u.ID] = true
	}
	for id := range uint64(64) {
		require.True(t, greeted[only[forward.Send](t, r.arrive(id, notes)).Upstream.ID])
	}
	next := uint64(64)
	blind := func() bool {
		next++
		effects := r.arrive(next, notes)
		if len(sends(effects)) == 0 {
			return false
		}
		r.step(forward.SendEnded{ID: next, Outcome: forward.Declined})
		r.step(forward.CallerGone{ID: next})
		return true
	}
	require.True(t, blind())
	require.False(t, blind())
	r.now += 900 * time.Millisecond
	require.False(t, blind())
	r.now += 200 * time.Millisecond
	r.step(step.Tick{})
	require.True(t, blind())
	r.now += 1100 * time.Millisecond
	require.False(t, blind(), "the pause doubles")
}

// TestEnginesOfWhichNobodyTellsAreUsedWhenNoOtherCanBe has all engines that an entry hears of change their version.
func TestEnginesOfWhichNobodyTellsAreUsedWhenNoOtherCanBe(t *testing.T) {
	r := newFleetRig("entry-1", 70, 0)
	for _, u := range r.state.Greet() {
		r.step(forward.LoadTold{Address: u.Address, Closing: true, Versions: map[string]int64{"m": 1}})
	}
	var last *catalog.Upstream
	for id := range uint64(6) {
		last = only[forward.Send](t, r.arrive(id, notes)).Upstream
	}
	require.True(t, r.state.Catalog.Upstreams[last.ID] != nil)
}

// TestAChoiceDependsOnItsInputsOnly gives many entries the same events: what one decides must not hang on the order in which it looks.
func TestAChoiceDependsOnItsInputsOnly(t *testing.T) {
	var first []string
	for try := range 20 {
		r := newRig()
		for i := range 12 {
			r.add(fmt.Sprintf("m%d", i), "model", "perth-a", 4)
		}
		var chosen []string
		for id := uint64(1); id <= 12; id++ {
			chosen = append(chosen, only[forward.Send](t, r.arrive(id, reports)).Upstream.ID)
		}
		if try == 0 {
			first = chosen
		}
		require.Equal(t, first, chosen)
	}
}

// TestAFullFleetIsNotFilledFurtherBlindly is the load of more requests than a fleet can take, before an entry that hears of a part of it: what it has no
// place for does not go to the others all at once, and not at all once one of these kept a request waiting.
func TestAFullFleetIsNotFilledFurtherBlindly(t *testing.T) {
	r := newFleetRig("entry-1", 80, 0)
	tell := func() {
		for _, u := range r.state.Greet() {
			r.step(forward.LoadTold{Address: u.Address, Occupied: 1, Versions: map[string]int64{"m": 1}, Entries: 1, Near: 1})
		}
	}
	tell()
	next := uint64(0)
	ask := func(n int) []uint64 {
		var sent []uint64
		for range n {
			next++
			sent = append(sent, sends(r.arrive(next, notes))...)
		}
		r.now += 250 * time.Millisecond // What was not sent is refused.
		r.step(step.Tick{})
		return sent
	}
	blind := ask(10)
	require.Len(t, blind, 3)
	require.Empty(t, ask(1), "three wait there for their first events")
	r.step(forward.Began{ID: blind[0]})
	require.Empty(t, ask(1), "one of them waited for over half of its objective")
	r.step(forward.Began{ID: blind[1]})
	r.step(forward.Began{ID: blind[2]})
	require.Empty(t, ask(1), "and the pause doubles")
	r.now += 4 * time.Second
	tell()
	require.Len(t, ask(10), 3)
}
