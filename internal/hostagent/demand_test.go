package hostagent_test

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/hostagent"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/telemetry"
)

// TestDemandOfEntriesIsSummedByDataCentre guards against sums that count an entry twice or after it fell silent, that go between regions
// although their receivers hear them elsewhere, and against demand from a faulty entry that enters a sum or fills the log.
func TestDemandOfEntriesIsSummedByDataCentre(t *testing.T) {
	var log bytes.Buffer
	agent := hostagent.New(hostconfig.Host{
		Name: "h", IP: "127.0.0.1", DataCentre: "perth-a", Region: "perth", Regions: map[string]string{"perth-a": "perth", "bunbury-a": "southwest"},
	}, zerolog.New(&log), telemetry.NewMetrics(), nil)
	say := func(host byte, dataCentre string, demand ...loadreport.Demand) netip.AddrPort {
		from := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 7000)
		agent.Receive(from, loadreport.Message{DataCentre: dataCentre, Demand: demand})
		return from
	}
	require.Empty(t, agent.DemandSumsFor(say(1, "perth-a"), time.Now()), "no entry said anything of its demand")
	for range 2 {
		say(1, "perth-a", loadreport.Demand{Work: 2}, loadreport.Demand{Homes: []string{"perth"}, Work: 3})
	}
	near, far := say(2, "perth-a", loadreport.Demand{Work: 1.5}), say(3, "bunbury-a", loadreport.Demand{Work: 7})
	for range 20 {
		say(4, "perth-a", loadreport.Demand{Work: -1})
		say(5, "nowhere", loadreport.Demand{Work: 1})
		say(6, "perth-a", loadreport.Demand{Homes: []string{"atlantis"}, Work: 1})
	}
	now := time.Now().Add(time.Second)
	sums := agent.DemandSumsFor(near, now)
	require.Len(t, sums, 2)
	require.Equal(t, "perth-a", sums[0].DataCentre)
	require.Equal(t, 2, sums[0].Entries)
	require.InDelta(t, 1000, sums[0].AgeMS, 900)
	require.Equal(t, []loadreport.Demand{{Work: 3.5}, {Homes: []string{"perth"}, Work: 3}}, sums[0].Sets)
	require.Equal(t, []loadreport.Demand{{Work: 7}}, sums[1].Sets)
	require.Equal(t, sums[:1], agent.DemandSumsFor(far, now))
	require.Equal(t, 1, strings.Count(log.String(), "demand dropped"), log.String())
	require.Contains(t, log.String(), `"count":60`)
	require.Empty(t, agent.DemandSumsFor(near, now.Add(5*time.Second)), "all entries fell silent")
}
