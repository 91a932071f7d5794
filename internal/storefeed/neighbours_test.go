package storefeed_test

import (
	"net/netip"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/source"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/internal/storefeed"
)

// greet has n hosts from an address on greet.
func greet(n *storefeed.Neighbours, first, count int, m loadreport.Message) {
	for i := range count {
		n.Heard(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(first + i)}), 7700), m)
	}
}

func newNeighbours(agent bool) *storefeed.Neighbours {
	return storefeed.NewNeighbours(hostconfig.Host{DataCentre: "perth-a", Seeds: []string{"10.0.0.200:7700", "no address"}},
		"10.0.0.200:7700", agent, zerolog.Nop())
}

func TestADataCentreIsToldOfItsEntriesOnceItIsLarge(t *testing.T) {
	t.Parallel()
	var told loadreport.Message
	n := newNeighbours(false)
	greet(n, 1, source.LeastEntries-2, loadreport.Message{DataCentre: "perth-a"})
	greet(n, 100, 20, loadreport.Message{DataCentre: "perth-a", Agent: true})
	greet(n, 150, 20, loadreport.Message{DataCentre: "bunbury-a"})
	n.Tell("perth-a", &told)
	require.Zero(t, told, "agents and entries elsewhere do not count")

	n = newNeighbours(false)
	greet(n, 1, source.LeastEntries-1, loadreport.Message{DataCentre: "perth-a"})
	n.Tell("perth-a", &told)
	require.Equal(t, source.LeastEntries, told.EntryCount, "with the one that tells")
	require.Len(t, told.Entries, source.Candidates)

	n = newNeighbours(true)
	greet(n, 1, source.LeastEntries-1, loadreport.Message{DataCentre: "perth-a"})
	told = loadreport.Message{}
	n.Tell("perth-a", &told)
	require.Zero(t, told, "an agent is no entry")
}
