package claims_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/claim"
)

// TestCallRunsOnceWhenAFaultHitsItsSettlement guards against a call that runs again because a fault occurs in the owner
// while it records that the call ran. After the fault, a repeat gets the stored response.
func TestCallRunsOnceWhenAFaultHitsItsSettlement(t *testing.T) {
	for _, flt := range faults {
		for _, point := range []faultPoint{faultPoints[2], faultPoints[3]} {
			t.Run(flt.name+"/"+point.name, func(t *testing.T) {
				t.Parallel()
				testFaultDuringSettlement(t, flt, point)
			})
		}
	}
}

func testFaultDuringSettlement(t *testing.T, flt fault, point faultPoint) {
	cl := newCluster(t, 3)
	f := newFaultCase(cl)
	c := newClaim(f.key, uuid.NewString())
	require.Equal(t, claim.Granted, f.third.Claim(context.Background(), c).Verdict)
	cl.runCall(f.key, c.RequestID)
	injected := f.injectOnce(flt, point)
	f.third.Settle(settlement(c, claim.Ran))
	require.Eventually(t, injected, 20*time.Second, 5*time.Millisecond)
	meanwhile := f.attempt(f.next)
	require.NotEqual(t, claim.Granted, meanwhile.verdict)
	flt.end(f)
	f.owner.setHook(nil)
	require.Eventually(t, func() bool {
		a := f.attempt(f.next)
		require.NotEqual(t, claim.Granted, a.verdict)
		return a.verdict == claim.Replayed
	}, 8*time.Second, 50*time.Millisecond)
	require.Equal(t, 1, cl.runCounts()[f.key])
}

// TestCallOfACrashedEntryIsNotRunAgain guards against a call that runs again because its entry crashed and never
// recorded the outcome. Until the call's deadline a repeat gets StillRunning, after it OutcomeUnknown.
func TestCallOfACrashedEntryIsNotRunAgain(t *testing.T) {
	cl := newCluster(t, 3)
	f := newFaultCase(cl)
	c := newClaim(f.key, uuid.NewString())
	c.RunTimeoutMS = 3000
	require.Equal(t, claim.Granted, f.third.Claim(context.Background(), c).Verdict)
	cl.runCall(f.key, c.RequestID)
	f.third.kill()
	require.Equal(t, claim.StillRunning, f.attempt(f.next).verdict)
	require.Eventually(t, func() bool {
		verdict := f.attempt(f.next).verdict
		require.NotEqual(t, claim.Granted, verdict)
		return verdict == claim.OutcomeUnknown
	}, 20*time.Second, 20*time.Millisecond)
	require.Equal(t, 1, cl.runCounts()[f.key])
}

// TestReleasedKeyCanBeClaimedByAnotherRequest guards against a key that stays claimed although its call certainly did
// not run, and against a late duplicate of the release that frees the key of its new holder.
func TestReleasedKeyCanBeClaimedByAnotherRequest(t *testing.T) {
	cl := newCluster(t, 3)
	f := newFaultCase(cl)
	c := newClaim(f.key, uuid.NewString())
	require.Equal(t, claim.Granted, f.third.Claim(context.Background(), c).Verdict)
	f.third.Settle(settlement(c, claim.Released))
	require.Eventually(t, func() bool { return f.attempt(f.next).verdict == claim.Granted }, 5*time.Second, 10*time.Millisecond)
	// A late duplicate of the release must not release the claim of the new holder.
	f.third.Settle(settlement(c, claim.Released))
	f.third.Wait(t.Context())
	require.NotEqual(t, claim.Granted, f.attempt(f.owner).verdict)
	require.Equal(t, 1, cl.runCounts()[f.key])
}

// TestNewOwnerReadsTheRecordsOfEarlierOwners guards against calls that run again because all processes were replaced:
// the new owner must read the records of 200 keys and replay the response that belongs to each.
func TestNewOwnerReadsTheRecordsOfEarlierOwners(t *testing.T) {
	cl := newCluster(t, 2)
	old := append([]*node(nil), cl.nodes...)
	var keys []string
	for range 200 {
		key := uuid.Must(uuid.NewV7()).String()
		c := newClaim(key, key)
		require.Equal(t, claim.Granted, cl.nodes[0].Claim(t.Context(), c).Verdict)
		cl.nodes[0].Settle(settlement(c, claim.Ran))
		keys = append(keys, key)
	}
	cl.nodes[0].Wait(t.Context())
	fresh := cl.startNode()
	for _, n := range old {
		n.kill()
	}
	for _, key := range keys {
		a := fresh.Claim(t.Context(), newClaim(key, uuid.NewString()))
		require.Equal(t, claim.Replayed, a.Verdict)
		require.Equal(t, key, string(a.StoredResponse.Body), "the response of another key")
	}
}

// TestClaimThatMayBeRecordedIsReleased guards against a key that stays claimed although its call was refused as not
// run. The write of the claim takes effect, its response is lost, and an outage prevents reading the head. The claim
// must be released after the outage.
func TestClaimThatMayBeRecordedIsReleased(t *testing.T) {
	cl := newCluster(t, 3)
	f := newFaultCase(cl)
	var injected atomic.Bool
	f.owner.setHook(func(at callStage, r *http.Request) error {
		if at != afterCall || r.Method != http.MethodPut || !injected.CompareAndSwap(false, true) {
			return nil
		}
		cl.setFaults(`{"outage":true}`)
		return errConnectionCut
	})
	c := newClaim(f.key, uuid.NewString())
	c.RunTimeoutMS = time.Hour.Milliseconds()
	require.Equal(t, claim.MaybeRecorded, f.third.Claim(t.Context(), c).Verdict)
	cl.setFaults(`{"outage":false}`)
	require.Eventually(t, func() bool { return f.attempt(f.next).verdict == claim.Granted }, 8*time.Second, 50*time.Millisecond)
	require.Equal(t, 1, cl.runCounts()[f.key])
}

// TestUnresponsiveOwnerIsBypassed guards against claims that all wait for a paused owner: the next owner takes over.
// When the first one resumes, its conditional write fails, so that it can't grant a key again.
func TestUnresponsiveOwnerIsBypassed(t *testing.T) {
	cl := newCluster(t, 3)
	f := newFaultCase(cl)
	warm := samePartition(f.key)
	require.Equal(t, claim.Granted, f.third.Claim(t.Context(), newClaim(warm, "w")).Verdict)
	f.owner.pause()
	require.Equal(t, claim.Granted, f.attempt(f.third).verdict)
	before := f.third.callsTo(f.owner.address)
	for range 20 {
		next := &faultCase{cluster: cl, key: samePartition(f.key)}
		require.Equal(t, claim.Granted, next.attempt(f.third).verdict)
	}
	require.Less(t, f.third.callsTo(f.owner.address)-before, 5, "most claims skip the unresponsive owner")
	f.owner.resume()
	require.NotEqual(t, claim.Granted, f.attempt(f.owner).verdict)
	require.Equal(t, 1, cl.runCounts()[f.key])
}

// TestSettlementIsRetriedThroughAnOutage guards against an outcome that is lost because the platform had an outage when
// the call ended.
func TestSettlementIsRetriedThroughAnOutage(t *testing.T) {
	cl := newCluster(t, 2)
	f := &faultCase{cluster: cl, key: uuid.Must(uuid.NewV7()).String()}
	c := newClaim(f.key, uuid.NewString())
	require.Equal(t, claim.Granted, cl.nodes[0].Claim(t.Context(), c).Verdict)
	cl.runCall(f.key, c.RequestID)
	cl.setFaults(`{"outage":true}`)
	cl.nodes[0].Settle(settlement(c, claim.Ran))
	time.Sleep(3 * testTiming().SettleAttemptTimeout)
	cl.setFaults(`{"outage":false}`)
	require.Eventually(t, func() bool {
		verdict := f.attempt(cl.nodes[1]).verdict
		require.NotEqual(t, claim.Granted, verdict)
		return verdict == claim.Replayed
	}, 8*time.Second, 50*time.Millisecond)
}

// TestCallerThatDisconnectsDoesNotAffectOtherClaims guards against a caller that disconnects during its claim and by
// that closes the shared connection to the owner, or makes the owner count as unresponsive.
func TestCallerThatDisconnectsDoesNotAffectOtherClaims(t *testing.T) {
	cl := newCluster(t, 3)
	f := newFaultCase(cl)
	gone, cancel := context.WithCancel(t.Context())
	cancel()
	a := f.third.Claim(gone, newClaim(f.key, uuid.NewString()))
	require.Equal(t, claim.Granted, a.Verdict)
	next := &faultCase{cluster: cl, key: samePartition(f.key)}
	require.Equal(t, claim.Granted, next.attempt(f.third).verdict)
	require.GreaterOrEqual(t, f.third.callsTo(f.owner.address), 2, "the owner is not skipped")
}

// TestNewOwnerLoadsALargePartition guards against a new owner that never loads a partition with many segments, because
// reading them all takes longer than the timeout of one call to the platform. Only each single read has that timeout.
func TestNewOwnerLoadsALargePartition(t *testing.T) {
	cl := newCluster(t, 1)
	first := cl.nodes[0]
	key := uuid.Must(uuid.NewV7()).String()
	var last claim.Claim
	for range 30 {
		for range 40 {
			last = newClaim(samePartition(key), uuid.NewString())
			first.Settle(settlement(last, claim.Ran))
		}
		first.Wait(t.Context())
	}
	fresh := cl.startNode()
	first.kill()
	fresh.setHook(func(at callStage, r *http.Request) error {
		if at == afterCall && strings.HasSuffix(r.URL.Path, "-records") {
			time.Sleep(testTiming().PlatformTimeout / 8)
		}
		return nil
	})
	require.Eventually(t, func() bool {
		repeat := last
		repeat.RequestID = uuid.NewString()
		repeat.Fingerprint = 0 // As in a record of a settlement without its claim.
		a := fresh.Claim(t.Context(), repeat)
		return a.Verdict == claim.Replayed || a.Verdict == claim.AlreadyRan
	}, 15*time.Second, 20*time.Millisecond)
}
