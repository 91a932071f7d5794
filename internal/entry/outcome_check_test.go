package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/stretchr/testify/assert"

	"samphireweir.example/samphireweir/internal/code"
)

// quiesce waits 50 ms for the agents to finish their requests, so that the upstreams' logs are complete.
func (f *testFleet) quiesce() {
	time.Sleep(50 * time.Millisecond)
}

// checkOutcomes compares the outcomes with the upstreams' logs.
func (f *testFleet) checkOutcomes(outcomes map[string]outcome, requests map[string]testRequest) {
	f.quiesce()
	engines, plains := f.engineRuns(), f.plainRuns()
	for id, o := range outcomes {
		q := requests[id]
		runs := len(engines[o.id]) + len(plains[o.id])
		assert.Empty(f.t, o.unexpected, "data of another answer: %v", o)
		if o.problem != nil && o.problem.Ran == code.NotRun {
			assert.Zero(f.t, runs, "refused as not run, but it ran: %v", o)
		}
		if o.complete {
			assert.Nil(f.t, o.problem, "a complete answer with a problem: %v", o)
		}
		if o.status == http.StatusOK && !o.complete {
			assert.False(f.t, o.cleanEnd && o.problem == nil, "an incomplete answer ended cleanly: %v", o)
		}
		if q.service == "portal" && q.method == http.MethodPost {
			assert.LessOrEqual(f.t, runs, 1, "ran more than once: %v", o)
		}
	}
}

// sendAll sends all requests at once and returns the outcomes by the requests' names.
func (f *testFleet) sendAll(requests map[string]testRequest) map[string]outcome {
	var mu sync.Mutex
	var wg sync.WaitGroup
	outcomes := map[string]outcome{}
	for name, q := range requests {
		wg.Go(func() {
			o := f.send(context.Background(), 0, q)
			mu.Lock()
			defer mu.Unlock()
			outcomes[name] = o
		})
	}
	wg.Wait()
	return outcomes
}
