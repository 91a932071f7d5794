package gateway_test

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/gateway"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// TestUpstreamNoticesAreLogged guards against limits and shutdowns that upstreams signal in response heads and that operators
// can't see in the log.
func TestUpstreamNoticesAreLogged(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	desk := fleet.AddService("i-desk")
	host, log := fleet.Host(standin.NextIP(), false), &standin.Log{}
	g := gateway.New(host, zerolog.New(log), telemetry.NewMetrics(), nil)
	fleet.Run(g.Run)
	e := &entry{Caller: standin.Caller{Address: host.CallersListen, Name: t.Name()}, host: host, gateway: g}
	require.Eventually(t, func() bool { return e.ready() == 200 }, testTimeout, pollInterval)
	desk.SetNotice(standin.Notice{Limit: "750.5"})
	require.Equal(t, 200, e.Post("/again/1").Status)
	require.Equal(t, 200, e.Post("/again/1").Status)
	require.Contains(t, log.String(), `"event":2011,"upstream":"i-desk","limited":true,"rate_limit":750.5`)
	require.NotContains(t, log.String(), `"limited_before":true`, "an unchanged limit is not logged again")
	desk.SetNotice(standin.Notice{Leaving: true})
	require.Equal(t, 200, e.Post("/again/1").Status)
	require.Contains(t, log.String(), `"leaving":true`)
}
