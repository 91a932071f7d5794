package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// TestStartOnAnExpiredVersionIsReported guards against requests that start on an expired version without a log entry. One request
// starts before the expiry, and one after.
func TestStartOnAnExpiredVersionIsReported(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 6)
	r.applyCatalog(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 50}})
	r.now = 6 * time.Second
	only[forward.Send](t, r.arrive(1, resumableStream))
	only[forward.Send](t, r.arrive(2, resumableStream))
	only[forward.Send](t, r.arrive(3, resumableStream))
	r.now = 7900 * time.Millisecond
	require.Empty(t, r.step(forward.Started{ID: 1, Version: 1}))
	r.now = 8250 * time.Millisecond
	require.Empty(t, r.step(forward.Started{ID: 2, Version: 2}))
	require.Equal(t, forward.StartedLate{
		ID: 3, Upstream: "m1", Version: 1, Successor: 2, Late: 250 * time.Millisecond, Waited: 2250 * time.Millisecond,
	}, only[forward.StartedLate](t, r.step(forward.Started{ID: 3, Version: 1})))
}

// newUnstartedRig activates version 2 and sends a request to an engine that holds version 1, a second before version 2 is required. The
// request is about to be withdrawn.
func newUnstartedRig(t *testing.T, path string) *rig {
	t.Helper()
	r := newRig()
	r.add("m1", "model", "perth-a", 6)
	r.applyCatalog(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 50}})
	r.now = 5700 * time.Millisecond
	require.Equal(t, "m1", only[forward.Send](t, r.arrive(1, path)).Upstream.ID)
	r.now = 7300 * time.Millisecond
	require.Empty(t, r.step(step.Tick{}), "there is time left to start it")
	r.now = 7400 * time.Millisecond
	return r
}

// TestUnstartedRequestIsWithdrawnBeforeItsVersionExpires guards against a request that starts on an expired version because it
// waited in its engine's queue.
func TestUnstartedRequestIsWithdrawnBeforeItsVersionExpires(t *testing.T) {
	r := newUnstartedRig(t, resumableStream)
	r.step(forward.LoadReported{Address: "m1", RequestCount: 1, Versions: map[string]int64{"m": 1}})
	require.Equal(t, forward.Withdraw{ID: 1, Attempt: 1}, only[forward.Withdraw](t, r.step(step.Tick{})))
	r.add("m2", "model", "perth-a", 6)
	r.step(forward.LoadReported{Address: "m2", Versions: map[string]int64{"m": 2}})
	again := only[forward.Send](t, r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Withdrawn}))
	require.Equal(t, "m2", again.Upstream.ID)
	require.Equal(t, int64(2), again.Version)
	require.Empty(t, r.step(step.Tick{}), "an engine that accepted a request with a required version holds that version")
}

// TestWithdrawnRequestIsAnsweredAtOnceWhenNoEngineIsLeft guards against a withdrawn request that waits until its deadline although
// it can not be retried.
func TestWithdrawnRequestIsAnsweredAtOnceWhenNoEngineIsLeft(t *testing.T) {
	for _, path := range []string{resumableStream, nonResumableStream} {
		r := newUnstartedRig(t, path)
		only[forward.Withdraw](t, r.step(step.Tick{}))
		refusal := only[forward.Refuse](t, r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Withdrawn}))
		require.Equal(t, code.Unknown, refusal.Ran, "its engine may have started it in the meantime")
	}
}

// TestStartedRequestIsNotWithdrawn guards against withdrawing a request that started in time.
func TestStartedRequestIsNotWithdrawn(t *testing.T) {
	r := newUnstartedRig(t, resumableStream)
	r.step(forward.Started{ID: 1, Version: 1})
	require.Empty(t, r.step(step.Tick{}))
}

// TestRequestIsNotWithdrawnFromAnUpdatedEngine guards against withdrawing a request whose engine holds the new version by now.
func TestRequestIsNotWithdrawnFromAnUpdatedEngine(t *testing.T) {
	r := newUnstartedRig(t, resumableStream)
	r.step(forward.LoadReported{Address: "m1", RequestCount: 1, Versions: map[string]int64{"m": 2}})
	require.Empty(t, r.step(step.Tick{}))
}

// TestRequiredVersionExpiresWithTheNextOne guards against a request with a required version that starts after that version has
// expired.
func TestRequiredVersionExpiresWithTheNextOne(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 6)
	r.applyCatalog(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 50}})
	r.now = time.Second
	r.applyCatalog(catalog.VersionActivated{Model: "m", Version: 3, Revision: storerev.Revision{Number: 51}})
	r.now = 7500 * time.Millisecond
	r.step(forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 2}})
	require.Equal(t, int64(2), only[forward.Send](t, r.arrive(1, resumableStream)).Version)
	r.now = 8300 * time.Millisecond
	require.Empty(t, r.step(step.Tick{}))
	r.now = 8400 * time.Millisecond
	only[forward.Withdraw](t, r.step(step.Tick{}))
}

// TestWithdrawalsDoNotCountAsFailures guards against avoiding an engine because requests were withdrawn from it. As many are withdrawn
// here as the number of failures after which an engine is avoided.
func TestWithdrawalsDoNotCountAsFailures(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 6)
	r.applyCatalog(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 50}})
	r.now = 5700 * time.Millisecond
	const failures = 3
	for id := uint64(1); id <= failures; id++ {
		only[forward.Send](t, r.arrive(id, resumableStream))
	}
	r.now = 7400 * time.Millisecond
	for id := uint64(1); id <= failures; id++ {
		r.step(forward.AttemptEnded{ID: id, Outcome: forward.Withdrawn})
	}
	r.step(forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 2}})
	only[forward.Send](t, r.arrive(failures+1, resumableStream))
}

// TestWithdrawalWithoutRetryDoesNotUseTheRetryBudget guards against withdrawals that use up the retry budget while no engine holds
// the new version. A request that is declined later must still be retried.
func TestWithdrawalWithoutRetryDoesNotUseTheRetryBudget(t *testing.T) {
	r := newRig()
	r.state.Self.Retries.Base = 0
	r.add("m1", "model", "perth-a", 40)
	r.applyCatalog(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 50}})
	r.now = 5700 * time.Millisecond
	r.step(forward.LoadReported{Address: "m1", Entries: 1, NearEntries: 1, Versions: map[string]int64{"m": 1}})
	const requests = 20
	for id := uint64(1); id <= requests; id++ {
		only[forward.Send](t, r.arrive(id, resumableStream))
	}
	r.now = 7400 * time.Millisecond
	for id := uint64(1); id <= requests; id++ {
		only[forward.Refuse](t, r.step(forward.AttemptEnded{ID: id, Outcome: forward.Withdrawn}))
	}
	r.add("m2", "model", "perth-a", 40)
	for _, engine := range []string{"m1", "m2"} {
		r.step(forward.LoadReported{Address: engine, Entries: 1, NearEntries: 1, Versions: map[string]int64{"m": 2}})
	}
	only[forward.Send](t, r.arrive(requests+1, resumableStream))
	only[forward.Send](t, r.step(forward.AttemptEnded{ID: requests + 1, Outcome: forward.Declined}))
}

// TestRequestWithoutModelGetsTheServicesOnlyModel guards against requests without a model that skip the version check and the slot
// limit, as for a plain service, although the service's engines have exactly one model.
func TestRequestWithoutModelGetsTheServicesOnlyModel(t *testing.T) {
	r := newRig()
	r.state.Catalog.Manifest.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{Slots: 2, Models: []string{"m"}}}
	r.add("m1", "model", "perth-a", 2)
	arrive := func(id uint64) []step.Effect {
		return r.step(forward.Arrived{ID: id, Host: "h", Path: resumableStream + "x", Key: "key-1"})
	}
	r.applyCatalog(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 50}})
	r.now = 7200 * time.Millisecond
	require.Equal(t, code.NoUpstream, only[forward.Refuse](t, arrive(1)).Code, "the engine has version 1")
	r.step(forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 2}})
	require.Equal(t, int64(2), only[forward.Send](t, arrive(2)).Version)
	only[forward.Send](t, arrive(3))
	require.Empty(t, sentIDs(arrive(4)), "it has two slots")
}

// TestExpiringEngineIsUsedWhileNoSuccessorHasCapacity guards against refusing a request while an engine can still start it in time,
// when no engine with the next version has capacity.
func TestExpiringEngineIsUsedWhileNoSuccessorHasCapacity(t *testing.T) {
	newFleet := func() *rig {
		r := newRig()
		r.add("m1", "model", "perth-a", 6)
		r.applyCatalog(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 50}})
		r.now = 6900 * time.Millisecond // 1.1 s before version 1 expires.
		return r
	}
	r := newFleet()
	send := only[forward.Send](t, r.arrive(1, resumableStream))
	require.Equal(t, "m1", send.Upstream.ID)
	require.Zero(t, send.Version, "an engine that changes its version in the meantime is also valid")
	require.Equal(t, code.NoUpstream, only[forward.Refuse](t, r.arrive(9, nonResumableStream)).Code, "a request that can not be retried must not be withdrawn")
	r.now = 7200 * time.Millisecond
	require.Equal(t, code.NoUpstream, only[forward.Refuse](t, r.arrive(2, resumableStream)).Code, "it is unlikely to start in time")
	r.now = 7400 * time.Millisecond
	only[forward.Withdraw](t, r.step(step.Tick{}))

	r = newFleet()
	r.add("m2", "model", "bunbury-a", 6)
	r.step(forward.LoadReported{Address: "m2", Versions: map[string]int64{"m": 2}, Entries: 1})
	send = only[forward.Send](t, r.arrive(1, resumableStream))
	require.Equal(t, "m2", send.Upstream.ID, "an engine with the new version and capacity is preferred, wherever it is")
	require.Equal(t, int64(2), send.Version)
	r.step(forward.LoadReported{Address: "m2", Versions: map[string]int64{"m": 2}, Entries: 1, RequestCount: 6})
	require.Equal(t, "m1", only[forward.Send](t, r.arrive(2, resumableStream)).Upstream.ID, "a full engine with the new version is no reason to refuse")
}

// TestRequiredVersionIsEnforced guards against requests that start on an expired version.
func TestRequiredVersionIsEnforced(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 6)
	r.applyCatalog(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 50}})
	r.now = 6 * time.Second
	require.Zero(t, only[forward.Send](t, r.arrive(1, resumableStream)).Version)
	r.now = 7200 * time.Millisecond
	require.Equal(t, code.NoUpstream, only[forward.Refuse](t, r.arrive(2, resumableStream)).Code)
	r.step(forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 2}})
	require.Equal(t, int64(2), only[forward.Send](t, r.arrive(3, resumableStream)).Version)
}

// TestNewerHeldVersionIsRequestedExactly guards against an engine that declines every request because it holds a newer version than
// the required one: engines compare versions for equality.
func TestNewerHeldVersionIsRequestedExactly(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 6)
	r.applyCatalog(catalog.VersionActivated{Model: "m", Version: 2, Revision: storerev.Revision{Number: 50}})
	r.now = 4 * time.Second
	r.applyCatalog(catalog.VersionActivated{Model: "m", Version: 3, Revision: storerev.Revision{Number: 51}})
	r.now = 7 * time.Second
	r.step(forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 3}})
	require.Equal(t, int64(3), only[forward.Send](t, r.arrive(1, resumableStream)).Version)
	r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Misdirected})
	only[forward.Send](t, r.arrive(2, resumableStream))
}
