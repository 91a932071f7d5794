package forward_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
)

// TestFailingUpstreamIsAvoidedTemporarily guards against requests to an upstream that has just failed, and against avoiding it for
// too long.
func TestFailingUpstreamIsAvoidedTemporarily(t *testing.T) {
	r := newRig()
	r.add("d1", "desk", "perth-a", 6)
	only[forward.Send](t, r.arrive(1, nonIdempotentCall))
	r.step(forward.AttemptEnded{ID: 1, Outcome: forward.NotSent})
	only[forward.Refuse](t, r.arrive(2, nonIdempotentCall))
	r.now += 400 * time.Millisecond
	only[forward.Send](t, r.arrive(3, nonIdempotentCall))
}

// TestLeavingCallerFreesItsSlot guards against slots that stay taken after their callers have left.
func TestLeavingCallerFreesItsSlot(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 2)
	only[forward.Send](t, r.arrive(1, resumableStream))
	r.step(forward.CallerGone{ID: 1})
	require.Zero(t, r.state.InFlight())
	only[forward.Send](t, r.arrive(2, resumableStream))
}

// TestUnsentRequestIsReportedAsNotRun guards against reporting to a caller that a request may have run (502, 504) although nothing of it
// was sent: it was withdrawn, or timed out, before its connection was made. A non-idempotent request would then not be retried.
func TestUnsentRequestIsReportedAsNotRun(t *testing.T) {
	for _, path := range []string{nonIdempotentCall, idempotentCall, resumableStream, nonResumableStream} {
		r := newRig()
		for i := range 2 {
			r.add(fmt.Sprintf("d%d", i), "desk", "perth-a", 6)
			r.add(fmt.Sprintf("m%d", i), "model", "perth-a", 6)
		}
		first := only[forward.Send](t, r.arrive(1, path))
		second := only[forward.Send](t, r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Unsent}))
		require.NotEqual(t, first.Upstream.ID, second.Upstream.ID)
		refuse := only[forward.Refuse](t, r.step(forward.TimedOut{ID: 1, Unsent: true}))
		require.Equal(t, code.NotRun, refuse.Ran, path)
		require.Equal(t, 503, refuse.Code.Describe().Status)
		require.Positive(t, refuse.RetryAfter)
	}
}

// TestUnsentRequestDoesNotCountAsUpstreamFailure guards against avoiding an upstream because requests were withdrawn before their
// connections were made.
func TestUnsentRequestDoesNotCountAsUpstreamFailure(t *testing.T) {
	r := newRig()
	r.add("d0", "desk", "perth-a", 6)
	for id := uint64(1); id < 6; id++ {
		only[forward.Send](t, r.arrive(id, idempotentCall))
		r.step(forward.AttemptEnded{ID: id, Outcome: forward.Unsent})
	}
}

// TestAbandonedRequestDoesNotResetUpstreamFailures guards against a hanging upstream that is taken for healthy because a caller
// left or a request timed out between two silent attempts.
func TestAbandonedRequestDoesNotResetUpstreamFailures(t *testing.T) {
	for _, end := range []step.Event{forward.CallerGone{ID: 2}, forward.TimedOut{ID: 2}} {
		r := newRig()
		r.add("d0", "desk", "perth-a", 6)
		only[forward.Send](t, r.arrive(1, nonIdempotentCall))
		only[forward.Send](t, r.arrive(2, nonIdempotentCall))
		r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Silent})
		r.step(end)
		r.now += 400 * time.Millisecond
		only[forward.Send](t, r.arrive(3, nonIdempotentCall))
		r.step(forward.AttemptEnded{ID: 3, Outcome: forward.Silent})
		r.now += 400 * time.Millisecond
		require.Empty(t, sentIDs(r.arrive(4, nonIdempotentCall)), "%T: the second time it is avoided twice as long", end)
	}
}

// TestSlowUpstreamThatAnswersIsAvoidedBriefly guards against an upstream that gets no requests for seconds because it was silent on many at
// once while it answered others. An upstream that answers nothing is avoided for longer each time. Meanwhile another one is used although it
// is farther away, and without another one the caller is refused only if this one answers nothing.
func TestSlowUpstreamThatAnswersIsAvoidedBriefly(t *testing.T) {
	for _, c := range []struct {
		name    string
		answers bool
		later   string
	}{
		{name: "answers others", answers: true, later: "d0"},
		{name: "answers nothing", answers: false, later: "far"},
	} {
		r := newRig()
		r.add("d0", "desk", "perth-a", 20)
		const requests = 10
		for id := uint64(1); id <= requests; id++ {
			only[forward.Send](t, r.arrive(id, nonIdempotentCall))
		}
		r.now += time.Second
		if c.answers {
			r.step(forward.AnswerHeadReceived{Upstream: catalog.Instance{ID: "d0"}, Sent: begin, Outcome: forward.Answered})
		}
		for id := uint64(1); id < requests; id++ {
			r.step(forward.AttemptEnded{ID: id, Outcome: forward.Silent})
		}
		require.Equal(t, c.answers, len(sentIDs(r.arrive(requests+1, nonIdempotentCall))) == 1, c.name)
		r.add("far", "desk", "bunbury-a", 20)
		require.Equal(t, "far", only[forward.Send](t, r.arrive(requests+2, nonIdempotentCall)).Upstream.ID, "%s: it gets a pause", c.name)
		r.now += 400 * time.Millisecond
		require.Equal(t, c.later, only[forward.Send](t, r.arrive(requests+3, nonIdempotentCall)).Upstream.ID, c.name)
	}
}
