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

// process drives the state of one process through time.
type process struct {
	*source.State
	now time.Time
}

func newProcess(self string, agent bool) *process {
	return &process{State: source.NewState(self, "perth-a", agent), now: time.Unix(1000, 0)}
}

func (p *process) after(d time.Duration, ev step.Event) []step.Effect {
	p.now = p.now.Add(d)
	return p.Reduce(step.Input{Now: p.now, Event: ev})
}

func entries(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("10.0.0.%d:7700", i+1))
	}
	return list
}

func report(n int) source.EntriesReported {
	return source.EntriesReported{Entries: source.EntryCandidates("perth-a", entries(n)), EntryCount: n}
}

// TestSmallDataCentreReadsTheStore guards against a tree in a data centre too small to save any calls by it.
func TestSmallDataCentreReadsTheStore(t *testing.T) {
	p := newProcess("10.0.0.99:7700", false)
	require.Empty(t, p.after(0, report(source.MinEntries-1)))
	require.Empty(t, p.Address())
}

// readersIn returns the address that each entry of a data centre reads from, by entry. Each entry knows those that EntryCandidates returns.
func readersIn(dataCentre string, n int) map[string]string {
	all := entries(n)
	from := map[string]string{}
	for _, self := range all {
		p := &process{State: source.NewState(self, dataCentre, false), now: time.Unix(1000, 0)}
		p.after(0, source.EntriesReported{Entries: source.EntryCandidates(dataCentre, all), EntryCount: n})
		from[self] = p.Address()
	}
	return from
}

// TestEntriesOfALargeDataCentreReadThroughOneEntry guards against two entries of a data centre that both read the store, and against
// entries that read from each other in a cycle: each must reach the first entry through at most one other.
func TestEntriesOfALargeDataCentreReadThroughOneEntry(t *testing.T) {
	for _, n := range []int{source.MinEntries, 9, 10, 20, 60, 250} {
		first, from := source.EntryCandidates("perth-a", entries(n))[0], readersIn("perth-a", n)
		for self, address := range from {
			if self == first {
				require.Empty(t, address, "the first entry reads the store")
				continue
			}
			require.NotEmpty(t, address, "%d entries", n)
			require.True(t, address == first || from[address] == first, "%d entries", n)
		}
	}
}

// TestReadersPerEntryGrowWithTheSquareRoot guards against a source whose traffic grows linearly with the data centre, as it does when one
// entry sends each list and change to all others.
func TestReadersPerEntryGrowWithTheSquareRoot(t *testing.T) {
	const dataCentres, small, large = 12, 60, 240
	busiest := func(n int) float64 {
		sum := 0
		for dataCentre := range dataCentres {
			children, highest := map[string]int{}, 0
			for _, address := range readersIn(fmt.Sprintf("dc-%d", dataCentre), n) {
				if address != "" {
					children[address]++
					highest = max(highest, children[address])
				}
			}
			sum += highest
		}
		return float64(sum) / dataCentres
	}
	exponent := math.Log(busiest(large)/busiest(small)) / math.Log(large/small)
	t.Logf("the busiest entry serves %v of %v entries, and %v of %v: exponent %.2f", busiest(small), small, busiest(large), large, exponent)
	require.LessOrEqual(t, exponent, 0.55, "the square root, with a margin for random variation")
	require.LessOrEqual(t, busiest(9), 8.0)
}

// TestAgentsSpreadOverAllEntries guards against agents that all read from the same entry.
func TestAgentsSpreadOverAllEntries(t *testing.T) {
	used := map[string]int{}
	for i := range 60 {
		p := newProcess(fmt.Sprintf("10.0.1.%d:7700", i), true)
		p.after(0, source.EntriesReported{Entries: entries(10), EntryCount: 10})
		used[p.Address()]++
	}
	require.Len(t, used, 10)
}

// TestFailedEntryIsReplacedAndUsedAgainLater guards against a process that keeps reading from a failed entry, and against one that never
// returns to it: failures make it move to the other candidates and at last to the store, for the time of the backoff only.
func TestFailedEntryIsReplacedAndUsedAgainLater(t *testing.T) {
	p := newProcess("10.0.0.99:7700", false)
	p.after(0, report(20))
	first := p.Address()
	effects := p.after(0, source.PeerFailed{Address: first})
	second := p.Address()
	require.NotEqual(t, first, second)
	require.Equal(t, []step.Effect{source.Changed{Address: second, EntryCount: 20}}, effects)
	failures := 1
	for ; p.Address() != ""; failures++ {
		p.after(0, source.PeerFailed{Address: p.Address()})
	}
	require.GreaterOrEqual(t, failures, source.CandidateCount)
	require.LessOrEqual(t, failures, len(report(20).Entries), "the store is read once every candidate that ranks before it has failed")
	p.after(time.Second, report(20))
	require.Empty(t, p.Address())
	p.after(3*time.Second, step.Tick{})
	require.Equal(t, first, p.Address())
}

// TestSecondEntryReadsTheStoreWhenTheFirstFails guards against a data centre in which no entry reads the store, or entries read from each
// other in a cycle, when the first entry fails: the next in order must take its place.
func TestSecondEntryReadsTheStoreWhenTheFirstFails(t *testing.T) {
	ranked := source.EntryCandidates("perth-a", entries(20))
	p := newProcess(ranked[1], false)
	p.after(0, report(20))
	require.Equal(t, ranked[0], p.Address())
	p.after(0, source.PeerFailed{Address: ranked[0]})
	require.Empty(t, p.Address())
}

// TestEntriesThatAreNoLongerReportedExpire guards against reading from entries that have left the data centre.
func TestEntriesThatAreNoLongerReportedExpire(t *testing.T) {
	p := newProcess("10.0.0.99:7700", false)
	p.after(0, report(20))
	require.NotEmpty(t, p.Address())
	p.after(8*time.Second, step.Tick{})
	require.Empty(t, p.Address())
}

// TestLowCountOfANewProcessDoesNotLowerTheCount covers a process that has received heartbeats of only two entries so far and reports that
// count, while another one reports all of them.
func TestLowCountOfANewProcessDoesNotLowerTheCount(t *testing.T) {
	p := newProcess("10.0.0.99:7700", false)
	p.after(0, report(20))
	p.after(time.Second, source.EntriesReported{Entries: entries(2), EntryCount: 2})
	require.NotEmpty(t, p.Address())
}

// TestExpiredHighCountIsReplacedByTheNextHighest guards against a process that reads the store for a moment each time the highest count
// expires, together with all others of its data centre. Agents count fewer entries than a seed does, so the highest count isn't
// always reported again.
func TestExpiredHighCountIsReplacedByTheNextHighest(t *testing.T) {
	p := newProcess("10.0.0.99:7700", true)
	p.after(0, source.EntriesReported{Entries: entries(20), EntryCount: 60})
	for range 300 {
		p.after(100*time.Millisecond, source.EntriesReported{Entries: entries(20), EntryCount: 28})
		p.after(0, step.Tick{})
		require.NotEmpty(t, p.Address())
	}
	p.after(15*time.Second, step.Tick{})
	p.after(15*time.Second, step.Tick{})
	require.Empty(t, p.Address(), "no entries are reported any more")
}
