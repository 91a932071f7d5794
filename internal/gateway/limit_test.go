package gateway_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// TestEntriesRespectRateLimitFromResponses guards against entries that ignore the rate limit which an engine sets in its responses: 21 requests
// in four seconds reached an engine that allows 1 a second.
func TestEntriesRespectRateLimitFromResponses(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	limited, other := fleet.AddEngine("i-limited", standin.NextIP(), 1), fleet.AddEngine("i-other", standin.NextIP(), 1)
	limited.SetNotice(standin.Notice{Limit: "1"})
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for range 3 {
		e := start(t, fleet)
		callers.Go(func() {
			for ctx.Err() == nil {
				e.Do(ctx, standin.Request{Path: "/stream/1"})
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	require.Eventually(t, func() bool { return limited.ArrivalCount() > 0 }, testTimeout, pollInterval)
	from := limited.Arrivals()[0].At.Add(3 * time.Second) // The limit must hold from then on.
	time.Sleep(time.Until(from.Add(4 * time.Second)))
	cancel()
	callers.Wait()
	within := 0
	for _, a := range limited.Arrivals() {
		if a.At.After(from) && a.At.Before(from.Add(4*time.Second)) {
			within++
		}
	}
	require.LessOrEqual(t, within, 11, "1.5 times what it allows in four seconds, plus five")
	require.Greater(t, other.ArrivalCount(), 20, "callers are served by the other engine")
}
