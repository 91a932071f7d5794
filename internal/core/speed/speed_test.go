package speed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/speed"
)

const ms = time.Millisecond

var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet simulates engines of one service, each observed once per interval.
type fleet struct {
	service *speed.Service
	models  []*speed.Model
	now     time.Time
	random  *rand.Rand
}

func newFleet(n int) *fleet {
	f := &fleet{service: &speed.Service{}, now: begin, random: rand.New(rand.NewPCG(1, 2))}
	for range n {
		f.models = append(f.models, speed.NewModel(f.service))
	}
	return f
}

// usual is the time of an engine at a load: 60 ms, 10 ms more for each running request, and the prompt at 25,000 tokens a second.
func usual(running, pending int) time.Duration {
	return 60*ms + time.Duration(running)*10*ms + time.Duration(pending)*time.Second/25000
}

// run observes each engine once per 200 ms at random loads, with the time that took returns.
func (f *fleet) run(d time.Duration, took func(engine, running, pending int) time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(200 * ms) {
		for i, m := range f.models {
			running, pending := f.random.IntN(12), 200+f.random.IntN(3000)
			m.Observe(f.now, running, pending, took(i, running, pending))
		}
	}
}

func (f *fleet) predict(t *testing.T, engine, running, pending int) time.Duration {
	took, known := f.models[engine].Predict(f.now, running, pending)
	require.True(t, known)
	return took
}

// TestEnginesOfDifferentSpeed guards against predictions that confuse a slow engine with its service, or one load with another: one of
// eight engines takes 2.5 times as long.
func TestEnginesOfDifferentSpeed(t *testing.T) {
	f := newFleet(8)
	_, known := f.models[0].Predict(begin, 3, 100)
	require.False(t, known, "nothing was observed")
	f.run(20*time.Second, func(engine, running, pending int) time.Duration {
		if engine == 0 {
			return usual(running, pending) * 5 / 2
		}
		return usual(running, pending)
	})
	for _, load := range [][2]int{{0, 500}, {4, 1500}, {11, 3000}} {
		want := usual(load[0], load[1])
		require.InEpsilon(t, want.Seconds(), f.predict(t, 3, load[0], load[1]).Seconds(), 0.25, "%v", load)
		require.InEpsilon(t, 2.5*want.Seconds(), f.predict(t, 0, load[0], load[1]).Seconds(), 0.3, "%v", load)
	}
	f.now = f.now.Add(40 * time.Second)
	require.InEpsilon(t, usual(4, 1500).Seconds(), f.predict(t, 0, 4, 1500).Seconds(), 0.25, "old observations leave the service's median")
}

// TestSingleOutlierChangesLittle guards against an engine that is avoided after one lost packet (0.2 s) or one pause of 0.5 s.
func TestSingleOutlierChangesLittle(t *testing.T) {
	f := newFleet(8)
	f.run(10*time.Second, func(_, running, pending int) time.Duration { return usual(running, pending) })
	fresh := speed.NewModel(f.service)
	for _, m := range []*speed.Model{f.models[0], fresh} {
		before, _ := m.Predict(f.now, 4, 1000)
		m.Observe(f.now, 4, 1000, usual(4, 1000)+500*ms)
		after, _ := m.Predict(f.now, 4, 1000)
		require.InEpsilon(t, before.Seconds(), after.Seconds(), 0.2)
	}
}

// TestEngineThatSlowsWhenNearlyFullIsLimited guards against one more request that makes the running ones miss their objective: one
// engine takes five times as long from nine running requests on. The others keep all slots.
func TestEngineThatSlowsWhenNearlyFullIsLimited(t *testing.T) {
	f := newFleet(8)
	f.run(20*time.Second, func(engine, running, pending int) time.Duration {
		if engine == 0 && running >= 9 {
			return 5 * usual(running, pending)
		}
		return usual(running, pending)
	})
	limit := f.models[0].Limit(f.now, 12, 450*ms)
	require.Less(t, limit, 12)
	require.GreaterOrEqual(t, limit, 6)
	require.Equal(t, 12, f.models[3].Limit(f.now, 12, 450*ms))
	require.Equal(t, 12, f.models[0].Limit(f.now, 12, 0), "no objective")
	require.Equal(t, 12, f.models[0].Limit(f.now, 12, 20*ms), "it is missed even alone")
	require.Equal(t, 12, f.models[0].Limit(f.now.Add(30*time.Second), 12, 450*ms), "nothing recent is known")
	require.Equal(t, 12, speed.NewModel(f.service).Limit(f.now, 12, 450*ms), "never observed")
}

// TestPredictionFollowsASlowdownOfAll guards against predictions that stay behind when all engines become four times slower at once.
func TestPredictionFollowsASlowdownOfAll(t *testing.T) {
	f := newFleet(8)
	f.run(10*time.Second, func(_, running, pending int) time.Duration { return usual(running, pending) })
	f.run(6*time.Second, func(_, running, pending int) time.Duration { return 4 * usual(running, pending) })
	require.InEpsilon(t, 4*usual(4, 1500).Seconds(), f.predict(t, 1, 4, 1500).Seconds(), 0.35)
}

// TestStartLimitRises guards against an engine that gets all its slots filled right after its start, while it is still slow.
func TestStartLimitRises(t *testing.T) {
	last := 0
	for since := time.Duration(0); since <= 3*time.Second; since += 100 * ms {
		limit := speed.StartLimit(since, 12)
		require.GreaterOrEqual(t, limit, max(last, 4))
		last = limit
	}
	require.Equal(t, 12, last)
	require.Equal(t, 1, speed.StartLimit(0, 1))
}
