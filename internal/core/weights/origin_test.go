package weights_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/weights"
	"samphireweir.example/samphireweir/internal/setting"
)

// TestOriginIsNotNeededAfterItSentACopy makes the origin unavailable for good once it had time to
// send each chunk three times. One host is dead, another has just joined, and every second host
// does not know this yet, so the host lists differ by two of 20 hosts. This happens while engines
// are added and removed. It guards against a chunk that no host fetches because each expects
// another host to fetch it.
func TestOriginIsNotNeededAfterItSentACopy(t *testing.T) {
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
		f.listLacks = func(h, other *fakeHost) bool {
			return other == dead && !late[h] || other == joined && late[h]
		}
		addOriginFault(f, func(int) (bool, weights.Reason, time.Duration) {
			return f.now.Sub(time.Unix(0, 0)) > 3*originTime, weights.ExchangeFailed, 0
		})
		f.want(newVersion("v2", chunks, 0))
		require.True(t, f.run(time.Minute, f.done), "seed %d: %.2f copies fetched", seed, f.originCopies())
		require.Less(t, f.originCopies(), 1.5, "seed %d", seed)
	}
}
