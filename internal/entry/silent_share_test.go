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
	time.Sleep(time.Second)
	fleet.setFaults(fleet.engineServer, faults)
	time.Sleep(shareSilence + 200*time.Millisecond)
	from := time.Now().UnixMilli()
	time.Sleep(shareCounted)
	to := time.Now().UnixMilli()
	stop()
	running.Wait()
	first, total := 0, 0
	for _, runs := range fleet.engineRuns() {
		for _, run := range runs {
			if run.StartMS < from || run.StartMS >= to {
				continue
			}
			total++
			if run.Engine == "e0" {
				first++
			}
		}
	}
	assert.Zero(t, incomplete.Load())
	return float64(first) / float64(total)
}

// TestSilentEngineIsUsedAgainAtOnce guards against an engine that gets no requests once it goes on after a silence, because the requests that it
// had then waited long for their first byte, and against a slow engine that keeps its share.
func TestSilentEngineIsUsedAgainAtOnce(t *testing.T) {
	t.Parallel()
	b := newBatch(t)
	b.run("silent", func(t *testing.T) {
		share := shareAfter(t, fmt.Sprintf(`{"e0":{"silent_ms":%d}}`, shareSilence.Milliseconds()))
		assert.Greater(t, share, 0.5/shareEngines)
	})
	b.run("slow", func(t *testing.T) {
		assert.Less(t, shareAfter(t, `{"e0":{"slow_factor":100}}`), 0.5/shareEngines)
	})
	b.wait()
}
