package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// evacuationTime is the time that the users' platform allows until an evacuation takes effect.
const evacuationTime = 5 * time.Second

// TestEvacuatedDataCentreGetsNoRequests guards against requests sent to a data centre under evacuation: by a running entry, by an entry that
// starts during the evacuation, and by both while the store is down. Requests are sent again once the operator ends the evacuation.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	desk := fleet.AddService("i-desk")
	host := fleet.Host(standin.NextIP(), false)
	host.EvacuationTime = evacuationTime
	running := startHost(t, fleet, host)
	require.Equal(t, 200, running.Post("/once/1").Status)
	fleet.Store.Put("evacuations", "perth-a", map[string]any{})
	require.Eventually(t, func() bool { return running.Post("/once/1").Status == 503 }, testTimeout, pollInterval)
	startingHost := fleet.Host(standin.NextIP(), false)
	startingHost.EvacuationTime = evacuationTime
	starting := startHost(t, fleet, startingHost)
	fleet.Store.SetDown(true)
	arrivedBefore := desk.ArrivalCount()
	for range 20 {
		require.Equal(t, 503, running.Post("/once/1").Status)
		require.Equal(t, 503, starting.Post("/once/1").Status)
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, arrivedBefore, desk.ArrivalCount())
	fleet.Store.SetDown(false)
	fleet.Store.Delete("evacuations", "perth-a")
	require.Eventually(t, func() bool { return running.Post("/once/1").Status == 200 }, testTimeout, pollInterval)
	require.Eventually(t, func() bool { return starting.Post("/once/1").Status == 200 }, testTimeout, pollInterval)
}
