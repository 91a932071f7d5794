package forward

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/balance"
	"samphireweir.example/samphireweir/internal/core/catalog"
)

// TestDemandIsEstimatedFromASampleOfTheEntries guards against sums over some of the entries that are taken for all: in data centres with more
// engines than an entry sends heartbeats to, each agent hears a part of the entries only. Agents that heard none count as well.
func TestDemandIsEstimatedFromASampleOfTheEntries(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	engines := engineCounts{byDataCentre: map[string]int{"a": 4 * maxNearAgents, "b": 3, "c": 2 * maxFarAgents}, total: 4*maxNearAgents + 3 + 2*maxFarAgents}
	h := newHeardDemand()
	say := func(agent, in, about string, age time.Duration, work ...float64) {
		if h.agents[agent] == nil {
			h.agents[agent] = &agentSums{dataCentre: in, at: now, sums: map[string]agentSum{}}
		}
		sum := agentSum{at: now.Add(-age)}
		for _, w := range work {
			sum.sets = append(sum.sets, balance.Demand{Work: w})
		}
		h.agents[agent].sums[about] = sum
	}
	say("a1", "a", "a", 0, 10)
	say("a2", "a", "a", time.Second, 20, 10)
	say("a3", "a", "a", 0)
	say("b1", "b", "b", 0, 5)
	work := func() map[string]float64 {
		sums := map[string]float64{}
		for _, d := range h.estimate(now, "a", engines) {
			sums[d.DataCentre] += d.Work
		}
		return sums
	}
	require.InDeltaMapValues(t, map[string]float64{"a": 40 / (3 * .25), "b": 5}, work(), 1e-9)
	say("a1", "a", "c", 0, 2)
	far := fraction(maxFarAgents, engines.total-engines.byDataCentre["c"])
	require.InDelta(t, 2/(3*far), work()["c"], 1e-9, "no agent there is heard, and one of three here heard an entry there")
	now = now.Add(4 * time.Second)
	require.InDelta(t, 5, work()["b"], 1e-9, "the last estimate stays and ages in the plan")
	now = now.Add(12 * time.Second)
	require.Empty(t, work())
}

// TestSilentEngineCountsUntilItIsProbablyDown guards against a plan that moves work away from engines that are silent for a second, and against
// one that counts on engines that stay silent.
func TestSilentEngineCountsUntilItIsProbablyDown(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	v := &upstreamView{Upstream: &catalog.Upstream{Slots: 8, Versions: map[string]int64{"m": 1}}, load: &loadState{}}
	usable := func(now time.Time) float64 {
		var c slotCount
		c.add(now, v, map[string]int64{"m": 1})
		return c.heardUsable
	}
	v.load.recordOutcome(now, Silent)
	require.Equal(t, 8.0, usable(now))
	require.Equal(t, 8.0, usable(now.Add(maxSilence-time.Millisecond)))
	require.Zero(t, usable(now.Add(maxSilence)))
	v.load.noteHeard(now.Add(maxSilence))
	require.Equal(t, 8.0, usable(now.Add(maxSilence)))
}
