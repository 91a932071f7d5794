package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
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
	s.Reborn(begin, "a", 200)
	require.Equal(t, catalog.Life{ID: "a", Born: 200}, s.Upstreams["a"].Life())
	require.Empty(t, s.Upstreams["a"].Versions, "it holds nothing yet")
	s.Reborn(begin, "a", 100)
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

// TestThePresentLifeAtAnAddressHoldsWhateverItsClockDid starts an engine again and again at one address, each time under another id, while its host's time
// of day jumps by up to 40 minutes either way. Its agent tells of the present life three times a second, and now and then a word on the one
// before comes late.
func TestThePresentLifeAtAnAddressHoldsWhateverItsClockDid(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s, now, revision := catalog.NewState(), begin, int64(0)
		jump := int64(1_000_000_000)
		var before, present *catalog.Upstream
		for life := range rapid.IntRange(1, 6).Draw(t, "lives") {
			jump += rapid.Int64Range(-2_400_000, 2_400_000).Draw(t, "jump")
			revision++
			before, present = present, &catalog.Upstream{
				ID: fmt.Sprint("life-", life), Born: jump + now.Sub(begin).Milliseconds(), Service: "model", Address: "10.0.0.9:8080", Revision: revision,
			}
			s.Reduce(step.Input{Now: now, Event: catalog.UpstreamChanged{Upstream: present}})
			for range 12 {
				now = now.Add(300 * time.Millisecond)
				s.Confirm(now, present.Address, present.Born)
			}
			if before != nil && before.Born < present.Born && rapid.Bool().Draw(t, "late word") {
				s.Confirm(now, before.Address, before.Born)
			}
			require.False(t, s.Superseded(s.Upstreams[present.ID]))
			if before != nil && before.Born < present.Born {
				require.True(t, s.Superseded(s.Upstreams[before.ID]))
			}
		}
	})
}
