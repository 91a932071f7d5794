package hostagent_test

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/owndelay"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// TestOwnDelayReachesTheLogAndTheMetrics guards against an agent that does not measure its own delay while it runs, or does not report it.
func TestOwnDelayReachesTheLogAndTheMetrics(t *testing.T) {
	t.Parallel()
	fleet, log, metrics := standin.NewFleet(t), &standin.Log{}, telemetry.NewMetrics()
	agent := hostagent.New(fleet.Host(standin.NextIP(), true), zerolog.New(log), metrics, nil)
	agent.OwnDelay().Record(owndelay.Second{Delay: time.Hour, OwnShare: 1})
	require.True(t, log.Contains(`"event":1008`))
	require.Equal(t, time.Hour, metrics.OwnDelay.Value())
	fleet.Run(agent.Run)
	require.Eventually(t, func() bool { return metrics.OwnDelay.Value() < time.Hour }, testTimeout, 20*time.Millisecond, "a running agent measures")
}
