package claims_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/claims"
	"samphireweir.example/samphireweir/internal/core/claim"
)

// faultPoint is a point in an owner's calls to the platform at which a fault is injected.
type faultPoint struct {
	name   string
	method string
	stage  callStage
}

var faultPoints = []faultPoint{
	{"before the head is read", http.MethodGet, beforeCall},
	{"after the head is read", http.MethodGet, afterCall},
	{"before the head is written", http.MethodPut, beforeCall},
	{"after the head is written", http.MethodPut, afterCall},
}

// fault is a fault that is injected at a faultPoint. inject returns the error of the call to the platform, if any.
type fault struct {
	name   string
	inject func(f *faultCase) error
	// end ends the fault.
	end func(f *faultCase)
}

// faultCase is a key, the processes by their rank as its owners, and the cluster that they belong to.
type faultCase struct {
	cluster *cluster
	owner   *node
	next    *node
	third   *node
	key     string
}

var errConnectionCut = fmt.Errorf("connection cut")

var faults = []fault{
	{
		name:   "connection cut",
		inject: func(*faultCase) error { return errConnectionCut },
		end:    func(*faultCase) {},
	}, {
		name:   "outage",
		inject: func(f *faultCase) error { f.cluster.setFaults(`{"outage":true}`); return nil },
		end:    func(f *faultCase) { f.cluster.setFaults(`{"outage":false}`) },
	}, {
		name:   "platform hangs",
		inject: func(f *faultCase) error { f.cluster.setFaults(`{"hang":true}`); return nil },
		end:    func(f *faultCase) { f.cluster.setFaults(`{"hang":false}`) },
	}, {
		name:   "platform slow",
		inject: func(f *faultCase) error { f.cluster.setFaults(`{"delay_ms":400}`); return nil },
		end:    func(f *faultCase) { f.cluster.setFaults(`{"delay_ms":0}`) },
	}, {
		name:   "answer lost after the effect",
		inject: func(f *faultCase) error { f.cluster.setFaults(`{"lose_next_answers":1}`); return nil },
		end:    func(f *faultCase) { f.cluster.setFaults(`{"lose_next_answers":0}`) },
	}, {
		name: "another owner writes",
		inject: func(f *faultCase) error {
			f.claimAndReleaseAsOwner(f.next, samePartition(f.key))
			return nil
		},
		end: func(*faultCase) {},
	}, {
		name: "another owner is asked the same",
		inject: func(f *faultCase) error {
			f.claimAndReleaseAsOwner(f.next, f.key)
			return nil
		},
		end: func(*faultCase) {},
	}, {
		name:   "owner paused",
		inject: func(f *faultCase) error { f.owner.pause(); return nil },
		end:    func(f *faultCase) { f.owner.resume() },
	}, {
		name:   "owner killed",
		inject: func(f *faultCase) error { f.owner.kill(); return nil },
		end:    func(f *faultCase) {},
	},
}

// claimAndReleaseAsOwner makes n claim and release a key as if it were the partition's owner.
func (f *faultCase) claimAndReleaseAsOwner(n *node, key string) {
	c := newClaim(key, uuid.NewString())
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if n.ClaimAsOwner(ctx, c).Verdict == claim.Granted {
		n.Settle(settlement(c, claim.Released))
	}
}

// samePartition returns another key of the key's partition.
func samePartition(key string) string {
	want := claim.HashKey("team", "service", key).Partition()
	for {
		other := uuid.Must(uuid.NewV7()).String()
		if claim.HashKey("team", "service", other).Partition() == want {
			return other
		}
	}
}

// newFaultCase returns a new key with its owner and the next two owners in rank.
func newFaultCase(cl *cluster) *faultCase {
	key := uuid.Must(uuid.NewV7()).String()
	ranked := claim.RankOwners(claim.HashKey("team", "service", key).Partition(), cl.nodes[0].Entries())
	return &faultCase{cluster: cl, key: key, owner: cl.nodeAt(ranked[0]), next: cl.nodeAt(ranked[1]), third: cl.nodeAt(ranked[2])}
}

func (cl *cluster) nodeAt(address string) *node {
	for _, n := range cl.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// TestCallRunsOnceWhenAFaultHitsItsClaim guards against a call that runs twice, or a key that stays unusable, because
// a fault occurs in the owner during a claim. It injects each fault at each point of a claim while the caller resends
// through other entries.
func TestCallRunsOnceWhenAFaultHitsItsClaim(t *testing.T) {
	for _, flt := range faults {
		for _, point := range faultPoints {
			t.Run(flt.name+"/"+point.name, func(t *testing.T) {
				t.Parallel()
				testFaultDuringClaim(t, flt, point)
			})
		}
	}
}

// injectOnce injects the fault into the owner once, at a point of its calls on the head. injected reports whether that
// is done. Without waiting for it, the fault could be injected after it was ended, or after the test.
func (f *faultCase) injectOnce(flt fault, point faultPoint) (injected func() bool) {
	var started, done atomic.Bool
	f.owner.setHook(func(at callStage, r *http.Request) error {
		if at != point.stage || r.Method != point.method || !strings.HasSuffix(r.URL.Path, "/head") || !started.CompareAndSwap(false, true) {
			return nil
		}
		defer done.Store(true)
		return flt.inject(f)
	})
	return done.Load
}

func testFaultDuringClaim(t *testing.T, flt fault, point faultPoint) {
	cl := newCluster(t, 3)
	f := newFaultCase(cl)
	injected := f.injectOnce(flt, point)
	resender := f.third
	first := f.attempt(resender)
	require.Eventually(t, injected, 20*time.Second, 5*time.Millisecond, "the fault was not injected")
	second := f.attempt(f.next)
	flt.end(f)
	f.owner.setHook(nil)
	requireConsistent(t, first, second)
	// After the fault, the key is usable: its call runs now, or it ran and its response is stored.
	require.Eventually(t, func() bool {
		a := f.attempt(resender)
		return a.verdict == claim.Granted || a.verdict == claim.Replayed
	}, 8*time.Second, 50*time.Millisecond)
	require.Equal(t, 1, cl.runCounts()[f.key])
}

// attemptResult is the result of sending the call through one entry.
type attemptResult struct {
	verdict  claim.Verdict
	duration time.Duration
}

// attempt sends the call through an entry, which runs it if the claim is granted.
func (f *faultCase) attempt(n *node) attemptResult {
	c := newClaim(f.key, uuid.NewString())
	begin := time.Now()
	a := n.Claim(context.Background(), c)
	if a.Verdict == claim.Granted {
		f.cluster.runCall(f.key, c.RequestID)
		n.Settle(settlement(c, claim.Ran))
	}
	return attemptResult{verdict: a.Verdict, duration: time.Since(begin)}
}

// requireConsistent checks that at most one of two attempts was granted, and that neither took too long.
func requireConsistent(t *testing.T, first, second attemptResult) {
	granted := 0
	for _, a := range []attemptResult{first, second} {
		if a.verdict == claim.Granted {
			granted++
		}
		require.Less(t, a.duration, 10*testTiming().ClaimTimeout, "the claim took longer than its timeouts allow")
	}
	require.LessOrEqual(t, granted, 1)
}

// TestOutageRejectsClaimsImmediately guards against claims that wait during an outage of the platform although they can't be
// recorded, and against keys that stay claimed by them. A claim is rejected with a Retry-After delay, and its key can be used
// afterwards.
func TestOutageRejectsClaimsImmediately(t *testing.T) {
	cl := newCluster(t, 3)
	warm := newClaim("warm", "w")
	require.Equal(t, claim.Granted, cl.nodes[0].Claim(context.Background(), warm).Verdict)
	cl.setFaults(`{"outage":true}`)
	key := uuid.Must(uuid.NewV7()).String()
	for _, n := range cl.nodes {
		a := n.Claim(context.Background(), newClaim(key, uuid.NewString()))
		require.Equal(t, claim.NotRecorded, a.Verdict)
		require.GreaterOrEqual(t, a.RetryAfterMS, claim.MinRetryAfter.Milliseconds())
	}
	cl.setFaults(`{"outage":false}`)
	require.Eventually(t, func() bool {
		return cl.nodes[1].Claim(context.Background(), newClaim(key, uuid.NewString())).Verdict == claim.Granted
	}, 5*time.Second, 50*time.Millisecond)
}

// TestRateLimitRejectsClaimsImmediately guards against a status 429 of the platform that counts as an unknown outcome:
// the write certainly did not take effect, so the claim is rejected as not recorded.
func TestRateLimitRejectsClaimsImmediately(t *testing.T) {
	cl := newCluster(t, 1)
	n := cl.nodes[0]
	n.setHook(nil)
	limited := claims.New(claims.Config{Self: n.address, Objects: newRateLimitedPlatform(t), Peers: n, Claims: testConfig(), Timing: testTiming()})
	first := limited.Claim(context.Background(), newClaim("a", "r1"))
	require.Equal(t, claim.Granted, first.Verdict)
	second := limited.Claim(context.Background(), newClaim("a2", "r2"))
	for i := 0; second.Verdict == claim.Granted && i < 10; i++ {
		second = limited.Claim(context.Background(), newClaim(fmt.Sprintf("b%d", i), "r"))
	}
	require.Equal(t, claim.NotRecorded, second.Verdict)
	require.Positive(t, second.RetryAfterMS)
}
