package forward_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/residency"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// setHomes activates a manifest that sets the homes of all routes and of the account of key-1.
func (r *rig) setHomes(route, account residency.Regions) {
	previous := r.state.Catalog.Manifest
	r.next++
	var routes []*catalog.Route
	for _, prefix := range []string{nonIdempotentCall, idempotentCall, resumableStream, nonResumableStream} {
		next := *previous.Route("h", prefix)
		next.HomeRegions = route
		routes = append(routes, &next)
	}
	m := catalog.NewManifest(int64(r.next), routes, map[string]*catalog.ClientAccount{"key-1": {Name: "karrakin", HomeRegions: account}})
	m.HasAccounts, m.Services = true, previous.Services
	r.applyCatalog(catalog.ManifestRead{Revision: storerev.Revision{Number: int64(r.next)}, Manifest: m})
}

// allowedIn reports whether the active manifest allows a request of key-1 in a region. It does not use the code under test.
func (r *rig) allowedIn(region string) bool {
	m := r.state.Catalog.Manifest
	for _, homes := range []residency.Regions{m.Route("h", resumableStream).HomeRegions, m.Account("key-1").HomeRegions} {
		if len(homes) > 0 && !slices.Contains(homes, region) {
			return false
		}
	}
	return true
}

// TestRequestsStayWithinTheirHomes guards against a request that is sent outside the regions of its route and account: on its first
// attempt, from the queue, on a retry, on resuming a stream, to an engine without a load report, or to one whose version is about
// to expire. It also covers homes that change while a request is queued or running.
func TestRequestsStayWithinTheirHomes(t *testing.T) {
	regions := []string{"perth", "southwest", "pilbara"}
	regionOf := map[string]string{"perth-a": "perth", "bunbury-a": "southwest", "karratha-a": "pilbara"}
	rapid.Check(t, func(rt *rapid.T) {
		r := newRig()
		r.state.Self.Regions = regionOf
		homes := rapid.SliceOfNDistinct(rapid.SampledFrom(regions), 0, 2, rapid.ID[string])
		check := func(effects []step.Effect) {
			for _, send := range sentAttempts(effects) {
				require.True(rt, r.allowedIn(regionOf[send.Upstream.DataCentre]), "sent to %s", send.Upstream.DataCentre)
			}
		}
		for i, dataCentre := range []string{"perth-a", "bunbury-a", "karratha-a", "perth-a", "bunbury-a"} {
			r.add(fmt.Sprintf("m%d", i), "model", dataCentre, 1)
			r.add(fmt.Sprintf("d%d", i), "desk", dataCentre, 1)
		}
		if rapid.Bool().Draw(rt, "strangers") {
			r.state.ChooseHeartbeatTargets()
		}
		open, next := []uint64{}, uint64(0)
		for range rapid.IntRange(5, 40).Draw(rt, "steps") {
			r.now += 30 * time.Millisecond
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				r.setHomes(homes.Draw(rt, "route"), homes.Draw(rt, "account"))
			case 1:
				check(r.step(step.Tick{}))
			case 2:
				id := fmt.Sprintf("m%d", rapid.IntRange(0, 4).Draw(rt, "engine"))
				check(r.step(forward.LoadReported{Address: id, Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1}))
			case 3:
				if len(open) > 0 {
					outcome := rapid.SampledFrom([]forward.Outcome{forward.Broken, forward.Declined, forward.NotSent, forward.Silent, forward.Answered}).Draw(rt, "outcome")
					partial := outcome == forward.Broken && rapid.Bool().Draw(rt, "partial")
					id := rapid.SampledFrom(open).Draw(rt, "id")
					check(r.step(forward.AttemptEnded{ID: id, Outcome: outcome, Partial: partial}))
				}
			default:
				next++
				open = append(open, next)
				check(r.arrive(next, rapid.SampledFrom([]string{nonIdempotentCall, idempotentCall, resumableStream, nonResumableStream}).Draw(rt, "path")))
			}
		}
	})
}

// TestRequestWithoutCommonHomeIsRefusedAtOnce guards against a request that waits, or is sent, although its route and account have
// no region in common.
func TestRequestWithoutCommonHomeIsRefusedAtOnce(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 6)
	r.setHomes(residency.Regions{"perth"}, residency.Regions{"southwest"})
	refuse := only[forward.Refuse](t, r.arrive(1, idempotentCall))
	require.Equal(t, code.NoCommonHome, refuse.Code)
	require.Equal(t, code.NotRun, refuse.Ran)
	require.Zero(t, r.state.InFlight())
}

// TestRequestIsRefusedAtOnceWhileItsHomeHasNoUpstream guards against a request that is sent elsewhere, or waits until its deadline,
// while its only home has no upstream. The refusal must carry a Retry-After delay.
func TestRequestIsRefusedAtOnceWhileItsHomeHasNoUpstream(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 6)
	r.setHomes(nil, residency.Regions{"southwest"})
	refuse := only[forward.Refuse](t, r.arrive(1, idempotentCall))
	require.Equal(t, code.NoUpstream, refuse.Code)
	require.Equal(t, code.NotRun, refuse.Ran)
	require.Positive(t, refuse.RetryAfter)
	r.add("d2", "desk", "bunbury-a", 6)
	require.Equal(t, "d2", only[forward.Send](t, r.arrive(2, idempotentCall)).Upstream.ID)
}

// TestStreamIsAbortedWhenItsHomesForbidResuming guards against resuming a broken stream in a region that is no longer a home.
func TestStreamIsAbortedWhenItsHomesForbidResuming(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 4)
	only[forward.Send](t, r.arrive(1, resumableStream))
	r.add("m2", "model", "bunbury-a", 4)
	r.setHomes(residency.Regions{"perth"}, nil)
	only[forward.Abort](t, r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Broken, Partial: true}))
}
