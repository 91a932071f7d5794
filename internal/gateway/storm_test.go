package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// TestVersionIsHeardInTimeBesideManifestChanges guards against an entry that requires a version too late because it is busy with a series of
// manifest changes. The margins before an expiry cover 0.5 s until an activation is received.
func TestVersionIsHeardInTimeBesideManifestChanges(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	e := start(t, fleet)
	time.Sleep(watchDelay) // By now the entry watches the store.
	const changes, interval = 30, 67 * time.Millisecond
	for n := int64(2); n < 2+changes; n++ {
		fleet.WriteManifest()
		if n%10 == 0 {
			fleet.ActivateVersion(n)
			activatedAt := time.Now()
			require.Eventually(t, func() bool { return e.gateway.RequiredVersion("m", 0, 0) == n }, testTimeout, pollInterval)
			require.Less(t, time.Since(activatedAt), watchDelay)
		}
		time.Sleep(interval)
	}
}
