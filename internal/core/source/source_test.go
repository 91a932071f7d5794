package source_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/source"
	"samphireweir.example/samphireweir/internal/core/step"
)

// clock drives a state through time.
type clock struct {
	*source.State
	now time.Time
}

func newClock(self string, agent bool) *clock {
	return &clock{State: source.NewState(self, "perth-a", agent), now: time.Unix(1000, 0)}
}

func (c *clock) after(d time.Duration, ev step.Event) []step.Effect {
	c.now = c.now.Add(d)
	return c.Reduce(step.Input{Now: c.now, Event: ev})
}

func entries(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("10.0.0.%d:7700", i+1))
	}
	return list
}

func told(n int) source.Told {
	return source.Told{Entries: source.First("perth-a", entries(n)), Count: n}
}

func TestASmallDataCentreReadsTheStore(t *testing.T) {
	c := newClock("10.0.0.99:7700", false)
	require.Empty(t, c.after(0, told(source.LeastEntries-1)))
	require.Empty(t, c.Address())
}

// readersIn are from whom the entries of a data centre read, by entry; all know of those that they are told of.
func readersIn(dataCentre string, n int) map[string]string {
	all := entries(n)
	from := map[string]string{}
	for _, self := range all {
		c := &clock{State: source.NewState(self, dataCentre, false), now: time.Unix(1000, 0)}
		c.after(0, source.Told{Entries: source.First(dataCentre, all), Count: n})
		from[self] = c.Address()
	}
	return from
}

// TestAllEntriesOfALargeDataCentreReadFromTheSameOne guards against two entries of a data centre that read the store, and against some that read from
// one another in a circle: each reaches the first entry by one other at most.
func TestAllEntriesOfALargeDataCentreReadFromTheSameOne(t *testing.T) {
	for _, n := range []int{source.LeastEntries, 9, 10, 20, 60, 250} {
		first, from := source.First("perth-a", entries(n))[0], readersIn("perth-a", n)
		for self, address := range from {
			if self == first {
				require.Empty(t, address, "the first reads the store")
				continue
			}
			require.NotEmpty(t, address, "%d entries", n)
			require.True(t, address == first || from[address] == first, "%d entries", n)
		}
	}
}

// TestNoEntryIsReadByMoreThanTheRootOfThem guards against a reader whose bytes grow with the data centre: it sent each list and change to all entries.
func TestNoEntryIsReadByMoreThanTheRootOfThem(t *testing.T) {
	const dataCentres, small, large = 12, 60, 240
	busiest := func(n int) float64 {
		sum := 0
		for dataCentre := range dataCentres {
			children, most := map[string]int{}, 0
			for _, address := range readersIn(fmt.Sprintf("dc-%d", dataCentre), n) {
				if address != "" {
					children[address]++
					most = max(most, children[address])
				}
			}
			sum += most
		}
		return float64(sum) / dataCentres
	}
	exponent := math.Log(busiest(large)/busiest(small)) / math.Log(large/small)
	t.Logf("the busiest entry is read by %v of %v entries, %v of %v: power %.2f", busiest(small), small, busiest(large), large, exponent)
	require.LessOrEqual(t, exponent, 0.55, "the root, and what chance adds")
	require.LessOrEqual(t, busiest(9), 8.0)
}

func TestAgentsSpreadOverTheEntries(t *testing.T) {
	used := map[string]int{}
	for i := range 60 {
		c := newClock(fmt.Sprintf("10.0.1.%d:7700", i), true)
		c.after(0, source.Told{Entries: entries(10), Count: 10})
		used[c.Address()]++
	}
	require.Len(t, used, 10)
}

func TestAnEntryThatFailsIsReplacedAndComesBack(t *testing.T) {
	c := newClock("10.0.0.99:7700", false)
	c.after(0, told(20))
	first := c.Address()
	effects := c.after(0, source.Failed{Address: first})
	second := c.Address()
	require.NotEqual(t, first, second)
	require.Equal(t, []step.Effect{source.Changed{Address: second, Entries: 20}}, effects)
	failures := 1
	for ; c.Address() != ""; failures++ {
		c.after(0, source.Failed{Address: c.Address()})
	}
	require.GreaterOrEqual(t, failures, source.Candidates)
	require.LessOrEqual(t, failures, len(told(20).Entries), "with every candidate before it failed the store itself is read")
	c.after(time.Second, told(20))
	require.Empty(t, c.Address())
	c.after(3*time.Second, step.Tick{})
	require.Equal(t, first, c.Address())
}

func TestTheNextInOrderReadsWhenTheFirstFails(t *testing.T) {
	ranked := source.First("perth-a", entries(20))
	c := newClock(ranked[1], false)
	c.after(0, told(20))
	require.Equal(t, ranked[0], c.Address())
	c.after(0, source.Failed{Address: ranked[0]})
	require.Empty(t, c.Address())
}

func TestEntriesThatNobodyTellsOfAreForgotten(t *testing.T) {
	c := newClock("10.0.0.99:7700", false)
	c.after(0, told(20))
	require.NotEmpty(t, c.Address())
	c.after(8*time.Second, step.Tick{})
	require.Empty(t, c.Address())
}

// TestAYoungTellerDoesNotLowerTheCount has a process that has met two entries so far tell of them beside one that has met all.
func TestAYoungTellerDoesNotLowerTheCount(t *testing.T) {
	c := newClock("10.0.0.99:7700", false)
	c.after(0, told(20))
	c.after(time.Second, source.Told{Entries: entries(2), Count: 2})
	require.NotEmpty(t, c.Address())
}

// TestAHighCountThatIsNotHeardAgainGivesWayToTheNextHighest guards against a process that turns to the store for a moment, with all others of its data
// centre, each time that the highest count grows old: agents count fewer entries than a seed does.
func TestAHighCountThatIsNotHeardAgainGivesWayToTheNextHighest(t *testing.T) {
	c := newClock("10.0.0.99:7700", true)
	c.after(0, source.Told{Entries: entries(20), Count: 60})
	for range 300 {
		c.after(100*time.Millisecond, source.Told{Entries: entries(20), Count: 28})
		c.after(0, step.Tick{})
		require.NotEmpty(t, c.Address())
	}
	c.after(15*time.Second, step.Tick{})
	c.after(15*time.Second, step.Tick{})
	require.Empty(t, c.Address(), "nobody tells of entries any more")
}
