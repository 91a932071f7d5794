package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
)

func life(born, revision int64) *catalog.Upstream {
	u := upstream("a", revision)
	u.Born, u.Versions = born, map[string]int64{"m": 1}
	return u
}

// TestAnEntryOfAnEarlierLifeChangesNothing has an upstream start again under its id while a write of its earlier life is still under way.
func TestAnEntryOfAnEarlierLifeChangesNothing(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: life(100, 4)}))
	require.NotEmpty(t, s.Reduce(at(0, catalog.UpstreamChanged{Upstream: life(200, 5)})), "a new life is news")
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: life(100, 6)}))
	require.Equal(t, int64(200), s.Upstreams["a"].Born)
}

// TestANewLifeIsKnownByTheAgentFirst has the agent tell of the start before the store does.
func TestANewLifeIsKnownByTheAgentFirst(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: life(100, 4)}))
	s.Reborn("a", 200)
	require.Equal(t, catalog.Life{ID: "a", Born: 200}, s.Upstreams["a"].Life())
	require.Empty(t, s.Upstreams["a"].Versions, "it holds nothing yet")
	s.Reborn("a", 100)
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: life(100, 5)}))
	require.Equal(t, int64(200), s.Upstreams["a"].Born)
}

// TestAnEntryThatSaysLessThanTheUpstreamIsNotItsOwn lacks the start that the upstream has told.
func TestAnEntryThatSaysLessThanTheUpstreamIsNotItsOwn(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: life(100, 4)}))
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: life(0, 5)}))
	require.Empty(t, s.Upstreams)
}

// TestAnAddressThatTwoEntriesNameIsTheOnesWhoseStartIsTold has another entry name the address of an engine.
func TestAnAddressThatTwoEntriesNameIsTheOnesWhoseStartIsTold(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: life(100, 4)}))
	other := upstream("b", 9)
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: other}))
	require.Equal(t, "a", s.At("10.0.0.1:80", 100).ID)
	require.Equal(t, "b", s.At("10.0.0.1:80", 0).ID)
	s.Reduce(at(0, catalog.UpstreamRemoved{ID: "b", Revision: 10}))
	require.Equal(t, "a", s.At("10.0.0.1:80", 0).ID)
}
