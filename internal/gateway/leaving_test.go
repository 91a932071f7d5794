package gateway_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// TestNoNewWorkForAnUpstreamWhoseAnswersSayThatItLeaves guards against an entry that waits for the store's word: the store is down, and the
// upstream says in each answer that it leaves.
func TestNoNewWorkForAnUpstreamWhoseAnswersSayThatItLeaves(t *testing.T) {
	t.Parallel()
	const drainTime = 2 * time.Second // What the users' platform allows.
	fleet := standin.NewFleet(t)
	leaving, other := fleet.AddService("i-leaving"), fleet.AddService("i-other")
	e := start(t, fleet)
	fleet.Store.SetDown(true)
	leaving.Say(standin.Notice{Leaving: true})
	require.Eventually(t, func() bool {
		return e.Post("/once/1").Seal == "seal-of-i-leaving"
	}, patience, pollInterval)
	told := time.Now()
	for range 150 {
		require.Equal(t, 200, e.Post("/once/1").Status)
		time.Sleep(20 * time.Millisecond)
	}
	for _, a := range leaving.Arrivals() {
		require.Less(t, a.At.Sub(told), drainTime)
	}
	require.Positive(t, other.Arrived())
}
