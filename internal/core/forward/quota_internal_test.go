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

// TestDemandOfADataCentreWithoutAgentsIsHeardElsewhere guards against entries that never learn the demand of their own data centre, and so
// have neither a plan nor quotas for their callers, because it has no engines or its agents are silent.
func TestDemandOfADataCentreWithoutAgentsIsHeardElsewhere(t *testing.T) {
	s := newPlanningEntry(residency.Regions{"ra"}, "b", "c")
	for i := range 10 {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond)
		for _, agent := range []string{"b0", "b1"} {
			s.hear(now, agent, map[string]float64{"a": 8, "b": 22})
		}
		s.hear(now, "c0", map[string]float64{"a": 8, "c": 4})
		s.updateBalance(now)
	}
	b, c := s.balance.shares.Fraction("a", nil, "b"), s.balance.shares.Fraction("a", nil, "c")
	require.InDelta(t, 1, b+c, .01)
	require.Greater(t, c, b, "b is nearly full")
	require.InDelta(t, 8, s.balance.shares.Load("b").Moved+s.balance.shares.Load("c").Moved, .1)
}

// TestSumsOfAgentsThatVanishAreDropped guards against memory that grows with each engine that ever reported, while no plan is in effect.
func TestSumsOfAgentsThatVanishAreDropped(t *testing.T) {
	s := newPlanningEntry(nil, "a", "b")
	for _, agent := range []string{"a0", "a1", "b0"} {
		s.hear(start, agent, map[string]float64{"a": 1})
	}
	s.forget(start.Add(time.Second))
	require.Len(t, s.balance.heard.agents, 3)
	s.forget(start.Add(20 * time.Second))
	require.Empty(t, s.balance.heard.agents)
}

// TestSpeedsOfServicesThatVanishAreDropped guards against memory that grows with each service that was ever in a manifest.
func TestSpeedsOfServicesThatVanishAreDropped(t *testing.T) {
	s := newPlanningEntry(nil, "a")
	s.uneven = &unevenEngines{services: map[string]*serviceSpeed{"model": {}, "gone": {}}}
	s.forgetSpeeds(start)
	require.Len(t, s.uneven.services, 1)
	require.Contains(t, s.uneven.services, "model")
}

// TestLateSumsAreDropped guards against a reordered load report that replaces newer sums, against sums of an unknown agent, and against
// either of them passing unnoticed.
func TestLateSumsAreDropped(t *testing.T) {
	s := newPlanningEntry(nil, "a")
	report := func(now time.Time, agent string, q balance.Sequence, work float64) (dropped bool, known float64) {
		effects := s.demandReported(step.Input{Now: now}, DemandReported{Address: agent, Sequence: q, Sums: []DemandSum{{DataCentre: "a", Sets: []balance.Demand{{Work: work}}}}})
		return len(effects) > 0, s.balance.heard.agents["a0"].sums["a"].sets[0].Work
	}
	for i, c := range []struct {
		after   time.Duration
		agent   string
		q       balance.Sequence
		dropped bool
	}{
		{0, "a0", balance.Sequence{Start: 5, Number: 2}, false},
		{0, "a0", balance.Sequence{Start: 5, Number: 1}, true},
		{0, "unknown", balance.Sequence{Start: 5, Number: 3}, true},
		{time.Second, "a0", balance.Sequence{Start: 6, Number: 1}, false},
		{2 * time.Second, "a0", balance.Sequence{Start: 5, Number: 3}, true},
		{5 * time.Second, "a0", balance.Sequence{Start: 4, Number: 1}, false},
		{5 * time.Second, "a0", balance.Sequence{}, false},
	} {
		dropped, known := report(start.Add(c.after), c.agent, c.q, float64(i+1))
		require.Equal(t, c.dropped, dropped, i)
		require.Equal(t, !c.dropped, known == float64(i+1), i)
	}
	require.Len(t, s.balance.heard.agents, 1)
}

// TestNewDemandHasQuotasBeforeThePlanCoversIt guards against an entry that gets no slots of its own data centre while its first callers
// arrive, because agents have not heard of them yet and other data centres move their work there.
func TestNewDemandHasQuotasBeforeThePlanCoversIt(t *testing.T) {
	s := newPlanningEntry(residency.Regions{"ra"}, "a", "b")
	for i := range 10 {
		now := start.Add(time.Duration(i) * 500 * time.Millisecond)
		s.hear(now, "a0", map[string]float64{"a": 0})
		s.hear(now, "b0", map[string]float64{"b": 60})
		if i == 9 {
			for id := range uint64(20) {
				s.Reduce(step.Input{Now: now, Event: Arrived{ID: id + 1, Host: "h", Path: "/x", Model: "m"}})
			}
		}
		s.updateBalance(now)
	}
	q := s.balance.quotas["a"]
	require.True(t, q.contended)
	require.Greater(t, q.part, .2, "12 of some 30 plus 12")
}

// TestOneAgentOfManyIsNoEstimate guards against requests that are moved to another region below capacity, because the first agents that an
// entry hears after its start happen to hear more than their part of the entries: of 14 entries with 0.6 of the capacity, an agent in a
// data centre of 500 engines hears 1.8 on average, and this one 4.
func TestOneAgentOfManyIsNoEstimate(t *testing.T) {
	s := newPlanningEntry(residency.Regions{"ra"}, "a", "b")
	engines := engineCounts{byDataCentre: map[string]int{"a": 500, "b": 500}, total: 1000}
	work := 0.6 * 500 * 12 / 14
	known := func() float64 {
		sum := 0.0
		for _, d := range s.balance.heard.estimate(start, "a", engines) {
			sum += d.Work
		}
		return sum
	}
	for i := range 64 {
		agent := fmt.Sprintf("agent-%d", i)
		entries := []float64{4, 1, 0, 1, 3, 2, 2, 1}[i%8]
		s.balance.heard.agents[agent] = &agentSums{dataCentre: "a", at: start, sums: map[string]agentSum{"a": {at: start, sets: []balance.Demand{{Work: entries * work}}}}}
		require.Less(t, known(), 500*12.0, "after %d agents", i+1)
	}
	require.InDelta(t, 0.6*500*12, known(), 0.1*500*12)
}
