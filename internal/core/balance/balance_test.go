package balance_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"samphireweir.example/samphireweir/internal/core/balance"
)

var begin = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time after the start of a test.
func at(seconds float64) time.Time { return begin.Add(time.Duration(seconds * float64(time.Second))) }

// dc returns the supply of a data centre whose region is the part of its name before the dash.
func dc(name string, work float64) balance.Supply {
	return balance.Supply{DataCentre: name, Region: name[:len(name)-2], Work: work}
}

// asks returns demand that is measured at a time.
func asks(t time.Time, dataCentre string, work float64, homes ...string) balance.Demand {
	return balance.Demand{DataCentre: dataCentre, Homes: homes, Work: work, At: t}
}

// settle plans each 0.5 s from one time to another with the same demand.
func settle(s balance.Shares, from, to float64, demand []balance.Demand, supply []balance.Supply) balance.Shares {
	for now := from; now < to; now += 0.5 {
		fresh := append([]balance.Demand(nil), demand...)
		for i := range fresh {
			fresh[i].At = at(now)
		}
		s = balance.Plan(s, at(now), fresh, supply)
	}
	return s
}

// served returns the part of each demand that is served if each data centre serves an equal part of what the plan sends it.
func served(s balance.Shares, demand []balance.Demand) []float64 {
	parts := make([]float64, len(demand))
	for i, d := range demand {
		for _, to := range []string{"east-a", "east-b", "west-a", "west-b", "north-a"} {
			if l := s.Load(to); l.Own+l.Moved > 0 {
				parts[i] += s.Fraction(d.DataCentre, d.Homes, to) * math.Min(1, l.Supply/(l.Own+l.Moved))
			}
		}
	}
	return parts
}

// TestNothingMovesBelowCapacity guards against traffic between data centres while each has room for its own callers.
func TestNothingMovesBelowCapacity(t *testing.T) {
	supply := []balance.Supply{dc("east-a", 100), dc("east-b", 100), dc("west-a", 100)}
	demand := []balance.Demand{asks(begin, "east-a", 50), asks(begin, "east-a", 45, "east"), asks(begin, "east-b", 10), asks(begin, "west-a", 99)}
	s := settle(balance.Shares{}, 0, 10, demand, supply)
	for _, d := range demand {
		require.InDelta(t, 1, s.Fraction(d.DataCentre, d.Homes, d.DataCentre), 1e-9)
	}
}

// TestUnboundRequestsMakeRoomForBoundOnes names this load: the east is asked for 160 of its 100 by requests that may be nowhere else and
// by unbound ones, while the west has room. It guards against bound requests that are refused while unbound ones are served in the east,
// and against unbound ones that go to another region while their own has room.
func TestUnboundRequestsMakeRoomForBoundOnes(t *testing.T) {
	supply := []balance.Supply{dc("east-a", 60), dc("east-b", 40), dc("west-a", 200)}
	demand := []balance.Demand{asks(begin, "east-a", 90, "east"), asks(begin, "east-a", 70), asks(begin, "west-a", 50)}
	s := settle(balance.Shares{}, 0, 15, demand, supply)
	for _, part := range served(s, demand) {
		require.InDelta(t, 1, part, .03)
	}
	require.InDelta(t, 60.0/70, s.Fraction("east-a", nil, "west-a"), .03, "ten of the unbound ones stay")
	require.Zero(t, s.Fraction("east-a", []string{"east"}, "west-a"))
	few := settle(balance.Shares{}, 0, 15, []balance.Demand{asks(begin, "east-a", 90)}, supply)
	require.InDelta(t, 0, few.Fraction("east-a", nil, "west-a"), .01, "the own region has room")
	require.InDelta(t, 30.0/90, few.Fraction("east-a", nil, "east-b"), .02)
}

// TestDataCentreEvacuatedAtFullLoad names this load: one of three full data centres is evacuated, and returned. It guards against callers
// of the evacuated data centre who are served less than the others, against any request that is sent there, and against a return that
// takes long or comes at once.
func TestDataCentreEvacuatedAtFullLoad(t *testing.T) {
	supply := []balance.Supply{dc("east-a", 100), dc("west-a", 100), dc("north-a", 100)}
	demand := []balance.Demand{asks(begin, "east-a", 100), asks(begin, "west-a", 100), asks(begin, "north-a", 70), asks(begin, "north-a", 30, "north", "west")}
	s := settle(balance.Shares{}, 0, 5, demand, supply)
	supply[0].Evacuated = true
	s = settle(s, 5, 5.4, demand, supply)
	require.Zero(t, s.Fraction("east-a", nil, "east-a"), "at once")
	require.InDelta(t, .5, s.Fraction("east-a", nil, "west-a"), .1)
	s = settle(s, 5.5, 15, demand, supply)
	for _, part := range served(s, demand) {
		require.InDelta(t, 2.0/3, part, .025)
	}
	supply[0].Evacuated = false
	s = settle(s, 15, 15.4, demand, supply)
	require.InDelta(t, .25, s.Fraction("east-a", nil, "east-a"), .01)
	s = settle(s, 15.5, 20, demand, supply)
	require.Greater(t, s.Fraction("east-a", nil, "east-a"), .9)
}

// TestEqualPartsWithinHomes guards, for any demand and supply, against a plan that sends more to a data centre than it can serve while
// others within the homes have room, that goes against homes or evacuations, or that serves the callers of one data centre less than those
// of another with the same homes.
func TestEqualPartsWithinHomes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		names := []string{"east-a", "east-b", "west-a", "west-b", "north-a"}
		sets := [][]string{nil, {"east"}, {"west"}, {"east", "west"}, {"north", "west"}}
		var supply []balance.Supply
		for _, name := range names {
			s := dc(name, float64(rapid.IntRange(0, 200).Draw(rt, name)))
			s.Evacuated = rapid.IntRange(0, 4).Draw(rt, name+" evacuated") == 0
			supply = append(supply, s)
		}
		var demand []balance.Demand
		for _, name := range names {
			for i, homes := range sets {
				if work := rapid.IntRange(0, 120).Draw(rt, fmt.Sprint(name, i)); work > 0 {
					demand = append(demand, asks(begin, name, float64(work), homes...))
				}
			}
		}
		s := settle(balance.Shares{}, 0, 25, demand, supply)
		parts, byHomes := served(s, demand), map[string]float64{}
		for i, d := range demand {
			key := fmt.Sprint(d.Homes)
			if first, known := byHomes[key]; known {
				require.InDelta(rt, first, parts[i], .05, "%s of %s", key, d.DataCentre)
			}
			byHomes[key] = parts[i]
			for _, c := range supply {
				if f := s.Fraction(d.DataCentre, d.Homes, c.DataCentre); f > 0 {
					require.True(rt, !c.Evacuated && c.Work > 0, "%s gets some", c.DataCentre)
					require.True(rt, len(d.Homes) == 0 || slices.Contains(d.Homes, c.Region), "%v to %s", d.Homes, c.DataCentre)
				}
			}
			if parts[i] < .93 { // Then no data centre within the homes has room.
				for _, c := range supply {
					l := s.Load(c.DataCentre)
					if !c.Evacuated && (len(d.Homes) == 0 || slices.Contains(d.Homes, c.Region)) {
						require.GreaterOrEqual(rt, l.Own+l.Moved, .95*l.Supply-1, "%s has room", c.DataCentre)
					}
				}
			}
		}
	})
}

// TestPlansConvergeFromLateAndLostReports names this load: demand moves from the east to the west within a second, and each of 20 entries
// hears of it from three agents, 0 to 0.9 s late and with half of the reports lost. It guards against plans that overshoot, that swing back and forth, or that
// differ between the entries after some seconds.
func TestPlansConvergeFromLateAndLostReports(t *testing.T) {
	supply := []balance.Supply{dc("east-a", 100), dc("west-a", 100)}
	actual := func(now float64) (east, west float64) {
		if now < 10 {
			return 160, 20
		}
		return 20, 160
	}
	draw := uint64(1)
	random := func(n uint64) uint64 {
		draw = draw*6364136223846793005 + 1442695040888963407
		return (draw >> 33) % n
	}
	const entries = 20
	heard, plans := [entries][]balance.Demand{}, [entries]balance.Shares{}
	direction, turns := [entries]float64{}, [entries]int{}
	for now := 0.0; now < 25; now += 0.5 {
		for e := range entries {
			for agent := range 3 {
				if random(2) == 0 && (agent > 0 || len(heard[e]) > 0) {
					continue
				}
				sent := now - float64(random(900))/1000
				east, west := actual(sent)
				noise := 0.97 + float64(random(60))/1000
				heard[e] = []balance.Demand{asks(at(sent), "east-a", east*noise), asks(at(sent), "west-a", west*noise)}
			}
			before := plans[e].Fraction("east-a", nil, "west-a")
			plans[e] = balance.Plan(plans[e], at(now), heard[e], supply)
			change := plans[e].Fraction("east-a", nil, "west-a") - before
			require.LessOrEqual(t, math.Abs(change), .25+1e-9)
			if math.Abs(change) > .02 {
				if change*direction[e] < 0 {
					turns[e]++
				}
				direction[e] = change
			}
		}
		if now >= 9 && now < 10 || now >= 22 {
			low, high := 1.0, 0.0
			for e := range entries {
				moved := plans[e].Fraction("east-a", nil, "west-a") + plans[e].Fraction("west-a", nil, "east-a")
				low, high = math.Min(low, moved), math.Max(high, moved)
			}
			require.InDelta(t, 60.0/160, (low+high)/2, .04, "at %v", now)
			require.Less(t, high-low, .08, "at %v", now)
		}
	}
	for e := range entries {
		require.LessOrEqual(t, turns[e], 1, "entry %d turned with the demand, and not more often", e)
	}
}

// TestDataCentreThatIsCutOffKeepsItsPlan names this load: no report arrives any more while demand is moved. It guards against a plan that
// forgets at once what it knew, and against one that rests on it for ever.
func TestDataCentreThatIsCutOffKeepsItsPlan(t *testing.T) {
	supply := []balance.Supply{dc("east-a", 100), dc("west-a", 200)}
	last := []balance.Demand{asks(at(0), "east-a", 150), asks(at(0), "west-a", 20)}
	s := settle(balance.Shares{}, -10, 0.1, last, supply)
	for now := 0.5; now <= 3; now += 0.5 {
		s = balance.Plan(s, at(now), last, supply)
	}
	require.InDelta(t, 1.0/3, s.Fraction("east-a", nil, "west-a"), .02)
	for now := 3.5; now <= 40; now += 0.5 {
		s = balance.Plan(s, at(now), last, supply)
	}
	require.False(t, s.Known())
	_, chosen := s.Choose("east-a", nil, 7)
	require.False(t, chosen, "today's choice")
}

// TestRestartedEntryAgreesAfterSeconds guards against an entry that starts without a plan, in the middle of an overload, and does not
// reach the plan of the others.
func TestRestartedEntryAgreesAfterSeconds(t *testing.T) {
	supply := []balance.Supply{dc("east-a", 100), dc("west-a", 200)}
	demand := []balance.Demand{asks(begin, "east-a", 180), asks(begin, "west-a", 40)}
	old := settle(balance.Shares{}, 0, 20, demand, supply)
	require.Less(t, old.Difference(settle(balance.Shares{}, 16, 20, demand, supply)), .06)
}

// TestChooseFollowsTheParts guards against a choice that differs from the parts of the plan.
func TestChooseFollowsTheParts(t *testing.T) {
	supply := []balance.Supply{dc("east-a", 100), dc("west-a", 200), dc("west-b", 100)}
	s := settle(balance.Shares{}, 0, 10, []balance.Demand{asks(begin, "east-a", 200, "west", "east")}, supply)
	count := map[string]float64{}
	for i := range uint64(10000) {
		to, ok := s.Choose("east-a", []string{"east", "west"}, i*0x9e3779b97f4a7c15)
		require.True(t, ok)
		count[to]++
	}
	for to, n := range count {
		require.InDelta(t, s.Fraction("east-a", []string{"west", "east"}, to), n/10000, .02, to)
	}
}

// large returns the largest input: 12 data centres in 4 regions with 16 bound sets each, more demand than supply.
func large() ([]balance.Demand, []balance.Supply) {
	var demand []balance.Demand
	var supply []balance.Supply
	for i := range 12 {
		name := fmt.Sprintf("r%d-%d", i%4, i)
		supply = append(supply, balance.Supply{DataCentre: name, Region: fmt.Sprintf("r%d", i%4), Work: 8000, Evacuated: i == 5})
		for set := range 16 {
			var homes []string
			for r := range 4 {
				if set&(1<<r) != 0 {
					homes = append(homes, fmt.Sprintf("r%d", r))
				}
			}
			demand = append(demand, asks(begin, name, float64(300+(i*37+set*101)%500), homes...))
		}
	}
	return demand, supply
}

// TestPlanBoundsItsInput guards against a plan whose time and memory grow without bound, with regions that a faulty setting invents. The
// largest input that is planned for must still have a plan; BenchmarkPlan measures its time.
func TestPlanBoundsItsInput(t *testing.T) {
	demand, supply := large()
	require.True(t, balance.Plan(balance.Shares{}, begin, demand, supply).Known())
	for i := range 9 {
		supply = append(supply, dc(fmt.Sprintf("extra%d-a", i), 1))
	}
	require.False(t, balance.Plan(balance.Shares{}, begin, demand, supply).Known())
}

// BenchmarkPlan measures the largest plan.
func BenchmarkPlan(b *testing.B) {
	demand, supply := large()
	for b.Loop() {
		balance.Plan(balance.Shares{}, begin, demand, supply)
	}
}
