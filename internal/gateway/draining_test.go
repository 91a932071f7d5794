package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// TestNoNewRequestsForUpstreamThatReportsLeaving guards against an entry that learns only from the store that an upstream is leaving.
// Here the store is down, and the upstream reports in each response that it is leaving.
func TestNoNewRequestsForUpstreamThatReportsLeaving(t *testing.T) {
	t.Parallel()
	const drainTime = 2 * time.Second // The limit of the users' platform.
	fleet := standin.NewFleet(t)
	leaving, other := fleet.AddService("i-leaving"), fleet.AddService("i-other")
	e := start(t, fleet)
	fleet.Store.SetDown(true)
	leaving.SetNotice(standin.Notice{Leaving: true})
	require.Eventually(t, func() bool {
		return e.Post("/once/1").Seal == "seal-of-i-leaving"
	}, testTimeout, pollInterval)
	notifiedAt := time.Now()
	for range 150 {
		require.Equal(t, 200, e.Post("/once/1").Status)
		time.Sleep(20 * time.Millisecond)
	}
	for _, a := range leaving.Arrivals() {
		require.Less(t, a.At.Sub(notifiedAt), drainTime)
	}
	require.Positive(t, other.ArrivalCount())
}

// TestRequestIsNotConnectedToDrainingUpstream guards against a request that reaches a draining upstream when that goes on after a silence,
// though its draining was known long before.
func TestRequestIsNotConnectedToDrainingUpstream(t *testing.T) {
	t.Parallel()
	fleet, l := standin.NewFleet(t), newSilentListener(t)
	fleet.RegisteredAddress = func(string) string { return l.address }
	desk := fleet.AddService("i-1")
	e := start(t, fleet)
	reply := make(chan standin.Reply, 1)
	go func() { reply <- e.Post("/once/1") }()
	time.Sleep(500 * time.Millisecond)
	fleet.Store.Put("servers", "i-1", map[string]any{"service": "desk", "address": l.address, "zone": fleet.DataCentre, "slots": fleet.Slots, "state": "draining"})
	time.Sleep(300 * time.Millisecond)
	l.serve(t, desk)
	r := <-reply
	require.NoError(t, r.Err)
	require.Equal(t, http.StatusServiceUnavailable, r.Status, r.Body)
	require.Contains(t, r.Body, `"ran":"not run"`)
	time.Sleep(1500 * time.Millisecond) // Connecting would have succeeded by now.
	require.Zero(t, desk.ArrivalCount())
}
