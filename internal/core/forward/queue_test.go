package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
)

// ask has a caller send a request to the model that leaves it a time.
func (r *rig) ask(id uint64, left time.Duration) []step.Effect {
	return r.step(forward.Arrived{ID: id, Host: "h", Path: reports + "x", Key: "key-1", Model: "m", Budget: left})
}

// full returns an entry whose only engine works on one request, 1, and can work on no other.
func full(t *testing.T) *rig {
	r := newRig()
	r.add("m1", "model", "perth-a", 1)
	r.step(forward.LoadTold{Address: "m1", Versions: map[string]int64{"m": 1}})
	only[forward.Send](t, r.ask(1, 6*time.Second))
	return r
}

// served ends a request and returns the one that got its place.
func (r *rig) served(t *testing.T, ended uint64) uint64 {
	return only[forward.Send](t, r.step(forward.SendEnded{ID: ended, Outcome: forward.Answered})).ID
}

// TestWhoCameBackTakesOnlyPlacesThatAreFree is the load over capacity with returners: a caller that was refused a second ago
// competes with ones that ask for the first time. It is told at once that there is no room.
func TestWhoCameBackTakesOnlyPlacesThatAreFree(t *testing.T) {
	r := full(t)
	refuse := only[forward.Refuse](t, r.ask(2, 4500*time.Millisecond))
	require.Equal(t, code.Overloaded, refuse.Code)
	require.Equal(t, code.NotRun, refuse.Ran)
	only[forward.Admitted](t, r.ask(3, 5400*time.Millisecond))
	require.Equal(t, uint64(3), r.served(t, 1))
	require.Empty(t, r.step(forward.SendEnded{ID: 3, Outcome: forward.Answered}))
	r.now += 100 * time.Millisecond
	only[forward.Send](t, r.ask(4, 4500*time.Millisecond))
}

// TestOfThoseInTimeTheNewestIsServedFirst is the steady load over capacity: the one that has waited longest is the likeliest to be late.
func TestOfThoseInTimeTheNewestIsServedFirst(t *testing.T) {
	r := full(t)
	for id := uint64(2); id <= 4; id++ {
		r.now += 20 * time.Millisecond
		only[forward.Admitted](t, r.ask(id, 6*time.Second))
	}
	require.Equal(t, uint64(4), r.served(t, 1))
	require.Equal(t, uint64(3), r.served(t, 4))
	require.Equal(t, uint64(2), r.served(t, 3))
}

// TestAnAccountsOwnLimitsTellWhoCameBack has a caller whose account always gives less time than others do: it was not refused.
func TestAnAccountsOwnLimitsTellWhoCameBack(t *testing.T) {
	r := full(t)
	require.Empty(t, refusals(r.step(forward.Arrived{
		ID: 2, Host: "h", Path: reports + "x", Key: "key-2", Model: "m", Budget: 2 * time.Second,
	})))
	require.Len(t, refusals(r.ask(3, 4*time.Second)), 1)
}

// TestLimitsAreForgotten has callers of an account give less time from some day on.
func TestLimitsAreForgotten(t *testing.T) {
	r := full(t)
	r.now += time.Minute
	r.step(step.Tick{})
	require.Empty(t, refusals(r.ask(2, 4*time.Second)))
	require.Empty(t, refusals(r.ask(3, 3900*time.Millisecond)))
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

// TestARefusedCallerIsToldToStayAwayLongEnoughToBeKnownAgain checks the two bounds that the order rests on.
func TestARefusedCallerIsToldToStayAwayLongEnoughToBeKnownAgain(t *testing.T) {
	r := full(t)
	for id := uint64(2); id < 100; id++ {
		only[forward.Admitted](t, r.ask(id, 6*time.Second))
		r.now += time.Second
		refuse := only[forward.Refuse](t, r.step(step.Tick{}))
		require.GreaterOrEqual(t, refuse.RetryAfter, 950*time.Millisecond)
		require.Less(t, refuse.RetryAfter, 2*time.Second)
	}
}

// TestWhileTheOnlyEngineLoadsRequestsWait is the moment after a loss of power at which engines are about to have their weights.
func TestWhileTheOnlyEngineLoadsRequestsWait(t *testing.T) {
	r := newRig()
	r.add("m1", "model", "perth-a", 4)
	r.step(forward.LoadTold{Address: "m1", Closing: true})
	only[forward.Admitted](t, r.ask(1, 6*time.Second))
	r.now += 100 * time.Millisecond
	require.Equal(t, []uint64{1}, sends(r.step(forward.LoadTold{Address: "m1", Versions: map[string]int64{"m": 1}})))
	r.step(forward.LoadTold{Address: "m1", Versions: map[string]int64{}})
	require.Equal(t, code.NoUpstream, only[forward.Refuse](t, r.ask(2, 6*time.Second)).Code, "nothing is under way there")
}

// TestAFreePlaceIsKeptForTheNextFirstTry is the steady load over capacity at a moment at which nobody waits.
func TestAFreePlaceIsKeptForTheNextFirstTry(t *testing.T) {
	r := full(t)
	only[forward.Admitted](t, r.ask(2, 6*time.Second))
	require.Equal(t, uint64(2), r.served(t, 1))
	require.Empty(t, r.step(forward.SendEnded{ID: 2, Outcome: forward.Answered}))
	r.now += 50 * time.Millisecond
	require.Len(t, refusals(r.ask(3, 4500*time.Millisecond)), 1)
	require.Equal(t, []uint64{4}, sends(r.ask(4, 6*time.Second)))
	r.step(forward.SendEnded{ID: 4, Outcome: forward.Answered})
	r.now += 60 * time.Millisecond
	require.Equal(t, []uint64{5}, sends(r.ask(5, 4500*time.Millisecond)))
}

// TestCallersStayAwayLongerWhileMostEnginesAreEmpty is the load after all hosts lost power: one engine of three has its weights again, and the
// callers that it has no place for are asked to come back when the others are likely to have theirs.
func TestCallersStayAwayLongerWhileMostEnginesAreEmpty(t *testing.T) {
	for _, empty := range []int{1, 2} {
		r := newRig()
		for i, id := range []string{"m1", "m2", "m3"} {
			r.add(id, "model", "perth-a", 1)
			told := forward.LoadTold{Address: id, Versions: map[string]int64{"m": 1}}
			if i < empty {
				told.Versions = nil
			}
			r.step(told)
		}
		var refused []forward.Refuse
		for id := uint64(1); id <= 20; id++ {
			r.arrive(id, reports)
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
