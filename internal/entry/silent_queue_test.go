package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestRequestsWaitWhileAllUpstreamsAreSilent guards against requests that are refused for lack of capacity while all upstreams are silent for a
// moment: what fills the upstreams is silent as well, and ends with the silence.
func TestRequestsWaitWhileAllUpstreamsAreSilent(t *testing.T) {
	t.Parallel()
	const (
		engines  = 2
		interval = 25 * time.Millisecond
		requests = 160
		silent   = 1500 * time.Millisecond
	)
	fleet := newTestFleet(t, 1, engines)
	fleet.afterDelay(requests*interval/3, func() { fleet.fallSilent(silent) })
	var mu sync.Mutex
	var sending sync.WaitGroup
	var refused []string
	for i := range requests {
		sending.Go(func() {
			o := fleet.send(context.Background(), 0, generateRequest(fmt.Sprint("queued ", i), 2, false))
			mu.Lock()
			defer mu.Unlock()
			if !o.complete {
				refused = append(refused, o.String())
			}
		})
		time.Sleep(interval)
	}
	sending.Wait()
	assert.Empty(t, refused)
}
