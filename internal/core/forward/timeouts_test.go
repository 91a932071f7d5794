package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/forward"
)

// newTimeoutRig returns a rig with two engines. The callers of its streams wait 2.4 s for an event.
func newTimeoutRig() *rig {
	r := newRig()
	for _, path := range []string{resumableStream, nonResumableStream} {
		r.state.Catalog.Manifest.Route("h", path).CallerTimeout = 2400 * time.Millisecond
	}
	r.add("m1", "model", "perth-a", 6)
	r.add("m2", "model", "perth-a", 6)
	return r
}

// TestLastAttemptTimesOutBeforeTheCallerLeaves guards against a caller that leaves without an answer because both upstreams that
// its route allows are silent.
func TestLastAttemptTimesOutBeforeTheCallerLeaves(t *testing.T) {
	r := newTimeoutRig()
	first := only[forward.Send](t, r.arrive(1, resumableStream))
	require.Equal(t, 1500*time.Millisecond, first.FirstEventTimeout)
	require.Equal(t, 2250*time.Millisecond, first.GiveUpAfter)
	r.now = 1500 * time.Millisecond
	last := only[forward.Send](t, r.step(forward.Stalled{ID: 1, Attempt: 1}))
	require.Equal(t, 750*time.Millisecond, last.GiveUpAfter)
	r.now += last.GiveUpAfter
	require.Empty(t, r.step(forward.AttemptEnded{ID: 1, Attempt: 1, Outcome: forward.Silent}))
	refusal := only[forward.Refuse](t, r.step(forward.AttemptEnded{ID: 1, Attempt: 2, Outcome: forward.Silent}))
	require.Equal(t, code.RetriesExhausted, refusal.Code)
	require.Equal(t, code.Unknown, refusal.Ran)
}

// TestNonResumableStreamTimesOutBeforeTheCallerLeaves guards against a stream whose only attempt times out after its caller has
// left.
func TestNonResumableStreamTimesOutBeforeTheCallerLeaves(t *testing.T) {
	r := newTimeoutRig()
	send := only[forward.Send](t, r.arrive(1, nonResumableStream))
	require.Equal(t, 2250*time.Millisecond, send.GiveUpAfter)
}

// TestBegunAnswerIsNotGivenUp guards against an answer that is cut although its upstream may go on: once a part was passed on, the entry has
// nothing better to give, however long its caller waits.
func TestBegunAnswerIsNotGivenUp(t *testing.T) {
	r := newTimeoutRig()
	only[forward.Send](t, r.arrive(1, resumableStream))
	r.now = 4 * time.Second
	resumed := only[forward.Send](t, r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Silent, Partial: true, SinceLastPart: 1200 * time.Millisecond}))
	require.True(t, resumed.Resume)
	require.Zero(t, resumed.GiveUpAfter)
}
