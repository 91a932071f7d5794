package forward_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
)

// newFleetRig is an entry with engines in its data centre and elsewhere.
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

func TestASmallFleetsAgentsAreAllGreeted(t *testing.T) {
	r := newFleetRig("entry-1", 15, 30)
	r.add("d1", "desk", "perth-a", 6)
	require.Len(t, r.state.Greet(), 45)
}

// TestALargeFleetsAgentsAreEachGreetedBySomeEntries has the entries of a data centre greet a part of the agents each.
func TestALargeFleetsAgentsAreEachGreetedBySomeEntries(t *testing.T) {
	const entries, near, far = 40, 100, 200
	counts := map[string]int{}
	for i := range entries {
		for _, u := range newFleetRig(fmt.Sprintf("entry-%d", i), near, far).state.Greet() {
			counts[u.ID]++
		}
	}
	for i := range near {
		require.Greater(t, counts[fmt.Sprintf("near-%d", i)], entries/4)
	}
	for i := range far {
		require.Less(t, counts[fmt.Sprintf("far-%d", i)], entries/2, "entries of other data centres must not meet at the same agents")
	}
}

// TestTheBudgetIsSharedByAllEntriesAlsoWhereEachGreetsAPart gives an entry the word of an agent that a part of the entries greets, and
// counts how many repeats it allows itself.
func TestTheBudgetIsSharedByAllEntriesAlsoWhereEachGreetsAPart(t *testing.T) {
	repeats := func(near, far int, told forward.LoadTold) int {
		r := newFleetRig("entry-1", near, far)
		for i := range 20 {
			r.add(fmt.Sprintf("desk-%d", i), "desk", "perth-a", 100)
		}
		r.state.Greet()
		told.Address = "near-0"
		r.step(told)
		count := 0
		for id := range uint64(60) {
			r.arrive(id, lookups)
			for _, e := range r.step(forward.SendEnded{ID: id, Outcome: forward.Declined}) {
				if _, again := e.(forward.Send); again {
					count++
				}
			}
		}
		return count
	}
	// 128 agents here and 320 elsewhere: half and a tenth are greeted, so that 5 and 3 entries stand for 10 and 30.
	part := repeats(128, 320, forward.LoadTold{Entries: 8, Near: 5})
	whole := repeats(10, 20, forward.LoadTold{Entries: 40, Near: 10})
	require.Equal(t, whole, part)
	require.Less(t, whole, repeats(10, 20, forward.LoadTold{Entries: 8, Near: 5}))
}

func TestAnEngineThatIsNotGreetedIsUsedWhenTheOthersAreFull(t *testing.T) {
	r := newFleetRig("entry-1", 70, 0)
	greeted := map[string]bool{}
	for _, u := range r.state.Greet() {
		greeted[u.ID] = true
	}
	require.Len(t, greeted, 64)
	for id := range uint64(64) {
		send := only[forward.Send](t, r.arrive(id, notes))
		require.True(t, greeted[send.Upstream.ID])
	}
	send := only[forward.Send](t, r.arrive(64, notes))
	require.False(t, greeted[send.Upstream.ID])
}

// TestAnAgentThatHasJustStartedDoesNotEnlargeTheBudgetOfRepeats guards against an entry that takes the whole fleet's repeats for its own, since the
// agent that spoke last has heard of no other entry yet.
func TestAnAgentThatHasJustStartedDoesNotEnlargeTheBudgetOfRepeats(t *testing.T) {
	repeats := func(counts ...int) int {
		r := newRig()
		r.add("m1", "model", "perth-a", 6)
		for i := range 20 {
			r.add(fmt.Sprintf("d%d", i), "desk", "perth-a", 6)
		}
		for _, n := range counts {
			r.step(forward.LoadTold{Address: "m1", Versions: map[string]int64{"m": 1}, Entries: n, Near: n})
		}
		count := 0
		for id := range uint64(60) {
			r.arrive(id, lookups)
			count += len(sends(r.step(forward.SendEnded{ID: id, Outcome: forward.Declined})))
		}
		return count
	}
	require.Positive(t, repeats(20))
	require.Equal(t, repeats(20), repeats(20, 1))
}
