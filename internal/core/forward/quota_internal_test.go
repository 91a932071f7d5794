package forward

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/balance"
	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/residency"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// newPlanningEntry returns an entry in the data centre a, each data centre being a region of its own, with two engines of 12 slots in each
// of those given. A route is bound to its region if homes is set.
func newPlanningEntry(homes residency.Regions, engines ...string) *State {
	c := catalog.NewState()
	c.FollowsEvacuations = true
	s := NewState(Self{Name: "e", DataCentre: "a", Region: "ra", Regions: map[string]string{"a": "ra", "b": "rb", "c": "rc"}}, c)
	route := &catalog.Route{Name: "r", Host: "h", Prefix: "/", Kind: catalog.Streaming, Shares: []catalog.Share{{Service: "model", Weight: 1}}, Timeout: 6 * time.Second, HomeRegions: homes}
	m := catalog.NewManifest(1, []*catalog.Route{route}, nil)
	m.Services["model"] = &catalog.Service{Name: "model", Engine: &catalog.Engine{Slots: 12, Models: []string{"m"}}}
	c.Reduce(step.Input{Now: start, Event: catalog.ManifestRead{Revision: storerev.Revision{Number: 1}, Manifest: m}})
	for _, topic := range []catalog.Topic{catalog.UpstreamTopic, catalog.VersionTopic, catalog.EvacuationTopic} {
		c.Reduce(step.Input{Now: start, Event: catalog.TopicListed{Topic: topic}})
	}
	for _, dataCentre := range engines {
		for i := range 2 {
			id := fmt.Sprintf("%s%d", dataCentre, i)
			c.Reduce(step.Input{Now: start, Event: catalog.UpstreamChanged{Upstream: &catalog.Upstream{
				ID: id, Address: id, Service: "model", DataCentre: dataCentre, Slots: 12, Versions: map[string]int64{"m": 1}, Revision: storerev.Revision{Number: int64(len(c.Upstreams) + 1)},
			}}})
		}
	}
	s.ChooseHeartbeatTargets()
	return s
}

// hear applies an agent's sums: unbound work by data centre.
func (s *State) hear(now time.Time, agent string, work map[string]float64) {
	ev := DemandReported{Address: agent}
	for dataCentre, w := range work {
		ev.Sums = append(ev.Sums, DemandSum{DataCentre: dataCentre, Entries: 1, Sets: []balance.Demand{{Work: w}}})
	}
	s.demandReported(step.Input{Now: now}, ev)
}

// TestQuotasAreNumbers guards against quotas of 0/0 in data centres that have supply and no planned work: a converted NaN let an entry
// take all free slots of an engine.
func TestQuotasAreNumbers(t *testing.T) {
	s := newPlanningEntry(residency.Regions{"ra"}, "a", "b")
	s.hear(start, "a0", map[string]float64{"a": 10})
	s.hear(start, "b0", map[string]float64{"b": 0})
	s.updateBalance(start.Add(time.Second))
	require.True(t, s.balance.shares.Known())
	for dataCentre, q := range s.balance.quotas {
		require.False(t, math.IsNaN(q.part), dataCentre)
	}
	v := s.view(s.Catalog.Upstreams["b0"])
	v.load.inFlight = 1
	report := LoadReported{Address: "b0", RequestCount: 1, Entries: 10, NearEntries: 5}
	require.LessOrEqual(t, s.sendsUntilNextReport(v, report, 7), 2, "of 9 free slots for 5 entries")
}

// TestEntryThatKnowsNoDemandOfItsOwnHasNoQuotas guards against an entry that gets no slots since the demand of its data centre was not
// heard yet: after a restart, sums of other data centres may arrive first.
func TestEntryThatKnowsNoDemandOfItsOwnHasNoQuotas(t *testing.T) {
	s := newPlanningEntry(residency.Regions{"ra"}, "a", "b", "c")
	for i := range 10 {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond)
		s.hear(now, "b0", map[string]float64{"b": 40})
		s.hear(now, "c0", map[string]float64{"c": 20})
		s.updateBalance(now)
	}
	require.True(t, s.balance.shares.Known())
	require.Positive(t, s.balance.shares.Load("c").Moved)
	require.Empty(t, s.balance.quotas)
}

// TestSpeedsOfServicesThatVanishAreDropped guards against memory that grows with each service that was ever in a manifest.
func TestSpeedsOfServicesThatVanishAreDropped(t *testing.T) {
	s := newPlanningEntry(nil, "a")
	s.uneven = &unevenEngines{services: map[string]*serviceSpeed{"model": {}, "gone": {}}}
	s.forgetSpeeds(start)
	require.Len(t, s.uneven.services, 1)
	require.Contains(t, s.uneven.services, "model")
}
