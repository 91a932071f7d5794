package cli

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/attribution"
	"samphireweir.example/samphireweir/platform"
	"samphireweir.example/samphireweir/platform/standin"
)

// TestQuarantineCommand guards against an operator who can't see which part of prompts is quarantined, or can't lift a wrong quarantine.
func TestQuarantineCommand(t *testing.T) {
	fleet := standin.NewFleet(t)
	store := fleet.Host(standin.NextIP(), false).Store
	run := func(c quarantineCommand) (string, error) {
		var out bytes.Buffer
		c.store = store
		require.NoError(t, c.Check())
		err := c.run(context.Background(), &out)
		return out.String(), err
	}
	listed, err := run(quarantineCommand{})
	require.NoError(t, err)
	require.Empty(t, listed)
	q := attribution.Recorded{Part: 0x5c1e07a2, Generation: 1, Owner: 7, StartedAt: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC), Crashes: 3}
	require.NoError(t, fleet.Client().RecordQuarantine(context.Background(), q))
	listed, err = run(quarantineCommand{})
	require.NoError(t, err)
	require.Equal(t, "5c1e07a2: quarantined, since 2030-01-01T00:00:00Z, after 3 crashes\n", listed)
	_, err = run(quarantineCommand{lift: "77"})
	require.ErrorContains(t, err, "no quarantine of part 77")
	for range 2 {
		lifted, err := run(quarantineCommand{lift: "5c1e07a2"})
		require.NoError(t, err)
		require.Contains(t, lifted, "confirmed")
	}
	objects, _, err := fleet.Client().List(context.Background(), platform.QuarantineKind, false)
	require.NoError(t, err)
	require.Len(t, objects, 1)
	stored, err := platform.DecodeQuarantine(objects[0])
	require.NoError(t, err)
	q.Lifted = true
	require.True(t, q.StartedAt.Equal(stored.StartedAt))
	stored.StartedAt, stored.Revision = q.StartedAt, q.Revision
	require.Equal(t, q, stored)
	require.Error(t, (&quarantineCommand{store: store, lift: "xyz"}).Check())
	require.Error(t, (&quarantineCommand{store: "nowhere"}).Check())
}
