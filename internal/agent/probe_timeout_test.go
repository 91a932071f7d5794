package agent

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/run"
	"samphireweir.example/samphireweir/internal/setting"
	"samphireweir.example/samphireweir/internal/silence"
)

// TestProbeTimeoutFollowsRecentResponseTimes guards against an upstream that counts as frozen because the network or this
// host is slow: the timeout of a probe must grow with recent response times, and shrink again afterwards.
func TestProbeTimeoutFollowsRecentResponseTimes(t *testing.T) {
	var p silence.ResponseTimes
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	require.Equal(t, minProbeTimeout, p.Limit(now, minProbeTimeout, maxProbeTimeout))
	p.Record(now, 10*time.Millisecond)
	require.Equal(t, minProbeTimeout, p.Limit(now, minProbeTimeout, maxProbeTimeout), "fast responses must not delay the detection of a frozen upstream")
	p.Record(now, 1500*time.Millisecond)
	p.Record(now, 20*time.Millisecond)
	require.Equal(t, 4500*time.Millisecond, p.Limit(now, minProbeTimeout, maxProbeTimeout))
	p.Record(now, time.Minute)
	require.Equal(t, maxProbeTimeout, p.Limit(now, minProbeTimeout, maxProbeTimeout))
	require.Equal(t, minProbeTimeout, p.Limit(now.Add(31*time.Second), minProbeTimeout, maxProbeTimeout))
}

// TestSlowEngineAnswersProbes guards against an engine that counts as frozen when a probe takes a little longer than the
// one before. On an overloaded machine all responses are slow, and whole fleets of engines were taken for dead.
func TestSlowEngineAnswersProbes(t *testing.T) {
	t.Parallel()
	var probes atomic.Int64
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		took := 1200 * time.Millisecond
		if probes.Add(1) > 1 {
			took = minProbeTimeout + 400*time.Millisecond
		}
		time.Sleep(took)
		_, _ = io.WriteString(w, `{"boot_id":"b"}`)
	}))
	defer engine.Close()
	a := &Agent{prober: newProber()}
	start := run.Start{Kind: setting.Engine, URL: engine.URL}
	require.Equal(t, run.Probe{BootID: "b"}, a.probe(start))
	require.Equal(t, run.Probe{BootID: "b"}, a.probe(start))
}

// TestLateAgentProbesMorePatiently guards against an engine that counts as frozen because its host has no processor time, which the agent knows
// from its own delay.
func TestLateAgentProbesMorePatiently(t *testing.T) {
	now := time.Now()
	a := &Agent{}
	require.Equal(t, minProbeTimeout, a.probeLimit(now))
	a.allowance = func() time.Duration { return 3 * time.Second }
	require.Equal(t, minProbeTimeout+3*time.Second, a.probeLimit(now))
	a.allowance = func() time.Duration { return time.Hour }
	require.Equal(t, maxProbeTimeout, a.probeLimit(now), "a frozen engine is found in bounded time")
}
