package storefeed

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform"
)

// countWrongContents counts the healthy processes that know something else than the store has.
func (f *virtualFleet) countWrongContents() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, p := range f.processes {
		if p.failure == healthy && !p.knows(f.objects) {
			n++
		}
	}
	return n
}

// requireSameContents waits until all healthy processes know what the store has, for at most the allowed time.
func (f *virtualFleet) requireSameContents(t *testing.T, allowed time.Duration) {
	t.Helper()
	changedAt := time.Now()
	for f.countWrongContents() > 0 && time.Since(changedAt) < 2*allowed {
		time.Sleep(20 * time.Millisecond)
	}
	require.LessOrEqual(t, time.Since(changedAt), allowed, "%d processes have another state", f.countWrongContents())
	t.Logf("all processes had the store's state after %v", time.Since(changedAt))
}

// knows reports whether the process knows exactly these objects. The caller holds the fleet's lock.
func (p *virtualProcess) knows(objects []platform.Object) bool {
	if len(p.known) != len(objects) {
		return false
	}
	for _, o := range objects {
		if p.known[o.Name] != o.Revision {
			return false
		}
	}
	return true
}

// TestRestoredStoreReachesAllProcesses guards against processes that keep a state which the store lost when it came back from a copy, or
// that miss changes whose revisions were given out before. Readers of both levels notice the restore at different times: some of the
// processes that others read from are killed, unresponsive or cut off from the store meanwhile, and come back in the earlier era. In one
// case the store is restored three times within seconds.
func TestRestoredStoreReachesAllProcesses(t *testing.T) {
	const processes, allowed = 120, 5 * time.Second // allowed is the platform's time limit for a manifest in a fleet of this size.
	for _, how := range []failure{healthy, killed, unresponsive, cutOff} {
		for _, restores := range []int{1, 3} {
			t.Run(fmt.Sprintf("%d restores, failure %d", restores, how), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					f := newVirtualFleet(processes)
					f.tracksContents = true
					ctx, cancel := context.WithCancel(t.Context())
					var running sync.WaitGroup
					for _, p := range f.processes {
						running.Go(func() { p.run(ctx) })
					}
					time.Sleep(8 * time.Second)
					require.Zero(t, f.countWrongContents())
					f.keepBackup()
					for i := range 10 {
						f.writeObject(i)
					}
					time.Sleep(allowed)
					require.Zero(t, f.countWrongContents())

					failed := f.firstEntries(2)
					f.setFailure(how, failed...)
					for i := range restores {
						f.restore(500 * time.Millisecond)
						f.writeObject(20 + i)
						time.Sleep(300 * time.Millisecond)
					}
					f.setFailure(healthy, failed...)
					f.requireSameContents(t, allowed) // The revisions are still below those of the era before.
					for i := range 30 {
						f.writeObject(30 + i)
					}
					f.requireSameContents(t, allowed)
					cancel()
					running.Wait()
					time.Sleep(2 * readySeedInterval)
				})
			})
		}
	}
}
