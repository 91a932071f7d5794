package request

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/selflimit"
	"samphireweir.example/samphireweir/internal/core/step"
)

var (
	lateByOwnWork = selflimit.OwnDelay{Delay: time.Second, OwnShare: 0.9}
	lateByOthers  = selflimit.OwnDelay{Delay: time.Second, OwnShare: 0.3}
)

// ownWorkRig is an entry's reducer with many requests.
type ownWorkRig struct {
	t     *testing.T
	state *State
	env   *environment
	next  int
}

// newOwnWorkRig returns a reducer with n requests in flight, enough upstreams for more, and the last measured second.
func newOwnWorkRig(t *testing.T, n int, measured selflimit.OwnDelay) *ownWorkRig {
	r := &ownWorkRig{t: t, state: NewState(), env: newEnvironment(n)}
	for range n {
		require.IsType(t, Send{}, r.receive())
	}
	r.step(measured)
	return r
}

func (r *ownWorkRig) step(ev step.Event) []step.Effect {
	return r.state.Reduce(step.Input{Now: time.Unix(1000, 0), Event: ev}, r.env, r.env)
}

// receive receives a new request, with the next number as its ID, and returns its first effect.
func (r *ownWorkRig) receive() step.Effect {
	r.next++
	effects := r.step(Received{
		ID: fmt.Sprint(r.next), Team: "t", Service: "s", Deadline: time.Unix(1060, 0), Key: "k", Replayable: true, Fingerprint: "f", Terms: Terms{Account: "c", Weight: 1},
	})
	require.NotEmpty(r.t, effects)
	return effects[0]
}

// TestNewRequestIsRefusedWhileLateByOwnWork guards against an entry that stays late because it accepts as many requests as before. The
// refusal says that the request did not run, and when to come back.
func TestNewRequestIsRefusedWhileLateByOwnWork(t *testing.T) {
	r := newOwnWorkRig(t, 40, lateByOwnWork)
	refusal, refused := r.receive().(Refuse)
	require.True(t, refused)
	require.Equal(t, code.Overloaded, refusal.Code)
	require.Equal(t, code.NotRun, refusal.Ran)
	require.Positive(t, refusal.RetryAfter)
	for id := range 20 {
		r.step(Ended{ID: fmt.Sprint(id + 1)})
	}
	require.IsType(t, Send{}, r.receive(), "there is room again")
}

// TestNewRequestIsAcceptedWhileLateByOthers guards against refusals because of other processes' work or a suspension.
func TestNewRequestIsAcceptedWhileLateByOthers(t *testing.T) {
	r := newOwnWorkRig(t, 40, lateByOthers)
	require.IsType(t, Send{}, r.receive())
}

// TestRequestInFlightIsRetriedAndContinuedWhileLateByOwnWork guards against a request that was accepted and is refused or aborted because of
// the limit on new ones.
func TestRequestInFlightIsRetriedAndContinuedWhileLateByOwnWork(t *testing.T) {
	r := newOwnWorkRig(t, 40, lateByOwnWork)
	for range 20 {
		r.step(lateByOwnWork)
	}
	require.Equal(t, selflimit.MinRequests, r.state.MaxInFlight())
	require.IsType(t, Send{}, r.step(AttemptFailed{ID: "1", Attempt: 1, Code: code.UpstreamDied, Ran: code.NotRun})[0])
	r.step(AnswerStarted{ID: "2", Attempt: 1, Continuable: true, Digest: "d"})
	require.IsType(t, Resume{}, r.step(AnswerInterrupted{ID: "2", Attempt: 1})[0])
	require.IsType(t, Send{}, r.step(AnswerFailed{ID: "2", Attempt: 1, Code: code.UpstreamDied, Ran: code.DidRun})[0])
}

// TestRefusedRequestDoesNotCountAsInFlight guards against an entry that accepts nothing because refusals that are still being written fill
// its limit.
func TestRefusedRequestDoesNotCountAsInFlight(t *testing.T) {
	r := newOwnWorkRig(t, 40, lateByOwnWork)
	for range 100 {
		require.IsType(t, Refuse{}, r.receive())
	}
	for id := range 20 {
		r.step(Ended{ID: fmt.Sprint(id + 1)})
	}
	require.IsType(t, Send{}, r.receive())
	for id := range r.next {
		r.step(Ended{ID: fmt.Sprint(id + 1)})
	}
	require.Zero(t, r.state.inFlight())
	require.Zero(t, r.state.settled)
}
