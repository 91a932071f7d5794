package catalog_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

func instance(startedAt, revision int64) *catalog.Upstream {
	u := upstream("a", revision)
	u.StartedAt, u.Versions = startedAt, map[string]int64{"m": 1}
	return u
}

// TestRegistrationOfAnEarlierInstanceIsIgnored covers an upstream that restarts under its ID while a write of its earlier instance is still in
// flight: the delayed write must not replace the registration of the new instance.
func TestRegistrationOfAnEarlierInstanceIsIgnored(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: instance(100, 4)}))
	require.NotEmpty(t, s.Reduce(at(0, catalog.UpstreamChanged{Upstream: instance(200, 5)})), "a new instance is a change")
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: instance(100, 6)}))
	require.Equal(t, int64(200), s.Upstreams["a"].StartedAt)
}

// TestAgentReportsANewInstanceBeforeTheStore covers a restart that the agent reports before the store does: the registration of the earlier
// instance must not come back, and the weights that it held must not be assumed.
func TestAgentReportsANewInstanceBeforeTheStore(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: instance(100, 4)}))
	s.RecordRestart(begin, "a", 200)
	require.Equal(t, catalog.Instance{ID: "a", StartedAt: 200}, s.Upstreams["a"].Instance())
	require.Empty(t, s.Upstreams["a"].Versions, "the new instance holds no weights")
	s.RecordRestart(begin, "a", 100)
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: instance(100, 5)}))
	require.Equal(t, int64(200), s.Upstreams["a"].StartedAt)
}

// TestRegistrationWithoutTheKnownStartTimeIsRejected covers a registration that lacks the start time which the upstream has already given, so that
// another process must have written it.
func TestRegistrationWithoutTheKnownStartTimeIsRejected(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: instance(100, 4)}))
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: instance(0, 5)}))
	require.Empty(t, s.Upstreams)
}

// TestAddressInTwoRegistrationsBelongsToTheOneWithTheReportedStart covers a second registration with the address of a running engine:
// reports of the engine's agent must still apply to the engine's own registration.
func TestAddressInTwoRegistrationsBelongsToTheOneWithTheReportedStart(t *testing.T) {
	s := catalog.NewState()
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: instance(100, 4)}))
	other := upstream("b", 9)
	s.Reduce(at(0, catalog.UpstreamChanged{Upstream: other}))
	require.Equal(t, "a", s.UpstreamAt("10.0.0.1:80", 100).ID)
	require.Equal(t, "b", s.UpstreamAt("10.0.0.1:80", 0).ID)
	s.Reduce(at(0, catalog.UpstreamRemoved{ID: "b", Revision: storerev.Revision{Number: 10}}))
	require.Equal(t, "a", s.UpstreamAt("10.0.0.1:80", 0).ID)
}

// TestCurrentInstanceAtAnAddressSurvivesClockJumps restarts an engine repeatedly at one address, each time under another ID, while its
// host's clock jumps by up to 40 minutes in either direction. The agent reports the current instance about three times per second, and
// sometimes a report of the previous instance arrives late. Neither may make the current instance count as superseded.
func TestCurrentInstanceAtAnAddressSurvivesClockJumps(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s, now, revision := catalog.NewState(), begin, int64(0)
		clock := int64(1_000_000_000)
		var previous, current *catalog.Upstream
		for i := range rapid.IntRange(1, 6).Draw(t, "lives") {
			clock += rapid.Int64Range(-2_400_000, 2_400_000).Draw(t, "jump")
			revision++
			previous, current = current, &catalog.Upstream{
				ID: fmt.Sprint("life-", i), StartedAt: clock + now.Sub(begin).Milliseconds(), Service: "model", Address: "10.0.0.9:8080", Revision: storerev.Revision{Number: revision},
			}
			s.Reduce(step.Input{Now: now, Event: catalog.UpstreamChanged{Upstream: current}})
			for range 12 {
				now = now.Add(300 * time.Millisecond)
				s.RecordStart(now, current.Address, current.StartedAt)
			}
			if previous != nil && previous.StartedAt < current.StartedAt && rapid.Bool().Draw(t, "late report") {
				s.RecordStart(now, previous.Address, previous.StartedAt)
			}
			require.False(t, s.Superseded(s.Upstreams[current.ID]))
			if previous != nil && previous.StartedAt < current.StartedAt {
				require.True(t, s.Superseded(s.Upstreams[previous.ID]))
			}
		}
	})
}
