package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
)

// lives registers an engine again and again under one id.
func (r *rig) lives(id string, born int64) {
	r.next++
	r.believe(catalog.UpstreamChanged{Upstream: &catalog.Upstream{
		ID: id, Born: born, Service: "model", Address: id, DataCentre: "perth-a", Slots: 4, Revision: int64(r.next), Versions: map[string]int64{"m": 1},
	}})
}

// TestARequestThatBringsOneEngineDownAgainAndAgainIsHeldBack has the only engine crash under a request and start again under its id.
func TestARequestThatBringsOneEngineDownAgainAndAgainIsHeldBack(t *testing.T) {
	r := newRig()
	ask := func(id uint64) forward.Arrived {
		return forward.Arrived{ID: id, Host: "h", Path: reports, Key: "key-1", Model: "m", Fingerprint: 7}
	}
	for life := int64(1); life <= 3; life++ {
		r.lives("m1", life)
		r.step(forward.LoadTold{Address: "m1", Born: life, Versions: map[string]int64{"m": 1}})
		only[forward.Send](t, r.step(ask(uint64(life))))
		r.step(forward.SendEnded{ID: uint64(life), Outcome: forward.Broken})
		suspected := r.step(forward.LoadTold{Address: "m1", Born: life + 1})
		require.Len(t, suspected, map[bool]int{true: 1}[life == 3], "life %d", life)
	}
	r.lives("m1", 4)
	only[forward.Refuse](t, r.step(ask(9)))
}

// TestANewLifeStartsWithoutThePastOfTheOneBefore has an engine fail until it is avoided, and start again.
func TestANewLifeStartsWithoutThePastOfTheOneBefore(t *testing.T) {
	r := newRig()
	r.lives("m1", 100)
	only[forward.Send](t, r.arrive(1, reports))
	r.step(forward.SendEnded{ID: 1, Outcome: forward.NotSent})
	only[forward.Refuse](t, r.arrive(2, reports))
	r.lives("m1", 200)
	only[forward.Send](t, r.arrive(3, reports))
}

// TestALateWordOnAnEarlierLifeChangesNothing has a datagram of before the engine's start come late, and a request that broke in the earlier
// life be sent to the new one.
func TestALateWordOnAnEarlierLifeChangesNothing(t *testing.T) {
	r := newRig()
	r.lives("m1", 100)
	only[forward.Send](t, r.arrive(1, reports))
	r.lives("m1", 200)
	r.step(forward.LoadTold{Address: "m1", Born: 200, Versions: map[string]int64{"m": 1}})
	r.step(forward.LoadTold{Address: "m1", Born: 100, Closing: true, Occupied: 4})
	again := only[forward.Send](t, r.step(forward.SendEnded{ID: 1, Outcome: forward.Broken}))
	require.Equal(t, int64(200), again.Upstream.Born)
}

// TestAnEntryThatClaimsManyPlacesGetsNoMoreThanTheServiceHas has another writer claim a thousand places for an engine of two.
func TestAnEntryThatClaimsManyPlacesGetsNoMoreThanTheServiceHas(t *testing.T) {
	r := newRig()
	r.state.Catalog.Manifest.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{Slots: 2}}
	r.add("m1", "model", "perth-a", 1000)
	r.step(forward.LoadTold{Address: "m1", Versions: map[string]int64{"m": 1}})
	only[forward.Send](t, r.arrive(1, reports))
	r.now += 10 * time.Millisecond
	only[forward.Send](t, r.arrive(2, reports))
	require.Empty(t, sends(r.arrive(3, reports)))
}

// TestAnUpstreamWhoseAddressHasAnotherGetsNothing is the pattern of hosts that lost power: engines come back under other ids at their addresses, and the
// store still holds the entries of before for seconds.
func TestAnUpstreamWhoseAddressHasAnotherGetsNothing(t *testing.T) {
	register := func(r *rig, id string, born int64, versions map[string]int64) {
		r.next++
		r.believe(catalog.UpstreamChanged{Upstream: &catalog.Upstream{
			ID: id, Born: born, Service: "model", Address: "10.0.0.9:8080", DataCentre: "perth-a", Slots: 4, Revision: int64(r.next), Versions: versions,
		}})
	}
	told := func(r *rig, versions map[string]int64) {
		r.step(forward.LoadTold{Address: "10.0.0.9:8080", Born: 200, Versions: versions, Entries: 1, Near: 1})
	}
	starting := func(r *rig) { r.step(forward.LoadTold{Address: "10.0.0.9:8080", Entries: 1, Near: 1}) }
	for _, toldFirst := range []bool{true, false} {
		r := newRig()
		register(r, "before", 100, map[string]int64{"m": 1})
		if toldFirst {
			told(r, nil)
			register(r, "after", 200, nil)
		} else {
			register(r, "after", 200, nil)
			starting(r)
			only[forward.Refuse](t, r.arrive(10, reports))
			told(r, nil)
		}
		only[forward.Refuse](t, r.arrive(1, reports))
		register(r, "after", 200, nil)
		told(r, map[string]int64{"m": 1})
		for id := uint64(2); id <= 5; id++ {
			r.now += 10 * time.Millisecond
			require.Equal(t, "after", only[forward.Send](t, r.arrive(id, reports)).Upstream.ID, "told first: %v", toldFirst)
		}
	}
}

// TestAHostWhoseClockJumpedBackIsUsedAgain has an engine start while its host's time of day is ahead, and again under another id when that has jumped
// back: the later life has the earlier start.
func TestAHostWhoseClockJumpedBackIsUsedAgain(t *testing.T) {
	r := newRig()
	register := func(id string, born int64) {
		r.next++
		r.believe(catalog.UpstreamChanged{Upstream: &catalog.Upstream{
			ID: id, Born: born, Service: "model", Address: "10.0.0.9:8080", DataCentre: "perth-a", Slots: 4, Revision: int64(r.next), Versions: map[string]int64{"m": 1},
		}})
	}
	told := func(born int64) {
		r.step(forward.LoadTold{Address: "10.0.0.9:8080", Born: born, Versions: map[string]int64{"m": 1}, Entries: 1, Near: 1})
	}
	register("ahead", 2_400_000)
	told(2_400_000)
	register("back", 1_000)
	r.believe(catalog.UpstreamRemoved{ID: "ahead", Revision: 100})
	for range 10 {
		r.now += 300 * time.Millisecond
		told(1_000)
	}
	require.Equal(t, "back", only[forward.Send](t, r.arrive(1, reports)).Upstream.ID)
}
