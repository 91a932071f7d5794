package gateway_test

import (
	"net/netip"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/gateway"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// TestDemandIsTakenAndGivenOnlyWhereItIsOfUse guards against heartbeats with demand on platforms where no plan can come into effect, against
// heartbeats without it where one can, and against unusable sums that are used or that fill the log.
func TestDemandIsTakenAndGivenOnlyWhereItIsOfUse(t *testing.T) {
	t.Parallel()
	for _, evacuations := range []bool{false, true} {
		fleet := standin.NewFleet(t)
		fleet.AddService("i-desk")
		host := fleet.Host(standin.NextIP(), false)
		host.EvacuationTime = 0
		if evacuations {
			host.EvacuationTime = evacuationTime
		}
		log := &standin.Log{}
		g := gateway.New(host, zerolog.New(log), telemetry.NewMetrics(), nil)
		fleet.Run(g.Run)
		require.Eventually(t, func() bool { return strings.Contains(log.String(), `"message":"ready"`) }, testTimeout, pollInterval)
		require.Equal(t, evacuations, len(g.Heartbeat().Demand) > 0)
		first, second := g.Heartbeat(), g.Heartbeat()
		require.Equal(t, evacuations, first.WantsOwnSum, "no agent is heard")
		require.False(t, first.DemandSequence.Follows(second.DemandSequence) && evacuations, "a late heartbeat is known as such")
		for range 30 {
			g.Receive(netip.AddrPort{}, loadreport.Message{Load: &loadreport.Load{Address: "10.0.0.1:80"}, DemandSums: []loadreport.DemandSum{{DataCentre: "nowhere"}}})
			g.Receive(netip.AddrPort{}, loadreport.Message{Load: &loadreport.Load{Address: "10.0.0.1:80"}, DemandSums: []loadreport.DemandSum{{DataCentre: host.DataCentre, Sets: []loadreport.Demand{{Work: -1}}}}})
		}
		require.Equal(t, 1, strings.Count(log.String(), "demand dropped"))
	}
}
