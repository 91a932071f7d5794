package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// TestRequestAtASilentUpstreamKeepsItsMemory guards against requests that a silent upstream has read and runs, and whose callers' connections are
// closed without an answer to make room for new requests. New ones, of which nothing was sent, are refused as not run.
func TestRequestAtASilentUpstreamKeepsItsMemory(t *testing.T) {
	t.Parallel()
	const requests, bodyBytes = 12, 1 << 20
	fleet := standin.NewFleet(t)
	fleet.Slots = 2 * requests
	fleet.WriteManifest()
	desk := fleet.AddService("i-1")
	host := fleet.Host(standin.NextIP(), false)
	host.MemoryBytes = 32 << 20
	e := startHost(t, fleet, host)
	e.KeepAlive = true
	desk.FallSilent(1500 * time.Millisecond)
	replies := make(chan standin.Reply, requests)
	for range requests {
		go func() {
			replies <- e.Do(context.Background(), standin.Request{Path: "/once/1", Body: strings.Repeat("x", bodyBytes)})
		}()
		time.Sleep(100 * time.Millisecond)
	}
	statuses := map[int]int{}
	for range requests {
		r := <-replies
		require.NoError(t, r.Err, "no connection is closed without an answer")
		statuses[r.Status]++
		if r.Status == http.StatusServiceUnavailable {
			require.Contains(t, r.Body, `"ran":"not run"`)
			require.Zero(t, desk.Runs(r.ID))
		}
	}
	require.Positive(t, statuses[http.StatusOK])
	require.Positive(t, statuses[http.StatusServiceUnavailable], "their bodies exceed the memory")
	require.Equal(t, requests, statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], statuses)
}
