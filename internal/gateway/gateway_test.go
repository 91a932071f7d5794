package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/gateway"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/telemetry"
	"samphireweir.example/samphireweir/platform/standin"
)

// testTimeout limits how long a test waits for a condition. It is far longer than needed, since test machines can be busy.
const testTimeout = 30 * time.Second

// pollInterval is how often a test checks a condition.
const pollInterval = 10 * time.Millisecond

// entry is a running entry together with a caller.
type entry struct {
	standin.Caller
	host    hostconfig.Host
	gateway *gateway.Gateway
	stop    func()
}

func start(t *testing.T, fleet *standin.Fleet) *entry {
	t.Helper()
	return startHost(t, fleet, fleet.Host(standin.NextIP(), false))
}

// usualUptime is longer than the window of the retry budget: an entry that has just started gets its share of the budget little by little.
const usualUptime = time.Minute

// startHost starts an entry that behaves as if it had run for a while.
func startHost(t *testing.T, fleet *standin.Fleet, host hostconfig.Host) *entry {
	t.Helper()
	g := gateway.New(host, newTestLogger(t), telemetry.NewMetrics(), nil)
	g.PretendUptime(usualUptime)
	e := &entry{Caller: standin.Caller{Address: host.CallersListen, Name: t.Name()}, host: host, gateway: g, stop: fleet.Run(g.Run)}
	require.Eventually(t, func() bool { return e.ready() == http.StatusOK }, testTimeout, 10*time.Millisecond)
	return e
}

// ready returns the status of a readiness check as the load balancer makes it; 0 means no response.
func (e *entry) ready() int {
	resp, err := http.Get("http://" + e.host.ReadinessListen + "/v1/readyz")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// streamBody returns the body of a complete stream of n events.
func streamBody(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

// TestForwardedRequestCarriesMetadata guards against requests that reach an upstream without the client account, instance and deadline that
// it needs, or with the caller's key, and against responses that are changed on the way.
func TestForwardedRequestCarriesMetadata(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	desk := fleet.AddService("i-desk")
	e := start(t, fleet)
	r := e.Do(context.Background(), standin.Request{
		Path: "/once/a%2Fb?x=1", Account: "somebody else", Header: http.Header{"Custom": {"kept"}},
	})
	require.NoError(t, r.Err)
	require.Equal(t, http.StatusOK, r.Status)
	require.Equal(t, "answer to "+r.ID+" by i-desk", r.Body)
	require.Equal(t, "seal-of-i-desk", r.Seal)
	seen := desk.LastRun()
	require.Equal(t, "karrakin", seen.Account)
	require.Equal(t, "i-desk", seen.Instance)
	require.Equal(t, "kept", seen.Header.Get("Custom"))
	require.Empty(t, seen.Authorization)
	require.Positive(t, seen.DeadlineMS)
	require.LessOrEqual(t, seen.DeadlineMS, 2000, "the route's limit is below the caller's")
}

// TestRefusalStatesRunStatusAndRetryAfter guards against refusals that do not say whether the request ran and when to retry.
func TestRefusalStatesRunStatusAndRetryAfter(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	e := start(t, fleet)
	r := e.Do(context.Background(), standin.Request{Path: "/once/1", APIKey: "revoked"})
	require.Equal(t, http.StatusUnauthorized, r.Status)
	require.Contains(t, r.Body, "1011")
	require.Equal(t, http.StatusNotFound, e.Post("/nowhere/").Status)
	r = e.Post("/once/1")
	require.Equal(t, http.StatusServiceUnavailable, r.Status)
	require.NotEmpty(t, r.Header.Get("Retry-After"))
	require.Contains(t, r.Body, `"ran":"not run"`)
	require.Empty(t, r.Seal)
}

// TestFaultsOfUpstreams guards against a second run of a request that must run only once, and against a failed response to one that may be
// retried. The upstream shows each fault once, on the first attempt.
func TestFaultsOfUpstreams(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, path string
		faults     []standin.Fault
		status     int
		// runs is the total number of times that the request runs.
		runs int
	}{
		{"a call that runs once survives a refusal", "/once/1", []standin.Fault{standin.Decline}, 200, 1},
		{"and another upstream at the address", "/once/1", []standin.Fault{standin.Misdirect}, 200, 1},
		{"its lost answer is not hidden by a second run", "/once/1", []standin.Fault{standin.DropResponse}, 502, 1},
		{"nor one to another request", "/once/1", []standin.Fault{standin.OtherRequest}, 502, 1},
		{"nor one that is cut", "/once/1", []standin.Fault{standin.ShortBody}, 502, 1},
		{"nor one without the upstream's mark", "/once/1", []standin.Fault{standin.Unsealed}, 502, 1},
		{"its failure is passed on", "/once/1", []standin.Fault{standin.Fail}, 500, 1},
		{"a call that may run again is sent again after a loss", "/again/1", []standin.Fault{standin.DropResponse}, 200, 2},
		{"after a failure", "/again/1", []standin.Fault{standin.Fail}, 200, 2},
		{"after silence", "/again/1", []standin.Fault{standin.Hang}, 200, 2},
		{"after an answer to another request", "/again/1", []standin.Fault{standin.OtherRequest}, 200, 2},
		{"after one that is cut", "/again/1", []standin.Fault{standin.ShortBody}, 200, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fleet := standin.NewFleet(t)
			first, second := fleet.AddService("i-1"), fleet.AddService("i-2")
			e := start(t, fleet)
			fleet.Faults.Next(c.faults...)
			r := e.Post(c.path)
			require.NoError(t, r.Err)
			require.Equal(t, c.status, r.Status, r.Body)
			require.Equal(t, c.runs, first.Runs(r.ID)+second.Runs(r.ID))
		})
	}
}

// TestBrokenStreamResumesAtAnotherEngine guards against lost, repeated or incomplete events when the connection to an engine
// breaks within a stream.
func TestBrokenStreamResumesAtAnotherEngine(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.AddEngine("i-1", standin.NextIP(), 1)
	fleet.AddEngine("i-2", standin.NextIP(), 1)
	e := start(t, fleet)
	fleet.Faults.Next(standin.BreakMidEvent)
	r := e.Post("/stream/1")
	require.NoError(t, r.Err)
	require.Equal(t, streamBody(6), r.Body, "each event once and in order, without the incomplete one")
	fleet.Faults.Next(standin.BreakMidEvent, standin.BreakMidEvent)
	r = e.Post("/stream/2")
	require.Error(t, r.Err, "a route that allows two upstreams has no third attempt: the response is cut off and does not look complete")
}

// TestStreamResumesAtCallersPosition guards against repeated events when a caller resumes a stream after the last event that it received.
func TestStreamResumesAtCallersPosition(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.AddEngine("i-1", standin.NextIP(), 1)
	e := start(t, fleet)
	r := e.Do(context.Background(), standin.Request{Path: "/stream/1", LastEvent: 4})
	require.NoError(t, r.Err)
	require.Equal(t, strings.TrimPrefix(streamBody(6), streamBody(4)), r.Body)
}

// TestUpstreamRequestIsCancelledWhenCallerLeaves guards against engines that continue to generate for a caller that has closed its connection.
func TestUpstreamRequestIsCancelledWhenCallerLeaves(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	engine := fleet.AddEngine("i-1", standin.NextIP(), 1)
	engine.Events, engine.EventInterval = 100000, 10*time.Millisecond
	e := start(t, fleet)
	ctx, cancel := context.WithCancel(context.Background())
	replies := make(chan standin.Reply, 1)
	go func() { replies <- e.Do(ctx, standin.Request{Path: "/stream/1"}) }()
	require.Eventually(t, func() bool { return engine.LastRun() != nil }, testTimeout, 5*time.Millisecond)
	cancel()
	<-replies
	require.Eventually(t, func() bool { return engine.CancelledRuns() == 1 }, testTimeout, 5*time.Millisecond)
}

// TestStreamPastDeadlineIsAborted guards against a stream that is ended normally at its deadline, which its caller would take for complete.
func TestStreamPastDeadlineIsAborted(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	engine := fleet.AddEngine("i-1", standin.NextIP(), 1)
	engine.Events, engine.EventInterval = 100000, 10*time.Millisecond
	e := start(t, fleet)
	r := e.Do(context.Background(), standin.Request{Path: "/stream/1", DeadlineMS: 300})
	require.Error(t, r.Err, "the connection is closed, so that the response does not look complete")
	require.NotContains(t, r.Body, `"code"`)
}

// TestRequiredVersionIsNotServedByOldEngine guards against requests served on an old version after a newer one has become required.
func TestRequiredVersionIsNotServedByOldEngine(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.AddEngine("i-1", standin.NextIP(), 1)
	e := start(t, fleet)
	require.Equal(t, http.StatusOK, e.Post("/stream/1").Status)
	fleet.ActivateVersion(2)
	require.Eventually(t, func() bool { return e.Post("/stream/1").Status == http.StatusServiceUnavailable }, testTimeout, 100*time.Millisecond)
}

// TestConfigChangesApplyDespiteWatchFailures guards against changes that are missed because the store compacted its history,
// sent nothing on a watch, or was down.
func TestConfigChangesApplyDespiteWatchFailures(t *testing.T) {
	t.Parallel()
	for name, inject := range map[string]func(s *standin.Store) (restore func()){
		"calm":    func(*standin.Store) func() { return func() {} },
		"compact": func(s *standin.Store) func() { return s.Compact },
		"silent": func(s *standin.Store) func() {
			s.SetSilent(true)
			return func() { s.SetSilent(false) }
		},
		"down": func(s *standin.Store) func() {
			s.SetDown(true)
			return func() { s.SetDown(false) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := standin.NewFleet(t)
			desk := fleet.AddService("i-desk")
			e := start(t, fleet)
			require.Equal(t, http.StatusOK, e.Post("/again/1").Status)
			restore := inject(fleet.Store)
			fleet.Routes = fleet.Routes[:1]
			fleet.WriteManifest()
			fleet.AddService("i-new")
			fleet.Store.Delete("servers", "i-desk")
			restore()
			require.Eventually(t, func() bool { return e.Post("/again/1").Status == http.StatusNotFound }, testTimeout, 20*time.Millisecond)
			require.Eventually(t, func() bool {
				r := e.Post("/once/1")
				return r.Status == http.StatusOK && desk.Runs(r.ID) == 0
			}, testTimeout, 20*time.Millisecond)
		})
	}
}

// TestGracefulShutdownCompletesOpenRequests guards against a shutdown that cuts off open streams, or refuses requests that the
// load balancer still sends before it has seen the failed readiness check.
func TestGracefulShutdownCompletesOpenRequests(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	engine := fleet.AddEngine("i-1", standin.NextIP(), 1)
	engine.Events, engine.EventInterval = 50, 20*time.Millisecond
	host := fleet.Host(standin.NextIP(), false)
	host.ShutdownGrace = testTimeout
	e := startHost(t, fleet, host)
	replies := make(chan standin.Reply, 1)
	go func() { replies <- e.Post("/stream/1") }()
	require.Eventually(t, func() bool { return engine.LastRun() != nil }, testTimeout, 5*time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		e.stop()
		close(stopped)
	}()
	require.Eventually(t, func() bool { return e.ready() == http.StatusServiceUnavailable }, testTimeout, 5*time.Millisecond)
	late := e.Post("/stream/2")
	require.NoError(t, late.Err, "requests are accepted until the load balancer has noticed the shutdown")
	require.True(t, late.Header.Get("Connection") == "close" || late.Status == http.StatusOK)
	r := <-replies
	require.NoError(t, r.Err)
	require.Equal(t, streamBody(50), r.Body)
	<-stopped
}

// TestEntryIsNotReadyWithoutConfig guards against an entry that reports ready before it has read its configuration, as when it starts while
// the store is down.
func TestEntryIsNotReadyWithoutConfig(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.Store.SetDown(true)
	host := fleet.Host(standin.NextIP(), false)
	g := gateway.New(host, newTestLogger(t), telemetry.NewMetrics(), nil)
	e := &entry{Caller: standin.Caller{Address: host.CallersListen, Name: t.Name()}, host: host, gateway: g, stop: fleet.Run(g.Run)}
	require.Eventually(t, func() bool { return e.ready() == http.StatusServiceUnavailable }, testTimeout, 10*time.Millisecond)
	r := e.Post("/once/1")
	require.Equal(t, http.StatusServiceUnavailable, r.Status)
	fleet.Store.SetDown(false)
	require.Eventually(t, func() bool { return e.ready() == http.StatusOK }, testTimeout, 10*time.Millisecond)
}
