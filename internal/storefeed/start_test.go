package storefeed

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/source"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/loadreport"
	"samphireweir.example/samphireweir/platform"
)

// countedStore counts the lists that it is asked for.
type countedStore struct{ lists int }

// List returns nothing.
func (s *countedStore) List(context.Context, string, bool) ([]platform.Object, int64, error) {
	s.lists++
	return nil, 1, nil
}

// Watch returns nothing.
func (s *countedStore) Watch(context.Context, string, int64, time.Duration) ([]platform.Object, int64, error) {
	return nil, 1, nil
}

// starting is a process that just started, whose store is listed at once.
func starting(ctx context.Context, agent bool) (*Neighbours, *countedStore) {
	host := hostconfig.Host{DataCentre: "perth-a", Seeds: []string{"10.0.0.200:7700"}}
	n, s := NewNeighbours(host, "10.0.0.9:7700", agent, zerolog.Nop()), &countedStore{}
	r := n.Reader(s, nil, nil)
	go func() { _, _, _ = r.List(ctx, "things", true) }()
	return n, s
}

// TestAgentsThatStartTogetherDoNotAllListTheStore is the pattern of a fleet that has lost power: agents wait a moment to hear from which entry
// to read, and no longer.
func TestAgentsThatStartTogetherDoNotAllListTheStore(t *testing.T) {
	t.Parallel()
	seed := netip.MustParseAddrPort("10.0.0.200:7700")
	for name, c := range map[string]struct {
		agent bool
		told  int
		after time.Duration
		lists int
	}{
		"an agent that nobody answers waits":    {agent: true, after: sourceWait - time.Millisecond},
		"and reads the store then":              {agent: true, after: sourceWait + time.Millisecond, lists: 1},
		"one that hears of few entries reads":   {agent: true, told: source.LeastEntries - 1, after: time.Millisecond, lists: 1},
		"an entry, from which others read, too": {after: time.Millisecond, lists: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				n, s := starting(ctx, c.agent)
				synctest.Wait()
				if c.told > 0 {
					n.Heard(seed, loadreport.Message{EntryCount: c.told})
				}
				time.Sleep(c.after)
				synctest.Wait()
				require.Equal(t, c.lists, s.lists)
				time.Sleep(2 * sourceWait)
			})
		})
	}
}
