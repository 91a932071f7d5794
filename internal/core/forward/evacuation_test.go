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
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// evacuate has the operator evacuate the given data centres, and no others.
func (r *rig) evacuate(dataCentres ...string) {
	r.next++
	r.applyCatalog(catalog.EvacuationsListed{Revision: storerev.Revision{Number: int64(r.next)}, DataCentres: dataCentres})
}

// TestReducerSendsNothingToAnEvacuatedDataCentre guards against a request that is sent to an upstream in a data centre under
// evacuation: on its first attempt, from the queue, on a retry, on resuming a stream, or to an engine without a load report.
// Running requests continue there.
func TestReducerSendsNothingToAnEvacuatedDataCentre(t *testing.T) {
	for _, unreported := range []bool{false, true} {
		r := newRig()
		for i := range 2 {
			r.add(fmt.Sprintf("near%d", i), "model", "perth-a", 1)
		}
		r.add("far", "model", "bunbury-a", 3)
		only[forward.Send](t, r.arrive(1, resumableStream))
		only[forward.Send](t, r.arrive(2, resumableStream))
		if unreported {
			r.state.ChooseHeartbeatTargets()
		}
		r.evacuate("perth-a")
		require.Equal(t, "far", only[forward.Send](t, r.arrive(3, resumableStream)).Upstream.ID)
		resumed := r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Broken, Partial: true})
		for _, send := range sentAttempts(resumed) {
			require.Equal(t, "far", send.Upstream.ID)
		}
		for id := uint64(4); id < 12; id++ {
			for _, send := range sentAttempts(r.arrive(id, resumableStream)) {
				require.Equal(t, "far", send.Upstream.ID)
			}
		}
		for range 20 {
			r.now += 20 * time.Millisecond
			require.Empty(t, sentAttempts(r.step(step.Tick{})))
		}
		require.Empty(t, sentAttempts(r.step(forward.AttemptEnded{ID: 2, Outcome: forward.Answered})), "the free slot there is not used")
		r.evacuate()
		require.NotEqual(t, "far", only[forward.Send](t, r.arrive(20, resumableStream)).Upstream.ID, "it is used again at once")
	}
}

// TestEvacuationsAreIndependent guards against the start or end of one evacuation that ends another.
func TestEvacuationsAreIndependent(t *testing.T) {
	r := newRig()
	r.state.Self.Regions["karratha-a"] = "pilbara"
	for _, dataCentre := range []string{"perth-a", "bunbury-a", "karratha-a"} {
		r.add(dataCentre, "desk", dataCentre, 9)
	}
	r.evacuate("perth-a", "bunbury-a")
	require.Equal(t, "karratha-a", only[forward.Send](t, r.arrive(1, idempotentCall)).Upstream.ID)
	r.next++
	r.applyCatalog(catalog.EvacuationEnded{DataCentre: "bunbury-a", Revision: storerev.Revision{Number: int64(r.next)}})
	r.state.Catalog.Reduce(step.Input{Now: begin, Event: catalog.EvacuationStarted{DataCentre: "karratha-a", Revision: storerev.Revision{Number: int64(r.next) + 1}}})
	require.Equal(t, "bunbury-a", only[forward.Send](t, r.arrive(2, idempotentCall)).Upstream.ID)
}

// TestRequestIsRefusedAtOnceWhileItsOnlyHomeIsEvacuated guards against callers that wait until their deadline, and against requests
// that are sent outside their homes.
func TestRequestIsRefusedAtOnceWhileItsOnlyHomeIsEvacuated(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 6)
	r.add("d2", "desk", "bunbury-a", 6)
	r.setHomes(residency.Regions{"perth"}, nil)
	r.evacuate("perth-a")
	refuse := only[forward.Refuse](t, r.arrive(1, idempotentCall))
	require.Equal(t, code.NoUpstream, refuse.Code)
	require.Equal(t, code.NotRun, refuse.Ran)
	require.Positive(t, refuse.RetryAfter)
	require.Contains(t, refuse.Reason, "1 evacuated")
}
