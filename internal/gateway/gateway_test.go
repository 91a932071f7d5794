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

// patience bounds what a test waits for; it is far above what is needed, since machines can be busy.
const patience = 30 * time.Second

// pollInterval is how often a test looks.
const pollInterval = 10 * time.Millisecond

// entry is a running entry with its callers.
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

func startHost(t *testing.T, fleet *standin.Fleet, host hostconfig.Host) *entry {
	t.Helper()
	g := gateway.New(host, logOf(t), telemetry.NewMetrics(), nil)
	e := &entry{Caller: standin.Caller{Address: host.Callers, Name: t.Name()}, host: host, gateway: g, stop: fleet.Run(g.Run)}
	require.Eventually(t, func() bool { return e.ready() == http.StatusOK }, patience, 10*time.Millisecond)
	return e
}

// ready asks as the balancer does; 0 stands for no answer.
func (e *entry) ready() int {
	resp, err := http.Get("http://" + e.host.Readiness + "/v1/readyz")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// whole is a stream of n events.
func whole(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

func TestAnAnswerIsPassedOnWithWhatTheUpstreamMustKnow(t *testing.T) {
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
	seen := desk.Last()
	require.Equal(t, "karrakin", seen.Account)
	require.Equal(t, "i-desk", seen.Instance)
	require.Equal(t, "kept", seen.Header.Get("Custom"))
	require.Empty(t, seen.Key)
	require.Positive(t, seen.Deadline)
	require.LessOrEqual(t, seen.Deadline, 2000, "the route allows less than the caller")
}

func TestOwnRefusals(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	e := start(t, fleet)
	r := e.Do(context.Background(), standin.Request{Path: "/once/1", Key: "revoked"})
	require.Equal(t, http.StatusUnauthorized, r.Status)
	require.Contains(t, r.Body, "1011")
	require.Equal(t, http.StatusNotFound, e.Post("/nowhere/").Status)
	r = e.Post("/once/1")
	require.Equal(t, http.StatusServiceUnavailable, r.Status)
	require.NotEmpty(t, r.Header.Get("Retry-After"))
	require.Contains(t, r.Body, `"ran":"not run"`)
	require.Empty(t, r.Seal)
}

func TestFaultsOfUpstreams(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name, path string
		faults     []standin.Fault
		status     int
		// runs is how often the request runs in all.
		runs int
	}{
		{"a call that runs once survives a refusal", "/once/1", []standin.Fault{standin.Decline}, 200, 1},
		{"and another upstream at the address", "/once/1", []standin.Fault{standin.Misdirect}, 200, 1},
		{"its lost answer is not hidden by a second run", "/once/1", []standin.Fault{standin.Lose}, 502, 1},
		{"nor one to another request", "/once/1", []standin.Fault{standin.Foreign}, 502, 1},
		{"nor one that is cut", "/once/1", []standin.Fault{standin.Short}, 502, 1},
		{"nor one without the upstream's mark", "/once/1", []standin.Fault{standin.Unmarked}, 502, 1},
		{"its failure is passed on", "/once/1", []standin.Fault{standin.Fail}, 500, 1},
		{"a call that may run again is sent again after a loss", "/again/1", []standin.Fault{standin.Lose}, 200, 2},
		{"after a failure", "/again/1", []standin.Fault{standin.Fail}, 200, 2},
		{"after silence", "/again/1", []standin.Fault{standin.Hang}, 200, 2},
		{"after an answer to another request", "/again/1", []standin.Fault{standin.Foreign}, 200, 2},
		{"after one that is cut", "/again/1", []standin.Fault{standin.Short}, 200, 2},
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

func TestABrokenStreamGoesOnAtAnotherEngine(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.AddEngine("i-1", standin.NextIP(), 1)
	fleet.AddEngine("i-2", standin.NextIP(), 1)
	e := start(t, fleet)
	fleet.Faults.Next(standin.BreakEvent)
	r := e.Post("/stream/1")
	require.NoError(t, r.Err)
	require.Equal(t, whole(6), r.Body, "each event once, in order, and none of the broken one")
	fleet.Faults.Next(standin.BreakEvent, standin.BreakEvent)
	r = e.Post("/stream/2")
	require.Error(t, r.Err, "a route with two upstreams allows no third: the answer is cut and does not look whole")
}

func TestAStreamGoesOnWhereItsCallerWas(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.AddEngine("i-1", standin.NextIP(), 1)
	e := start(t, fleet)
	r := e.Do(context.Background(), standin.Request{Path: "/stream/1", LastEvent: 4})
	require.NoError(t, r.Err)
	require.Equal(t, strings.TrimPrefix(whole(6), whole(4)), r.Body)
}

func TestWorkEndsWhenItsCallerLeaves(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	engine := fleet.AddEngine("i-1", standin.NextIP(), 1)
	engine.Events, engine.Pace = 100000, 10*time.Millisecond
	e := start(t, fleet)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan standin.Reply, 1)
	go func() { ended <- e.Do(ctx, standin.Request{Path: "/stream/1"}) }()
	require.Eventually(t, func() bool { return engine.Last() != nil }, patience, 5*time.Millisecond)
	cancel()
	<-ended
	require.Eventually(t, func() bool { return engine.Cancelled() == 1 }, patience, 5*time.Millisecond)
}

func TestAStreamWhoseTimeEndsIsCutAndNotEnded(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	engine := fleet.AddEngine("i-1", standin.NextIP(), 1)
	engine.Events, engine.Pace = 100000, 10*time.Millisecond
	e := start(t, fleet)
	r := e.Do(context.Background(), standin.Request{Path: "/stream/1", DeadlineMS: 300})
	require.Error(t, r.Err, "the connection is cut, so that the answer does not look whole")
	require.NotContains(t, r.Body, `"code"`)
}

func TestADueVersionIsNotServedByAnOldEngine(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.AddEngine("i-1", standin.NextIP(), 1)
	e := start(t, fleet)
	require.Equal(t, http.StatusOK, e.Post("/stream/1").Status)
	fleet.Name(2)
	require.Eventually(t, func() bool { return e.Post("/stream/1").Status == http.StatusServiceUnavailable }, patience, 100*time.Millisecond)
}

// TestChangesComeInForceWhateverTheWatchDoes changes the manifest while watches are cut, silent or without history, and after the
// store was away.
func TestChangesComeInForceWhateverTheWatchDoes(t *testing.T) {
	t.Parallel()
	for name, trouble := range map[string]func(s *standin.Store) (after func()){
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
			after := trouble(fleet.Store)
			fleet.Routes = fleet.Routes[:1]
			fleet.Configure()
			fleet.AddService("i-new")
			fleet.Store.Delete("servers", "i-desk")
			after()
			require.Eventually(t, func() bool { return e.Post("/again/1").Status == http.StatusNotFound }, patience, 20*time.Millisecond)
			require.Eventually(t, func() bool {
				r := e.Post("/once/1")
				return r.Status == http.StatusOK && desk.Runs(r.ID) == 0
			}, patience, 20*time.Millisecond)
		})
	}
}

func TestAGracefulShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	engine := fleet.AddEngine("i-1", standin.NextIP(), 1)
	engine.Events, engine.Pace = 50, 20*time.Millisecond
	host := fleet.Host(standin.NextIP(), false)
	host.Grace = patience
	e := startHost(t, fleet, host)
	ended := make(chan standin.Reply, 1)
	go func() { ended <- e.Post("/stream/1") }()
	require.Eventually(t, func() bool { return engine.Last() != nil }, patience, 5*time.Millisecond)
	stopped := make(chan struct{})
	go func() {
		e.stop()
		close(stopped)
	}()
	require.Eventually(t, func() bool { return e.ready() == http.StatusServiceUnavailable }, patience, 5*time.Millisecond)
	late := e.Post("/stream/2")
	require.NoError(t, late.Err, "requests are taken until the balancer has heard")
	require.True(t, late.Header.Get("Connection") == "close" || late.Status == http.StatusOK)
	r := <-ended
	require.NoError(t, r.Err)
	require.Equal(t, whole(50), r.Body)
	<-stopped
}

func TestAProcessThatKnowsNothingIsNotReady(t *testing.T) {
	t.Parallel()
	fleet := standin.NewFleet(t)
	fleet.Store.SetDown(true)
	host := fleet.Host(standin.NextIP(), false)
	g := gateway.New(host, logOf(t), telemetry.NewMetrics(), nil)
	e := &entry{Caller: standin.Caller{Address: host.Callers, Name: t.Name()}, host: host, gateway: g, stop: fleet.Run(g.Run)}
	require.Eventually(t, func() bool { return e.ready() == http.StatusServiceUnavailable }, patience, 10*time.Millisecond)
	r := e.Post("/once/1")
	require.Equal(t, http.StatusServiceUnavailable, r.Status)
	fleet.Store.SetDown(false)
	require.Eventually(t, func() bool { return e.ready() == http.StatusOK }, patience, 10*time.Millisecond)
}
