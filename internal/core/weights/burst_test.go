package weights_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/setting"
)

const (
	testHosts    = 24
	testChunks   = 96
	minCopyTime  = testChunks * chunkTime
	burstTimeout = 90 * time.Second
)

// TestBurstCopiesEachChunkOncePerLink checks that a burst without faults takes less than twice the
// minimum time. Each chunk must come from the origin at most once and cross each link between data
// centres and regions about once. Redundant transfers would overload these links.
func TestBurstCopiesEachChunkOncePerLink(t *testing.T) {
	f := newFleet(1, testHosts, setting.OriginFirst)
	f.want(newVersion("v1", testChunks, 0))
	start := f.now
	require.True(t, f.run(burstTimeout, f.done))
	require.Less(t, f.now.Sub(start), 2*minCopyTime, "on the simulated clock")
	require.LessOrEqual(t, f.originCopies(), 1.0)
	// The chunk is copied to three other data centres: one in the region of the origin fetcher, and
	// two in the other region, once over the link between regions and once within the region.
	require.LessOrEqual(t, f.transfers[weights.Fleet], testChunks*11/10)
	require.LessOrEqual(t, f.transfers[weights.Region], 2*testChunks*11/10)
}

// TestOriginTrafficIsBoundedWhenHostsDie guards against repeated fetches from the origin when a
// quarter of the hosts die during a burst and others take over their origin parts.
func TestOriginTrafficIsBoundedWhenHostsDie(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		f := burstWith(t, seed, setting.OriginFirst, minCopyTime/2, fault{"a quarter of the hosts die", killQuarter})
		require.LessOrEqual(t, f.originCopies(), 1.5, "seed %d", seed)
	}
}

// TestRestartedHostFetchesFromPeers guards against a restarted host with empty memory fetching
// chunks from the origin although its peers have them.
func TestRestartedHostFetchesFromPeers(t *testing.T) {
	f := newFleet(1, testHosts, setting.OriginFirst)
	f.want(newVersion("v1", testChunks, 0))
	require.True(t, f.run(burstTimeout, f.done))
	before := f.originFetches
	for _, h := range f.hosts[:testHosts/2] {
		f.kill(h)
		f.restart(h)
		require.True(t, f.run(burstTimeout, f.done))
	}
	require.Equal(t, before, f.originFetches)
}

// TestSharedChunksAreNotFetchedAgain checks that of a new version, only the chunks that it does not
// share with the held version are fetched.
func TestSharedChunksAreNotFetchedAgain(t *testing.T) {
	f := newFleet(1, testHosts, setting.OriginFirst)
	f.want(newVersion("v1", testChunks, testChunks*9/10))
	require.True(t, f.run(burstTimeout, f.done))
	f.originFetches = 0
	f.want(newVersion("v2", testChunks, testChunks*9/10))
	f.run(300*time.Millisecond, func() bool { return false })
	require.True(t, f.run(burstTimeout, f.done))
	require.LessOrEqual(t, f.originCopies(), 0.15)
	for _, h := range f.hosts {
		require.Equal(t, int64(testChunks-testChunks*9/10)*chunkBytes, h.state.View(f.now)[0].Fetched())
	}
}

// TestCorruptPeerIsDistrusted guards against repeated fetches from a peer that sends corrupted
// chunks.
func TestCorruptPeerIsDistrusted(t *testing.T) {
	f := burstWith(t, 1, setting.OriginFirst, 0, fault{"chunks always corrupt from one peer", corruptPeer})
	for _, h := range f.hosts {
		// Two fetches may have been in flight when the first corrupted chunk arrived.
		require.LessOrEqual(t, h.state.View(f.now)[0].Counts.Corrupt, int64(4), h.name)
	}
}

// TestStalledFetchIsHedged has a host whose link stalls. Fetches from it must be hedged well before
// their timeout, so that they don't delay the other hosts.
func TestStalledFetchIsHedged(t *testing.T) {
	for seed := uint64(1); seed <= 7; seed++ {
		f := newFleet(seed, testHosts, setting.TimeFirst)
		f.want(newVersion("v1", testChunks, 0))
		stallLink(f, minCopyTime/2)
		start := f.now
		require.True(t, f.run(burstTimeout, f.done), "%s", f.describeIncomplete())
		require.Less(t, f.now.Sub(start), 5*minCopyTime/2, "seed %d", seed)
	}
}

// TestPartitionedDataCentreFetchesFromOrigin checks that a data centre that reaches no other host
// falls back to the origin instead of waiting for its delegates.
func TestPartitionedDataCentreFetchesFromOrigin(t *testing.T) {
	f := newFleet(1, testHosts, setting.OriginFirst)
	f.partitioned = func(a, b *fakeHost) bool {
		return a != nil && b != nil && (a.place == "place-1") != (b.place == "place-1")
	}
	f.want(newVersion("v1", testChunks, 0))
	require.True(t, f.run(burstTimeout, f.done), "%s", f.describeIncomplete())
	require.LessOrEqual(t, f.originCopies(), 2.2, "one copy on each side of the partition")
}

// TestUnavailableOriginIsRetriedWithBackoff guards against a whole fleet calling an unavailable
// origin at a high rate.
func TestUnavailableOriginIsRetriedWithBackoff(t *testing.T) {
	f := newFleet(1, testHosts, setting.TimeFirst)
	calls := 0
	f.originFault = func(c int) (bool, weights.Reason, time.Duration) {
		if c >= 0 {
			calls++
		}
		return c >= 0, weights.ExchangeFailed, 0
	}
	f.want(newVersion("v1", testChunks, 0))
	f.run(time.Minute, func() bool { return false })
	require.Less(t, calls, 60*testHosts/2, "less than one call per host in two seconds")
}

// TestOriginIsRetriedSoonAfterAShortOutage restarts the origin during a burst, for several
// durations. Failures during a short outage must not increase the backoff so far that hosts wait
// much longer than about a second after the recovery.
func TestOriginIsRetriedSoonAfterAShortOutage(t *testing.T) {
	for _, outage := range []time.Duration{3 * time.Second, 4500 * time.Millisecond, 6 * time.Second, 7500 * time.Millisecond} {
		f := newFleet(1, testHosts, setting.TimeFirst)
		recoveredAt := f.now.Add(outage)
		var firstCall time.Time
		f.originFault = func(c int) (bool, weights.Reason, time.Duration) {
			if c >= 0 && f.now.After(recoveredAt) && firstCall.IsZero() {
				firstCall = f.now
			}
			return c >= 0 && f.now.Before(recoveredAt), weights.ExchangeFailed, 0
		}
		f.want(newVersion("v1", testChunks, 0))
		require.True(t, f.run(burstTimeout, f.done), "%s", f.describeIncomplete())
		require.Less(t, firstCall.Sub(recoveredAt), 1200*time.Millisecond, "down for %v", outage)
	}
}

// TestHelloIsRepeatedToASilentPeer checks that a linked peer that did not answer gets another
// hello. It may have restarted and lost the list of this host's chunks.
func TestHelloIsRepeatedToASilentPeer(t *testing.T) {
	v := newVersion("v1", 4, 0)
	s := weights.NewState(weights.Peer{Address: "a", Place: "p", Region: "r"})
	w := wantOf(v)
	w.Peers = []weights.Peer{{Address: "b", Place: "p", Region: "r"}}
	hello := weights.Announce{Digest: v.digest, To: "b", Hello: true}
	require.Contains(t, s.SetWants(at(0, nil), []weights.Want{w}), hello)
	require.NotContains(t, s.Reduce(at(2*time.Second, step.Tick{})), hello)
	s.Reduce(at(2*time.Second, weights.PeerSilent{Digest: v.digest, From: "b"}))
	require.Contains(t, s.Reduce(at(4*time.Second, step.Tick{})), hello)
}

// TestBaselineModesFetchFromOrigin checks that in Direct mode each host fetches everything from the
// origin, and in Swarm mode any host fetches what it lacks.
func TestBaselineModesFetchFromOrigin(t *testing.T) {
	for _, mode := range []weights.Mode{weights.Direct, weights.Swarm} {
		f := newFleet(1, 8, setting.TimeFirst)
		for _, h := range f.hosts {
			f.carryOut(h, h.state.Reduce(f.input(weights.Configured{Mode: mode})))
		}
		f.want(newVersion("v1", 32, 0))
		require.True(t, f.run(burstTimeout, f.done), "%s", f.describeIncomplete())
		if mode == weights.Direct {
			require.InDelta(t, 8, f.originCopies(), 0.5)
			continue
		}
		require.Greater(t, f.originCopies(), 1.0)
		require.Less(t, f.originCopies(), 8.0)
	}
}
