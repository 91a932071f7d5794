package forward_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/selflimit"
)

var (
	lateByOwnWork = selflimit.OwnDelay{Delay: time.Second, OwnShare: 0.9}
	lateByOthers  = selflimit.OwnDelay{Delay: time.Second, OwnShare: 0.3}
	onTime        = selflimit.OwnDelay{Delay: time.Millisecond, OwnShare: 0.9}
)

// newBusyRig returns an entry with n requests in flight at two upstreams that have capacity for more.
func newBusyRig(n int) *rig {
	r := newRig()
	r.add("u1", "desk", "perth-a", 10*n)
	r.add("u2", "desk", "perth-a", 10*n)
	for range n {
		r.next++
		r.arrive(r.next, idempotentCall)
	}
	return r
}

// TestNewRequestIsRefusedWhileLateByOwnWork guards against an entry that stays late because it accepts as many requests as before. The
// refusal says that the request did not run, and when to come back.
func TestNewRequestIsRefusedWhileLateByOwnWork(t *testing.T) {
	r := newBusyRig(40)
	r.step(lateByOwnWork)
	refuse := only[forward.Refuse](t, r.arrive(1000, idempotentCall))
	require.Equal(t, code.Overloaded, refuse.Code)
	require.Equal(t, code.NotRun, refuse.Ran)
	require.Positive(t, refuse.RetryAfter)
	require.Equal(t, "this process is late by its own work: 40 requests in flight, at most 32", refuse.Reason)
	require.Equal(t, 40, r.state.InFlight())
}

// TestNewRequestIsAcceptedWhileLateByOthers guards against refusals because of other processes' work or a suspension.
func TestNewRequestIsAcceptedWhileLateByOthers(t *testing.T) {
	r := newBusyRig(40)
	for range 10 {
		r.step(lateByOthers)
	}
	only[forward.Send](t, r.arrive(1000, idempotentCall))
}

// TestRequestInFlightIsRetriedWhileLateByOwnWork guards against a request that was accepted and is refused because of the limit on new ones.
func TestRequestInFlightIsRetriedWhileLateByOwnWork(t *testing.T) {
	r := newBusyRig(40)
	for range 20 {
		r.step(lateByOwnWork)
	}
	require.Equal(t, selflimit.MinRequests, r.state.MaxInFlight())
	id := r.next
	require.Equal(t, 2, only[forward.Send](t, r.step(forward.AttemptEnded{ID: id, Outcome: forward.NotSent})).Attempt)
}

// TestRequestsAreAcceptedAgainAfterTheDelay guards against an entry that refuses for good after a late second.
func TestRequestsAreAcceptedAgainAfterTheDelay(t *testing.T) {
	r := newBusyRig(40)
	r.step(lateByOwnWork)
	only[forward.Refuse](t, r.arrive(1000, idempotentCall))
	for range 20 {
		r.step(onTime)
	}
	require.Zero(t, r.state.MaxInFlight())
	only[forward.Send](t, r.arrive(1001, idempotentCall))
}
