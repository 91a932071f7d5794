package weights_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/setting"
)

// TestSuspendedHostsDoNotFetchAgain guards against hosts that charge the time for which they were suspended to each other: when they went on,
// they fetched chunks a second time that were on their way, over the links between regions too, and others from the origin that
// another host fetched already.
func TestSuspendedHostsDoNotFetchAgain(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		for _, length := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second} {
			f := newFleet(seed, testHosts, setting.TimeFirst)
			f.socketsKeep = true
			f.want(newVersion("v1", testChunks, 0))
			f.after(minCopyTime/3, func() {
				for _, h := range f.hosts {
					h.frozen = true
					f.after(length, func() { f.thaw(h) })
				}
			})
			require.True(t, f.run(burstTimeout, f.done))
			for _, h := range f.hosts {
				require.Zero(t, h.state.Bursts[f.target.digest].Counts.Hedged, "%s, seed %d, suspended for %v", h.name, seed, length)
			}
			require.LessOrEqual(t, f.originCopies(), 1.0)
			require.LessOrEqual(t, f.transfers[weights.Fleet], testChunks*11/10)
		}
	}
}
