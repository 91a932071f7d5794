package entry

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	// shareEngines is the number of engines over which callers spread their requests, and shareCallers the number of callers.
	shareEngines, shareCallers = 4, 12
	// shareSilence is how long the first engine is silent, and shareCounted for how long its requests are counted afterwards.
	shareSilence, shareCounted = 1500 * time.Millisecond, 1500 * time.Millisecond
	// shareWarmUp is how long requests are counted before the faults.
	shareWarmUp = time.Second
)

// shareAfter lets callers send requests, sets faults of the engines, and returns which share of the requests the first engine gets once the
// silence is over.
func shareAfter(t *testing.T, faults string) float64 {
	fleet := newTestFleet(t, 1, shareEngines)
	ctx, stop := context.WithCancel(t.Context())
	var running sync.WaitGroup
	var incomplete atomic.Int64
	for caller := range shareCallers {
		running.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				if o := fleet.send(context.Background(), 0, generateRequest(fmt.Sprint(caller, " ", i), 2, false)); !o.complete {
					incomplete.Add(1)
				}
			}
		})
	}
	fleet.eventually("the first engine has its share", func() bool { // A slow machine may have shown it as slow before.
		from := time.Now()
		time.Sleep(shareWarmUp)
		first, total := fleet.runsBetween(from, time.Now())
		return first*shareEngines*2 > total && total > shareEngines
	})
	fleet.setFaults(fleet.engineServer, faults)
	time.Sleep(shareSilence + 200*time.Millisecond)
	from := time.Now()
	time.Sleep(shareCounted)
	to := time.Now()
	stop()
	running.Wait()
	first, total := fleet.runsBetween(from, to)
	assert.Zero(t, incomplete.Load())
	return float64(first) / float64(total)
}

// runsBetween returns how many runs the first engine and all engines started in a time.
func (f *testFleet) runsBetween(from, to time.Time) (first, total int) {
	for _, runs := range f.engineRuns() {
		for _, run := range runs {
			if run.StartMS < from.UnixMilli() || run.StartMS >= to.UnixMilli() {
				continue
			}
			total++
			if run.Engine == "e0" {
				first++
			}
		}
	}
	return first, total
}

// TestSilentEngineIsUsedAgainAtOnce guards against an engine that gets no requests once it goes on after a silence, because the requests that it
// had then waited long for their first byte, and against a slow engine that keeps its share.
func TestSilentEngineIsUsedAgainAtOnce(t *testing.T) {
	t.Parallel()
	silent := fmt.Sprintf(`{"e0":{"silent_ms":%d}}`, shareSilence.Milliseconds())
	b := newBatch(t)
	b.run("silent", func(t *testing.T) {
		share := shareAfter(t, silent)
		assert.Greater(t, share, 0.5/shareEngines)
	})
	b.run("slow", func(t *testing.T) {
		assert.Less(t, shareAfter(t, `{"e0":{"slow_factor":100}}`), 0.5/shareEngines)
	})
	b.wait()
}
