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
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/platform"
)

// growthExponent returns the exponent of the power law by which a figure grew with the size of the fleet.
func growthExponent(small, large int, before, after float64) float64 {
	return math.Log(after/before) / math.Log(float64(large)/float64(small))
}

// TestSimultaneousStartCausesFewStoreLists guards against a start in which each process requests the same lists from the
// store. Their bytes grow with the square of the fleet and fill the links between regions, so that calls time out and are
// retried. At 988 hosts, a start with this fault made 7,565 calls, eight times as many as at 300 hosts. They cost a seventh
// of the value of a day's answers.
func TestSimultaneousStartCausesFewStoreLists(t *testing.T) {
	const small, large = 170, 1000
	before, after := measureStart(t, small), measureStart(t, large)
	t.Logf("%d processes: %+v", small, before)
	t.Logf("%d processes: %+v", large, after)
	require.LessOrEqual(t, after.lists, 4*virtualDataCentres, "about one per data centre")
	require.LessOrEqual(t, growthExponent(small, large, float64(before.watches), float64(after.watches)), 0.3, "only one entry of a data centre watches the store")
	require.LessOrEqual(t, growthExponent(small, large, float64(before.maxBytesSent), float64(after.maxBytesSent)), 1.2, "the list grows with the fleet, the number of its receivers hardly")
	require.LessOrEqual(t, growthExponent(small, large, float64(before.readyAfter), float64(after.readyAfter)), 0.3)
}

// rankedEntries returns the entries of a data centre in its order: the first reads the store, some of the next read from
// the first, and the rest read from these.
func (f *virtualFleet) rankedEntries(dataCentre string) []*virtualProcess {
	var entries []string
	for address, p := range f.processes {
		if !p.agent && p.peers.dataCentre == dataCentre {
			entries = append(entries, address)
		}
	}
	var list []*virtualProcess
	for _, address := range step.Rank(dataCentre, entries) {
		list = append(list, f.processes[address])
	}
	return list
}

// setFailure sets what is wrong with some processes.
func (f *virtualFleet) setFailure(how failure, list ...*virtualProcess) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range list {
		p.failure = how
	}
}

// TestChangeReachesAllWhenReadersFail guards against processes that learn of a change too late, or never. At the moment of the
// change, the processes that they read from are killed, unresponsive or cut off from the store.
func TestChangeReachesAllWhenReadersFail(t *testing.T) {
	const processes, allowed = 240, 5 * time.Second // allowed is the platform's time limit for a manifest in a fleet of this size.
	for name, failing := range map[string]func(*virtualFleet) []*virtualProcess{
		"the reader of a data centre": func(f *virtualFleet) []*virtualProcess { return f.rankedEntries("dc-0")[:1] },
		"all readers":                 func(f *virtualFleet) []*virtualProcess { return f.firstEntries(1) },
		"the two first of each":       func(f *virtualFleet) []*virtualProcess { return f.firstEntries(2) },
		"some of the second level":    func(f *virtualFleet) []*virtualProcess { return f.rankedEntries("dc-0")[1:5] },
		"both levels of one":          func(f *virtualFleet) []*virtualProcess { return f.rankedEntries("dc-0")[:6] },
		"a third of all": func(f *virtualFleet) []*virtualProcess {
			var third []*virtualProcess
			for place := range virtualDataCentres {
				list := f.rankedEntries("dc-" + strconv.Itoa(place))
				third = append(third, list[:len(list)/3]...)
			}
			return third
		},
	} {
		for _, how := range []failure{killed, unresponsive, cutOff} {
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
					require.Zero(t, f.countBehind(firstRevision))
					f.setFailure(how, failing(f)...)
					f.writeObject(0)
					changedAt := time.Now()
					for f.countBehindNewest() > 0 && time.Since(changedAt) < 2*allowed {
						time.Sleep(20 * time.Millisecond)
					}
					require.LessOrEqual(t, time.Since(changedAt), allowed, "%d processes do not know the change", f.countBehindNewest())
					t.Logf("%s: all processes knew the change after %v", name, time.Since(changedAt))
					cancel()
					running.Wait()
					time.Sleep(2 * readySeedInterval)
				})
			})
		}
	}
}

// firstEntries returns the first n entries of each data centre.
func (f *virtualFleet) firstEntries(n int) []*virtualProcess {
	var list []*virtualProcess
	for place := range virtualDataCentres {
		list = append(list, f.rankedEntries("dc-" + strconv.Itoa(place))[:n]...)
	}
	return list
}

// measureOutage makes the store refuse all calls for 9 seconds. It returns the number of calls in that time, and the time from
// the recovery until all processes know a change that was written during the outage.
func measureOutage(t *testing.T, n int) (calls int, recovery time.Duration) {
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
		before := f.callCount()
		f.setFailure(cutOff, all...)
		time.Sleep(9 * time.Second)
		calls = f.callCount() - before
		f.writeObject(0)
		f.setFailure(healthy, all...)
		recoveredAt := time.Now()
		for f.countBehindNewest() > 0 && time.Since(recoveredAt) < time.Minute {
			time.Sleep(20 * time.Millisecond)
		}
		recovery = time.Since(recoveredAt)
		cancel()
		running.Wait()
		time.Sleep(2 * readySeedInterval)
	})
	return calls, recovery
}

// TestStoreOutageDoesNotCauseCallsFromAllProcesses guards against a fleet whose processes all call the store at once while
// it is unreachable or when it recovers.
func TestStoreOutageDoesNotCauseCallsFromAllProcesses(t *testing.T) {
	const small, large, allowed = 120, 480, 5 * time.Second
	before, _ := measureOutage(t, small)
	after, recovery := measureOutage(t, large)
	t.Logf("%d calls at %d processes, %d at %d: exponent %.2f; all processes know the change %v after the recovery", before, small, after, large, growthExponent(small, large, float64(before), float64(after)), recovery)
	require.LessOrEqual(t, growthExponent(small, large, float64(before), float64(after)), 0.5)
	require.LessOrEqual(t, recovery, allowed)
}

// measurePartialOutage makes the store refuse a third of the entries for 9 seconds, with one change per second. It returns the
// number of calls to the store in that time. All processes must learn of each change in time, whichever entry reads for them.
func measurePartialOutage(t *testing.T, n int, allowed time.Duration) int {
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
			for i, p := range f.rankedEntries("dc-" + strconv.Itoa(place)) {
				if i%3 < 2 && i < 4 || i%3 == 0 { // These include the first two entries of each data centre.
					third = append(third, p)
				}
			}
		}
		before := f.callCount()
		f.setFailure(cutOff, third...)
		for i := range 9 {
			f.writeObject(i)
			_, revision, err := f.changesSince(firstRevision)
			require.NoError(t, err)
			time.Sleep(time.Second)
			if i >= int(allowed/time.Second) {
				require.Zero(t, f.countBehind(storerev.Revision{Era: revision.Era, Number: revision.Number - int64(allowed/time.Second)}), "second %d", i)
			}
		}
		calls = f.callCount() - before
		f.setFailure(healthy, third...)
		time.Sleep(allowed)
		require.Zero(t, f.countBehindNewest())
		cancel()
		running.Wait()
		time.Sleep(2 * readySeedInterval)
	})
	return calls
}

func (f *virtualFleet) listCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists
}

func (f *virtualFleet) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lists + f.watches + f.refused
}

// TestPartialStoreOutageDoesNotCauseCallsFromAllProcesses guards against processes that all call the store repeatedly because
// it refuses the entry that reads for their data centre. At 988 hosts, a day with 9 such seconds had 10,943 calls,
// which cost a fifth of the value of that day's answers.
func TestPartialStoreOutageDoesNotCauseCallsFromAllProcesses(t *testing.T) {
	const small, large, allowed = 120, 480, 5 * time.Second
	before, after := measurePartialOutage(t, small, allowed), measurePartialOutage(t, large, allowed)
	t.Logf("%d calls at %d processes, %d at %d: exponent %.2f", before, small, after, large, growthExponent(small, large, float64(before), float64(after)))
	require.LessOrEqual(t, growthExponent(small, large, float64(before), float64(after)), 0.5)
}

// TestRapidLargeManifestsReachAllInTime guards against manifests that reach a part of a large fleet late when several are
// written in quick succession. Callers whose keys have been revoked would be served meanwhile.
func TestRapidLargeManifestsReachAllInTime(t *testing.T) {
	const (
		processes = 600
		manifests = 7
		pause     = 300 * time.Millisecond
		allowed   = 5 * time.Second
		// linkRate is that of the hosts with the slowest links, 40 Mbit/s, in bytes per second. manifestBytes is about the
		// size of 333 client accounts with their keys, which can't be compressed.
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
		f.linkRate, f.objects = linkRate, []platform.Object{{Name: "main", Revision: firstRevision, Spec: spec}}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, p := range f.processes {
			running.Go(func() { p.run(ctx) })
		}
		time.Sleep(8 * time.Second)
		require.Zero(t, f.countBehind(firstRevision))
		for range manifests {
			f.writeObject(0)
			time.Sleep(pause)
		}
		lastWrite := time.Now()
		for f.countBehindNewest() > 0 && time.Since(lastWrite) < 2*allowed {
			time.Sleep(20 * time.Millisecond)
		}
		t.Logf("all processes know the last manifest %v after its write", time.Since(lastWrite))
		require.LessOrEqual(t, time.Since(lastWrite), allowed)
		cancel()
		running.Wait()
		time.Sleep(2 * readySeedInterval)
	})
}

// measureSimultaneousRestart restarts more than half of a running fleet at once, including two of the seeds and some
// readers. It returns the lists requested from the store, and the time until all processes know the list again.
func measureSimultaneousRestart(t *testing.T, n int) (lists int, recovery time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newVirtualFleet(n)
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		stops := map[*virtualProcess]context.CancelFunc{}
		for _, p := range f.processes {
			instanceCtx, stop := context.WithCancel(ctx)
			stops[p] = stop
			running.Go(func() { p.run(instanceCtx) })
		}
		time.Sleep(8 * time.Second)
		before := f.listCount()
		var restarted []*virtualProcess
		for _, p := range f.processes {
			if step.Score("herd", p.address.String())%100 < 55 {
				stops[p]()
				restarted = append(restarted, p)
			}
		}
		f.setFailure(killed, restarted...)
		time.Sleep(time.Second)
		for _, p := range restarted {
			p.reset()
			running.Go(func() { p.run(ctx) })
		}
		f.setFailure(healthy, restarted...)
		restartedAt := time.Now()
		for f.countBehind(firstRevision) > 0 && time.Since(restartedAt) < time.Minute {
			time.Sleep(50 * time.Millisecond)
		}
		recovery = time.Since(restartedAt)
		time.Sleep(5 * time.Second)
		lists = f.listCount() - before
		cancel()
		for _, stop := range stops {
			stop()
		}
		running.Wait()
		time.Sleep(2 * readySeedInterval)
	})
	return lists, recovery
}

// TestSimultaneousRestartReadsFromRunningEntries guards against a thundering herd: when more than half of a fleet restarts
// at once, the processes must read from the running entries instead of each requesting a list from the store.
func TestSimultaneousRestartReadsFromRunningEntries(t *testing.T) {
	const small, large = 120, 480
	before, _ := measureSimultaneousRestart(t, small)
	after, recovery := measureSimultaneousRestart(t, large)
	t.Logf("%d lists at %d processes, %d at %d; all processes know the list again after %v", before, small, after, large, recovery)
	require.LessOrEqual(t, after, 4*virtualDataCentres, "about one per data centre")
	require.LessOrEqual(t, recovery, 3*time.Second, "half of the time within which a fleet must serve again")
}
