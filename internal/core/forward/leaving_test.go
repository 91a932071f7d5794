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

// reportLeaving has an upstream report in an answer that it is leaving.
func (r *rig) reportLeaving(id string, outcome forward.Outcome) {
	instance := r.state.Catalog.Upstreams[id].Instance()
	r.step(forward.AnswerHeadReceived{Upstream: instance, Sent: begin.Add(r.now), Outcome: outcome, Notice: catalog.Notice{Leaving: true}})
}

// TestUpstreamThatSaysItIsLeavingGetsNoRequests guards against requests to an upstream that reported to this entry that it is leaving.
// The store, which may be unreachable, still lists it as ready. Without the check, a request was sent to such an upstream 2.3 s later.
func TestUpstreamThatSaysItIsLeavingGetsNoRequests(t *testing.T) {
	for _, service := range []struct{ name, path string }{{"desk", nonIdempotentCall}, {"model", resumableStream}} {
		for _, outcome := range []forward.Outcome{forward.Answered, forward.Declined, forward.ServerFailed} {
			r := newRig()
			r.add("u1", service.name, "perth-a", 6)
			r.reportLeaving("u1", outcome)
			r.now = 2 * time.Second
			refuse := only[forward.Refuse](t, r.arrive(1, service.path))
			require.Equal(t, code.NoUpstream, refuse.Code, "it is refused at once")
			require.Equal(t, code.NotRun, refuse.Ran)
			r.add("u1", service.name, "perth-a", 6) // The store's update is late.
			r.step(forward.LoadReported{Address: "u1", Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1})
			require.Empty(t, sentIDs(r.arrive(2, service.path)), "it is still leaving")
			r.add("u2", service.name, "bunbury-a", 6)
			require.Equal(t, "u2", only[forward.Send](t, r.arrive(3, service.path)).Upstream.ID)
			require.Empty(t, sentIDs(r.step(forward.AttemptEnded{ID: 3, Outcome: forward.Declined})), "it gets no retries either")
		}
	}
}

// TestQueuedRequestIsNotSentToALeavingUpstream guards against a choice that was made before the upstream reported that it is
// leaving.
func TestQueuedRequestIsNotSentToALeavingUpstream(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 1)
	only[forward.Send](t, r.arrive(1, resumableStream))
	require.Empty(t, sentIDs(r.arrive(2, resumableStream)))
	r.reportLeaving("m1", forward.Answered)
	require.Empty(t, sentIDs(r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Answered})))
}

// TestLeavingAppliesToOneInstanceOnly guards against excluding a restarted upstream, or another one at the same address, in place
// of the one that is leaving.
func TestLeavingAppliesToOneInstanceOnly(t *testing.T) {
	r := newRig()
	upstream := func(id string, startedAt int64) *catalog.Upstream {
		r.next++
		return &catalog.Upstream{ID: id, StartedAt: startedAt, Service: "desk", Address: "a", DataCentre: "perth-a", Slots: 6, Revision: storerev.Revision{Number: int64(r.next)}}
	}
	r.applyCatalog(catalog.UpstreamChanged{Upstream: upstream("d1", 1000)})
	first := r.state.Catalog.Upstreams["d1"].Instance()
	r.reportLeaving("d1", forward.Misdirected)
	require.Len(t, sentIDs(r.arrive(1, idempotentCall)), 1, "another upstream at the address sent the notice")
	r.reportLeaving("d1", forward.Broken)
	require.Len(t, sentIDs(r.arrive(2, idempotentCall)), 1, "the sender of the notice is unknown")
	r.reportLeaving("d1", forward.Answered)
	require.Empty(t, sentIDs(r.arrive(3, idempotentCall)))
	r.applyCatalog(catalog.UpstreamChanged{Upstream: upstream("d1", 2000)})
	require.Len(t, sentIDs(r.arrive(4, idempotentCall)), 1)
	r.step(forward.AnswerHeadReceived{Upstream: first, Outcome: forward.Answered, Notice: catalog.Notice{Leaving: true}})
	require.Len(t, sentIDs(r.arrive(5, idempotentCall)), 1, "the notice is from the earlier instance")
}

// TestLeavingOutlivesTheRegistration guards against using a leaving upstream again because its registration expired and returned, as
// after an outage of the store.
func TestLeavingOutlivesTheRegistration(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 6)
	r.reportLeaving("d1", forward.Answered)
	r.next++
	r.applyCatalog(catalog.UpstreamRemoved{ID: "d1", Revision: storerev.Revision{Number: int64(r.next)}})
	r.now = 30 * time.Second
	r.step(step.Tick{})
	r.add("d1", "desk", "perth-a", 6)
	require.Empty(t, sentIDs(r.arrive(1, idempotentCall)))
}

// TestUpstreamThatReportsLeavingToItsAgentGetsNoRequests guards against requests from entries that have received no answer from the
// upstream, such as one that has just started while the store is unreachable.
func TestUpstreamThatReportsLeavingToItsAgentGetsNoRequests(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 6)
	report := forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1, Leaving: true}
	r.step(report)
	require.Empty(t, sentIDs(r.arrive(1, resumableStream)))
	report.Leaving = false
	r.step(report)
	require.Empty(t, sentIDs(r.arrive(2, resumableStream)), "reports may overtake each other")
}

// TestLeavingUpstreamWithoutStartTimeIsTriedAgain guards against an upstream that stays out of use forever: without a start time,
// the next instance under its ID looks the same.
func TestLeavingUpstreamWithoutStartTimeIsTriedAgain(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 6)
	r.reportLeaving("d1", forward.Answered)
	r.now = 59 * time.Second
	require.Empty(t, sentIDs(r.arrive(1, idempotentCall)))
	r.now = 61 * time.Second
	require.Len(t, sentIDs(r.arrive(2, idempotentCall)), 1)
	r.reportLeaving("d1", forward.Answered)
	require.Empty(t, sentIDs(r.arrive(3, idempotentCall)))
}

// TestRequestIsNotConnectedToALeavingUpstream guards against a request that reaches a leaving upstream long after this was known: the upstream is
// silent, and the connection is made when it goes on.
func TestRequestIsNotConnectedToALeavingUpstream(t *testing.T) {
	for _, path := range []string{nonIdempotentCall, idempotentCall} {
		for _, unsent := range []bool{true, false} {
			r := newRig()
			r.add("u1", "desk", "perth-a", 6)
			only[forward.Send](t, r.arrive(1, path))
			r.now = 400 * time.Millisecond
			r.step(forward.Stalled{ID: 1, Attempt: 1, Unsent: unsent})
			require.Empty(t, r.step(step.Tick{}), "it is not leaving")
			r.reportLeaving("u1", forward.Answered)
			if !unsent {
				require.Empty(t, r.step(step.Tick{}), "the upstream completes what it has")
				continue
			}
			require.Equal(t, forward.Withdraw{ID: 1, Attempt: 1, OnlyUnsent: true}, only[forward.Withdraw](t, r.step(step.Tick{})))
			refuse := only[forward.Refuse](t, r.step(forward.AttemptEnded{ID: 1, Attempt: 1, Outcome: forward.Unsent}))
			require.Equal(t, code.NotRun, refuse.Ran)
		}
	}
}
