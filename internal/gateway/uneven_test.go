package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/gateway"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// TestLateFirstEventIsAnsweredByAnotherEngine guards against a shell in which a withdrawn first attempt and the second one both reach the
// caller, or a first one that still runs once its engine comes to it: one of two engines holds its requests in its queue.
func TestLateFirstEventIsAnsweredByAnotherEngine(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	stuck, other := fleet.AddEngine("i-1", standin.NextIP(), 1), fleet.AddEngine("i-2", standin.NextIP(), 1)
	host := fleet.Host(standin.NextIP(), false)
	host.UnevenEngines = true
	metrics := telemetry.NewMetrics()
	g := gateway.New(host, newTestLogger(t), metrics, nil)
	e := &entry{Caller: standin.Caller{Address: host.CallersListen, Name: t.Name()}, host: host, gateway: g, stop: fleet.Run(g.Run)}
	require.Eventually(t, func() bool { return e.ready() == http.StatusOK }, testTimeout, pollInterval)
	for range 16 {
		require.Equal(t, http.StatusOK, e.Post("/stream/1").Status)
	}
	release := stuck.Hold()
	won := func() bool {
		var text strings.Builder
		require.NoError(t, metrics.Write(&text))
		return strings.Contains(text.String(), `samphireweir_second_attempts_total{stage="won"}`)
	}
	var ids []string
	// Which engine a request goes to is random, and no second attempt is sent while this process is late by its own work.
	for end := time.Now().Add(testTimeout); !won() && time.Now().Before(end); {
		r := e.Post("/stream/1")
		require.NoError(t, r.Err)
		require.Equal(t, http.StatusOK, r.Status, r.Body)
		require.Equal(t, streamBody(other.Events), r.Body)
		ids = append(ids, r.ID)
	}
	require.True(t, won())
	release()
	for _, id := range ids {
		require.LessOrEqual(t, stuck.Runs(id)+other.Runs(id), 2)
		require.Equal(t, 1, other.Runs(id))
	}
}
