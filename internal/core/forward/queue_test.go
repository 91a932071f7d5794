package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
)

// arriveWithTimeout has a request to the model arrive whose caller waits for the given timeout.
func (r *rig) arriveWithTimeout(id uint64, timeout time.Duration) []step.Effect {
	return r.step(forward.Arrived{ID: id, Host: "h", Path: resumableStream + "x", Key: "key-1", Model: "m", Budget: timeout})
}

// newFullRig returns an entry whose only engine has a single slot, taken by request 1.
func newFullRig(t *testing.T) *rig {
	r := newRig()
	r.add("m1", "model", "perth-a", 1)
	r.step(forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 1}})
	only[forward.Send](t, r.arriveWithTimeout(1, 6*time.Second))
	return r
}

// finish ends a request and returns the ID of the one that got its slot.
func (r *rig) finish(t *testing.T, ended uint64) uint64 {
	return only[forward.Send](t, r.step(forward.AttemptEnded{ID: ended, Outcome: forward.Answered})).ID
}

// TestReturningCallerGetsOnlyFreeCapacity guards against callers that return after a refusal and take capacity from first tries,
// which can still be in time. Under overload, the returning caller is refused at once.
func TestReturningCallerGetsOnlyFreeCapacity(t *testing.T) {
	r := newFullRig(t)
	refuse := only[forward.Refuse](t, r.arriveWithTimeout(2, 4500*time.Millisecond))
	require.Equal(t, code.Overloaded, refuse.Code)
	require.Equal(t, code.NotRun, refuse.Ran)
	only[forward.Accepted](t, r.arriveWithTimeout(3, 5400*time.Millisecond))
	require.Equal(t, uint64(3), r.finish(t, 1))
	require.Empty(t, r.step(forward.AttemptEnded{ID: 3, Outcome: forward.Answered}))
	r.now += 100 * time.Millisecond
	only[forward.Send](t, r.arriveWithTimeout(4, 4500*time.Millisecond))
}

// TestNewestRequestIsServedFirst guards against serving the request that has waited longest, which is the most likely to be late,
// under constant overload.
func TestNewestRequestIsServedFirst(t *testing.T) {
	r := newFullRig(t)
	for id := uint64(2); id <= 4; id++ {
		r.now += 20 * time.Millisecond
		only[forward.Accepted](t, r.arriveWithTimeout(id, 6*time.Second))
	}
	require.Equal(t, uint64(4), r.finish(t, 1))
	require.Equal(t, uint64(3), r.finish(t, 4))
	require.Equal(t, uint64(2), r.finish(t, 3))
}

// TestReturningCallersAreRecognizedPerAccount guards against taking an account's first tries for returning callers because its
// timeouts are shorter than those of other accounts.
func TestReturningCallersAreRecognizedPerAccount(t *testing.T) {
	r := newFullRig(t)
	require.Empty(t, refusals(r.step(forward.Arrived{
		ID: 2, Host: "h", Path: resumableStream + "x", Key: "key-2", Model: "m", Budget: 2 * time.Second,
	})))
	require.Len(t, refusals(r.arriveWithTimeout(3, 4*time.Second)), 1)
}

// TestCallerTimeoutsAreForgotten guards against refusing the first tries of an account whose callers have begun to use a shorter
// timeout.
func TestCallerTimeoutsAreForgotten(t *testing.T) {
	r := newFullRig(t)
	r.now += time.Minute
	r.step(step.Tick{})
	require.Empty(t, refusals(r.arriveWithTimeout(2, 4*time.Second)))
	require.Empty(t, refusals(r.arriveWithTimeout(3, 3900*time.Millisecond)))
}

// refusals returns the refusals among effects.
func refusals(effects []step.Effect) []forward.Refuse {
	var list []forward.Refuse
	for _, e := range effects {
		if refuse, ok := e.(forward.Refuse); ok {
			list = append(list, refuse)
		}
	}
	return list
}

// TestRetryAfterIsLongEnoughToRecognizeReturningCallers checks the bounds of the Retry-After delay that recognizing returning
// callers depends on.
func TestRetryAfterIsLongEnoughToRecognizeReturningCallers(t *testing.T) {
	r := newFullRig(t)
	for id := uint64(2); id < 100; id++ {
		only[forward.Accepted](t, r.arriveWithTimeout(id, 6*time.Second))
		r.now += time.Second
		refuse := only[forward.Refuse](t, r.step(step.Tick{}))
		require.GreaterOrEqual(t, refuse.RetryAfter, 950*time.Millisecond)
		require.Less(t, refuse.RetryAfter, 2*time.Second)
	}
}

// TestRequestsWaitWhileTheOnlyEngineLoadsWeights guards against refusals when an engine is about to hold its weights, as after a
// power loss.
func TestRequestsWaitWhileTheOnlyEngineLoadsWeights(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 4)
	r.step(forward.LoadReported{Address: "m1", NotAccepting: true})
	only[forward.Accepted](t, r.arriveWithTimeout(1, 6*time.Second))
	r.now += 100 * time.Millisecond
	require.Equal(t, []uint64{1}, sentIDs(r.step(forward.LoadReported{Address: "m1", Versions: map[string]int64{"m": 1}})))
	r.step(forward.LoadReported{Address: "m1", Versions: map[string]int64{}})
	require.Equal(t, code.NoUpstream, only[forward.Refuse](t, r.arriveWithTimeout(2, 6*time.Second)).Code, "the engine is not loading weights")
}

// TestFreeCapacityIsReservedForFirstTries guards against giving capacity to a returning caller under constant overload, at a time
// when no request is queued.
func TestFreeCapacityIsReservedForFirstTries(t *testing.T) {
	r := newFullRig(t)
	only[forward.Accepted](t, r.arriveWithTimeout(2, 6*time.Second))
	require.Equal(t, uint64(2), r.finish(t, 1))
	require.Empty(t, r.step(forward.AttemptEnded{ID: 2, Outcome: forward.Answered}))
	r.now += 50 * time.Millisecond
	require.Len(t, refusals(r.arriveWithTimeout(3, 4500*time.Millisecond)), 1)
	require.Equal(t, []uint64{4}, sentIDs(r.arriveWithTimeout(4, 6*time.Second)))
	r.step(forward.AttemptEnded{ID: 4, Outcome: forward.Answered})
	r.now += 60 * time.Millisecond
	require.Equal(t, []uint64{5}, sentIDs(r.arriveWithTimeout(5, 4500*time.Millisecond)))
}

// TestRetryAfterIsLongerWhileMostEnginesAreEmpty guards against callers that return while most engines have not recovered their
// weights after a power loss, and are refused again.
func TestRetryAfterIsLongerWhileMostEnginesAreEmpty(t *testing.T) {
	for _, empty := range []int{1, 2} {
		r := newRig()
		for i, id := range []string{"m1", "m2", "m3"} {
			r.add(id, "model", "perth-a", 1)
			report := forward.LoadReported{Address: id, Versions: map[string]int64{"m": 1}}
			if i < empty {
				report.Versions = nil
			}
			r.step(report)
		}
		var refused []forward.Refuse
		for id := uint64(1); id <= 20; id++ {
			r.arrive(id, resumableStream)
		}
		r.now += 250 * time.Millisecond
		for _, e := range r.step(step.Tick{}) {
			if refuse, ok := e.(forward.Refuse); ok {
				refused = append(refused, refuse)
			}
		}
		require.Len(t, refused, 20-3+empty)
		for _, refuse := range refused {
			if empty == 2 {
				require.GreaterOrEqual(t, refuse.RetryAfter, 2*time.Second)
			} else {
				require.Less(t, refuse.RetryAfter, 2*time.Second)
			}
		}
	}
}
