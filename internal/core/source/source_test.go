package source_test

import (
	"fmt"
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

func TestAllEntriesOfALargeDataCentreReadFromTheSameOne(t *testing.T) {
	all := entries(20)
	first := source.First("perth-a", all)[0]
	for _, self := range all {
		c := newClock(self, false)
		c.after(0, told(20))
		if self == first {
			require.Empty(t, c.Address(), "the first reads the store")
		} else {
			require.Equal(t, first, c.Address())
		}
	}
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
	c.after(0, source.Failed{Address: second})
	c.after(0, source.Failed{Address: c.Address()})
	require.Empty(t, c.Address(), "with every candidate failed the store itself is read")
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
