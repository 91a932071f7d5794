package claims_test

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/claim"
)

// callerDeadline is a deadline that leaves time for more tries of a claim than are made.
const callerDeadline = time.Minute

// onceAtHead returns a hook that calls f once, at a stage of a call on a head.
func onceAtHead(at callStage, method string, f func(*http.Request) error) func(callStage, *http.Request) error {
	var done atomic.Bool
	return func(stage callStage, r *http.Request) error {
		if stage != at || r.Method != method || !strings.HasSuffix(r.URL.Path, "/head") || !done.CompareAndSwap(false, true) {
			return nil
		}
		return f(r)
	}
}

// silent is the effect of a call that is never answered.
func silent(r *http.Request) error {
	<-r.Context().Done()
	return r.Context().Err()
}

// TestClaimOutlastsASilentCall guards against a claim that is refused because one call to the platform was not answered, although
// its caller waits long enough for another try.
func TestClaimOutlastsASilentCall(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPut} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			cl := newCluster(t, 1)
			cl.nodes[0].setHook(onceAtHead(beforeCall, method, silent))
			c := newClaim("k", uuid.NewString())
			c.RunTimeoutMS = callerDeadline.Milliseconds()
			require.Equal(t, claim.Granted, cl.nodes[0].Claim(t.Context(), c).Verdict)
		})
	}
}

// TestClaimOutlastsADelayOfItsOwnProcess guards against a claim that is refused because this process was held, although the platform
// had answered all its calls and the claim is recorded.
func TestClaimOutlastsADelayOfItsOwnProcess(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPut} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			cl := newCluster(t, 1)
			n := cl.nodes[0]
			n.setHook(onceAtHead(afterCall, method, func(*http.Request) error {
				n.pause()
				time.AfterFunc(testTiming().ClaimTimeout+testTiming().PlatformTimeout, n.resume)
				return nil
			}))
			c := newClaim("k", uuid.NewString())
			c.RunTimeoutMS = callerDeadline.Milliseconds()
			require.Equal(t, claim.Granted, n.Claim(t.Context(), c).Verdict)
		})
	}
}

// TestClaimIsNotTriedAgainBeyondItsDeadline guards against a caller that waits for another try although it has no time for the call.
func TestClaimIsNotTriedAgainBeyondItsDeadline(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, 1)
	cl.setFaults(`{"hang":true}`)
	c := newClaim("k", uuid.NewString())
	c.RunTimeoutMS = claim.MinRetryAfter.Milliseconds()
	a := cl.nodes[0].Claim(t.Context(), c)
	require.Contains(t, []claim.Verdict{claim.NotRecorded, claim.MaybeRecorded}, a.Verdict)
	require.True(t, a.TimedOut)
	require.Positive(t, a.RetryAfterMS)
}

// TestRefusedClaimIsNotTriedAgain guards against a caller that waits although the platform has refused its claim.
func TestRefusedClaimIsNotTriedAgain(t *testing.T) {
	t.Parallel()
	cl := newCluster(t, 1)
	var calls atomic.Int64
	cl.nodes[0].setHook(func(at callStage, _ *http.Request) error {
		if at == beforeCall {
			calls.Add(1)
		}
		return nil
	})
	cl.setFaults(`{"outage":true}`)
	c := newClaim("k", uuid.NewString())
	c.RunTimeoutMS = callerDeadline.Milliseconds()
	a := cl.nodes[0].Claim(t.Context(), c)
	require.Equal(t, claim.NotRecorded, a.Verdict)
	require.False(t, a.TimedOut)
	require.Equal(t, int64(1), calls.Load())
}
