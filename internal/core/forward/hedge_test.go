package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/hostconfig"
)

// stall reports that an attempt has got nothing for its timeout.
func (r *rig) stall(id uint64, attempt int) []step.Effect {
	return r.step(forward.Stalled{ID: id, Attempt: attempt})
}

// TestSilenceWithoutReplacementEndsNothing guards against an answer that is cut or refused because its upstream is silent, while nothing
// else could give it.
func TestSilenceWithoutReplacementEndsNothing(t *testing.T) {
	for _, path := range []string{resumableStream, nonResumableStream, idempotentCall, nonIdempotentCall} {
		r := newRig()
		r.add("m1", "model", "perth-a", 6)
		r.add("d1", "desk", "perth-a", 6)
		only[forward.Send](t, r.arrive(1, path))
		r.now = 1500 * time.Millisecond
		require.Empty(t, r.stall(1, 1), path)
		r.now = 2500 * time.Millisecond
		require.Empty(t, r.step(step.Tick{}), path)
		r.step(forward.Progressed{ID: 1, Attempt: 1})
		require.Empty(t, r.step(forward.AttemptEnded{ID: 1, Attempt: 1, Outcome: forward.Answered}), path)
		require.Zero(t, r.state.InFlight(), path)
	}
}

// TestStalledAttemptIsHedged guards against a wait for a dead upstream while another one has capacity, and against an end of the first attempt
// before the second one has begun.
func TestStalledAttemptIsHedged(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 6)
	first := only[forward.Send](t, r.arrive(1, resumableStream))
	r.now = first.FirstEventTimeout
	require.Empty(t, r.stall(1, 1))
	r.add("m2", "model", "perth-a", 6)
	r.now += 200 * time.Millisecond
	second := only[forward.Send](t, r.step(step.Tick{}))
	require.Equal(t, "m2", second.Upstream.ID, "looked for again while the first attempt is open")
	require.Equal(t, 2, second.Attempt)
	r.now += time.Second
	require.Empty(t, r.stall(1, 2), "no third upstream while two attempts are open")
}

// TestHedgeOfBegunStreamResumesIt guards against a second attempt that begins an answer anew of which a part was passed on, or that is given up
// because its caller has waited for long before.
func TestHedgeOfBegunStreamResumesIt(t *testing.T) {
	r := newTimeoutRig()
	only[forward.Send](t, r.arrive(1, resumableStream))
	r.now = 4 * time.Second
	second := only[forward.Send](t, r.step(forward.Stalled{ID: 1, Attempt: 1, Partial: true, SinceLastPart: 1200 * time.Millisecond}))
	require.True(t, second.Resume)
	require.Zero(t, second.GiveUpAfter)
}

// TestEitherOfTwoAttemptsMayAnswer guards against resources that stay taken at the upstream whose attempt was cancelled, and against a request
// that ends with it.
func TestEitherOfTwoAttemptsMayAnswer(t *testing.T) {
	for winner := 1; winner <= 2; winner++ {
		r := newRig()
		r.add("m1", "model", "perth-a", 1)
		r.add("m2", "model", "perth-a", 1)
		only[forward.Send](t, r.arrive(1, resumableStream))
		only[forward.Send](t, r.stall(1, 1))
		r.step(forward.Progressed{ID: 1, Attempt: winner})
		r.step(forward.Started{ID: 1, Attempt: winner, Version: 1})
		require.Empty(t, r.step(forward.AttemptEnded{ID: 1, Attempt: 3 - winner, Outcome: forward.Withdrawn, Partial: true}))
		require.Equal(t, 1, r.state.InFlight())
		require.Empty(t, r.step(forward.AttemptEnded{ID: 1, Attempt: winner, Outcome: forward.Answered, Partial: true}))
		require.Zero(t, r.state.InFlight())
		for _, id := range []string{"m1", "m2"} { // Neither is silent any more.
			r.step(forward.AnswerHeadReceived{Upstream: catalog.Instance{ID: id}, Sent: begin, Outcome: forward.Answered})
		}
		for id := uint64(2); id <= 3; id++ {
			only[forward.Send](t, r.arrive(id, resumableStream))
		}
	}
}

// TestFailedHedgeLeavesTheFirstAttempt guards against a request that ends because its second upstream declines, breaks or fails, while the
// first one goes on.
func TestFailedHedgeLeavesTheFirstAttempt(t *testing.T) {
	for _, o := range []forward.Outcome{forward.Declined, forward.Broken, forward.NotSent, forward.Misdirected, forward.ServerFailed, forward.Silent} {
		r := newRig()
		r.add("m1", "model", "perth-a", 6)
		r.add("m2", "model", "perth-a", 6)
		only[forward.Send](t, r.arrive(1, resumableStream))
		only[forward.Send](t, r.stall(1, 1))
		require.Empty(t, r.step(forward.AttemptEnded{ID: 1, Attempt: 2, Outcome: o}), o)
		require.Equal(t, 1, r.state.InFlight(), o)
		require.Empty(t, r.step(forward.AttemptEnded{ID: 1, Attempt: 1, Outcome: forward.Answered}), o)
		require.Zero(t, r.state.InFlight(), o)
	}
}

// TestBrokenFirstAttemptLeavesTheHedge guards against a third upstream for a request whose first attempt breaks while the second one runs, and
// against an end without the failure that an upstream answered with.
func TestBrokenFirstAttemptLeavesTheHedge(t *testing.T) {
	r := newRig()
	for _, id := range []string{"d1", "d2", "d3"} {
		r.add(id, "desk", "perth-a", 6)
	}
	only[forward.Send](t, r.arrive(1, idempotentCall))
	only[forward.Send](t, r.stall(1, 1))
	require.Empty(t, r.step(forward.AttemptEnded{ID: 1, Attempt: 1, Outcome: forward.ServerFailed}))
	only[forward.Deliver](t, r.step(forward.AttemptEnded{ID: 1, Attempt: 2, Outcome: forward.Broken}))
}

// TestOnlyRepeatableRequestsAreHedged guards against a second run of a request that runs once.
func TestOnlyRepeatableRequestsAreHedged(t *testing.T) {
	for path, hedged := range map[string]bool{resumableStream: true, nonResumableStream: false, idempotentCall: true, nonIdempotentCall: false} {
		r := newRig()
		for _, id := range []string{"1", "2"} {
			r.add("m"+id, "model", "perth-a", 6)
			r.add("d"+id, "desk", "perth-a", 6)
		}
		only[forward.Send](t, r.arrive(1, path))
		require.Equal(t, hedged, len(r.stall(1, 1)) > 0, path)
	}
}

// TestHedgesAreRetries guards against a storm of second attempts when many upstreams are silent at once: the retry budget bounds them.
func TestHedgesAreRetries(t *testing.T) {
	r := newRig()
	r.state.Self.Retries = hostconfig.RetryBudget{Ratio: 0, Base: 80, Window: 10 * time.Second}
	const requests, allowed = 40, 7 // An eighth of the base, of which 0.7 may be used.
	for i := range 2 {
		r.add([]string{"m1", "m2"}[i], "model", "perth-a", 2*requests)
	}
	for id := uint64(1); id <= requests; id++ {
		only[forward.Send](t, r.arrive(id, resumableStream))
	}
	hedges := 0
	for id := uint64(1); id <= requests; id++ {
		hedges += len(r.stall(id, 1))
	}
	for range 20 {
		r.now += 100 * time.Millisecond
		for _, e := range r.step(step.Tick{}) {
			if _, ok := e.(forward.Send); ok {
				hedges++
			}
		}
	}
	require.LessOrEqual(t, hedges, allowed)
	require.Equal(t, requests, r.state.InFlight(), "the others wait for the upstreams that they are with")
}

// TestForbiddenRequestIsNotHedged guards against a second attempt that the manifest in force no longer allows, and against the end of the first
// one because of that.
func TestForbiddenRequestIsNotHedged(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 6)
	r.add("m2", "model", "perth-a", 6)
	only[forward.Send](t, r.arrive(1, resumableStream))
	r.state.Catalog.Manifest = catalog.NewManifest(2, nil, nil)
	require.Empty(t, r.stall(1, 1))
	require.Empty(t, r.step(forward.AttemptEnded{ID: 1, Attempt: 1, Outcome: forward.Answered}))
}

// TestHedgedRequestTimesOutOnce guards against "not run" for a request that two upstreams may have run, and against slots that stay taken.
func TestHedgedRequestTimesOutOnce(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 1)
	r.add("d2", "desk", "perth-a", 1)
	only[forward.Send](t, r.arrive(1, idempotentCall))
	only[forward.Send](t, r.stall(1, 1))
	r.now = time.Second
	refusal := only[forward.Refuse](t, r.step(forward.TimedOut{ID: 1}))
	require.Equal(t, code.DeadlinePassed, refusal.Code)
	require.Equal(t, code.Unknown, refusal.Ran)
	only[forward.Send](t, r.arrive(2, idempotentCall))
	only[forward.Send](t, r.arrive(3, idempotentCall))
}

// TestUnsentAttemptIsReplaced guards against a wait for an upstream that accepts no connection while another one has capacity, against a
// refusal while there is none, and against a retry that is counted though nothing was sent.
func TestUnsentAttemptIsReplaced(t *testing.T) {
	for _, path := range []string{idempotentCall, nonIdempotentCall} {
		r := newRig()
		r.state.Self.Retries = hostconfig.RetryBudget{Window: 10 * time.Second}
		r.add("d1", "desk", "perth-a", 1)
		only[forward.Send](t, r.arrive(1, path))
		r.now = 400 * time.Millisecond
		require.Empty(t, r.step(forward.Stalled{ID: 1, Attempt: 1, Unsent: true}))
		r.add("d2", "desk", "perth-a", 1)
		r.now += 200 * time.Millisecond
		second := only[forward.Send](t, r.step(step.Tick{}))
		require.Equal(t, 1, second.Replaces)
		require.Equal(t, "d2", second.Upstream.ID)
		require.Empty(t, r.step(forward.AttemptEnded{ID: 1, Attempt: 1, Outcome: forward.Unsent}))
		require.Empty(t, r.step(forward.AttemptEnded{ID: 1, Attempt: 2, Outcome: forward.Answered}))
		require.Zero(t, r.state.InFlight())
	}
}

// TestSentAttemptIsNotReplaced guards against the end of a request whose connection was made just before it was to be replaced.
func TestSentAttemptIsNotReplaced(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 1)
	r.add("d2", "desk", "perth-a", 1)
	only[forward.Send](t, r.arrive(1, nonIdempotentCall))
	only[forward.Send](t, r.step(forward.Stalled{ID: 1, Attempt: 1, Unsent: true}))
	require.Empty(t, r.step(forward.AttemptEnded{ID: 1, Attempt: 2, Outcome: forward.Unsent}))
	require.Equal(t, 1, r.state.InFlight())
	refusal := only[forward.Refuse](t, r.step(forward.AttemptEnded{ID: 1, Attempt: 1, Outcome: forward.Broken}))
	require.Equal(t, code.Unknown, refusal.Ran)
}

// TestUpstreamThatWritesStreamsIsNotSilent guards against avoiding an upstream that answers one request slowly and others all the time. Long streams
// have no head or first event for seconds.
func TestUpstreamThatWritesStreamsIsNotSilent(t *testing.T) {
	for ago, near := range map[time.Duration]bool{200 * time.Millisecond: true, 1500 * time.Millisecond: false} {
		r := newRig()
		r.add("near", "model", "perth-a", 20)
		only[forward.Send](t, r.arrive(1, resumableStream))
		r.add("far", "model", "bunbury-a", 20)
		r.now = 1500 * time.Millisecond
		r.step(forward.Stalled{ID: 1, Attempt: 1, HeardAt: begin.Add(r.now - ago)})
		require.Equal(t, near, only[forward.Send](t, r.arrive(2, resumableStream)).Upstream.ID == "near", ago)
	}
}
