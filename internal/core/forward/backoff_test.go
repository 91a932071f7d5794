package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

// The platform's users require that at most backoffProbes requests reach an upstream during its backoff. Requests that reach it within
// backoffGrace of its request for the backoff don't count.
const (
	backoffGrace  = 500 * time.Millisecond
	backoffProbes = 2
)

// requestBackoff has an upstream decline a request that was sent just now, and request a backoff.
func (r *rig) requestBackoff(id string, duration time.Duration) {
	instance := r.state.Catalog.Upstreams[id].Instance()
	r.step(forward.AnswerHeadReceived{Upstream: instance, Sent: begin.Add(r.now), Outcome: forward.Declined, Notice: catalog.Notice{RetryAfter: duration}})
}

// TestUpstreamInBackoffGetsNoRequests guards against an entry that ignores the Retry-After header of a declined request and counts it as
// one more failure. Then 11 requests from one entry reached an upstream within a backoff of three seconds.
func TestUpstreamInBackoffGetsNoRequests(t *testing.T) {
	for _, service := range []struct{ name, path string }{{"desk", idempotentCall}, {"model", resumableStream}} {
		r := newRig()
		r.add("u1", service.name, "perth-a", 6)
		r.add("u2", service.name, "bunbury-a", 6)
		r.requestBackoff("u1", 3*time.Second)
		id, inBackoff, after := uint64(0), 0, 0
		for r.now = 0; r.now < 4*time.Second; r.now += 50 * time.Millisecond {
			id++
			r.step(forward.LoadReported{Address: "u1", Versions: map[string]int64{"m": 1}, Entries: 1, NearEntries: 1}) // It has capacity.
			for _, s := range sentAttempts(r.arrive(id, service.path)) {
				switch {
				case s.Upstream.ID != "u1":
				case r.now >= 3*time.Second:
					after++
				case r.now >= backoffGrace:
					inBackoff++
				}
				r.step(forward.AttemptEnded{ID: s.ID, Outcome: forward.Answered})
			}
		}
		require.LessOrEqual(t, inBackoff, backoffProbes, service.name)
		require.Positive(t, after, "%s: it is used again", service.name)
	}
}

// TestRequestIsRefusedAtOnceWhileAllUpstreamsAreInBackoff guards against a caller who waits although no upstream will accept a
// request in time, and against a Retry-After delay that ends before the shortest backoff.
func TestRequestIsRefusedAtOnceWhileAllUpstreamsAreInBackoff(t *testing.T) {
	r := newRig()
	r.add("u1", "desk", "perth-a", 6)
	r.add("u2", "desk", "perth-a", 6)
	r.requestBackoff("u1", 9*time.Second)
	r.requestBackoff("u2", 3*time.Second)
	refuse := only[forward.Refuse](t, r.arrive(1, nonIdempotentCall))
	require.Equal(t, code.NoUpstream, refuse.Code)
	require.Equal(t, code.NotRun, refuse.Ran)
	require.Contains(t, refuse.Reason, "2 that sent Retry-After")
	require.GreaterOrEqual(t, refuse.RetryAfter, 3*time.Second)
	require.Less(t, refuse.RetryAfter, 5*time.Second)
	r.now = 2900 * time.Millisecond
	require.Empty(t, r.arrive(2, nonIdempotentCall)[1:], "the backoff ends while a request may still wait for capacity")
}

// TestBackoffIsNotShortened guards against a backoff that is ended early by the answer to an earlier request, by a later request
// for a shorter backoff, by a new registration of the upstream, or by a declined request without a Retry-After header.
func TestBackoffIsNotShortened(t *testing.T) {
	r := newRig()
	r.add("u1", "desk", "perth-a", 6)
	instance := r.state.Catalog.Upstreams["u1"].Instance()
	r.now = time.Second
	r.requestBackoff("u1", 3*time.Second)
	r.requestBackoff("u1", time.Second)
	r.step(forward.AnswerHeadReceived{Upstream: instance, Sent: begin, Outcome: forward.Answered})
	r.step(forward.AnswerHeadReceived{Upstream: instance, Sent: begin, Outcome: forward.Declined})
	r.add("u1", "desk", "perth-a", 6)
	r.now = 3500 * time.Millisecond
	require.Empty(t, sentIDs(r.arrive(1, idempotentCall)))
	r.now = 4 * time.Second
	require.Len(t, sentIDs(r.arrive(2, idempotentCall)), 1)
}

// TestBackoffEndsWithTheInstance guards against a restarted upstream that gets no requests because its earlier instance requested a
// backoff.
func TestBackoffEndsWithTheInstance(t *testing.T) {
	r := newRig()
	u := catalog.Upstream{ID: "d1", StartedAt: 1000, Service: "desk", Address: "a", DataCentre: "perth-a", Slots: 6, Revision: storerev.Revision{Number: 1}}
	r.applyCatalog(catalog.UpstreamChanged{Upstream: &u})
	r.requestBackoff("d1", time.Minute)
	require.Empty(t, sentIDs(r.arrive(1, idempotentCall)))
	again := u
	again.StartedAt, again.Revision = 2000, storerev.Revision{Number: 2}
	r.applyCatalog(catalog.UpstreamChanged{Upstream: &again})
	require.Len(t, sentIDs(r.arrive(2, idempotentCall)), 1)
}

// TestExcessiveBackoffIsProbed guards against an upstream that stays out of use forever because it requested far too long a
// backoff. It gets at most two probes in the first three minutes, and is used normally once it has answered one.
func TestExcessiveBackoffIsProbed(t *testing.T) {
	r := newRig()
	r.add("u1", "desk", "perth-a", 6)
	r.requestBackoff("u1", 24*time.Hour)
	id := uint64(0)
	probes := func(until time.Duration, outcome forward.Outcome) int {
		n := 0
		for ; r.now < until; r.now += 500 * time.Millisecond {
			id++
			for _, s := range sentAttempts(r.arrive(id, idempotentCall)) {
				n++
				r.step(forward.AnswerHeadReceived{Upstream: s.Upstream.Instance(), Sent: begin.Add(r.now), Outcome: outcome})
				r.step(forward.AttemptEnded{ID: id, Outcome: outcome})
			}
		}
		return n
	}
	first := probes(3*time.Minute, forward.Declined)
	require.Positive(t, first)
	require.LessOrEqual(t, first, backoffProbes)
	require.Positive(t, probes(time.Hour, forward.Declined))
	require.Greater(t, probes(3*time.Hour, forward.Answered), 100)
}

// TestRetryAfterIsBoundedDespiteExcessiveBackoff guards against a caller who is asked to retry in a day because an upstream
// requested such a backoff.
func TestRetryAfterIsBoundedDespiteExcessiveBackoff(t *testing.T) {
	r := newRig()
	r.add("u1", "desk", "perth-a", 6)
	r.requestBackoff("u1", 24*time.Hour)
	require.Less(t, only[forward.Refuse](t, r.arrive(1, nonIdempotentCall)).RetryAfter, 35*time.Second)
}

// TestRetryAfterFollowsTheUpstreamThatIsUsableFirst guards against a Retry-After delay as long as one upstream's backoff, while another
// upstream that is avoided briefly after a failure is usable sooner.
func TestRetryAfterFollowsTheUpstreamThatIsUsableFirst(t *testing.T) {
	r := newRig()
	r.add("u1", "desk", "perth-a", 6)
	only[forward.Send](t, r.arrive(1, nonIdempotentCall))
	r.step(forward.AttemptEnded{ID: 1, Outcome: forward.NotSent})
	r.add("u2", "desk", "perth-a", 6)
	r.requestBackoff("u2", 9*time.Second)
	require.Less(t, only[forward.Refuse](t, r.arrive(2, nonIdempotentCall)).RetryAfter, 3*time.Second)
}

// TestRetryAfterIgnoresTheBackoffOfALeavingUpstream guards against a Retry-After delay that is based on the backoff of an upstream
// which will be gone by then.
func TestRetryAfterIgnoresTheBackoffOfALeavingUpstream(t *testing.T) {
	r := newRig()
	r.add("u1", "desk", "perth-a", 6)
	r.requestBackoff("u1", 25*time.Second)
	r.reportLeaving("u1", forward.Declined)
	require.Less(t, only[forward.Refuse](t, r.arrive(1, nonIdempotentCall)).RetryAfter, 3*time.Second)
}
