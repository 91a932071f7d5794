package hostagent_test

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/balance"
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

// TestLateDemandIsDropped guards against a reordered heartbeat that replaces newer demand, and against a restarted entry whose demand is
// dropped although its clock went on.
func TestLateDemandIsDropped(t *testing.T) {
	agent := hostagent.New(hostconfig.Host{Name: "h", IP: "127.0.0.1", DataCentre: "perth-a", Region: "perth", Regions: map[string]string{"perth-a": "perth"}}, zerolog.Nop(), telemetry.NewMetrics(), nil)
	from, now := netip.MustParseAddrPort("10.0.0.1:7000"), time.Now()
	for i, c := range []struct {
		sequence balance.Sequence
		work     float64
		want     float64
	}{
		{balance.Sequence{Start: 5, Number: 2}, 2, 2},
		{balance.Sequence{Start: 5, Number: 1}, 1, 2},
		{balance.Sequence{Start: 5, Number: 2}, 1, 2},
		{balance.Sequence{Start: 4, Number: 9}, 1, 2},
		{balance.Sequence{Start: 5, Number: 3}, 3, 3},
		{balance.Sequence{Start: 6, Number: 1}, 4, 4},
		{balance.Sequence{}, 5, 5}, // A process of an earlier release.
	} {
		agent.Receive(from, loadreport.Message{DataCentre: "perth-a", Demand: []loadreport.Demand{{Work: c.work}}, DemandSequence: c.sequence})
		sums := agent.DemandSumsFor(from, now.Add(time.Duration(i+1)*400*time.Millisecond))
		require.Equal(t, []loadreport.Demand{{Work: c.want}}, sums[0].Sets, i)
	}
}

// TestEntryWithoutAgentsNearbyGetsItsOwnSum guards against an entry that never learns the demand of its own data centre because that has no
// engines, and against sums between regions that nobody asked for.
func TestEntryWithoutAgentsNearbyGetsItsOwnSum(t *testing.T) {
	regions := map[string]string{"perth-a": "perth", "bunbury-a": "southwest", "karratha-a": "pilbara"}
	agent := hostagent.New(hostconfig.Host{Name: "h", IP: "127.0.0.1", DataCentre: "perth-a", Region: "perth", Regions: regions}, zerolog.Nop(), telemetry.NewMetrics(), nil)
	from := netip.MustParseAddrPort("10.0.0.1:7000")
	agent.Receive(netip.MustParseAddrPort("10.0.0.2:7000"), loadreport.Message{DataCentre: "karratha-a", Demand: []loadreport.Demand{{Work: 1}}})
	for i, wants := range []bool{false, true} {
		agent.Receive(from, loadreport.Message{DataCentre: "bunbury-a", Demand: []loadreport.Demand{{Work: 7}}, WantsOwnSum: wants})
		sums := agent.DemandSumsFor(from, time.Now().Add(time.Duration(i)*time.Second))
		if !wants {
			require.Len(t, sums, 1)
			continue
		}
		require.Len(t, sums, 2)
		require.Equal(t, "bunbury-a", sums[1].DataCentre)
		require.Equal(t, []loadreport.Demand{{Work: 7}}, sums[1].Sets)
	}
}
