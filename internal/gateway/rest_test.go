package gateway_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// TestAnUpstreamGetsTheRestThatItAsksFor guards against an entry that sends on to an upstream which has turned it away and said for how long:
// answers that end there meanwhile count as good ones and end the pause after failures.
func TestAnUpstreamGetsTheRestThatItAsksFor(t *testing.T) {
	t.Parallel()
	const rest = 3 * time.Second
	fleet := standin.NewFleet(t)
	tired := fleet.AddService("i-tired")
	e := start(t, fleet)
	release := tired.Hold()
	var callers sync.WaitGroup
	for range 4 {
		callers.Go(func() { e.Post("/again/1") })
	}
	require.Eventually(t, func() bool { return tired.Queued() == 4 }, patience, pollInterval)
	fleet.AddService("i-other")
	tired.Say(standin.Notice{Rest: rest})
	require.Eventually(t, func() bool { e.Post("/again/1"); return tired.Arrived() > 4 }, patience, pollInterval)
	asked := tired.Arrivals()[4].At
	time.AfterFunc(600*time.Millisecond, release)
	for time.Since(asked) < rest {
		e.Post("/again/1")
		time.Sleep(20 * time.Millisecond)
	}
	callers.Wait()
	within := 0
	for _, a := range tired.Arrivals() {
		if since := a.At.Sub(asked); since > 500*time.Millisecond && since < rest {
			within++
		}
	}
	require.LessOrEqual(t, within, 2)
}
