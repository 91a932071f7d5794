package gateway_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// TestUpstreamBackoffIsRespected guards against an entry that keeps sending to an upstream which refused a request and asked for a backoff.
// Responses to earlier requests that arrive during the backoff count as successes and must not end it.
func TestUpstreamBackoffIsRespected(t *testing.T) {
	t.Parallel()
	const backoff = 3 * time.Second
	fleet := standin.NewFleet(t)
	overloaded := fleet.AddService("i-tired")
	e := start(t, fleet)
	release := overloaded.Hold()
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() { e.Post("/again/1") })
	}
	require.Eventually(t, func() bool { return overloaded.Queued() == 4 }, testTimeout, pollInterval)
	fleet.AddService("i-other")
	overloaded.SetNotice(standin.Notice{Backoff: backoff})
	require.Eventually(t, func() bool { e.Post("/again/1"); return overloaded.ArrivalCount() > 4 }, testTimeout, pollInterval)
	requestedAt := overloaded.Arrivals()[4].At
	time.AfterFunc(600*time.Millisecond, release)
	for time.Since(requestedAt) < backoff {
		e.Post("/again/1")
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	within := 0
	for _, a := range overloaded.Arrivals() {
		if elapsed := a.At.Sub(requestedAt); elapsed > 500*time.Millisecond && elapsed < backoff {
			within++
		}
	}
	require.LessOrEqual(t, within, 2)
}
