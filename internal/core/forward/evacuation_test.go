package forward_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/residency"
	"samphireweir.example/samphireweir/internal/core/step"
)

// evacuate has the operator evacuate some data centres, and no others.
func (r *rig) evacuate(dataCentres ...string) {
	r.next++
	r.believe(catalog.EvacuationsListed{Revision: int64(r.next), DataCentres: dataCentres})
}

// TestAnEvacuatedDataCentreGetsNoNewWork guards against a request that reaches an upstream of a data centre that is being evacuated: as a first
// choice, out of the queue, as a second send, as a stream's resume, and at an engine of which nobody tells. What runs there goes on.
func TestAnEvacuatedDataCentreGetsNoNewWork(t *testing.T) {
	for _, strangers := range []bool{false, true} {
		r := newRig()
		for i := range 2 {
			r.add(fmt.Sprintf("near%d", i), "model", "perth-a", 1)
		}
		r.add("far", "model", "bunbury-a", 3)
		only[forward.Send](t, r.arrive(1, reports))
		only[forward.Send](t, r.arrive(2, reports))
		if strangers {
			r.state.Greet()
		}
		r.evacuate("perth-a")
		require.Equal(t, "far", only[forward.Send](t, r.arrive(3, reports)).Upstream.ID)
		again := r.step(forward.SendEnded{ID: 1, Outcome: forward.Broken, Partial: true})
		for _, send := range sendsAmong(again) {
			require.Equal(t, "far", send.Upstream.ID)
		}
		for id := uint64(4); id < 12; id++ {
			for _, send := range sendsAmong(r.arrive(id, reports)) {
				require.Equal(t, "far", send.Upstream.ID)
			}
		}
		for range 20 {
			r.now += 20 * time.Millisecond
			require.Empty(t, sendsAmong(r.step(step.Tick{})))
		}
		require.Empty(t, sendsAmong(r.step(forward.SendEnded{ID: 2, Outcome: forward.Answered})), "the place that is free there is not given away")
		r.evacuate()
		require.NotEqual(t, "far", only[forward.Send](t, r.arrive(20, reports)).Upstream.ID, "it is in use again at once")
	}
}

// TestTwoEvacuationsLeaveTheRest guards against an evacuation that ends another.
func TestTwoEvacuationsLeaveTheRest(t *testing.T) {
	r := newRig()
	r.state.Self.Regions["karratha-a"] = "pilbara"
	for _, place := range []string{"perth-a", "bunbury-a", "karratha-a"} {
		r.add(place, "desk", place, 9)
	}
	r.evacuate("perth-a", "bunbury-a")
	require.Equal(t, "karratha-a", only[forward.Send](t, r.arrive(1, lookups)).Upstream.ID)
	r.next++
	r.believe(catalog.EvacuationEnded{DataCentre: "bunbury-a", Revision: int64(r.next)})
	r.state.Catalog.Reduce(step.Input{Now: begin, Event: catalog.EvacuationAsked{DataCentre: "karratha-a", Revision: int64(r.next) + 1}})
	require.Equal(t, "bunbury-a", only[forward.Send](t, r.arrive(2, lookups)).Upstream.ID)
}

// TestTheOnlyHomeIsEvacuated guards against callers that wait for their time to pass, or whose request leaves its home: they are told at once to
// come back.
func TestTheOnlyHomeIsEvacuated(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 6)
	r.add("d2", "desk", "bunbury-a", 6)
	r.bind(residency.Regions{"perth"}, nil)
	r.evacuate("perth-a")
	refuse := only[forward.Refuse](t, r.arrive(1, lookups))
	require.Equal(t, code.NoUpstream, refuse.Code)
	require.Equal(t, code.NotRun, refuse.Ran)
	require.Positive(t, refuse.RetryAfter)
	require.Contains(t, refuse.Why, "1 evacuated")
}
