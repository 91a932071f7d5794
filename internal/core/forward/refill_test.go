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

// newEngineRig is a rig whose manifest says how its engines read: usual prompts of a thousand tokens, in 50 ms each.
func newEngineRig() *rig {
	r := newRig()
	m := *r.state.Catalog.Manifest
	m.Services = map[string]*catalog.Service{"model": {Name: "model", Engine: &catalog.Engine{Slots: 8, ReadRate: 20000, UsualPrompt: 1000, Models: []string{"m"}}}}
	r.believe(catalog.ManifestRead{Revision: 2, Manifest: &m})
	return r
}

// TestAnEngineThatComesBackEmptyIsFilledAsFastAsItReads is the load of an engine that takes work again after it changed its weights, before
// seven entries at each of which more waits than it can take. All hear of its eight free places at the same moment; it reads two
// prompts until their next word of it.
func TestAnEngineThatComesBackEmptyIsFilledAsFastAsItReads(t *testing.T) {
	const entries, waiting, rounds = 7, 8, 200
	sent := 0
	for round := range uint64(rounds) {
		for entry := range uint64(entries) {
			r := newEngineRig()
			r.rand = round*entries + entry
			r.add("m1", "model", "perth-a", 8)
			told := forward.LoadTold{Address: "m1", Closing: true, Versions: map[string]int64{"m": 1}, Entries: entries, Near: entries}
			r.step(told)
			for id := uint64(1); id <= waiting; id++ {
				require.Empty(t, sends(r.prompt(id, 10)))
			}
			told.Closing = false
			sent += len(sends(r.step(told)))
		}
	}
	require.InDelta(t, 1.8*rounds, sent, 0.4*rounds, "90 ms of reading are 1.8 prompts")
}

// TestAFrozenHostGetsNothingWhileOthersAreFull is the load of a fleet that is nearly full when the host of one engine freezes: its agent falls
// silent and a request there does not begin. What finds no place elsewhere waits for one.
func TestAFrozenHostGetsNothingWhileOthersAreFull(t *testing.T) {
	r := newEngineRig()
	r.add("frozen", "model", "perth-a", 8)
	r.add("well", "model", "perth-a", 1)
	well := forward.LoadTold{Address: "well", Occupied: 0, Versions: map[string]int64{"m": 1}, Entries: 1, Near: 1}
	frozen := well
	frozen.Address = "frozen"
	r.step(frozen)
	r.step(well)
	for id := uint64(1); id <= 2; id++ {
		require.Len(t, sends(r.prompt(id, 10)), 1)
	}
	for range 30 { // 600 ms, more than the objective, in which only one agent speaks and only one request begins.
		r.now += 20 * time.Millisecond
		well.Occupied = 1
		r.step(well)
		r.step(step.Tick{})
	}
	require.Empty(t, sends(r.prompt(3, 10)), "the frozen engine has seven places by its agent's last word")
	well.Occupied = 0
	for id := uint64(1); id <= 2; id++ {
		r.step(forward.SendEnded{ID: id, Outcome: forward.Answered})
	}
	r.step(well)
	require.Equal(t, 1, r.state.Open(), "the third went to the engine that is well")
}

// TestSilentAgentsAreNoReasonToRefuse has the agents of all engines fall silent, as for an entry that hears no datagrams.
func TestSilentAgentsAreNoReasonToRefuse(t *testing.T) {
	r := newEngineRig()
	r.add("m1", "model", "perth-a", 8)
	r.step(forward.LoadTold{Address: "m1", Versions: map[string]int64{"m": 1}, Entries: 1, Near: 1})
	r.now += 2 * time.Second
	r.step(step.Tick{})
	require.Len(t, sends(r.prompt(1, 10)), 1)
}

// TestAnEngineThatKeepsARequestWaitingIsUsedLast has an engine that reads its agent's words hang on one request.
func TestAnEngineThatKeepsARequestWaitingIsUsedLast(t *testing.T) {
	r := newEngineRig()
	r.add("hangs", "model", "perth-a", 8)
	hangs := forward.LoadTold{Address: "hangs", Versions: map[string]int64{"m": 1}, Entries: 1, Near: 1}
	r.step(hangs)
	require.Len(t, sends(r.prompt(1, 10)), 1)
	r.now += 600 * time.Millisecond
	r.step(step.Tick{})
	hangs.Occupied = 1
	r.step(hangs)
	r.add("far", "model", "bunbury-a", 8)
	r.step(forward.LoadTold{Address: "far", Versions: map[string]int64{"m": 1}, Entries: 1})
	require.Equal(t, "far", only[forward.Send](t, r.prompt(2, 10)).Upstream.ID)
	r.step(forward.Began{ID: 1})
	r.step(step.Tick{})
	require.Equal(t, "hangs", only[forward.Send](t, r.prompt(3, 10)).Upstream.ID, "it answers again, and is nearer")
}

// TestAFleetWithoutWeightsIsNotAskedBlindly is the load after all hosts lost power: the store still tells of engines as they were, and the agents
// that an entry hears say that theirs hold nothing. Requests are refused at once and asked to come back late, in place of being sent to
// the engines of which nobody tells.
func TestAFleetWithoutWeightsIsNotAskedBlindly(t *testing.T) {
	r := newFleetRig("entry-1", 80, 0)
	for _, u := range r.state.Greet() {
		r.step(forward.LoadTold{Address: u.Address, Entries: 35, Near: 35})
	}
	refuse := only[forward.Refuse](t, r.arrive(1, notes))
	require.GreaterOrEqual(t, refuse.RetryAfter, 2*time.Second)
}

// TestBlindSendsAreShared has the engines that an entry hears of be full, with 35 entries before the fleet: at an engine of which nobody tells
// it has no more than its part of eight places, which is one request at a time.
func TestBlindSendsAreShared(t *testing.T) {
	r := newFleetRig("entry-1", 65, 0)
	for i := range 65 {
		r.add(fmt.Sprintf("near-%d", i), "model", "perth-a", 8)
	}
	for _, u := range r.state.Greet() {
		r.step(forward.LoadTold{Address: u.Address, Occupied: 99, Versions: map[string]int64{"m": 1}, Entries: 35, Near: 35})
	}
	sent := 0
	for id := range uint64(5) {
		sent += len(sends(r.arrive(id+1, notes)))
	}
	require.Equal(t, 1, sent)
}
