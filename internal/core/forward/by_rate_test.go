package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
)

// newSaturatedRig returns an entry whose only engine has 16 slots, all taken, and completes ten requests of priority 0 a second while as many
// arrive. The IDs of the requests that are with the engine are returned.
func newSaturatedRig(prioritized bool) (*rig, []uint64) {
	r := newPriorityRig(prioritized, 2)
	r.add("m1", "model", "perth-a", 16)
	r.step(forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1})
	var running []uint64
	for id := uint64(1000); id < 1060; id++ {
		r.now += 50 * time.Millisecond
		if id%2 == 0 {
			running = append(running, sentIDs(r.arriveFrom(id, 0, 0, 0))...)
		}
		if len(running) == 16 {
			r.step(forward.AttemptEnded{ID: running[0], Outcome: forward.Answered})
			running = running[1:]
		}
		r.step(forward.LoadReported{Address: "m1", RequestCount: len(running), Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1})
	}
	for id := uint64(2000); len(running) < 16; id++ {
		running = append(running, sentIDs(r.arriveFrom(id, 0, 0, 0))...)
	}
	return r, running
}

// TestLowPriorityIsRefusedOnArrival guards against low priorities that are held behind more urgent ones and then refused. The load is a
// full engine with two urgent requests in its queue, and two of low priority. Without different priorities the request waits as before.
func TestLowPriorityIsRefusedOnArrival(t *testing.T) {
	for _, prioritized := range []bool{true, false} {
		r, _ := newSaturatedRig(prioritized)
		for id := uint64(1); id <= 2; id++ {
			require.Empty(t, refusals(r.arriveFrom(id, 0, 0, 0)), "an urgent request waits")
		}
		require.Empty(t, refusals(r.arriveFrom(11, 9, 1, 0)), "the floor of its priority may well serve it")
		r.arriveFrom(12, 9, 1, 0)
		refused := refusals(r.arriveFrom(13, 9, 1, 0))
		if !prioritized {
			require.Empty(t, refused)
			continue
		}
		require.Len(t, refused, 1)
		require.Contains(t, refused[0].Reason, "priority 9, 1.8s of work ahead")
		require.GreaterOrEqual(t, refused[0].RetryAfter, 950*time.Millisecond)
		require.LessOrEqual(t, refused[0].RetryAfter, 2*time.Second)
	}
}

// TestUrgentWaitIsServedBeforeLaterArrivals guards against a slot that goes to a first try of low priority though an urgent request has
// waited for the end of the outage.
func TestUrgentWaitIsServedBeforeLaterArrivals(t *testing.T) {
	r := newPriorityRig(true, 1)
	r.add("m1", "model", "perth-a", 16)
	ready := forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1}
	r.step(forward.LoadReported{Address: "m1", ReadyIn: 500 * time.Millisecond, ReadyVersion: 1, Entries: 1, NearEntries: 1})
	arrive := func(id uint64, path string, budget time.Duration) []uint64 {
		return sentIDs(r.step(forward.Arrived{ID: id, Host: "h", Path: path, Key: "0", Model: "m", Budget: budget}))
	}
	arrive(1, "/0/x", 6*time.Second)
	arrive(2, "/0/x", 4*time.Second)
	require.Equal(t, 1, r.state.WaitingForEnd())
	r.now += 505 * time.Millisecond
	r.step(ready)
	require.Empty(t, arrive(3, "/9/x", 6*time.Second), "it yields until the next tick")
	require.Equal(t, []uint64{2, 3}, sentIDs(r.tick()))
}

// TestRequestWithoutObjectiveYieldsForOneTick guards against refusing a first try while there is room: a route without an objective has no
// time to wait, and a more urgent request that waits for the end of the outage has its turn with the next tick only.
func TestRequestWithoutObjectiveYieldsForOneTick(t *testing.T) {
	r := newPriorityRig(true, 1)
	r.state.Catalog.Manifest.Route("h", "/9/x").Objective = 0
	r.add("m1", "model", "perth-a", 16)
	r.step(forward.LoadReported{Address: "m1", ReadyIn: 500 * time.Millisecond, ReadyVersion: 1, Entries: 1, NearEntries: 1})
	r.arriveFrom(1, 0, 0, 0)
	r.step(forward.Arrived{ID: 2, Host: "h", Path: "/0/x", Key: "0", Model: "m", Budget: 4 * time.Second})
	require.Equal(t, 1, r.state.WaitingForEnd())
	r.now += 505 * time.Millisecond
	r.step(forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1})
	require.Empty(t, refusals(r.arriveFrom(3, 9, 0, 0)))
	require.Equal(t, []uint64{2, 3}, sentIDs(r.tick()))
}

// TestLowPriorityWaitsForSilentEngine guards against refusing callers on arrival by the rate of an engine, while another one that is silent may
// go on before their time is over.
func TestLowPriorityWaitsForSilentEngine(t *testing.T) {
	r, _ := newSaturatedRig(true)
	r.add("m2", "model", "perth-a", 16)
	r.step(forward.LoadReported{Address: "m2", Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1})
	r.state.NoteStalled(begin.Add(r.now), catalog.Instance{ID: "m2"})
	for id := uint64(1); id <= 6; id++ {
		require.Empty(t, refusals(r.arriveFrom(id, 0, 0, 0)))
	}
	for id := uint64(11); id <= 16; id++ {
		require.Empty(t, refusals(r.arriveFrom(id, 9, 1, 0)), "request %d", id)
	}
	r.now += 300 * time.Millisecond
	require.Empty(t, refusals(r.step(step.Tick{})), "they wait longer than for capacity")
}
