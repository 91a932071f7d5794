package weights_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/setting"
)

// TestTheOriginMayGoAwayOnceItSentACopy has an origin that goes away for good when it could have sent each chunk three times. One host is
// dead and another has just joined, and every second host has not heard of that: their lists differ by two of 20 hosts, as while engines are
// taken away and added. No chunk may be left to a host that another believes to draw it.
func TestTheOriginMayGoAwayOnceItSentACopy(t *testing.T) {
	const chunks, hosts = 48, 20
	originTime := chunks * chunkTime / 2
	for seed := range uint64(30) {
		f := newFleet(seed, hosts, setting.TimeFirst)
		dead, joined := f.hosts[seed%hosts], f.hosts[(seed+7)%hosts]
		dead.dead = true
		late := map[*fakeHost]bool{}
		for i, h := range f.hosts {
			late[h] = i%2 == 0
		}
		f.misses = func(h, other *fakeHost) bool {
			return other == dead && !late[h] || other == joined && late[h]
		}
		chainOrigin(f, func(int) (bool, weights.Reason, time.Duration) {
			return f.now.Sub(time.Unix(0, 0)) > 3*originTime, weights.Broken, 0
		})
		f.want(newVersion("v2", chunks, 0))
		require.True(t, f.run(time.Minute, f.done), "seed %d: %.2f copies drawn", seed, f.copies())
		require.Less(t, f.copies(), 1.5, "seed %d", seed)
	}
}
