package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/platform/standin"
)

// hangingTransport never connects: each call waits until its context ends.
type hangingTransport struct{}

// RoundTrip waits until the request's context ends and returns its error.
func (hangingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// TestRequestThatExpiresBeforeItIsSentIsReportedNotRun guards against reporting to a caller that its request may have run,
// although its deadline passed while the connection was being made. Nothing was sent, so the caller may retry even a request that
// must run only once.
func TestRequestThatExpiresBeforeItIsSentIsReportedNotRun(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	desk := fleet.AddService("i-1")
	e := start(t, fleet)
	e.gateway.SetUpstreamTransport(hangingTransport{})
	sentAt := time.Now()
	r := e.Post("/once/1")
	require.NoError(t, r.Err)
	require.GreaterOrEqual(t, time.Since(sentAt), 2*time.Second, "the route's time limit")
	require.Equal(t, http.StatusServiceUnavailable, r.Status, r.Body)
	require.Contains(t, r.Body, `"ran":"not run"`)
	require.Zero(t, desk.Runs(r.ID))
}

// TestRequestWithdrawnBeforeItIsSentIsReportedNotRun guards against reporting to a caller that its request may have run, although it
// was withdrawn before its connection was made. It is withdrawn because the engine's version is about to expire.
func TestRequestWithdrawnBeforeItIsSentIsReportedNotRun(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.AddStream("/single/", false)
	fleet.SetGapTarget(time.Second)
	fleet.AddEngine("i-1", standin.NextIP(), 1)
	host := fleet.Host(standin.NextIP(), false)
	host.VersionLifetime = 2 * time.Second
	e := startHost(t, fleet, host)
	e.gateway.SetUpstreamTransport(hangingTransport{})
	replies := make(chan standin.Reply, 1)
	go func() { replies <- e.Post("/single/1") }()
	time.Sleep(watchDelay)
	fleet.ActivateVersion(2)
	r := <-replies
	require.Equal(t, http.StatusServiceUnavailable, r.Status, r.Body)
	require.Contains(t, r.Body, `"ran":"not run"`)
}
