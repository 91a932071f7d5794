package claim_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/claim"
)

// claimTry sends a try of a request's claim that is given up after timeout.
func (d *partitionDriver) claimTry(key, request string, try int, timeout time.Duration) uint64 {
	d.opCount++
	c := claim.Claim{Key: claim.HashKey("t", "s", key), RequestID: request, Fingerprint: 1, RunTimeoutMS: 60_000, Try: try}
	d.step(claim.ClaimRequested{Op: d.opCount, Claim: c, Deadline: d.now.Add(timeout)})
	return d.opCount
}

// expireInBatch has the first try of a claim pass its deadline in a batch that waits for the commit before it, so that the batch
// releases it.
func (d *partitionDriver) expireInBatch(key, request string) {
	d.claim("busy", "other")
	late := d.claimTry(key, request, 0, 10*time.Millisecond)
	d.now = d.now.Add(200 * time.Millisecond)
	d.completeCall()
	require.Equal(d.t, claim.NotRecorded, d.verdicts[late])
}

// TestSecondTryIsGrantedAfterTheFirstWasReleased guards against a second try of a claim that is refused because of the first one,
// which was given up before it was written. A late copy of the first try must still not be granted.
func TestSecondTryIsGrantedAfterTheFirstWasReleased(t *testing.T) {
	t.Parallel()
	d := newPartitionDriver(t, claim.Config{}).load()
	d.expireInBatch("k", "r")
	second := d.claimTry("k", "r", 1, time.Second)
	late := d.claimTry("k", "r", 0, time.Second)
	for d.pendingCall != nil {
		d.completeCall()
		d.advance(time.Second / 2)
	}
	require.Equal(t, claim.Granted, d.verdicts[second])
	require.NotEqual(t, claim.NotRecorded, d.verdicts[late], "the claim is held by this request")
	require.Equal(t, claim.StillRunning, d.verdicts[d.claimAndComplete("k", "another")])
}

// claimAndComplete sends a claim and carries out the calls to the platform that it needs.
func (d *partitionDriver) claimAndComplete(key, request string) uint64 {
	op := d.claim(key, request)
	for d.pendingCall != nil {
		d.completeCall()
	}
	return op
}

// TestLateSecondTryOfAnEndedRequestIsNotGranted guards against a key that stays claimed by a request that has ended: a copy of its
// second try arrives after its claim was released.
func TestLateSecondTryOfAnEndedRequestIsNotGranted(t *testing.T) {
	t.Parallel()
	d := newPartitionDriver(t, claim.Config{}).load()
	d.expireInBatch("k", "r")
	d.settle("k", "r", claim.Released, nil)
	late := d.claimTry("k", "r", 1, 5*time.Second)
	for d.pendingCall != nil {
		d.completeCall()
		d.advance(time.Second)
	}
	require.Equal(t, claim.NotRecorded, d.verdicts[late])
}

// TestSecondTryWaitsForThePlatform guards against a second try that is refused because it arrives just before the platform may be called
// again after the call that the first try waited for.
func TestSecondTryWaitsForThePlatform(t *testing.T) {
	t.Parallel()
	d := newPartitionDriver(t, claim.Config{})
	d.claimTry("k", "r", 0, 2*time.Second)
	d.step(claim.LoadFailed{TimedOut: true})
	d.advance(claim.MinRetryAfter - time.Millisecond)
	second := d.claimTry("k", "r", 1, 2*time.Second)
	require.NotContains(t, d.verdicts, second, "it waits")
	require.Equal(t, claim.NotRecorded, d.verdicts[d.claimTry("k", "other", 0, 2*time.Second)], "a first try does not")
	d.pendingCall = nil
	d.advance(time.Millisecond)
	d.completeCall()
	d.completeCall()
	require.Equal(t, claim.Granted, d.verdicts[second])
}

// TestTryAgain checks when another try is made.
func TestTryAgain(t *testing.T) {
	t.Parallel()
	late := claim.Failure{Verdict: claim.MaybeRecorded, TimedOut: true}
	require.True(t, claim.TryAgain(late, time.Minute, time.Second))
	require.False(t, claim.TryAgain(late, time.Second, time.Second), "the caller does not wait long enough")
	require.False(t, claim.TryAgain(claim.Failure{Verdict: claim.NotRecorded}, time.Minute, time.Second), "the platform refused it")
	require.False(t, claim.TryAgain(claim.Failure{Verdict: claim.StillRunning, TimedOut: true}, time.Minute, time.Second), "another request holds the key")
	require.False(t, claim.TryAgain(claim.Failure{Verdict: claim.MaybeRecorded, TimedOut: true, Try: claim.MaxTries - 1}, time.Minute, time.Second))
}
