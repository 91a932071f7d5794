package storefeed

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/platform"
)

// exponent is the power with which something grew with the fleet.
func exponent(small, large int, before, after float64) float64 {
	return math.Log(after/before) / math.Log(float64(large)/float64(small))
}

// TestAFleetThatStartsAtOnceAsksTheStoreForFewLists guards against a start in which each process asks the store for the same lists: their bytes grow
// with the square of the fleet and fill the links between regions, so that calls end for their time and are made again. At 988 hosts 7,565 calls cost a
// seventh of a day's worth, eight times as many as at 300.
func TestAFleetThatStartsAtOnceAsksTheStoreForFewLists(t *testing.T) {
	const small, large = 170, 1000
	before, after := startAll(t, small), startAll(t, large)
	t.Logf("%d processes: %+v", small, before)
	t.Logf("%d processes: %+v", large, after)
	require.LessOrEqual(t, after.lists, 4*virtualDataCentres, "about one a data centre")
	require.LessOrEqual(t, exponent(small, large, float64(before.watches), float64(after.watches)), 0.3, "only one entry of a data centre watches")
	require.LessOrEqual(t, exponent(small, large, float64(before.busiestBytes), float64(after.busiestBytes)), 1.2, "the list grows as the fleet; who sends it, hardly")
	require.LessOrEqual(t, exponent(small, large, float64(before.ready), float64(after.ready)), 0.3)
}

// readersOf are the entries of a data centre in its order: the first reads the store, some next ones read from it, and the rest from these.
func (f *virtualFleet) readersOf(dataCentre string) []*virtualProcess {
	var entries []string
	for address, p := range f.processes {
		if !p.agent && p.neighbours.dataCentre == dataCentre {
			entries = append(entries, address)
		}
	}
	var list []*virtualProcess
	for _, address := range step.Rank(dataCentre, entries) {
		list = append(list, f.processes[address])
	}
	return list
}

// lose has something go wrong with processes.
func (f *virtualFleet) lose(l loss, list ...*virtualProcess) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range list {
		p.lost = l
	}
}

// TestAChangeReachesAllWhoeverOfTheTreeIsLost guards against processes that hear of a change too late, or never, since those that they read from are gone,
// stand still or have lost the store at the moment of the change.
func TestAChangeReachesAllWhoeverOfTheTreeIsLost(t *testing.T) {
	const processes, allowed = 240, 5 * time.Second // The users' platform allows so much to a manifest in a fleet of this size.
	for name, lost := range map[string]func(*virtualFleet) []*virtualProcess{
		"the reader of a data centre": func(f *virtualFleet) []*virtualProcess { return f.readersOf("dc-0")[:1] },
		"all readers":                 func(f *virtualFleet) []*virtualProcess { return f.firstOfEach(1) },
		"the two first of each":       func(f *virtualFleet) []*virtualProcess { return f.firstOfEach(2) },
		"some of the second level":    func(f *virtualFleet) []*virtualProcess { return f.readersOf("dc-0")[1:5] },
		"both levels of one":          func(f *virtualFleet) []*virtualProcess { return f.readersOf("dc-0")[:6] },
		"a third of all": func(f *virtualFleet) []*virtualProcess {
			var third []*virtualProcess
			for place := range virtualDataCentres {
				list := f.readersOf("dc-" + strconv.Itoa(place))
				third = append(third, list[:len(list)/3]...)
			}
			return third
		},
	} {
		for _, how := range []loss{killed, silent, behind} {
			t.Run(fmt.Sprintf("%s, %d", name, how), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newVirtualFleet(processes)
					ctx, cancel := context.WithCancel(t.Context())
					var running sync.WaitGroup
					for _, p := range f.processes {
						running.Go(func() { p.run(ctx) })
					}
					time.Sleep(8 * time.Second)
					require.Zero(t, f.behind(1))
					f.lose(how, lost(f)...)
					f.change(0)
					changed := time.Now()
					for f.behindNewest() > 0 && time.Since(changed) < 2*allowed {
						time.Sleep(20 * time.Millisecond)
					}
					require.LessOrEqual(t, time.Since(changed), allowed, "%d did not hear of it", f.behindNewest())
					t.Logf("%s: all knew after %v", name, time.Since(changed))
					cancel()
					running.Wait()
					time.Sleep(2 * seedInterval)
				})
			})
		}
	}
}

// firstOfEach are the first entries of each data centre.
func (f *virtualFleet) firstOfEach(n int) []*virtualProcess {
	var list []*virtualProcess
	for place := range virtualDataCentres {
		list = append(list, f.readersOf("dc-" + strconv.Itoa(place))[:n]...)
	}
	return list
}

// callsInAnOutage are the calls to the store in nine seconds in which it serves nobody, and the time after its return until all know what came meanwhile.
func callsInAnOutage(t *testing.T, n int) (calls int, after time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(n)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var all []*virtualProcess
		for _, p := range f.processes {
			all = append(all, p)
			running.Go(func() { p.run(ctx) })
		}
		time.Sleep(8 * time.Second)
		before := f.calls()
		f.lose(behind, all...)
		time.Sleep(9 * time.Second)
		calls = f.calls() - before
		f.change(0)
		f.lose(sound, all...)
		back := time.Now()
		for f.behindNewest() > 0 && time.Since(back) < time.Minute {
			time.Sleep(20 * time.Millisecond)
		}
		after = time.Since(back)
		cancel()
		running.Wait()
		time.Sleep(2 * seedInterval)
	})
	return calls, after
}

// TestAStoreThatIsAwayIsNotAskedByAll guards against a fleet that asks a store which is away, or comes back, from each of its processes at once.
func TestAStoreThatIsAwayIsNotAskedByAll(t *testing.T) {
	const small, large, allowed = 120, 480, 5 * time.Second
	before, _ := callsInAnOutage(t, small)
	after, back := callsInAnOutage(t, large)
	t.Logf("%d calls at %d processes, %d at %d: power %.2f; all know %v after its return", before, small, after, large, exponent(small, large, float64(before), float64(after)), back)
	require.LessOrEqual(t, exponent(small, large, float64(before), float64(after)), 0.5)
	require.LessOrEqual(t, back, allowed)
}

// callsWhileAThirdIsTurnedAway are the calls to the store in nine seconds in which it turns a third of the entries away and serves the others, with
// a change each second. All must hear of each change in time, whoever reads for them.
func callsWhileAThirdIsTurnedAway(t *testing.T, n int, allowed time.Duration) int {
	t.Helper()
	calls := 0
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(n)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, p := range f.processes {
			running.Go(func() { p.run(ctx) })
		}
		time.Sleep(8 * time.Second)
		var third []*virtualProcess
		for place := range virtualDataCentres {
			for i, p := range f.readersOf("dc-" + strconv.Itoa(place)) {
				if i%3 < 2 && i < 4 || i%3 == 0 { // The first two of each order among them.
					third = append(third, p)
				}
			}
		}
		before := f.calls()
		f.lose(behind, third...)
		for i := range 9 {
			f.change(i)
			_, revision := f.since(0)
			time.Sleep(time.Second)
			if i >= int(allowed/time.Second) {
				require.Zero(t, f.behind(revision-int64(allowed/time.Second)), "second %d", i)
			}
		}
		calls = f.calls() - before
		f.lose(sound, third...)
		time.Sleep(allowed)
		require.Zero(t, f.behindNewest())
		cancel()
		running.Wait()
		time.Sleep(2 * seedInterval)
	})
	return calls
}

func (f *virtualFleet) listed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists
}

func (f *virtualFleet) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists + f.watches + f.refused
}

// TestAStoreThatTurnsSomeAwayIsNotAskedByAll guards against a fleet of which each process turns to the store, again and again, since the entry that reads for
// its data centre is turned away: at 988 hosts 10,943 calls in a day with nine such seconds, a fifth of its worth.
func TestAStoreThatTurnsSomeAwayIsNotAskedByAll(t *testing.T) {
	const small, large, allowed = 120, 480, 5 * time.Second
	before, after := callsWhileAThirdIsTurnedAway(t, small, allowed), callsWhileAThirdIsTurnedAway(t, large, allowed)
	t.Logf("%d calls at %d processes, %d at %d: power %.2f", before, small, after, large, exponent(small, large, float64(before), float64(after)))
	require.LessOrEqual(t, exponent(small, large, float64(before), float64(after)), 0.5)
}

// TestAStormOfLargeManifestsReachesAllInTime guards against manifests that come late to a part of a large fleet when many come at once, so that
// callers with keys that have been taken away are served.
func TestAStormOfLargeManifestsReachesAllInTime(t *testing.T) {
	const (
		processes = 600
		manifests = 7
		pause     = 300 * time.Millisecond
		allowed   = 5 * time.Second
		// linkRate is that of the narrowest hosts, 40 Mbit/s, and manifestBytes about what 333 accounts with their keys take, which does not pack.
		linkRate      = 5e6
		manifestBytes = 70 << 10
	)
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(processes)
		random := rand.New(rand.NewPCG(1, 1))
		content := make([]byte, manifestBytes*3/4)
		for i := range content {
			content[i] = byte(random.Uint32())
		}
		spec, err := json.Marshal(content)
		require.NoError(t, err)
		f.link, f.objects = linkRate, []platform.Object{{Name: "main", Revision: 1, Spec: spec}}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, p := range f.processes {
			running.Go(func() { p.run(ctx) })
		}
		time.Sleep(8 * time.Second)
		require.Zero(t, f.behind(1))
		for range manifests {
			f.change(0)
			time.Sleep(pause)
		}
		last := time.Now()
		for f.behindNewest() > 0 && time.Since(last) < 2*allowed {
			time.Sleep(20 * time.Millisecond)
		}
		t.Logf("all know the last one %v after it", time.Since(last))
		require.LessOrEqual(t, time.Since(last), allowed)
		cancel()
		running.Wait()
		time.Sleep(2 * seedInterval)
	})
}

// listsAfterAHerdRestarts are the lists that the store is asked for as more than half of all processes, two of the seeds and readers among them, start
// again at once in a fleet that runs, and how long it takes until all know the list again.
func listsAfterAHerdRestarts(t *testing.T, n int) (lists int, after time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(n)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		ends := map[*virtualProcess]context.CancelFunc{}
		for _, p := range f.processes {
			life, end := context.WithCancel(ctx)
			ends[p] = end
			running.Go(func() { p.run(life) })
		}
		time.Sleep(8 * time.Second)
		before := f.listed()
		var herd []*virtualProcess
		for _, p := range f.processes {
			if step.Score("herd", p.address.String())%100 < 55 {
				ends[p]()
				herd = append(herd, p)
			}
		}
		f.lose(killed, herd...)
		time.Sleep(time.Second)
		for _, p := range herd {
			p.begin()
			running.Go(func() { p.run(ctx) })
		}
		f.lose(sound, herd...)
		back := time.Now()
		for f.behind(1) > 0 && time.Since(back) < time.Minute {
			time.Sleep(50 * time.Millisecond)
		}
		after = time.Since(back)
		time.Sleep(5 * time.Second)
		lists = f.listed() - before
		cancel()
		for _, end := range ends {
			end()
		}
		running.Wait()
		time.Sleep(2 * seedInterval)
	})
	return lists, after
}

// TestAHerdThatRestartsReadsFromTheRest guards against more than half of a fleet that starts again at once and asks the store for as many lists.
func TestAHerdThatRestartsReadsFromTheRest(t *testing.T) {
	const small, large = 120, 480
	before, _ := listsAfterAHerdRestarts(t, small)
	after, ready := listsAfterAHerdRestarts(t, large)
	t.Logf("%d lists at %d processes, %d at %d; all know it again after %v", before, small, after, large, ready)
	require.LessOrEqual(t, after, 4*virtualDataCentres, "about one a data centre")
	require.LessOrEqual(t, ready, 3*time.Second, "half of the time in which a fleet serves again")
}
