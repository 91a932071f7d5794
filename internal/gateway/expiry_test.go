package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/gateway"
	"samphireweir.example/samphireweir/platform/standin"
)

// watchDelay is longer than the pause of an entry between two requests to the store.
const watchDelay = 600 * time.Millisecond

// TestNoRequestStartsOnAnExpiredVersion guards against engines that start a request on a version of the weights that has expired.
//
// An entry compares versions when it sends a request, but the engine starts the request with the first event of the response. An entry
// that takes this delay to be under 1.3 s, and does not limit it, lets requests start late.
//
// With the origin down and all engines full, two requests were sent just before entries require version 2, within 9.0 s of its
// activation. They were queued at their engines for 1.45 and 1.61 s. They then started on version 1, 134 ms and 173 ms late. One of
// them was at its second engine, after the first had sent nothing for 1.5 s. That last attempt had no timeout for the first event.
//
// Here an engine keeps a request in its queue until the version has expired.
func TestNoRequestStartsOnAnExpiredVersion(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		// path selects the route: a stream that may be sent again, or one that must run only once.
		path string
		// faults occur before an engine queues the request.
		faults []standin.Fault
		status int
	}{
		"a stream that runs once":                 {"/single/1", nil, http.StatusBadGateway},
		"a stream that is sent for the last time": {"/stream/1", []standin.Fault{standin.DropResponse}, http.StatusBadGateway},
		"a stream that may be sent once more":     {"/stream/1", nil, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := standin.NewFleet(t)
			fleet.AddStream("/single/", false)
			fleet.SetGapTarget(time.Second) // Callers wait longer than the version stays valid.
			old := []*standin.Upstream{fleet.AddEngine("i-0", standin.NextIP(), 1)}
			if len(c.faults) > 0 {
				old = append(old, fleet.AddEngine("i-1", standin.NextIP(), 1))
			}
			var release []func()
			for _, u := range old {
				release = append(release, u.Hold())
			}
			host := fleet.Host(standin.NextIP(), false)
			host.VersionLifetime = 2 * time.Second
			e := startHost(t, fleet, host)
			fleet.Faults.Next(c.faults...)
			replies := make(chan standin.Reply, 1)
			go func() { replies <- e.Post(c.path) }()
			require.Eventually(t, func() bool {
				queued := 0
				for _, u := range old {
					queued += u.Queued()
				}
				return queued == 1
			}, testTimeout, pollInterval)
			next := fleet.AddEngine("i-2", standin.NextIP(), 2)
			time.Sleep(watchDelay) // By now the entry watches the store, and sees the version at once.
			fleet.ActivateVersion(2)
			time.Sleep(host.VersionLifetime)
			for _, resume := range release {
				resume()
			}
			r := <-replies
			runs := 0
			for _, u := range old {
				runs += u.Runs(r.ID)
			}
			require.Equal(t, len(c.faults), runs, "it started on version 1 after version 1 had expired")
			require.Equal(t, c.status, r.Status, r.Body)
			if c.status == http.StatusOK {
				require.Equal(t, 1, next.Runs(r.ID), "the engine with version 2 responds")
				return
			}
			require.Contains(t, r.Body, `"ran":"unknown"`, "it had been sent to an engine")
		})
	}
}

// TestStreamStartedBeforeVersionExpiryRunsToCompletion guards against streams that are aborted when the version on which they
// started expires. Requests may still start on version 1 for a shorter time than the stream here lasts.
func TestStreamStartedBeforeVersionExpiryRunsToCompletion(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	engine := fleet.AddEngine("i-1", standin.NextIP(), 1)
	engine.Events, engine.EventInterval = 40, 50*time.Millisecond
	host := fleet.Host(standin.NextIP(), false)
	host.VersionLifetime = time.Second
	e := startHost(t, fleet, host)
	replies := make(chan standin.Reply, 1)
	go func() { replies <- e.Post("/stream/1") }()
	require.Eventually(t, func() bool { return engine.LastRun() != nil }, testTimeout, pollInterval)
	fleet.ActivateVersion(2)
	r := <-replies
	require.NoError(t, r.Err)
	require.Equal(t, streamBody(engine.Events), r.Body)
}

// TestResponseRacingWithWithdrawalIsNotAnUpstreamFailure has the first event arrive between the withdrawal of an attempt and the end of its
// connection. An attempt that the entry withdrew must not count as a failure of the upstream.
func TestResponseRacingWithWithdrawalIsNotAnUpstreamFailure(t *testing.T) {
	require.Equal(t, forward.Withdrawn, gateway.OutcomeOfWithdrawnResponse())
}
