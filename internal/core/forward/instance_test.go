package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// register registers an engine, or a new instance of it, under an ID.
func (r *rig) register(id string, startedAt int64) {
	r.next++
	r.applyCatalog(catalog.UpstreamChanged{Upstream: &catalog.Upstream{
		ID: id, StartedAt: startedAt, Service: "model", Address: id, DataCentre: "perth-a", Slots: 4, Revision: storerev.Revision{Number: int64(r.next)}, Versions: map[string]int64{"m": 1},
	}})
}

// TestRequestThatCrashesOneEngineRepeatedlyIsQuarantined guards against counting an engine only once if it crashes under the same
// request and restarts under its ID several times.
func TestRequestThatCrashesOneEngineRepeatedlyIsQuarantined(t *testing.T) {
	r := newRig()
	arrived := func(id uint64) forward.Arrived {
		return forward.Arrived{ID: id, Host: "h", Path: resumableStream, Key: "key-1", Model: "m", Fingerprint: 7}
	}
	for startedAt := int64(1); startedAt <= 3; startedAt++ {
		r.register("m1", startedAt)
		r.step(forward.LoadReported{Address: "m1", StartedAt: startedAt, Versions: map[string]int64{"m": 1}})
		only[forward.Send](t, r.step(arrived(uint64(startedAt))))
		r.step(forward.AttemptEnded{ID: uint64(startedAt), Outcome: forward.Broken})
		suspected := r.step(forward.LoadReported{Address: "m1", StartedAt: startedAt + 1})
		require.Len(t, suspected, map[bool]int{true: 1}[startedAt == 3], "instance %d", startedAt)
	}
	r.register("m1", 4)
	only[forward.Refuse](t, r.step(arrived(9)))
}

// TestNewInstanceStartsWithoutFailures guards against avoiding a restarted engine for the failures of its earlier instance.
func TestNewInstanceStartsWithoutFailures(t *testing.T) {
	r := newRig()
	r.register("m1", 100)
	only[forward.Send](t, r.arrive(1, resumableStream))
	r.step(forward.AttemptEnded{ID: 1, Outcome: forward.NotSent})
	only[forward.Refuse](t, r.arrive(2, resumableStream))
	r.register("m1", 200)
	only[forward.Send](t, r.arrive(3, resumableStream))
}

// TestReportOnEarlierInstanceIsIgnored guards against a delayed report on the earlier instance that blocks the new one. A request
// that broke at the earlier instance may be sent to the new one.
func TestReportOnEarlierInstanceIsIgnored(t *testing.T) {
	r := newRig()
	r.register("m1", 100)
	only[forward.Send](t, r.arrive(1, resumableStream))
	r.register("m1", 200)
	r.step(forward.LoadReported{Address: "m1", StartedAt: 200, Versions: map[string]int64{"m": 1}})
	r.step(forward.LoadReported{Address: "m1", StartedAt: 100, NotAccepting: true, RequestCount: 4})
	again := only[forward.Send](t, r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Broken}))
	require.Equal(t, int64(200), again.Upstream.StartedAt)
}

// TestSlotsAreLimitedToTheServicesSlots guards against a registration by another writer that claims 1000 slots for an engine with
// 2.
func TestSlotsAreLimitedToTheServicesSlots(t *testing.T) {
	r := newRig()
	r.state.Catalog.Manifest.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{Slots: 2}}
	r.add("m1", "model", "perth-a", 1000)
	r.step(forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 1}})
	only[forward.Send](t, r.arrive(1, resumableStream))
	r.now += 10 * time.Millisecond
	only[forward.Send](t, r.arrive(2, resumableStream))
	require.Empty(t, sentIDs(r.arrive(3, resumableStream)))
}

// TestSupersededUpstreamGetsNoRequests guards against requests to an upstream whose registration is superseded. After a power loss,
// engines return under new IDs at their addresses, while the store still holds the old registrations for seconds.
func TestSupersededUpstreamGetsNoRequests(t *testing.T) {
	register := func(r *rig, id string, startedAt int64, versions map[string]int64) {
		r.next++
		r.applyCatalog(catalog.UpstreamChanged{Upstream: &catalog.Upstream{
			ID: id, StartedAt: startedAt, Service: "model", Address: "10.0.0.9:8080", DataCentre: "perth-a", Slots: 4, Revision: storerev.Revision{Number: int64(r.next)}, Versions: versions,
		}})
	}
	report := func(r *rig, versions map[string]int64) {
		r.step(forward.LoadReported{Address: "10.0.0.9:8080", StartedAt: 200, Versions: versions, Entries: 1, NearEntries: 1})
	}
	reportStarting := func(r *rig) { r.step(forward.LoadReported{Address: "10.0.0.9:8080", Entries: 1, NearEntries: 1}) }
	for _, reportFirst := range []bool{true, false} {
		r := newRig()
		register(r, "before", 100, map[string]int64{"m": 1})
		if reportFirst {
			report(r, nil)
			register(r, "after", 200, nil)
		} else {
			register(r, "after", 200, nil)
			reportStarting(r)
			only[forward.Refuse](t, r.arrive(10, resumableStream))
			report(r, nil)
		}
		only[forward.Refuse](t, r.arrive(1, resumableStream))
		register(r, "after", 200, nil)
		report(r, map[string]int64{"m": 1})
		for id := uint64(2); id <= 5; id++ {
			r.now += 10 * time.Millisecond
			require.Equal(t, "after", only[forward.Send](t, r.arrive(id, resumableStream)).Upstream.ID, "report first: %v", reportFirst)
		}
	}
}

// TestEngineIsUsedAfterItsHostsClockJumpedBack guards against an engine that is ignored because its new instance has an earlier
// start time: the host's clock was ahead at the first start, and was set back before the second one under another ID.
func TestEngineIsUsedAfterItsHostsClockJumpedBack(t *testing.T) {
	r := newRig()
	register := func(id string, startedAt int64) {
		r.next++
		r.applyCatalog(catalog.UpstreamChanged{Upstream: &catalog.Upstream{
			ID: id, StartedAt: startedAt, Service: "model", Address: "10.0.0.9:8080", DataCentre: "perth-a", Slots: 4, Revision: storerev.Revision{Number: int64(r.next)}, Versions: map[string]int64{"m": 1},
		}})
	}
	report := func(startedAt int64) {
		r.step(forward.LoadReported{Address: "10.0.0.9:8080", StartedAt: startedAt, Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1})
	}
	register("ahead", 2_400_000)
	report(2_400_000)
	register("back", 1_000)
	r.applyCatalog(catalog.UpstreamRemoved{ID: "ahead", Revision: storerev.Revision{Number: 100}})
	for range 10 {
		r.now += 300 * time.Millisecond
		report(1_000)
	}
	require.Equal(t, "back", only[forward.Send](t, r.arrive(1, resumableStream)).Upstream.ID)
}
