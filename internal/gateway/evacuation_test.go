package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// evacuationTime is what the users' platform allows.
const evacuationTime = 5 * time.Second

// TestAnEvacuationHoldsFromTheStoresWordOn guards against work for a data centre that is being evacuated: at an entry that runs, at one that starts
// during the evacuation, and while the store is away after it. It ends when the operator takes it back.
func TestAnEvacuationHoldsFromTheStoresWordOn(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	desk := fleet.AddService("i-desk")
	host := fleet.Host(standin.NextIP(), false)
	host.EvacuationTime = evacuationTime
	running := startHost(t, fleet, host)
	require.Equal(t, 200, running.Post("/once/1").Status)
	fleet.Store.Put("evacuations", "perth-a", map[string]any{})
	require.Eventually(t, func() bool { return running.Post("/once/1").Status == 503 }, patience, pollInterval)
	late := fleet.Host(standin.NextIP(), false)
	late.EvacuationTime = evacuationTime
	starting := startHost(t, fleet, late)
	fleet.Store.SetDown(true)
	reached := desk.Arrived()
	for range 20 {
		require.Equal(t, 503, running.Post("/once/1").Status)
		require.Equal(t, 503, starting.Post("/once/1").Status)
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, reached, desk.Arrived())
	fleet.Store.SetDown(false)
	fleet.Store.Delete("evacuations", "perth-a")
	require.Eventually(t, func() bool { return running.Post("/once/1").Status == 200 }, patience, pollInterval)
	require.Eventually(t, func() bool { return starting.Post("/once/1").Status == 200 }, patience, pollInterval)
}
