package forward_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/attribution"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
)

// The parts of the tests: one that each request has, and one that crashes engines.
const (
	sharedPart   attribution.Part = 0xf1
	crashingPart attribution.Part = 0xc1
)

// arriveWith has a request with parts arrive that is like no other.
func (r *rig) arriveWith(id uint64, parts ...attribution.Part) []step.Effect {
	return r.step(forward.Arrived{ID: id, Host: "h", Path: resumableStream, Key: "key-1", Model: "m", Fingerprint: 1000 + id, SharedParts: parts})
}

// answerWhole has the engine of a request answer it.
func (r *rig) answerWhole(id uint64) {
	r.step(forward.Started{ID: id})
	r.step(forward.AttemptEnded{ID: id, Outcome: forward.Answered})
}

// crash has the engine of an attempt crash under it, and returns what follows for its request.
func (r *rig) crash(sent forward.Send) []step.Effect {
	r.step(forward.UpstreamDown{Upstream: sent.Upstream.Instance()})
	effects := r.step(forward.AttemptEnded{ID: sent.ID, Outcome: forward.Broken})
	r.now += 150 * time.Millisecond
	return append(effects, r.step(step.Tick{})...)
}

// newQuarantinedRig returns a rig with engines whose crashingPart is quarantined, because another process reported it.
func newQuarantinedRig(engines int) *rig {
	r := newEnginesRig(engines)
	r.quarantinePart()
	return r
}

func (r *rig) quarantinePart() []step.Effect {
	return r.step(forward.PartsReported{Parts: attribution.Report{Quarantines: []attribution.QuarantineReport{{Part: crashingPart, Generation: 1, Owner: 7, Crashes: 3}}}})
}

// Requests with a quarantined part must be refused at once with the truth that they did not run, and others must be served.
func TestRequestWithAQuarantinedPartIsRefused(t *testing.T) {
	r := newQuarantinedRig(6)
	refuse := only[forward.Refuse](t, r.arriveWith(1, sharedPart, crashingPart))
	require.Equal(t, code.PartQuarantined, refuse.Code)
	require.Equal(t, code.NotRun, refuse.Ran)
	require.Positive(t, refuse.RetryAfter)
	only[forward.Send](t, r.arriveWith(2, sharedPart))
	only[forward.Send](t, r.arriveWith(3))
	require.Equal(t, 2, r.state.InFlight())
}

// A quarantine applies to requests that wait and to attempts that engines have not begun, not to arriving requests alone.
func TestWaitingAndUnbegunRequestsWithAPartAreStopped(t *testing.T) {
	r := newEnginesRig(1)
	unbegun := only[forward.Send](t, r.arriveWith(1, crashingPart))
	r.fill()
	require.Empty(t, sentIDs(r.arriveWith(2, crashingPart)))
	effects := r.quarantinePart()
	require.Equal(t, uint64(2), only[forward.Refuse](t, effects).ID)
	require.Equal(t, unbegun.ID, only[forward.Withdraw](t, effects).ID)
	effects = r.step(forward.AttemptEnded{ID: 1, Outcome: forward.Withdrawn})
	require.Equal(t, code.Unknown, only[forward.Refuse](t, effects).Ran, "its engine may have begun it")
}

// Requests that are all different must be stopped at the entry that sees three crashes, also where engines break off the answers after some events.
func TestDifferentRequestsWithAPartAreStoppedAtTheThirdCrash(t *testing.T) {
	r := newEnginesRig(12)
	for id := uint64(500); id < 540; id++ {
		only[forward.Send](t, r.arriveWith(id, sharedPart))
		r.answerWhole(id)
	}
	crashes := 0
	for id := uint64(1); id < 20; id++ {
		for sent := sentAttempts(r.arriveWith(id, sharedPart, crashingPart)); len(sent) == 1; crashes++ {
			r.step(forward.Started{ID: id})
			sent = sentAttempts(r.crash(sent[0]))
		}
		only[forward.Send](t, r.arriveWith(100+id, sharedPart))
		r.answerWhole(100 + id)
	}
	require.Equal(t, attribution.CrashThreshold, crashes)
}

// A caller can't get a part of others quarantined by requests that it ends itself, whatever happens to the engines.
func TestRequestsThatTheirCallerEndsAreNoEvidence(t *testing.T) {
	r := newEnginesRig(12)
	for id := uint64(1); id < 10; id++ {
		sent := only[forward.Send](t, r.arriveWith(id, sharedPart))
		r.step(forward.CallerGone{ID: id})
		r.step(forward.UpstreamDown{Upstream: sent.Upstream.Instance()})
		r.now += time.Second
		r.step(step.Tick{})
	}
	require.False(t, r.state.Parts.Quarantined(sharedPart))
	require.True(t, r.state.Parts.MaySend(sharedPart))
}

// An answer without any event says nothing for the parts of its request: an engine may have crashed when it began it.
func TestEmptyAnswerDoesNotClearParts(t *testing.T) {
	r := newEnginesRig(12)
	for id := uint64(1); id < 3; id++ {
		r.crash(only[forward.Send](t, r.arriveWith(id, crashingPart)))
		r.step(forward.CallerGone{ID: id})
		r.step(forward.AttemptEnded{ID: id, Outcome: forward.Withdrawn})
	}
	inFlight := r.arriveWith(10, crashingPart)
	require.Len(t, sentIDs(inFlight), 1)
	require.Empty(t, sentIDs(r.arriveWith(11, crashingPart)), "suspected: one at a time")
	r.step(forward.AttemptEnded{ID: 10, Outcome: forward.Answered})
	only[forward.Send](t, r.arriveWith(12, crashingPart))
	require.Empty(t, sentIDs(r.arriveWith(13, crashingPart)), "still suspected")
	r.answerWhole(12)
	for id := uint64(14); id < 18; id++ {
		only[forward.Send](t, r.arriveWith(id, crashingPart))
	}
}

// A trial must cost one engine at most: it is not sent to a second one when it crashed the first.
func TestTrialHasASingleAttempt(t *testing.T) {
	r := newEnginesRig(12)
	for id := uint64(1); !r.state.Parts.Quarantined(crashingPart); id++ {
		require.Less(t, id, uint64(20))
		for sent := sentAttempts(r.arriveWith(id, crashingPart)); len(sent) == 1; {
			sent = sentAttempts(r.crash(sent[0]))
		}
		r.now += time.Second
		r.step(step.Tick{})
	}
	for i := range 12 {
		r.register(fmt.Sprintf("m%d", i), 2)
	}
	r.now += 61 * time.Second
	sent := only[forward.Send](t, r.arriveWith(100, crashingPart))
	require.Empty(t, sentIDs(r.arriveWith(101, crashingPart)), "one trial")
	require.Empty(t, sentAttempts(r.crash(sent)))
	require.Empty(t, sentIDs(r.arriveWith(102, crashingPart)))
	require.True(t, r.state.Parts.Quarantined(crashingPart))
}

// The crashes are reported to operators once each, with the number of requests that broke.
func TestCrashIsReportedOnceWithAllItsRequests(t *testing.T) {
	r := newEnginesRig(1)
	var sent forward.Send
	for id := uint64(1); id <= 2; id++ {
		sent = only[forward.Send](t, r.arriveWith(id))
	}
	for id := uint64(1); id <= 2; id++ {
		r.step(forward.UpstreamDown{Upstream: sent.Upstream.Instance()})
		r.step(forward.AttemptEnded{ID: id, Outcome: forward.Broken})
	}
	var reports []forward.UpstreamCrashed
	for range 50 {
		r.now += 20 * time.Millisecond
		for _, e := range r.step(step.Tick{}) {
			if crashed, ok := e.(forward.UpstreamCrashed); ok {
				reports = append(reports, crashed)
			}
		}
	}
	require.Equal(t, []forward.UpstreamCrashed{{Upstream: sent.Upstream.ID, Broken: 2}}, reports)
}

// A trial may have to wait for capacity when another part of its prompt is quarantined. It must not be ended without a reason.
func TestWaitingTrialIsNotEndedWithoutAReason(t *testing.T) {
	r := newQuarantinedRig(1)
	r.fill()
	r.now += 4 * time.Minute
	r.step(forward.LoadReported{Address: "m0", RequestCount: 6, Versions: map[string]int64{"m": 1}})
	require.Empty(t, sentIDs(r.arriveWith(1, crashingPart, sharedPart)), "the engine is full")
	require.Positive(t, r.state.InFlight())
	effects := r.step(forward.PartsReported{Parts: attribution.Report{Quarantines: []attribution.QuarantineReport{{Part: sharedPart, Generation: 1, Owner: 7, Crashes: 3}}}})
	for _, e := range effects {
		if refuse, ok := e.(forward.Refuse); ok {
			require.NotZero(t, refuse.Code)
		}
	}
}
