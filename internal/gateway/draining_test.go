package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// TestNoNewRequestsForUpstreamThatReportsLeaving guards against an entry that learns only from the store that an upstream is leaving.
// Here the store is down, and the upstream reports in each response that it is leaving.
func TestNoNewRequestsForUpstreamThatReportsLeaving(t *testing.T) {
	t.Parallel()
	const drainTime = 2 * time.Second // The limit of the users' platform.
	fleet := standin.NewFleet(t)
	leaving, other := fleet.AddService("i-leaving"), fleet.AddService("i-other")
	e := start(t, fleet)
	fleet.Store.SetDown(true)
	leaving.SetNotice(standin.Notice{Leaving: true})
	require.Eventually(t, func() bool {
		return e.Post("/once/1").Seal == "seal-of-i-leaving"
	}, testTimeout, pollInterval)
	notifiedAt := time.Now()
	for range 150 {
		require.Equal(t, 200, e.Post("/once/1").Status)
		time.Sleep(20 * time.Millisecond)
	}
	for _, a := range leaving.Arrivals() {
		require.Less(t, a.At.Sub(notifiedAt), drainTime)
	}
	require.Positive(t, other.ArrivalCount())
}
