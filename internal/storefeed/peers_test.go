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

// receiveHeartbeats delivers m from count hosts, whose addresses end in first and the following numbers.
func receiveHeartbeats(n *storefeed.Peers, first, count int, m loadreport.Message) {
	for i := range count {
		n.HandleMessage(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(first + i)}), 7700), m)
	}
}

func newPeers(agent bool) *storefeed.Peers {
	return storefeed.NewPeers(hostconfig.Host{DataCentre: "perth-a", Seeds: []string{"10.0.0.200:7700", "no address"}},
		"10.0.0.200:7700", agent, zerolog.Nop())
}

// TestEntryListIsSentOnlyToLargeDataCentres guards against processes that read through a peer in a data centre with fewer
// entries than source.MinEntries, and against counts that include agents or the entries of other data centres.
func TestEntryListIsSentOnlyToLargeDataCentres(t *testing.T) {
	t.Parallel()
	var m loadreport.Message
	n := newPeers(false)
	receiveHeartbeats(n, 1, source.MinEntries-2, loadreport.Message{DataCentre: "perth-a"})
	receiveHeartbeats(n, 100, 20, loadreport.Message{DataCentre: "perth-a", Agent: true})
	receiveHeartbeats(n, 150, 20, loadreport.Message{DataCentre: "bunbury-a"})
	n.AddEntries("perth-a", &m)
	require.Zero(t, m, "agents and entries elsewhere do not count")

	n = newPeers(false)
	receiveHeartbeats(n, 1, source.MinEntries-1, loadreport.Message{DataCentre: "perth-a"})
	n.AddEntries("perth-a", &m)
	require.Equal(t, source.MinEntries, m.EntryCount, "this process is counted")
	require.Len(t, m.Entries, source.CandidateCount)

	n = newPeers(true)
	receiveHeartbeats(n, 1, source.MinEntries-1, loadreport.Message{DataCentre: "perth-a"})
	m = loadreport.Message{}
	n.AddEntries("perth-a", &m)
	require.Zero(t, m, "an agent is no entry")
}
