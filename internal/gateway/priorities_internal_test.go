package gateway

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"samphireweir.example/samphireweir/internal/core/catalog"
	"samphireweir.example/samphireweir/internal/core/forward"
	"samphireweir.example/samphireweir/internal/core/step"
	"samphireweir.example/samphireweir/internal/core/storerev"
	"samphireweir.example/samphireweir/internal/hostconfig"
	"samphireweir.example/samphireweir/internal/telemetry"
)

// TestWaitingAndYieldedAreCounted guards against metrics that miss requests that wait or yield, or go on counting them.
func TestWaitingAndYieldedAreCounted(t *testing.T) {
	m := telemetry.NewMetrics()
	g := New(hostconfig.Host{Name: "e1", DataCentre: "a"}, zerolog.Nop(), m, nil)
	g.ready.Store(true) // Keeps it from sending heartbeats.
	var routes []*catalog.Route
	for p, prefix := range []string{"/0/", "/1/"} {
		routes = append(routes, &catalog.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: catalog.Streaming, Priority: p, Shares: []catalog.Share{{Service: "s", Weight: 1}}, Objective: time.Hour, Timeout: time.Hour,
		})
	}
	manifest := catalog.NewManifest(1, routes, nil)
	manifest.Services["s"] = &catalog.Service{Name: "s", Engine: &catalog.Engine{Slots: 8, PromptTokensPerSecond: 20000, Models: []string{"m"}}}
	g.step(catalog.ManifestRead{Revision: storerev.Revision{Number: 1}, Manifest: manifest})
	g.step(catalog.TopicListed{Topic: catalog.UpstreamTopic})
	g.step(catalog.TopicListed{Topic: catalog.VersionTopic})
	g.step(catalog.UpstreamChanged{Upstream: &catalog.Upstream{
		ID: "m1", Service: "s", Address: "m1", DataCentre: "a", Slots: 8, Versions: map[string]int64{"m": 1}, Revision: storerev.Revision{Number: 2},
	}})
	arrive := func(id uint64, path string, prompt int) {
		g.step(forward.Arrived{ID: id, Host: "h", Path: path, Model: "m", PromptTokens: prompt})
	}
	arrive(1, "/1/x", 1000)
	arrive(2, "/0/x", 1500)
	arrive(3, "/1/x", 100)
	g.step(step.Tick{})
	require.Equal(t, []int64{1, 1, 0, 1}, []int64{m.Waiting.Value("0"), m.Waiting.Value("1"), m.Yielded.Value("0"), m.Yielded.Value("1")})
	g.step(forward.CallerGone{ID: 2})
	g.step(step.Tick{})
	require.Equal(t, []int64{0, 0, 0, 1}, []int64{m.Waiting.Value("0"), m.Waiting.Value("1"), m.Yielded.Value("0"), m.Yielded.Value("1")})
}
