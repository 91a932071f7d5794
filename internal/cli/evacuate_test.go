package cli

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform"
	"samphireweir.example/samphireweir/platform/standin"
)

// evacuated returns the names of the data centres that are being evacuated.
func evacuated(t *testing.T, fleet *standin.Fleet) []string {
	t.Helper()
	objects, _, err := fleet.Client().List(t.Context(), platform.EvacuationKind, false)
	require.NoError(t, err)
	var list []string
	for _, o := range objects {
		list = append(list, o.Name)
	}
	return list
}

// TestEvacuateCountsSlotsAndIsConfirmed checks the command against a stand-in store: it counts slots, a dry run changes nothing, starting
// and ending are idempotent, and an unknown data centre and a store that is down are reported with their codes.
func TestEvacuateCountsSlotsAndIsConfirmed(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.AddService("i-1")
	fleet.DataCentre = "bunbury-a"
	fleet.AddService("i-2")
	fleet.AddService("i-3")
	store := fleet.Host(standin.NextIP(), false).Store
	run := func(c evacuateCommand) string {
		c.store = store
		require.NoError(t, c.Check())
		var out bytes.Buffer
		require.NoError(t, c.run(context.Background(), &out))
		return out.String()
	}
	require.Equal(t, "desk: 2 upstreams with 8 slots are in the data centre, 1 with 4 slots elsewhere\n", run(evacuateCommand{dataCentre: "bunbury-a", dryRun: true}))
	require.Empty(t, evacuated(t, fleet), "a dry run must not change the store")
	for range 2 {
		require.Contains(t, run(evacuateCommand{dataCentre: "bunbury-a"}), "bunbury-a is evacuated: confirmed")
		require.Equal(t, []string{"bunbury-a"}, evacuated(t, fleet))
	}
	for range 2 {
		require.Contains(t, run(evacuateCommand{dataCentre: "bunbury-a", end: true}), "in use again")
		require.Empty(t, evacuated(t, fleet))
	}
	unknown := evacuateCommand{store: store, dataCentre: "nowhere"}
	require.ErrorContains(t, unknown.run(context.Background(), &bytes.Buffer{}), "6001")
	fleet.Store.SetDown(true)
	down := evacuateCommand{store: store, dataCentre: "bunbury-a", end: true}
	require.ErrorContains(t, down.run(context.Background(), &bytes.Buffer{}), "5006")
}
