package forward_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/balance"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
)

// TestCallersOfAnEvacuatedDataCentreAreServedLikeOthers names this load: one of three full data centres is evacuated. It guards against
// callers of the evacuated data centre who are served less than the others because the engines that are left are full of nearer requests,
// against slots that are left free for fairness, and against requests that are moved after the data centre is back.
func TestCallersOfAnEvacuatedDataCentreAreServedLikeOthers(t *testing.T) {
	for _, lossy := range []bool{false, true} {
		s := newSimulation()
		s.lossy = lossy
		s.run(5 * time.Second)
		s.evacuate("perth-a")
		s.run(5 * time.Second)
		s.resetCounts()
		s.run(60 * time.Second)
		p, b, k := s.served()
		t.Logf("lossy %v: served %.3f %.3f %.3f", lossy, p, b, k)
		require.InDelta(t, b, p, .05)
		require.InDelta(t, k, p, .05)
		require.InDelta(t, k, b, .05)
		require.Greater(t, p+b+k, 1.88, "of 2")
		s.evacuate()
		s.run(6 * time.Second)
		s.resetCounts()
		s.run(10 * time.Second)
		p, b, k = s.served()
		require.Greater(t, min(p, b, k), .85, "after the return")
		require.Less(t, s.moved["perth-a"], .1*s.offered["perth-a"])
	}
}

// TestBoundRequestsKeepRoomAtHome names this load: one data centre is asked for 1.6 times its slots, half of it bound to its region, and the
// others for half of theirs. It guards against bound requests that are refused while unbound ones take their slots, and against moved
// requests while the data centre has room.
func TestBoundRequestsKeepRoomAtHome(t *testing.T) {
	s := newSimulation()
	s.load = map[string]float64{"perth-a": 1.6, "bunbury-a": .5, "karratha-a": .5}
	s.bound["perth-a"] = .5
	s.run(8 * time.Second)
	s.resetCounts()
	s.run(20 * time.Second)
	p, b, k := s.served()
	t.Logf("served %.3f %.3f %.3f, moved %v of %v", p, b, k, s.moved, s.offered)
	require.Greater(t, min(p, b, k), .95)
	require.Less(t, s.moved["bunbury-a"]+s.moved["karratha-a"], .01*s.offered["perth-a"])
}

// TestOverloadOfOneDataCentreIsShared names this load: all data centres are full, one is asked for 1.8 times its slots, and three in ten of
// all requests are bound to their region. It guards against callers of that data centre who are served less than the others.
func TestOverloadOfOneDataCentreIsShared(t *testing.T) {
	s := newSimulation()
	s.load["perth-a"] = 1.8
	for _, c := range centres {
		s.bound[c] = .3
	}
	s.run(10 * time.Second)
	s.resetCounts()
	s.run(60 * time.Second)
	p, b, k := s.served()
	t.Logf("served %.3f %.3f %.3f", p, b, k)
	require.InDelta(t, b, p, .05)
	require.InDelta(t, k, p, .05)
	require.InDelta(t, k, b, .05)
}

// TestDemandThatTurnsAroundIsFollowed names this load: demand moves from one data centre to another within a second, and the reports are
// late and half of them are lost. It guards against requests that are refused for long after that, or moved back and forth.
func TestDemandThatTurnsAroundIsFollowed(t *testing.T) {
	s := newSimulation()
	s.lossy = true
	s.load = map[string]float64{"perth-a": 1.5, "bunbury-a": .3, "karratha-a": .5}
	s.run(10 * time.Second)
	s.load = map[string]float64{"perth-a": .3, "bunbury-a": 1.5, "karratha-a": .5}
	s.run(6 * time.Second)
	s.resetCounts()
	s.run(20 * time.Second)
	p, b, k := s.served()
	t.Logf("served %.3f %.3f %.3f, moved %v of %v", p, b, k, s.moved, s.offered)
	require.Greater(t, min(p, b, k), .93)
	require.Less(t, s.moved["perth-a"], .05*s.offered["perth-a"], "it has room again")
}

// TestEntryWithoutReportsServesAsBefore names this load: under an evacuation, one entry restarts and agents go silent about demand for all.
// It guards against callers who are served less than without any plan.
func TestEntryWithoutReportsServesAsBefore(t *testing.T) {
	var sums [2]float64
	for i, silent := range []bool{true, false} {
		s := newSimulation()
		s.silent = silent
		for _, c := range centres {
			s.load[c] = .5
		}
		s.evacuate("perth-a")
		s.run(5 * time.Second)
		s.entries[0] = s.newEntry("perth-a-0", "perth-a")
		s.addEngines(s.entries[0])
		s.evacuate("perth-a")
		s.silent = true
		s.resetCounts()
		s.run(20 * time.Second)
		p, b, k := s.served()
		t.Logf("served %.3f %.3f %.3f", p, b, k)
		sums[i] = p + b + k
	}
	require.Greater(t, sums[1], sums[0]-.02)
}

// TestDecisionsWithoutHomesAndEvacuationsAreAsBefore guards against any effect of the plan's messages where no route or account has homes
// and no data centre is evacuated: the same inputs must have the same effects with and without them.
func TestDecisionsWithoutHomesAndEvacuationsAreAsBefore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plain, told := newRig(), newRig()
		both := []*rig{plain, told}
		for _, r := range both {
			for i := range 6 {
				r.add(fmt.Sprintf("m%d", i), "model", []string{"perth-a", "bunbury-a"}[i%2], 3)
			}
			r.state.Catalog.Manifest.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{Slots: 3, Models: []string{"m"}}}
			r.state.ChooseHeartbeatTargets()
		}
		for id := range rapid.Uint64Range(20, 80).Draw(rt, "steps") {
			var ev step.Event = forward.Arrived{ID: id, Host: "h", Path: resumableStream, Key: "key-1", Model: "m"}
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				ev = step.Tick{}
			case 1:
				ev = forward.AttemptEnded{ID: rapid.Uint64Range(0, id).Draw(rt, "ended"), Outcome: rapid.SampledFrom([]forward.Outcome{forward.Answered, forward.Declined, forward.Broken}).Draw(rt, "outcome")}
			case 2:
				ev = forward.LoadReported{Address: fmt.Sprintf("m%d", id%6), RequestCount: rapid.IntRange(0, 4).Draw(rt, "count"), Versions: map[string]int64{"m": 1}, Entries: 4, NearEntries: 2}
			}
			for _, r := range both {
				r.now += 30 * time.Millisecond
			}
			told.state.Reduce(step.Input{Now: begin.Add(told.now), Rand: 7, Event: forward.DemandReported{Address: fmt.Sprintf("m%d", id%6), Sums: []forward.DemandSum{
				{DataCentre: []string{"perth-a", "bunbury-a"}[id%2], Entries: 2, Sets: []balance.Demand{{Work: 50}}},
			}}})
			require.Equal(rt, plain.step(ev), told.step(ev))
		}
	})
}

// BenchmarkDispatchWithPlan measures all decisions on one request, like BenchmarkDispatch, while the plan moves all requests out of an
// evacuated data centre.
func BenchmarkDispatchWithPlan(b *testing.B) {
	r := newRig()
	r.state.Catalog.Manifest.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{Slots: 16, Models: []string{"m"}}}
	for i := range 1000 {
		r.add(fmt.Sprintf("m%d", i), "model", []string{"perth-a", "bunbury-a"}[i%2], 16)
	}
	r.state.Self.Regions["perth-a"] = "perth"
	r.evacuate("perth-a")
	report := func() {
		for i := range 1000 {
			address := fmt.Sprintf("m%d", i)
			r.step(forward.LoadReported{Address: address, RequestCount: 8, Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1})
			r.step(forward.DemandReported{Address: address, Sums: []forward.DemandSum{{DataCentre: []string{"perth-a", "bunbury-a"}[i%2], Entries: 1, Sets: []balance.Demand{{Work: 4000}}}}})
		}
	}
	report()
	r.now += time.Second
	r.step(step.Tick{})
	report()
	id := uint64(0)
	for b.Loop() {
		id++
		r.now += time.Nanosecond
		r.arriveWithTimeout(id, 6*time.Second)
		r.step(forward.Started{ID: id})
		r.step(forward.AttemptEnded{ID: id, Outcome: forward.Answered})
	}
}
