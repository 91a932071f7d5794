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
	testHosts  = 24
	testChunks = 96
	copyTime   = testChunks * chunkTime
	testLimit  = 90 * time.Second
)

// TestBurstNearTheLimit draws each chunk once from the origin and takes each about once over each place's link.
func TestBurstNearTheLimit(t *testing.T) {
	f := newFleet(1, testHosts, setting.OriginFirst)
	f.want(newVersion("v1", testChunks, 0))
	began := f.now
	require.True(t, f.run(testLimit, f.done))
	require.Less(t, f.now.Sub(began), 2*copyTime, "of the fake's own clock")
	require.LessOrEqual(t, f.copies(), 1.0)
	// Three other places take each chunk once: one in the region of the origin fetcher and, over the link between
	// regions once and within the other region once, two more.
	require.LessOrEqual(t, f.crossed[weights.Fleet], testChunks*11/10)
	require.LessOrEqual(t, f.crossed[weights.Region], 2*testChunks*11/10)
}

// TestQuarterDieOriginBytes keeps what is drawn from the origin bounded when hosts die.
func TestQuarterDieOriginBytes(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		f := burstWith(t, seed, setting.OriginFirst, copyTime/2, fault{"a quarter of the hosts die", killQuarter})
		require.LessOrEqual(t, f.copies(), 1.5, "seed %d", seed)
	}
}

// TestRestartTakesFromPeers has a restarted host take from its neighbours, not from the origin, what they have.
func TestRestartTakesFromPeers(t *testing.T) {
	f := newFleet(1, testHosts, setting.OriginFirst)
	f.want(newVersion("v1", testChunks, 0))
	require.True(t, f.run(testLimit, f.done))
	drawn := f.drawn
	for _, h := range f.hosts[:testHosts/2] {
		f.kill(h)
		f.restart(h)
		require.True(t, f.run(testLimit, f.done))
	}
	require.Equal(t, drawn, f.drawn)
}

// TestSharedChunksAreNotFetchedAgain has only a version's own chunks fetched.
func TestSharedChunksAreNotFetchedAgain(t *testing.T) {
	f := newFleet(1, testHosts, setting.OriginFirst)
	f.want(newVersion("v1", testChunks, testChunks*9/10))
	require.True(t, f.run(testLimit, f.done))
	f.drawn = 0
	f.want(newVersion("v2", testChunks, testChunks*9/10))
	f.run(300*time.Millisecond, func() bool { return false })
	require.True(t, f.run(testLimit, f.done))
	require.LessOrEqual(t, f.copies(), 0.15)
	for _, h := range f.hosts {
		require.Equal(t, int64(testChunks-testChunks*9/10)*chunkBytes, h.state.View(f.now)[0].Fetched())
	}
}

// TestCorruptPeerIsDistrusted takes no more from a peer whose chunks fail their digest.
func TestCorruptPeerIsDistrusted(t *testing.T) {
	f := burstWith(t, 1, setting.OriginFirst, 0, fault{"chunks always corrupt from one peer", corruptPeer})
	for _, h := range f.hosts {
		// Two may have been under way when the first one came.
		require.LessOrEqual(t, h.state.View(f.now)[0].Counts.Corrupt, int64(4), h.name)
	}
}

// TestStalledFetchIsHedged has a host whose link stalls hold the others up for less than the limit of a fetch.
func TestStalledFetchIsHedged(t *testing.T) {
	for seed := uint64(1); seed <= 7; seed++ {
		f := newFleet(seed, testHosts, setting.TimeFirst)
		f.want(newVersion("v1", testChunks, 0))
		stallLink(f, copyTime/2)
		began := f.now
		require.True(t, f.run(testLimit, f.done), "%s", f.describe())
		require.Less(t, f.now.Sub(began), 5*copyTime/2, "seed %d", seed)
	}
}

// TestPlaceCutForGoodDrawsItself has a place that reaches no other host draw from the origin.
func TestPlaceCutForGoodDrawsItself(t *testing.T) {
	f := newFleet(1, testHosts, setting.OriginFirst)
	f.cut = func(a, b *fakeHost) bool {
		return a != nil && b != nil && (a.place == "place-1") != (b.place == "place-1")
	}
	f.want(newVersion("v1", testChunks, 0))
	require.True(t, f.run(testLimit, f.done), "%s", f.describe())
	require.LessOrEqual(t, f.copies(), 2.2, "one copy for each side of the cut")
}

// TestOriginDownIsAskedSeldom asks an origin that is down with growing waits.
func TestOriginDownIsAskedSeldom(t *testing.T) {
	f := newFleet(1, testHosts, setting.TimeFirst)
	asked := 0
	f.originFault = func(c int) (bool, weights.Reason, time.Duration) {
		if c >= 0 {
			asked++
		}
		return c >= 0, weights.Broken, 0
	}
	f.want(newVersion("v1", testChunks, 0))
	f.run(time.Minute, func() bool { return false })
	require.Less(t, asked, 60*testHosts/2, "less than one call in two seconds a host")
}

// TestOriginThatWasAwayForSecondsIsUsedSoonAfter lets an origin restart for some seconds in a burst, at different moments: it is asked
// again within about a second of its return.
func TestOriginThatWasAwayForSecondsIsUsedSoonAfter(t *testing.T) {
	for _, away := range []time.Duration{3 * time.Second, 4500 * time.Millisecond, 6 * time.Second, 7500 * time.Millisecond} {
		f := newFleet(1, testHosts, setting.TimeFirst)
		back := f.now.Add(away)
		var first time.Time
		f.originFault = func(c int) (bool, weights.Reason, time.Duration) {
			if c >= 0 && f.now.After(back) && first.IsZero() {
				first = f.now
			}
			return c >= 0 && f.now.Before(back), weights.Broken, 0
		}
		f.want(newVersion("v1", testChunks, 0))
		require.True(t, f.run(testLimit, f.done), "%s", f.describe())
		require.Less(t, first.Sub(back), 1200*time.Millisecond, "away for %v", away)
	}
}

// TestSilentNeighbourIsGreetedAgain says hello to a neighbour that did not answer, since it may have restarted.
func TestSilentNeighbourIsGreetedAgain(t *testing.T) {
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

// TestBaselines has the baselines do what they stand for: each host draws all itself, or any host draws what it lacks.
func TestBaselines(t *testing.T) {
	for _, mode := range []weights.Mode{weights.Direct, weights.Swarm} {
		f := newFleet(1, 8, setting.TimeFirst)
		for _, h := range f.hosts {
			f.carry(h, h.state.Reduce(f.input(weights.Configured{Mode: mode})))
		}
		f.want(newVersion("v1", 32, 0))
		require.True(t, f.run(testLimit, f.done), "%s", f.describe())
		if mode == weights.Direct {
			require.InDelta(t, 8, f.copies(), 0.5)
			continue
		}
		require.Greater(t, f.copies(), 1.0)
		require.Less(t, f.copies(), 8.0)
	}
}
