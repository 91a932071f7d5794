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
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/platform"
)

// countedStore counts the lists that it is asked for.
type countedStore struct{ lists atomic.Int64 }

// List returns nothing.
func (s *countedStore) List(context.Context, string, bool) ([]platform.Object, int64, error) {
	s.lists.Add(1)
	return nil, 1, nil
}

// Watch returns nothing.
func (s *countedStore) Watch(context.Context, string, int64, time.Duration) ([]platform.Object, int64, error) {
	return nil, 1, nil
}

// starting is a process that just started, whose store is listed at once.
func starting(ctx context.Context, agent bool, reads float64) (*Neighbours, *countedStore) {
	host := hostconfig.Host{DataCentre: "perth-a", StoreReads: reads}
	n, s := NewNeighbours(host, "10.0.0.9:7700", agent, zerolog.Nop()), &countedStore{}
	r := n.Reader(s, control.NewPool("10.0.0.9:7700", "", unreachable), nil)
	go func() { _, _, _ = r.List(ctx, "things", true) }()
	return n, s
}

func unreachable(context.Context, string, string) (net.Conn, error) {
	return nil, errors.New("no way there")
}

// TestAgentsThatStartTogetherDoNotAllListTheStore is the pattern of a large fleet that has lost power: agents wait a moment to hear from which
// entry to read, and no longer.
func TestAgentsThatStartTogetherDoNotAllListTheStore(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		agent bool
		reads float64
		after time.Duration
		lists int
	}{
		"an agent waits":               {agent: true, reads: crowdReads, after: agentWait - time.Millisecond},
		"and reads the store then":     {agent: true, reads: crowdReads, after: agentWait + time.Millisecond, lists: 1},
		"one of a small fleet reads":   {agent: true, reads: crowdReads - 1, after: time.Millisecond, lists: 1},
		"an entry waits, too":          {reads: crowdReads, after: entryWait - time.Millisecond},
		"and reads the store then too": {reads: crowdReads, after: entryWait + time.Millisecond, lists: 1},
		"an entry of a small fleet":    {reads: crowdReads - 1, after: time.Millisecond, lists: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				_, s := starting(ctx, c.agent, c.reads)
				time.Sleep(c.after)
				synctest.Wait()
				require.Equal(t, int64(c.lists), s.lists.Load())
				time.Sleep(2 * agentWait)
			})
		})
	}
}

// TestAnAgentReadsFromTheEntriesThatGreetIt has an agent that waits hear of enough entries: it asks one of them, and the store when that one
// does not answer.
func TestAnAgentReadsFromTheEntriesThatGreetIt(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		n, s := starting(ctx, true, crowdReads)
		time.Sleep(time.Millisecond)
		for i := range source.LeastEntries {
			require.Zero(t, s.lists.Load())
			n.Heard(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(10 + i)}), 7700), loadreport.Message{DataCentre: "perth-a"})
		}
		require.NotEmpty(t, n.choice.Address())
		time.Sleep(agentWait / 2)
		synctest.Wait()
		require.Equal(t, int64(1), s.lists.Load())
		time.Sleep(2 * agentWait)
	})
}
