package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
)

// startBusy returns an entry whose only upstream of a service has that many requests.
func startBusy(t *testing.T, id, service, path string, requests uint64) *rig {
	t.Helper()
	r := newRig()
	r.add(id, service, "perth-a", 1000)
	for n := uint64(1); n <= requests; n++ {
		only[forward.Send](t, r.arrive(n, path))
	}
	return r
}

// answer has an upstream send the head of an answer to a request, and end it if the answer is complete.
func (r *rig) answer(upstream string, id uint64, complete bool) {
	r.step(forward.AnswerHeadReceived{Upstream: catalog.Instance{ID: upstream}, Sent: begin, Outcome: forward.Answered})
	if complete {
		r.step(forward.AttemptEnded{ID: id, Outcome: forward.Answered})
	}
}

// TestOnlyUpstreamIsUsedWhileItAnswersOthers guards against callers that are refused because the only upstream left some requests
// unanswered, while it answers others all the time.
func TestOnlyUpstreamIsUsedWhileItAnswersOthers(t *testing.T) {
	for _, c := range []struct{ service, path string }{{"desk", idempotentCall}, {"desk", nonIdempotentCall}, {"model", resumableStream}, {"model", nonResumableStream}} {
		for _, outcome := range []forward.Outcome{forward.Silent, forward.NotSent} {
			const requests = 60
			r := startBusy(t, "u1", c.service, c.path, requests)
			for id := uint64(1); id <= requests; id += 3 {
				r.now += 100 * time.Millisecond
				r.answer("u1", id, true)
				r.step(forward.AttemptEnded{ID: id + 1, Outcome: outcome})
				r.step(forward.AttemptEnded{ID: id + 2, Outcome: outcome})
				send := only[forward.Send](t, r.arrive(requests+id, c.path))
				require.Equal(t, "u1", send.Upstream.ID)
				r.answer("u1", requests+id, true)
			}
		}
	}
}

// TestUnansweredUpstreamIsUsedOnlyWithoutAnother guards against requests that wait at an upstream which has just left some unanswered,
// although another one is usable.
func TestUnansweredUpstreamIsUsedOnlyWithoutAnother(t *testing.T) {
	r := startBusy(t, "u1", "model", resumableStream, 2)
	r.add("u2", "model", "bunbury-a", 100)
	r.now = 1500 * time.Millisecond
	r.answer("u1", 2, false)
	r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Silent})
	for id := uint64(10); id < 20; id++ {
		require.Equal(t, "u2", only[forward.Send](t, r.arrive(id, resumableStream)).Upstream.ID)
	}
}

// TestOnlyUpstreamThatStaysSilentIsAvoided guards against callers that wait at an upstream which has been silent for longer than a sound one
// may be, instead of being refused at once.
func TestOnlyUpstreamThatStaysSilentIsAvoided(t *testing.T) {
	r := startBusy(t, "u1", "model", nonResumableStream, 3)
	r.answer("u1", 1, true)
	r.now = 1500 * time.Millisecond
	r.step(forward.AttemptEnded{ID: 2, Outcome: forward.Silent})
	r.now += 2500 * time.Millisecond
	only[forward.Send](t, r.arrive(4, nonResumableStream)) // The probe.
	for id := uint64(5); id < 10; id++ {
		refuse := only[forward.Refuse](t, r.arrive(id, nonResumableStream))
		require.Equal(t, code.NoUpstream, refuse.Code)
		require.Equal(t, code.NotRun, refuse.Ran)
		require.Contains(t, refuse.Reason, "1 silent")
	}
}

// TestOnlyUpstreamThatFailsIsAvoided guards against requests to the only upstream while it fails or declines each one: it answers, but a
// request that runs only once would be lost there.
func TestOnlyUpstreamThatFailsIsAvoided(t *testing.T) {
	for _, outcome := range []forward.Outcome{forward.ServerFailed, forward.Declined, forward.Broken} {
		const failures = 3
		r := startBusy(t, "u1", "desk", nonIdempotentCall, failures)
		for id := uint64(1); id <= failures; id++ {
			r.step(forward.AnswerHeadReceived{Upstream: catalog.Instance{ID: "u1"}, Sent: begin, Outcome: outcome})
			r.step(forward.AttemptEnded{ID: id, Outcome: outcome})
		}
		require.Equal(t, code.NotRun, only[forward.Refuse](t, r.arrive(failures+1, nonIdempotentCall)).Ran, outcome)
	}
}
