package gateway_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/selflimit"
	"samphireweir.example/samphireweir/internal/gateway"
	"samphireweir.example/samphireweir/internal/owndelay"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// TestOwnDelayReachesTheReducerAndTheLog guards against an entry that measures its own delay and does nothing with it, or does not measure it
// while it runs.
func TestOwnDelayReachesTheReducerAndTheLog(t *testing.T) {
	t.Parallel()
	fleet, log, metrics := standin.NewFleet(t), &standin.Log{}, telemetry.NewMetrics()
	g := gateway.New(fleet.Host(standin.NextIP(), false), zerolog.New(log), metrics, nil)
	g.OwnDelay().Record(owndelay.Second{Delay: time.Hour, OwnShare: 1})
	require.Equal(t, selflimit.MinRequests, g.MaxInFlight())
	require.True(t, log.Contains(`"event":1008`))
	fleet.Run(g.Run)
	require.Eventually(t, func() bool { return metrics.OwnDelay.Value() < time.Hour }, testTimeout, pollInterval, "a running entry measures")
	require.Eventually(t, func() bool { return g.MaxInFlight() == 0 }, testTimeout, pollInterval, "and the reducer learns of it")
}
