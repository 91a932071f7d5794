package storefeed

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/control"
	"samphireweir.example/samphireweir/internal/core/source"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/platform"
)

// countingStore is an empty store that counts its lists.
type countingStore struct{ lists atomic.Int64 }

// List returns nothing.
func (s *countingStore) List(context.Context, string, bool) ([]platform.Object, storerev.Revision, error) {
	s.lists.Add(1)
	return nil, storerev.Revision{Number: 1}, nil
}

// Watch returns nothing.
func (s *countingStore) Watch(context.Context, string, storerev.Revision, time.Duration) ([]platform.Object, storerev.Revision, error) {
	return nil, storerev.Revision{Number: 1}, nil
}

// startProcess starts a process that lists the store at once. storeReads is the platform's limit of reads per second.
func startProcess(ctx context.Context, agent bool, storeReads float64) (*Peers, *countingStore) {
	host := hostconfig.Host{DataCentre: "perth-a", StoreReadsPerSecond: storeReads}
	n, s := NewPeers(host, "10.0.0.9:7700", agent, zerolog.Nop()), &countingStore{}
	r := n.Reader(s, control.NewPool("10.0.0.9:7700", "", unreachable), nil)
	go func() { _, _, _ = r.List(ctx, "things", true) }()
	return n, s
}

func unreachable(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("host unreachable")
}

// TestProcessOfLargeFleetDelaysFirstList guards against all processes of a large fleet that list the store at once, as after
// a power failure. Agents and entries wait to learn from which entry to read, but no longer than agentStartWait and
// entryStartWait.
func TestProcessOfLargeFleetDelaysFirstList(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		agent bool
		reads float64
		after time.Duration
		lists int
	}{
		"an agent waits":               {agent: true, reads: largeFleetReads, after: agentStartWait - time.Millisecond},
		"and reads the store then":     {agent: true, reads: largeFleetReads, after: agentStartWait + time.Millisecond, lists: 1},
		"one of a medium fleet waits":  {agent: true, reads: mediumFleetReads, after: agentMediumStartWait - time.Millisecond},
		"and reads the store sooner":   {agent: true, reads: mediumFleetReads, after: agentMediumStartWait + time.Millisecond, lists: 1},
		"one of a small fleet reads":   {agent: true, reads: mediumFleetReads - 1, after: time.Millisecond, lists: 1},
		"an entry of a medium fleet":   {reads: mediumFleetReads, after: time.Millisecond, lists: 1},
		"an entry waits, too":          {reads: largeFleetReads, after: entryStartWait - time.Millisecond},
		"and reads the store then too": {reads: largeFleetReads, after: entryStartWait + time.Millisecond, lists: 1},
		"an entry of a small fleet":    {reads: largeFleetReads - 1, after: time.Millisecond, lists: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				_, s := startProcess(ctx, c.agent, c.reads)
				time.Sleep(c.after)
				synctest.Wait()
				require.Equal(t, int64(c.lists), s.lists.Load())
				time.Sleep(2 * agentStartWait)
			})
		})
	}
}

// TestAgentReadsFromEntriesThatSendHeartbeats guards against an agent that ignores the entries whose heartbeats it
// receives, and against one that does not read the store when the chosen entry is unreachable.
func TestAgentReadsFromEntriesThatSendHeartbeats(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n, s := startProcess(ctx, true, largeFleetReads)
		time.Sleep(time.Millisecond)
		for i := range source.MinEntries {
			require.Zero(t, s.lists.Load())
			n.HandleMessage(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(10 + i)}), 7700), loadreport.Message{DataCentre: "perth-a"})
		}
		require.NotEmpty(t, n.source.Address())
		time.Sleep(agentStartWait / 2)
		synctest.Wait()
		require.Equal(t, int64(1), s.lists.Load())
		time.Sleep(2 * agentStartWait)
	})
}
