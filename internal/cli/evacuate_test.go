package cli

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform"
	"samphireweir.example/samphireweir/platform/standin"
)

// evacuated lists the data centres that are being evacuated.
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

func TestEvacuateSaysWhatMovesAndIsConfirmed(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.AddService("i-1")
	fleet.Place = "bunbury-a"
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
	require.Equal(t, "desk: 2 upstreams with 8 places are in the data centre, 1 with 4 places elsewhere\n", run(evacuateCommand{dataCentre: "bunbury-a", dryRun: true}))
	require.Empty(t, evacuated(t, fleet), "a dry run asks for nothing")
	for range 2 {
		require.Contains(t, run(evacuateCommand{dataCentre: "bunbury-a"}), "bunbury-a is evacuated: confirmed")
		require.Equal(t, []string{"bunbury-a"}, evacuated(t, fleet))
	}
	for range 2 {
		require.Contains(t, run(evacuateCommand{dataCentre: "bunbury-a", end: true}), "in use again")
		require.Empty(t, evacuated(t, fleet))
	}
	wrong := evacuateCommand{store: store, dataCentre: "nowhere"}
	require.ErrorContains(t, wrong.run(context.Background(), &bytes.Buffer{}), "6001")
	fleet.Store.SetDown(true)
	down := evacuateCommand{store: store, dataCentre: "bunbury-a", end: true}
	require.ErrorContains(t, down.run(context.Background(), &bytes.Buffer{}), "5006")
}
