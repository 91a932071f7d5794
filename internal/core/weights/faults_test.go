package weights_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/code"
	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/setting"
)

// fault injects a failure into a burst, at a time after its start.
type fault struct {
	name   string
	inject func(f *fleet, at time.Duration)
}

var faults = []fault{
	{"chunk corrupt once", corruptOnce},
	{"chunks always corrupt from one peer", corruptPeer},
	{"chunk always corrupt from the source for a while", corruptOrigin},
	{"version at the source changes and comes back", changeSource},
	{"delegate dies", killOne},
	{"delegate freezes for a while", freezeOne},
	{"delegate freezes for good", freezeForGood},
	{"link of a host stalls", stallLink},
	{"a quarter of the hosts die", killQuarter},
	{"a place is cut and returns", partitionPlace},
	{"store refuses for rate", rateLimitOrigin},
	{"origin down for a while", stopOrigin},
	{"new version during the burst", activateNewVersion},
	{"agent restarts", restartOne},
	{"origin fetchers die", killOriginFetchers},
}

func corruptOnce(f *fleet, at time.Duration) {
	left := 3
	addCorruption(&f.corrupt, func(weights.Source, int) bool {
		if left == 0 || f.now.Before(time.Unix(0, 0).Add(at)) {
			return false
		}
		left--
		return true
	})
}

func corruptPeer(f *fleet, at time.Duration) {
	bad := f.randomHost()
	addCorruption(&f.corrupt, func(from weights.Source, _ int) bool {
		return string(from) == bad.name && !f.now.Before(time.Unix(0, 0).Add(at))
	})
}

func corruptOrigin(f *fleet, at time.Duration) {
	addCorruption(&f.corrupt, func(from weights.Source, c int) bool {
		return from == weights.Origin && c%10 == 3 && f.now.Before(time.Unix(0, 0).Add(at+8*time.Second))
	})
}

func changeSource(f *fleet, at time.Duration) {
	addOriginFault(f, func(int) (bool, weights.Reason, time.Duration) {
		since := f.now.Sub(time.Unix(0, 0))
		return since > at && since < at+8*time.Second, weights.Changed, 0
	})
}

func stopOrigin(f *fleet, at time.Duration) {
	addOriginFault(f, func(int) (bool, weights.Reason, time.Duration) {
		since := f.now.Sub(time.Unix(0, 0))
		return since > at && since < at+6*time.Second, weights.ExchangeFailed, 0
	})
}

func rateLimitOrigin(f *fleet, _ time.Duration) {
	addOriginFault(f, func(int) (bool, weights.Reason, time.Duration) {
		return f.random.IntN(10) < 7, weights.Busy, time.Second
	})
}

func killOne(f *fleet, at time.Duration) { f.after(at, func() { f.kill(f.randomHost()) }) }

func killQuarter(f *fleet, at time.Duration) {
	f.after(at, func() {
		for _, h := range f.hosts {
			if f.random.IntN(4) == 0 {
				f.kill(h)
			}
		}
	})
}

// killOriginFetchers kills the hosts that have fetched from the origin by then.
func killOriginFetchers(f *fleet, at time.Duration) {
	f.after(at, func() {
		for _, h := range f.hosts {
			if b := h.state.Bursts[f.target.digest]; b != nil && b.Counts.Bytes[weights.FromOrigin] > 0 {
				f.kill(h)
			}
		}
	})
}

func freezeOne(f *fleet, at time.Duration) {
	f.after(at, func() {
		h := f.randomHost()
		h.frozen = true
		f.after(5*time.Second, func() { f.thaw(h) })
	})
}

// freezeForGood freezes a host and kills it after 20 s, as the platform does when it replaces a
// host.
func freezeForGood(f *fleet, at time.Duration) {
	f.after(at, func() {
		h := f.randomHost()
		h.frozen = true
		f.after(20*time.Second, func() { f.kill(h) })
	})
}

func stallLink(f *fleet, at time.Duration) {
	var bad *fakeHost
	f.after(at, func() { bad = f.randomHost() })
	before := f.stalled
	f.stalled = func(h *fakeHost) bool { return h == bad || (before != nil && before(h)) }
}

func partitionPlace(f *fleet, at time.Duration) {
	before := f.partitioned
	f.partitioned = func(a, b *fakeHost) bool {
		since := f.now.Sub(time.Unix(0, 0))
		inside := func(h *fakeHost) bool { return h != nil && h.place == "place-1" }
		cut := since > at && since < at+8*time.Second && inside(a) != inside(b)
		return cut || (before != nil && before(a, b))
	}
}

func activateNewVersion(f *fleet, at time.Duration) {
	f.after(at, func() { f.want(newVersion("v2", testChunks, testChunks/2)) })
}

func restartOne(f *fleet, at time.Duration) {
	f.after(at, func() {
		h := f.randomHost()
		f.kill(h)
		f.after(300*time.Millisecond, func() { f.restart(h) })
	})
}

// randomHost returns a random host that is neither dead nor frozen.
func (f *fleet) randomHost() *fakeHost {
	for {
		if h := f.hosts[f.random.IntN(len(f.hosts))]; !h.dead && !h.frozen {
			return h
		}
	}
}

func addCorruption(to *func(weights.Source, int) bool, more func(weights.Source, int) bool) {
	before := *to
	*to = func(from weights.Source, c int) bool { return (before != nil && before(from, c)) || more(from, c) }
}

func addOriginFault(f *fleet, more func(int) (bool, weights.Reason, time.Duration)) {
	before := f.originFault
	f.originFault = func(c int) (bool, weights.Reason, time.Duration) {
		if fails, why, retry := more(c); fails {
			return fails, why, retry
		}
		if before == nil {
			return false, 0, 0
		}
		return before(c)
	}
}

// burstWith runs a burst with faults and checks that every live host ends with the complete target
// version.
func burstWith(t *testing.T, seed uint64, policy setting.Policy, at time.Duration, injected ...fault) *fleet {
	f := newFleet(seed, testHosts, policy)
	f.want(newVersion("v1", testChunks, testChunks/2))
	for _, one := range injected {
		one.inject(f, at)
	}
	f.run(at+time.Second, func() bool { return false })
	require.True(t, f.run(burstTimeout, f.done), "%s", f.describeIncomplete())
	return f
}

// describeIncomplete returns the progress of the live hosts that lack chunks.
func (f *fleet) describeIncomplete() string {
	text := ""
	for _, h := range f.hosts {
		if h.dead || f.holdsAll(h) {
			continue
		}
		text += fmt.Sprintf("%s frozen %v: %+v\n", h.name, h.frozen, h.state.View(f.now))
	}
	return text
}

// TestFaultAlone injects each fault at the start, early and in the middle of a burst. Every live
// host must still complete the version, with either policy.
func TestFaultAlone(t *testing.T) {
	for _, one := range faults {
		for _, at := range []time.Duration{0, minCopyTime / 10, minCopyTime / 2} {
			t.Run(fmt.Sprintf("%s at %v", one.name, at), func(t *testing.T) {
				t.Parallel()
				for seed := uint64(1); seed <= 2; seed++ {
					burstWith(t, seed, setting.TimeFirst, at, one)
					burstWith(t, seed, setting.OriginFirst, at, one)
				}
			})
		}
	}
}

// TestFaultsInPairs injects each pair of faults in the first half of a burst, since the handling of
// one fault may break the recovery from another.
func TestFaultsInPairs(t *testing.T) {
	for i, one := range faults {
		for k, other := range faults[i+1:] {
			t.Run(one.name+" and "+other.name, func(t *testing.T) {
				t.Parallel()
				burstWith(t, uint64(i*100+k), setting.OriginFirst, minCopyTime/4, one, other)
			})
		}
	}
}

// TestBlockedBurstReportsCode checks that hosts that can't complete a burst report the result code
// of the cause.
func TestBlockedBurstReportsCode(t *testing.T) {
	cases := []struct {
		name  string
		fault func(f *fleet)
		want  code.Code
	}{
		{"corrupt source", func(f *fleet) {
			f.corrupt = func(from weights.Source, _ int) bool { return from == weights.Origin }
		}, code.ChunkCorrupt},
		{"changed source", func(f *fleet) {
			f.originFault = func(c int) (bool, weights.Reason, time.Duration) { return c >= 0, weights.Changed, 0 }
		}, code.SourceChanged},
		{"no source", func(f *fleet) {
			f.originFault = func(c int) (bool, weights.Reason, time.Duration) { return c >= 0, weights.ExchangeFailed, 0 }
		}, code.SourceUnavailable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(1, 4, setting.TimeFirst)
			c.fault(f)
			f.want(newVersion("v1", 8, 0))
			f.run(20*time.Second, func() bool { return false })
			for _, h := range f.hosts {
				require.Equal(t, c.want, h.state.View(f.now)[0].BlockedBy)
				require.Empty(t, h.completed)
			}
		})
	}
}
